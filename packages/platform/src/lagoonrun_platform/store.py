"""The platform's key-value service as a `Protocol` with tagged outcomes.

A write has four ends, and they are told apart because callers act
differently on each: `Committed`, `Rejected` (a comparison did not hold),
`Unreachable` (certainly not applied) and `Unknown` (sent, reply lost: it may
or may not have been applied, and only a read tells).
"""

import dataclasses
from collections.abc import AsyncIterator, Sequence
from typing import NewType, Protocol

StoreRevision = NewType("StoreRevision", int)
"""Number of a write of the whole store; grows with each."""

ABSENT = StoreRevision(0)
"""Modification revision of a key that does not exist."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseId:
    """Which lease of the store; leases have no order.

    Parameters
    ----------
    number
        What the store calls it: any whole number above 0.
    era
        Era of the store that granted it, since a store that was restored gives
        its numbers out again; 0 where it tells none.
    """

    number: int
    era: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyValue:
    """One key as it was read.

    Parameters
    ----------
    modified
        Store revision of the key's last write.
    created
        Store revision of the write that created the key.
    lease
        Lease with which the key goes away, if any.
    """

    key: str
    value: bytes
    modified: StoreRevision
    created: StoreRevision
    lease: LeaseId | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Comparison:
    """Holds when `key` was last written at `modified`.

    `ABSENT` holds for a key that does not exist.
    """

    key: str
    modified: StoreRevision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Put:
    """Write of one key."""

    key: str
    value: bytes
    lease: LeaseId | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unreachable:
    """The store was not reached; a write was certainly not applied."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """A write was sent and its reply lost; it may have been applied."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Item:
    """Result of reading one key.

    Parameters
    ----------
    found
        The key, or None when it does not exist.
    revision
        Store revision of the answer.
    """

    found: KeyValue | None
    revision: StoreRevision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listing:
    """Result of listing a prefix, in the order of the keys."""

    items: tuple[KeyValue, ...]
    revision: StoreRevision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Committed:
    """All comparisons held and all writes were applied."""

    revision: StoreRevision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """A comparison did not hold and nothing was written.

    Parameters
    ----------
    items
        The compared keys as they are; absent ones are left out.
    """

    items: tuple[KeyValue, ...]
    revision: StoreRevision

    def item(self, key: str) -> KeyValue | None:
        """Return the compared key as it is, or None when it is absent."""
        for item in self.items:
            if item.key == key:
                return item
        return None


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseGranted:
    """A lease that the store holds for `ttl_seconds` from its grant on.

    The holder counts from before it sent the request, so that its own view
    never outlasts the store's.
    """

    lease: LeaseId
    ttl_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseLost:
    """The store does not know the lease (any more)."""

    lease: LeaseId


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseRevoked:
    """The lease is over and its keys are gone."""

    lease: LeaseId


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """One change of a watched key; `value` is None for a deletion."""

    key: str
    value: bytes | None
    modified: StoreRevision


@dataclasses.dataclass(frozen=True, kw_only=True)
class WatchBatch:
    """Changes of one store revision or several, in order.

    An empty batch says that the watch is established.
    """

    events: tuple[Event, ...]
    revision: StoreRevision


@dataclasses.dataclass(frozen=True, kw_only=True)
class WatchCompacted:
    """The wanted revision is no longer kept: read, then watch from there."""

    oldest: StoreRevision


TransactionResult = Committed | Rejected | Unknown | Unreachable
LeaseResult = LeaseGranted | LeaseLost | Unknown | Unreachable
RevokeResult = LeaseRevoked | LeaseLost | Unknown | Unreachable
WatchMessage = WatchBatch | WatchCompacted | Unreachable


class KeyValueStore(Protocol):
    """Key-value service with compare-and-swap, leases and watches.

    No method raises for a fault of the store or the network; cancelling a
    call leaves a write in the state that `Unknown` describes.
    """

    async def get(self, key: str) -> Item | Unreachable:
        """Read one key. A lagging store may answer with an old value."""

    async def list_prefix(
        self, prefix: str, *, keys_only: bool = False
    ) -> Listing | Unreachable:
        """Read all keys that begin with `prefix`; values on request only."""

    async def transact(
        self,
        *,
        comparisons: Sequence[Comparison],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> TransactionResult:
        """Apply all writes if all comparisons hold, else none.

        The comparison and the items of `Rejected` are never old values, so a
        transaction without writes is also the read to settle doubts with.
        """

    async def grant_lease(self, *, ttl_seconds: float) -> LeaseResult:
        """Ask for a lease; the store may grant another duration."""

    async def keep_lease(self, lease: LeaseId) -> LeaseResult:
        """Renew a lease once: `LeaseGranted` with the time from now on."""

    async def revoke_lease(self, lease: LeaseId) -> RevokeResult:
        """End a lease and delete its keys."""

    def watch(
        self,
        key: str,
        *,
        prefix: bool = False,
        from_revision: StoreRevision = ABSENT,
        max_wait_seconds: float | None = None,
    ) -> AsyncIterator[WatchMessage]:
        """Yield changes from `from_revision` on (`ABSENT`: from now on).

        Where a watch is a series of calls, each waits for a change for at
        most `max_wait_seconds` (None: as long as the store's client sees
        fit); an empty batch then says that the store still answers.

        The iterator ends after `Unreachable` or `WatchCompacted`; the caller
        decides when to watch again. Close it with `aclose`.
        """
