"""Follow the platform's store: declarations, upstreams and entry VMs.

One task watches all keys: a watch is a call that is paid for, and three would
cost three times as much. It continues from the revision up to which the
listener knows the store, from earlier watches or from peers. All keys are
listed only if nothing is known, if the store has compacted the changes since,
or if versions of a large value arrive faster than the link carries them. A
single broken watch is not a failure of the store; only if another call fails as
well does the store count as unreachable.
"""

import asyncio
import contextlib
import enum
import logging
import random
from collections.abc import Sequence
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, supervised_task
from lagoonrun_platform import store as store_module
from lagoonrun_router import change_slices

_ALL_KEYS = ""
_FIRST_PAUSE_SECONDS = 0.1
_MAX_PAUSE_SECONDS = 1.0
"""Longest pause between two retries while the store is unreachable.

Upstreams whose entries expired register again within two seconds after the
store is back; that it is back has to be noticed well before.
"""

_MAX_SPARE_PAUSE_SECONDS = 3.0
"""The same for an entry VM to which peers report that the store is back."""

_SETTLE_SECONDS = 1.0
"""Time between the first listing and the first watch. When a fleet starts, each
entry VM writes its key, and every watch would be woken by each of them. Most
entry VMs of a large fleet learn meanwhile that they need not watch."""

_BATCH_SECONDS = 0.1
"""Time between a change and the next watch, so that changes that arrive
together are read by one call. A tenth of the time that a change may take to
reach all."""

_RELIED_ON_WATCH_SECONDS = 1.0
"""Longest wait of a watch that other entry VMs rely on. Both readers of a fleet
may be cut off from the store without a reset just when something changes; this
bounds the time until they notice, so that the change is active everywhere
within three seconds, the time for which lost connections excuse a delay. It
costs two calls a second for the whole fleet."""

_CATCH_UP_WAIT_SECONDS = 0.05
"""Longest wait of the first watch of a series. It shows that the store answers
and what has changed, which other entry VMs wait to have reported."""

_MAX_SUPERSEDED_BYTES = 256 * 1024
"""Bytes of values in one response that later values of the same key replace. If
there are more, versions arrive faster than the link carries them, and each
response would be longer than the previous one; listing all keys skips them."""


class ReaderRole(enum.Enum):
    """Whether this entry VM reads the store, and for whom."""

    ALONE = "alone"
    """Reads the store for itself only, as each entry VM of a small fleet."""

    FOR_OTHERS = "for-others"
    """The other entry VMs rely on this one to notice changes in time."""

    SPARE = "spare"
    """Reads as well while the entry VMs that others rely on can't."""

    STAND_BY = "stand-by"
    """Other entry VMs read the store for this one."""


class _WatchEnd(enum.Enum):
    """Why a watch has ended."""

    ENOUGH = "enough"
    FAILED = "failed"
    BEHIND = "behind"
    """All keys have to be listed."""


class StoreListener(Protocol):
    """Receives the contents of the store, in the order of its revisions."""

    @property
    def read_revision(self) -> store_module.StoreRevision:
        """Revision up to which all keys are known; `ABSENT` for none."""

    def prepare_listing(self, items: Sequence[store_module.KeyValue]) -> None:
        """Decode some items of a listing that is about to be applied."""

    def apply_listing(
        self,
        items: tuple[store_module.KeyValue, ...],
        revision: store_module.StoreRevision,
    ) -> None:
        """Apply a listing of all keys, as of `revision` or later."""

    def apply_changes(
        self,
        changes: tuple[store_module.Event, ...],
        revision: store_module.StoreRevision,
    ) -> None:
        """Apply all changes up to `revision`; there may be none."""

    def on_store_call_failed(self) -> None:
        """React to one failed call; the next call decides."""

    def on_store_unreachable(self) -> None:
        """React to the store becoming unreachable."""

    def on_store_reachable(self) -> None:
        """React to the store being reachable again; a listing follows."""

    def on_reading_delegated(self) -> None:
        """React to other entry VMs reading the store from now on."""


