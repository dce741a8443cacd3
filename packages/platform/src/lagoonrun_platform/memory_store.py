"""In-memory store and VM list for tests, with fault injection."""

import asyncio
import collections
import dataclasses
from collections.abc import AsyncIterator, Sequence
from typing import TypeVar

from lagoonrun_core import clock as clock_module
from lagoonrun_platform import store, vm_list

_R = TypeVar("_R")


class MemoryStore:
    """Fake of `KeyValueStore` that follows the same rules as the real store.

    Faults are plain attributes that tests set and unset.

    Parameters
    ----------
    clock
        Time of the leases; they expire when a call finds them expired.
    first_revision, first_lease
        Numbers at the start; they increase by one.

    Attributes
    ----------
    reachable
        If False, every call returns `Unreachable` and watches break.
    lost_replies
        Number of coming writes that are applied and return `Unknown`.
    lost_requests
        Number of coming writes that return `Unknown` and are not applied.
    stale_revision
        If set, reads and new watches show the store as of this revision.
    gate
        If set, each call waits for this event before it takes effect.
    reply_gate
        If set, each write waits for this event after it took effect.
    calls_by_kind
        Number of calls by kind; a watch counts as one.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock | None = None,
        first_revision: int = 1,
        first_lease: int = 1,
    ) -> None:
        self._clock = clock or clock_module.SystemClock()
        self.reachable = True
        self.lost_replies = 0
        self.lost_requests = 0
        self.stale_revision: store.StoreRevision | None = None
        self.gate: asyncio.Event | None = None
        self.reply_gate: asyncio.Event | None = None
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self._revision = store.StoreRevision(first_revision)
        self._items: dict[str, store.KeyValue] = {}
        self._history: list[_Past] = [_Past(revision=self._revision, items={})]
        self._events: list[store.Event] = []
        self._leases: dict[store.LeaseId, _Lease] = {}
        self._first_lease = first_lease
        self._next_lease = first_lease
        # A dict keeps their order, so that tests with several watches are
        # repeatable.
        self._watchers: dict[_Watcher, None] = {}

    @property
    def revision(self) -> store.StoreRevision:
        """Revision of the last write."""
        return self._revision

    def break_watches(self) -> None:
        """End every watch as if its connection had been lost."""
        for watcher in list(self._watchers):
            watcher.put(store.Unreachable(detail="watch broken"))

    def stop(self) -> None:
        """Begin an outage: calls fail and watches break."""
        self.reachable = False
        self.break_watches()

    def resume(self) -> None:
        """End an outage."""
        self.reachable = True

    def restore(self, revision: store.StoreRevision) -> None:
        """Restore the store from a backup that was made at `revision`.

        Later writes and leases are lost, and their revisions and lease numbers
        are assigned again. Watches break.
        """
        self.break_watches()
        self._history = [
            snapshot
            for snapshot in self._history
            if snapshot.revision <= revision
        ]
        snapshot = self._history[-1]
        self._revision = snapshot.revision
        self._items = dict(snapshot.items)
        self._events = [one for one in self._events if one.modified <= revision]
        now = self._clock.monotonic()
        self._leases = {
            lease: _Lease(ttl_seconds=ttl, expires=now + ttl)
            for lease, ttl in snapshot.ttl_by_lease.items()
        }
        self._next_lease = max(
            (lease.number + 1 for lease in self._leases),
            default=self._first_lease,
        )

    async def get(self, key: str) -> store.Item | store.Unreachable:
        """Read one key; see `KeyValueStore`."""
        if fault := await self._begin_call("get"):
            return fault
        snapshot = self._visible_snapshot()
        return store.Item(
            found=snapshot.items.get(key), revision=snapshot.revision
        )

    async def list_prefix(
        self, prefix: str, *, keys_only: bool = False
    ) -> store.Listing | store.Unreachable:
        """Read a prefix; see `KeyValueStore`."""
        if fault := await self._begin_call("list"):
            return fault
        snapshot = self._visible_snapshot()
        items = tuple(
            dataclasses.replace(snapshot.items[key], value=b"")
            if keys_only
            else snapshot.items[key]
            for key in sorted(snapshot.items)
            if key.startswith(prefix)
        )
        return store.Listing(items=items, revision=snapshot.revision)

    async def transact(
        self,
        *,
        comparisons: Sequence[store.Comparison],
        puts: Sequence[store.Put] = (),
        deletes: Sequence[str] = (),
    ) -> store.TransactionResult:
        """Compare and write; see `KeyValueStore`."""
        if fault := await self._begin_call("transact"):
            return fault
        if self._pop_lost_request():
            return store.Unknown(detail="request lost")
        result = self._apply(comparisons, puts, deletes)
        return await self._reply(result)

    async def grant_lease(self, *, ttl_seconds: float) -> store.LeaseResult:
        """Grant a lease; see `KeyValueStore`."""
        if fault := await self._begin_call("lease"):
            return fault
        if self._pop_lost_request():
            return store.Unknown(detail="request lost")
        lease = store.LeaseId(number=self._next_lease)
        self._next_lease += 1
        self._leases[lease] = _Lease(
            ttl_seconds=ttl_seconds,
            expires=self._clock.monotonic() + ttl_seconds,
        )
        return await self._reply(
            store.LeaseGranted(lease=lease, ttl_seconds=ttl_seconds)
        )

    async def renew_lease(self, lease: store.LeaseId) -> store.LeaseResult:
        """Renew a lease; see `KeyValueStore`."""
        if fault := await self._begin_call("lease"):
            return fault
        if self._pop_lost_request():
            return store.Unknown(detail="request lost")
        held = self._leases.get(lease)
        if held is None:
            return store.LeaseLost(lease=lease)
        held.expires = self._clock.monotonic() + held.ttl_seconds
        return await self._reply(
            store.LeaseGranted(lease=lease, ttl_seconds=held.ttl_seconds)
        )

    async def revoke_lease(self, lease: store.LeaseId) -> store.RevokeResult:
        """Revoke a lease; see `KeyValueStore`."""
        if fault := await self._begin_call("lease"):
            return fault
        if self._pop_lost_request():
            return store.Unknown(detail="request lost")
        if lease not in self._leases:
            return store.LeaseLost(lease=lease)
        self._end_lease(lease)
        return await self._reply(store.LeaseRevoked(lease=lease))

    async def watch(
        self,
        key: str,
        *,
        prefix: bool = False,
        from_revision: store.StoreRevision = store.ABSENT,
        max_wait_seconds: float | None = None,
    ) -> AsyncIterator[store.WatchMessage]:
        """Yield changes; see `KeyValueStore`."""
        del max_wait_seconds
        if fault := await self._begin_call("watch"):
            yield fault
            return
        watcher = _Watcher(key=key, prefix=prefix)
        self._watchers[watcher] = None
        try:
            replayed = () if from_revision == store.ABSENT else self._events
            missed_events = tuple(
                event
                for event in replayed
                if event.modified >= from_revision and watcher.matches(event)
            )
            yield store.WatchBatch(
                events=missed_events, revision=self._revision
            )
            while True:
                message = await watcher.messages.get()
                yield message
                if isinstance(message, store.Unreachable):
                    return
        finally:
            self._watchers.pop(watcher, None)

    async def _begin_call(self, kind: str) -> store.Unreachable | None:
        self.calls_by_kind[kind] += 1
        if self.gate is not None:
            await self.gate.wait()
        if not self.reachable:
            return store.Unreachable(detail="outage")
        self._expire_leases()
        return None

    def _visible_snapshot(self) -> "_Past":
        if self.stale_revision is None:
            return self._history[-1]
        for snapshot in reversed(self._history):
            if snapshot.revision <= self.stale_revision:
                return snapshot
        return self._history[0]

    def _pop_lost_request(self) -> bool:
        if self.lost_requests <= 0:
            return False
        self.lost_requests -= 1
        return True

    async def _reply(self, result: _R) -> _R | store.Unknown:
        if self.reply_gate is not None:
            await self.reply_gate.wait()
        if self.lost_replies > 0 or not self.reachable:
            self.lost_replies = max(0, self.lost_replies - 1)
            return store.Unknown(detail="reply lost")
        return result

    def _apply(
        self,
        comparisons: Sequence[store.Comparison],
        puts: Sequence[store.Put],
        deletes: Sequence[str],
    ) -> store.Committed | store.Rejected:
        if not all(self._is_true(one) for one in comparisons):
            found = [self._items.get(one.key) for one in comparisons]
            items = tuple(item for item in found if item is not None)
            return store.Rejected(items=items, revision=self._revision)
        if not puts and not deletes:
            return store.Committed(revision=self._revision)
        lost = [p for p in puts if p.lease and p.lease not in self._leases]
        if lost:
            return store.Rejected(items=(), revision=self._revision)
        self._write(puts, deletes)
        return store.Committed(revision=self._revision)

    def _is_true(self, comparison: store.Comparison) -> bool:
        item = self._items.get(comparison.key)
        modified = store.ABSENT if item is None else item.modified
        return modified == comparison.modified

    def _write(self, puts: Sequence[store.Put], deletes: Sequence[str]) -> None:
        self._revision = store.StoreRevision(self._revision + 1)
        events = []
        for put in puts:
            old = self._items.get(put.key)
            self._items[put.key] = store.KeyValue(
                key=put.key,
                value=put.value,
                modified=self._revision,
                created=old.created if old else self._revision,
                lease=put.lease,
            )
            events.append((put.key, put.value))
        for key in deletes:
            if self._items.pop(key, None) is not None:
                events.append((key, None))
        self._publish(events)

    def _publish(self, changes: list[tuple[str, bytes | None]]) -> None:
        self._history.append(
            _Past(
                revision=self._revision,
                items=dict(self._items),
                ttl_by_lease={
                    lease: held.ttl_seconds
                    for lease, held in self._leases.items()
                },
            )
        )
        events = [
            store.Event(key=key, value=value, modified=self._revision)
            for key, value in changes
        ]
        self._events.extend(events)
        for watcher in self._watchers:
            matching = tuple(one for one in events if watcher.matches(one))
            if matching:
                watcher.put(
                    store.WatchBatch(events=matching, revision=self._revision)
                )

    def _expire_leases(self) -> None:
        now = self._clock.monotonic()
        for lease, held in list(self._leases.items()):
            if held.expires <= now:
                self._end_lease(lease)

    def _end_lease(self, lease: store.LeaseId) -> None:
        del self._leases[lease]
        keys = [k for k, item in self._items.items() if item.lease == lease]
        if keys:
            self._write((), keys)


class MemoryVmList:
    """Fake of `VmList`; tests set `vms_by_id` and `reachable`."""

    def __init__(self) -> None:
        self.vms_by_id: dict[str, vm_list.Vm] = {}
        self.reachable = True

    async def list_vms(self) -> vm_list.VmListing | store.Unreachable:
        """Return the list; see `VmList`."""
        if not self.reachable:
            return store.Unreachable(detail="outage")
        return vm_list.VmListing(vms_by_id=dict(self.vms_by_id))


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Past:
    """The store's keys and leases at one revision."""

    revision: store.StoreRevision
    items: dict[str, store.KeyValue]
    ttl_by_lease: dict[store.LeaseId, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(kw_only=True)
class _Lease:
    ttl_seconds: float
    expires: float


class _Watcher:
    """One watch: which events it matches, and its queued messages."""

    def __init__(self, *, key: str, prefix: bool) -> None:
        self._key = key
        self._prefix = prefix
        self.messages: asyncio.Queue[store.WatchMessage] = asyncio.Queue()

    def matches(self, event: store.Event) -> bool:
        if self._prefix:
            return event.key.startswith(self._key)
        return event.key == self._key

    def put(self, message: store.WatchMessage) -> None:
        self.messages.put_nowait(message)
