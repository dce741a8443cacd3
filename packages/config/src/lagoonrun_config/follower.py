"""Keeps the configuration in force of one daemon up to date.

The follower receives revisions from the head in the platform's store and from
peers, fetches the snapshot and checks its digest. It never changes to a lower
revision: an old head from a lagging store, or from a peer that was
disconnected, has no effect.
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
_MAX_CONCURRENT_FETCHES = 3
_MAX_REJECTED = 64
_LARGE_SNAPSHOT_BYTES = 16_384
_SNAPSHOT_ATTEMPTS = 4
_SNAPSHOT_RETRY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForce:
    """The configuration in force and its snapshot, which peers fetch."""

    configuration: model.Configuration
    snapshot: snapshot.Snapshot


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Candidate:
    """A revision that a source has announced."""

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
        Snapshots and announcements of other entry VMs.
    watchers
        Decides whether this entry VM watches the head.
    rng
        Random numbers for the jitter.
    sleep
        Sleep function, used between polls and retries.
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
        self._candidates_by_source: dict[str, _Candidate] = {}
        self._fetches_by_source: dict[str, asyncio.Task[None]] = {}
        self._rejected: set[_Candidate] = set()
        self._task: asyncio.Task[None] | None = None

    @property
    def in_force(self) -> InForce | None:
        """Return the configuration in force; None if there is none yet."""
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
        """Return a queue of the current and all later configurations.

        It holds only the newest one: a slow subscriber skips the others.
        """
        queue: asyncio.Queue[model.Configuration] = asyncio.Queue(maxsize=1)
        self._subscribers.append(queue)
        if self._in_force is not None:
            queue.put_nowait(self._in_force.configuration)
        return queue

    async def start(self) -> None:
        """Start following the head and the peers' announcements."""
        self._source.start()
        self._task = asyncio.create_task(self._receive_announcements())

    async def close(self) -> None:
        """Cancel all tasks; the configuration in force stays available."""
        await self._source.close()
        self._candidates_by_source.clear()
        tasks = [self._task, *self._fetches_by_source.values()]
        running = [task for task in tasks if task is not None]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self._task = None

    async def _receive_announcements(self) -> None:
        announcements = self._peers.announcements()
        while True:
            announcement = await announcements.get()
            self._consider(
                _Candidate(
                    source=announcement.peer,
                    revision=announcement.revision,
                    digest=announcement.digest,
                )
            )

    def _on_head(self, head: head_module.Head) -> None:
        change = head.tail[-1]
        self._consider(
            _Candidate(
                source=_PLATFORM,
                revision=change.revision,
                digest=change.digest,
            )
        )

    def _consider(self, candidate: _Candidate) -> None:
        """Fetch the announced revision if it is newer."""
        if self._contradicts(candidate):
            self._reject(candidate, "same-revision-differs")
        # Peers repeat their announcement with each heartbeat; a snapshot that
        # was rejected is not fetched from the same peer again.
        if self._is_newer(candidate) and candidate not in self._rejected:
            self._candidates_by_source[candidate.source] = candidate
            self._start_fetches()

    def _contradicts(self, candidate: _Candidate) -> bool:
        """Return whether the revision in force has another digest.

        The head is damaged, or the peer belongs to another fleet. It is
        unknown which content is right, and changing it could revert an
        accepted change, so the configuration in force is kept.
        """
        if self._in_force is None:
            return False
        current = self._in_force.configuration
        same_revision = candidate.revision == current.revision
        return same_revision and candidate.digest != current.digest

    def _is_newer(self, candidate: _Candidate) -> bool:
        if self._in_force is None:
            return candidate.revision > 0
        return candidate.revision > self._in_force.configuration.revision

    def _start_fetches(self) -> None:
        """Fetch the newest revisions from a few sources concurrently.

        A single source may freeze with its connection open; using all of them
        at once would transfer the same snapshot many times.
        """
        waiting = sorted(
            self._candidates_by_source.values(),
            key=lambda candidate: candidate.revision,
            reverse=True,
        )
        for candidate in waiting:
            if len(self._fetches_by_source) >= _MAX_CONCURRENT_FETCHES:
                return
            if candidate.source in self._fetches_by_source:
                continue
            del self._candidates_by_source[candidate.source]
            if self._is_newer(candidate):
                self._fetches_by_source[candidate.source] = asyncio.create_task(
                    self._run_fetch(candidate)
                )

    async def _run_fetch(self, candidate: _Candidate) -> None:
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_SECONDS):
                content = await self._fetch(candidate)
            if content is not None:
                await self._apply(candidate, content)
        except (TimeoutError, errors.LagoonrunError):
            # The source announces its revision again if it is still alive.
            return
        finally:
            del self._fetches_by_source[candidate.source]
            self._start_fetches()

    async def _fetch(self, candidate: _Candidate) -> bytes | None:
        if candidate.source == _PLATFORM:
            return await self._fetch_from_store(candidate)
        found = await self._peers.fetch(
            peer=types.EntryVmId(candidate.source),
            revision=candidate.revision,
            digest=candidate.digest,
        )
        return None if found is None else found.content

    async def _fetch_from_store(self, candidate: _Candidate) -> bytes | None:
        key = head_module.snapshot_key(candidate.digest)
        for _ in range(_SNAPSHOT_ATTEMPTS):
            item = await self._store.get(key)
            if isinstance(item, store_module.Item) and item.found is not None:
                return item.found.value
            # A lagging store may return the head before the snapshot.
            await self._sleep(_SNAPSHOT_RETRY_SECONDS)
        return None

    async def _apply(self, candidate: _Candidate, content: bytes) -> None:
        """Decode a snapshot and put it into force if it is valid."""
        encoded = snapshot.Snapshot(digest=candidate.digest, content=content)
        try:
            draft = await _decode(encoded, peer=candidate.source)
        except snapshot.SnapshotError as error:
            self._reject(candidate, error.detail)
            return
        # A newer one may be in force since the fetch began.
        if self._is_newer(candidate):
            self._put_into_force(candidate, draft, encoded)

    def _put_into_force(
        self,
        candidate: _Candidate,
        draft: draft_module.Draft,
        encoded: snapshot.Snapshot,
    ) -> None:
        previous = self._in_force
        self._in_force = InForce(
            configuration=draft_module.configuration_of(
                draft, revision=candidate.revision, digest=candidate.digest
            ),
            snapshot=encoded,
        )
        self._rejected.clear()
        logs.emit(
            events.LogEvent.CONFIGURATION_IN_FORCE,
            revision=candidate.revision,
            digest=candidate.digest,
            source=candidate.source,
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

    def _reject(self, candidate: _Candidate, reason: str) -> None:
        if candidate in self._rejected or len(self._rejected) >= _MAX_REJECTED:
            return
        self._rejected.add(candidate)
        logs.emit(
            events.LogEvent.CONFIGURATION_REJECTED,
            revision=candidate.revision,
            digest=candidate.digest,
            source=candidate.source,
            reason=reason,
        )


async def _decode(
    encoded: snapshot.Snapshot, *, peer: str
) -> draft_module.Draft:
    if len(encoded.content) <= _LARGE_SNAPSHOT_BYTES:
        return snapshot.decode_snapshot(encoded, peer=peer)
    # Decoding the snapshot of a large fleet takes tens of milliseconds, during
    # which the event loop would relay no answers to callers.
    return await asyncio.to_thread(snapshot.decode_snapshot, encoded, peer=peer)