class StoreFollower:
    """Keeps a listener up to date with the store.

    Parameters
    ----------
    store
        The platform's store.
    listener
        Receives the contents of the store.
    rng
        Source of the jitter.
    clock
        Source of the time of the store's responses.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        listener: StoreListener,
        rng: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._listener = listener
        self._rng = rng
        self._unreachable = False
        self._has_settled = False
        self._known_revision = store_module.ABSENT
        """Revision from which the next watch continues; `ABSENT` for none."""
        self._failure = ""
        self._applying_changes = False
        self._pause_seconds = _FIRST_PAUSE_SECONDS
        self._task = supervised_task.SupervisedTask(
            name="store-follower", function=self._run
        )
        self._clock = clock
        self.role = ReaderRole.ALONE
        self.answered_at: float | None = None
        """Time of the store's last response; None for never."""

    async def start(self) -> None:
        """Start following the store."""
        self._task.start()

    async def close(self) -> None:
        """Stop following the store."""
        await self._task.close()

    def set_role(self, role: ReaderRole) -> None:
        """Start or stop reading the store, or change how long watches wait."""
        previous, self.role = self.role, role
        if role is ReaderRole.STAND_BY:
            self._task.cancel()
            self._delegate_reading()
        elif previous is ReaderRole.STAND_BY:
            self._task.start()

    def restart_watch(self) -> None:
        """Ask for changes at once, on another connection.

        Called when peers know a newer revision: the connection of the pending
        watch may be dead without a reset.
        """
        if self.role is not ReaderRole.STAND_BY:
            self._task.cancel()
            self._task.start()

    def _delegate_reading(self) -> None:
        if self._unreachable:
            # Peers that are up to date report that the store is reachable.
            self._record_reachable()
        self._listener.on_reading_delegated()

    async def _run(self) -> None:
        # A change at which the listener raised would arrive again and again;
        # after it all keys are listed.
        self._known_revision = store_module.ABSENT
        if not self._applying_changes:
            self._known_revision = self._listener.read_revision
        while True:
            if self._known_revision != store_module.ABSENT:
                await self._catch_up()
            elif not await self._read_all_keys():
                continue
            await self._follow()

    async def _read_all_keys(self) -> bool:
        """List all keys; return whether the store answered."""
        listing = await self._store.list_prefix(_ALL_KEYS)
        if isinstance(listing, store_module.Unreachable):
            await self._pause_after(listing.detail)
            return False
        self._record_answer()
        for items in change_slices.steps(listing.items):
            self._listener.prepare_listing(items)
            await asyncio.sleep(0)
        self._listener.apply_listing(listing.items, listing.revision)
        self._applying_changes = False
        self._known_revision = listing.revision
        if not self._has_settled:
            self._has_settled = True
            await asyncio.sleep(_SETTLE_SECONDS)
        return True

    async def _catch_up(self) -> None:
        """Request changes since the known revision until a call succeeds."""
        while True:
            end = await self._watch(
                wait_seconds=_CATCH_UP_WAIT_SECONDS, max_answers=1
            )
            if end is not _WatchEnd.FAILED:
                return
            await self._pause_after(self._failure)

    async def _follow(self) -> None:
        """Apply changes until a call fails or all keys have to be listed."""
        while self._known_revision != store_module.ABSENT:
            is_alone = self.role is ReaderRole.ALONE
            wait_seconds = None if is_alone else _RELIED_ON_WATCH_SECONDS
            end = await self._watch(wait_seconds=wait_seconds)
            if end is _WatchEnd.FAILED:
                # The next call may take as long to fail, so other entry VMs
                # start reading now.
                self._listener.on_store_call_failed()
                return
            if end is _WatchEnd.BEHIND:
                # Bounds the rate of listings if the store compacts at once.
                await asyncio.sleep(_FIRST_PAUSE_SECONDS)

    async def _watch(
        self, *, wait_seconds: float | None, max_answers: int | None = None
    ) -> _WatchEnd:
        """Apply changes until the watch ends; return why it ended."""
        is_alone = self.role is ReaderRole.ALONE
        watch = self._store.watch(
            _ALL_KEYS,
            prefix=True,
            from_revision=store_module.StoreRevision(self._known_revision + 1),
            max_wait_seconds=wait_seconds,
        )
        answers = 0
        async with contextlib.aclosing(watch):
            async for message in watch:
                if isinstance(message, store_module.WatchCompacted):
                    self._known_revision = store_module.ABSENT
                    return _WatchEnd.BEHIND
                if isinstance(message, store_module.Unreachable):
                    self._failure = message.detail
                    return _WatchEnd.FAILED
                await self._apply_batch(message)
                answers += 1
                if self._known_revision == store_module.ABSENT:
                    return _WatchEnd.BEHIND
                if answers == max_answers:
                    break
                if is_alone is not (self.role is ReaderRole.ALONE):
                    # The next watch has a different longest wait.
                    break
        return _WatchEnd.ENOUGH

    async def _apply_batch(self, batch: store_module.WatchBatch) -> None:
        self._record_answer()
        for part in change_slices.batch_slices(batch):
            self._applying_changes = True
            self._listener.apply_changes(part.events, part.revision)
            self._applying_changes = False
            self._known_revision = part.revision
            # Requests are served between two slices.
            await asyncio.sleep(0)
        if _superseded_bytes(batch.events) > _MAX_SUPERSEDED_BYTES:
            self._known_revision = store_module.ABSENT
        elif batch.events:
            await asyncio.sleep(_BATCH_SECONDS)

    def _record_answer(self) -> None:
        self._record_reachable()
        self.answered_at = self._clock.monotonic()

    async def _pause_after(self, failure: str) -> None:
        self._record_unreachable(failure)
        await asyncio.sleep(self._next_pause())

    def _record_unreachable(self, detail: str) -> None:
        if self._unreachable:
            return
        self._unreachable = True
        logs.emit(
            events.LogEvent.PLATFORM_UNREACHABLE,
            level=logging.WARNING,
            detail=detail,
        )
        self._listener.on_store_unreachable()

    def _record_reachable(self) -> None:
        self._pause_seconds = _FIRST_PAUSE_SECONDS
        if not self._unreachable:
            return
        self._unreachable = False
        logs.emit(events.LogEvent.PLATFORM_REACHABLE)
        self._listener.on_store_reachable()

    def _next_pause(self) -> float:
        longest = _MAX_PAUSE_SECONDS
        if self.role is ReaderRole.SPARE:
            longest = _MAX_SPARE_PAUSE_SECONDS
        pause = self._pause_seconds
        self._pause_seconds = min(longest, 2.0 * pause)
        return pause * (0.5 + self._rng.random())


def _superseded_bytes(changes: tuple[store_module.Event, ...]) -> int:
    """Return the size of values that later changes of the same key replace."""
    sizes_by_key: dict[str, int] = {}
    superseded = 0
    for change in changes:
        superseded += sizes_by_key.get(change.key, 0)
        sizes_by_key[change.key] = len(change.value or b"")
    return superseded
