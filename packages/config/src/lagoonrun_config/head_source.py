"""Receives heads from the platform's store by a watch and by polling."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from lagoonrun_config import follower_interfaces, snapshot
from lagoonrun_config import head as head_module
from lagoonrun_core import events, logs
from lagoonrun_platform import store as store_module

_WATCHER_CHECK_SECONDS = 1.0
_POLL_SECONDS = 60.0
_WATCHER_POLL_SECONDS = 5.0
_INITIAL_RETRY_SECONDS = 0.2
_MAX_RETRY_SECONDS = 10.0

HeadCallback = Callable[[head_module.Head], None]


class HeadSource:
    """Task that reports each head it reads, including old ones.

    Every entry VM polls at a long interval. The few watchers also poll every
    few seconds, since a watch can fail silently: its connection stays open
    without events, and a change would be in force only a minute later.

    Parameters
    ----------
    store
        The platform's key-value service.
    watchers
        Decides whether this entry VM watches the head.
    on_head
        Called with each head.
    sleep
        Sleep function, used between polls and retries.
    rng
        Random numbers for the jitter.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        watchers: follower_interfaces.WatcherChoice,
        on_head: HeadCallback,
        sleep: follower_interfaces.Sleep,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._watchers = watchers
        self._on_head = on_head
        self._sleep = sleep
        self._rng = rng
        self._reachable = True
        self._head_found = False
        self._tasks: list[asyncio.Task[None]] = []
        self._watch_task: asyncio.Task[None] | None = None

    @property
    def reachable(self) -> bool:
        """Return whether the platform answered the last call."""
        return self._reachable

    def start(self) -> None:
        """Start polling, and watching while this entry VM is a watcher."""
        self._tasks = [
            asyncio.create_task(self._poll()),
            asyncio.create_task(self._supervise_watch()),
        ]

    async def close(self) -> None:
        """Stop the watch and the polling."""
        tasks = [*self._tasks, self._watch_task]
        self._tasks = []
        self._watch_task = None
        for task in tasks:
            if task is not None:
                await _cancel(task)

    async def _poll(self) -> None:
        failures = 0
        while True:
            await self._read()
            if self._head_found:
                await self._sleep(self._poll_period())
                continue
            # Without a configuration nothing can be served, so retry soon. The
            # back-off has jitter, or all waiting entry VMs would call the
            # store at once when it recovers.
            failures += 1
            await self._sleep(self._retry_delay(failures))

    def _poll_period(self) -> float:
        watches = self._watchers.is_watcher()
        period = _WATCHER_POLL_SECONDS if watches else _POLL_SECONDS
        return period * self._rng.uniform(0.5, 1.5)

    async def _supervise_watch(self) -> None:
        while True:
            wanted = self._watchers.is_watcher()
            if wanted and self._watch_task is None:
                self._watch_task = asyncio.create_task(self._watch())
            elif not wanted and self._watch_task is not None:
                task, self._watch_task = self._watch_task, None
                await _cancel(task)
            await self._sleep(_WATCHER_CHECK_SECONDS)

    async def _watch(self) -> None:
        failures = 0
        while True:
            revision = await self._read()
            if revision is not None and await self._follow(revision):
                failures = 0
            failures += 1
            await self._sleep(self._retry_delay(failures))

    async def _read(self) -> store_module.StoreRevision | None:
        """Read the head; return the store's revision, None on failure."""
        item = await self._store.get(head_module.HEAD_KEY)
        if isinstance(item, store_module.Unreachable):
            self._record_unreachable(item.detail)
            return None
        self._record_reachable()
        if item.found is not None:
            self._report(item.found.value)
        return item.revision

    async def _follow(self, revision: store_module.StoreRevision) -> bool:
        """Report changes after `revision`; return whether events arrived.

        The watch starts at the revision after the one that was read, so that
        no change is missed.
        """
        watched = False
        messages = self._store.watch(
            head_module.HEAD_KEY,
            from_revision=store_module.StoreRevision(revision + 1),
        )
        async with contextlib.aclosing(messages):
            async for message in messages:
                if isinstance(message, store_module.Unreachable):
                    self._record_unreachable(message.detail)
                    return watched
                if isinstance(message, store_module.WatchCompacted):
                    return watched
                watched = True
                self._record_reachable()
                for event in message.events:
                    if event.value is not None:
                        self._report(event.value)
        return watched

    def _report(self, value: bytes) -> None:
        try:
            head = head_module.decode_head(value)
        except snapshot.SnapshotError as error:
            logs.emit(
                events.LogEvent.CONFIGURATION_REJECTED,
                reason="head-unreadable",
                detail=error.detail,
            )
            return
        if head.tail:
            self._head_found = True
            self._on_head(head)

    def _retry_delay(self, failures: int) -> float:
        ceiling = min(
            _MAX_RETRY_SECONDS,
            _INITIAL_RETRY_SECONDS * 2 ** min(failures - 1, 16),
        )
        return ceiling * self._rng.uniform(0.5, 1.0)

    def _record_unreachable(self, detail: str) -> None:
        if self._reachable:
            self._reachable = False
            logs.emit(events.LogEvent.PLATFORM_UNREACHABLE, detail=detail)

    def _record_reachable(self) -> None:
        if not self._reachable:
            self._reachable = True
            logs.emit(events.LogEvent.PLATFORM_REACHABLE)


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
