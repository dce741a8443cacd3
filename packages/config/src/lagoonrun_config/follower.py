"""Keeps the configuration that is in force in one daemon.

It learns of revisions from the platform's head and from peers, fetches the
snapshot, checks its digest, and only ever moves to a higher revision: an
old head from a lagging store, or from a peer that was cut off, changes
nothing.
"""

import asyncio
import dataclasses
import random

from lagoonrun_config import draft as draft_module
from lagoonrun_config import (
    follower_interfaces,
    head_source,
    model,
    snapshot,
)
from lagoonrun_config import head as head_module
from lagoonrun_core import errors, events, logs, types
from lagoonrun_platform import store as store_module

_PLATFORM = "platform"
_FETCH_TIMEOUT_SECONDS = 5.0
_MOST_FETCHES = 3
_MOST_REJECTED = 64
_LARGE_SNAPSHOT_BYTES = 16_384
_SNAPSHOT_ATTEMPTS = 4
_SNAPSHOT_RETRY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForce:
    """The configuration in force with its snapshot, for peers."""

    configuration: model.Configuration
    snapshot: snapshot.Snapshot


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Wanted:
    """A revision and who has it."""

    source: str
    revision: types.Revision
    digest: snapshot.Digest


class ConfigurationFollower:
    """Task that keeps the configuration in force up to date.

    Parameters
    ----------
    store
        The platform's key-value service.
    peers
        What other entry VMs have in force.
    watchers
        Says whether this entry VM watches the head.
    rng
        Source of the jitter.
    sleep
        Waits between polls and retries.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        peers: follower_interfaces.PeerSnapshots,
        watchers: follower_interfaces.WatcherChoice,
        rng: random.Random,
        sleep: follower_interfaces.Sleep = asyncio.sleep,
    ) -> None:
        self._store = store
        self._peers = peers
        self._sleep = sleep
        self._source = head_source.HeadSource(
            store=store,
            watchers=watchers,
            on_head=self._on_head,
            sleep=sleep,
            rng=rng,
        )
        self._in_force: InForce | None = None
        self._subscribers: list[asyncio.Queue[model.Configuration]] = []
        self._wanted_by_source: dict[str, _Wanted] = {}
        self._fetches_by_source: dict[str, asyncio.Task[None]] = {}
        self._rejected: set[_Wanted] = set()
        self._task: asyncio.Task[None] | None = None

    @property
    def in_force(self) -> InForce | None:
        """Return what is in force; None while there is nothing to serve."""
        return self._in_force

    @property
    def ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self._in_force is not None

    @property
    def platform_reachable(self) -> bool:
        """Return whether the platform answered the last call."""
        return self._source.reachable

    def subscribe(self) -> asyncio.Queue[model.Configuration]:
        """Return a queue with the configuration now and each later one.

        It holds the newest only: a subscriber that was busy skips those
        that came and went meanwhile.
        """
        queue: asyncio.Queue[model.Configuration] = asyncio.Queue(maxsize=1)
        self._subscribers.append(queue)
        if self._in_force is not None:
            queue.put_nowait(self._in_force.configuration)
        return queue

    async def start(self) -> None:
        """Begin to follow."""
        self._source.start()
        self._task = asyncio.create_task(self._hear_peers())

    async def close(self) -> None:
        """End all tasks; what is in force stays readable."""
        await self._source.close()
        self._wanted_by_source.clear()
        tasks = [self._task, *self._fetches_by_source.values()]
        running = [task for task in tasks if task is not None]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self._task = None

    async def _hear_peers(self) -> None:
        announced = self._peers.announcements()
        while True:
            announcement = await announced.get()
            self._want(
                _Wanted(
                    source=announcement.peer,
                    revision=announcement.revision,
                    digest=announcement.digest,
                )
            )

    def _on_head(self, head: head_module.Head) -> None:
        change = head.tail[-1]
        self._want(
            _Wanted(
                source=_PLATFORM,
                revision=change.revision,
                digest=change.digest,
            )
        )

    def _want(self, wanted: _Wanted) -> None:
        """Remember what a source has, if it is newer, and fetch."""
        if self._contradicts(wanted):
            self._reject(wanted, "same-revision-differs")
        # Peers repeat themselves with each heartbeat; what can't be read
        # from one of them is not fetched from it again and again.
        if self._is_newer(wanted) and wanted not in self._rejected:
            self._wanted_by_source[wanted.source] = wanted
            self._start_fetches()

    def _contradicts(self, wanted: _Wanted) -> bool:
        """Return whether two contents have the revision in force.

        The head is damaged, or a peer is of another fleet. Which one is
        right can't be told here, and a switch could revert an accepted
        change, so what is in force stays.
        """
        if self._in_force is None:
            return False
        current = self._in_force.configuration
        same_revision = wanted.revision == current.revision
        return same_revision and wanted.digest != current.digest

    def _is_newer(self, wanted: _Wanted) -> bool:
        if self._in_force is None:
            return wanted.revision > 0
        return wanted.revision > self._in_force.configuration.revision

    def _start_fetches(self) -> None:
        """Fetch the newest, from a few sources at once.

        One source alone would do until it freezes with the connection open;
        all at once would send the same snapshot many times.
        """
        waiting = sorted(
            self._wanted_by_source.values(),
            key=lambda wanted: wanted.revision,
            reverse=True,
        )
        for wanted in waiting:
            if len(self._fetches_by_source) >= _MOST_FETCHES:
                return
            if wanted.source in self._fetches_by_source:
                continue
            del self._wanted_by_source[wanted.source]
            if self._is_newer(wanted):
                self._fetches_by_source[wanted.source] = asyncio.create_task(
                    self._run_fetch(wanted)
                )

    async def _run_fetch(self, wanted: _Wanted) -> None:
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_SECONDS):
                content = await self._fetch(wanted)
            if content is not None:
                await self._take(wanted, content)
        except (TimeoutError, errors.LagoonrunError):
            # The source announces itself again if it still lives.
            return
        finally:
            del self._fetches_by_source[wanted.source]
            self._start_fetches()

    async def _fetch(self, wanted: _Wanted) -> bytes | None:
        if wanted.source == _PLATFORM:
            return await self._fetch_from_store(wanted)
        found = await self._peers.fetch(
            peer=types.EntryVmId(wanted.source),
            revision=wanted.revision,
            digest=wanted.digest,
        )
        return None if found is None else found.content

    async def _fetch_from_store(self, wanted: _Wanted) -> bytes | None:
        key = head_module.snapshot_key(wanted.digest)
        for _ in range(_SNAPSHOT_ATTEMPTS):
            item = await self._store.get(key)
            if isinstance(item, store_module.Item) and item.found is not None:
                return item.found.value
            # A lagging store may show the head before the snapshot.
            await self._sleep(_SNAPSHOT_RETRY_SECONDS)
        return None

    async def _take(self, wanted: _Wanted, content: bytes) -> None:
        """Decode a snapshot and put it into force."""
        encoded = snapshot.Snapshot(digest=wanted.digest, content=content)
        try:
            draft = await _decode(encoded, peer=wanted.source)
        except snapshot.SnapshotError as error:
            self._reject(wanted, error.detail)
            return
        # A newer one may have come while this one was fetched and decoded.
        if self._is_newer(wanted):
            self._put_into_force(wanted, draft, encoded)

    def _put_into_force(
        self,
        wanted: _Wanted,
        draft: draft_module.Draft,
        encoded: snapshot.Snapshot,
    ) -> None:
        previous = self._in_force
        self._in_force = InForce(
            configuration=draft_module.configuration_of(
                draft, revision=wanted.revision, digest=wanted.digest
            ),
            snapshot=encoded,
        )
        self._rejected.clear()
        logs.emit(
            events.LogEvent.CONFIGURATION_IN_FORCE,
            revision=wanted.revision,
            digest=wanted.digest,
            source=wanted.source,
            previous=previous.configuration.revision if previous else 0,
        )
        self._publish(self._in_force.configuration)

    def _publish(self, configuration: model.Configuration) -> None:
        self._peers.announce(
            revision=configuration.revision,
            digest=snapshot.Digest(configuration.digest),
        )
        for queue in self._subscribers:
            if queue.full():
                queue.get_nowait()
            queue.put_nowait(configuration)

    def _reject(self, wanted: _Wanted, reason: str) -> None:
        if wanted in self._rejected or len(self._rejected) >= _MOST_REJECTED:
            return
        self._rejected.add(wanted)
        logs.emit(
            events.LogEvent.CONFIGURATION_REJECTED,
            revision=wanted.revision,
            digest=wanted.digest,
            source=wanted.source,
            reason=reason,
        )


async def _decode(
    encoded: snapshot.Snapshot, *, peer: str
) -> draft_module.Draft:
    if len(encoded.content) <= _LARGE_SNAPSHOT_BYTES:
        return snapshot.decode_snapshot(encoded, peer=peer)
    # A large fleet's takes tens of milliseconds, during which the loop would
    # relay nothing to any caller.
    return await asyncio.to_thread(snapshot.decode_snapshot, encoded, peer=peer)
