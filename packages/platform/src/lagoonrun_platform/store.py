"""The platform's key-value store as a `Protocol` with tagged results.

A write has four possible results, which are distinguished because callers act
differently on each: `Committed`, `Rejected` (a comparison was false),
`Unreachable` (certainly not applied) and `Unknown` (sent, but the reply was
lost: it may or may not have been applied, and only a read tells).
"""

import dataclasses
from collections.abc import AsyncIterator, Sequence
from typing import NewType, Protocol

StoreRevision = NewType("StoreRevision", int)
"""Number of a write, counted over the whole store; increases with each
write."""

ABSENT = StoreRevision(0)
"""Modification revision of a key that does not exist."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseId:
    """Identifier of a lease of the store; leases have no order.

    Parameters
    ----------
    number
        The store's number of the lease: any integer above 0.
    era
        Era of the store that granted it, since a restored store assigns its
        numbers again; 0 if the store reports no eras.
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
        Lease whose end deletes the key, if any.
    """

    key: str
    value: bytes
    modified: StoreRevision
    created: StoreRevision
    lease: LeaseId | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Comparison:
    """True if `key` was last written at `modified`.

    `ABSENT` is true for a key that does not exist.
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
    """A write was sent and its reply was lost; it may have been applied."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Item:
    """Result of reading one key.

    Parameters
    ----------
    found
        The key, or None if it does not exist.
    revision
        Store revision of the response.
    """

    found: KeyValue | None
    revision: StoreRevision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listing:
    """Result of listing a prefix, ordered by key."""

    items: tuple[KeyValue, ...]
    revision: StoreRevision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Committed:
    """All comparisons were true and all writes were applied."""

    revision: StoreRevision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """A comparison was false and nothing was written.

    Parameters
    ----------
    items
        The current state of the compared keys, without absent ones.
    """

    items: tuple[KeyValue, ...]
    revision: StoreRevision

    def item(self, key: str) -> KeyValue | None:
        """Return the current state of a compared key, or None if absent."""
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
    """The store does not have the lease, or no longer has it."""

    lease: LeaseId


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseRevoked:
    """The lease has ended and its keys are deleted."""

    lease: LeaseId


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """One change of a watched key; `value` is None for a deletion."""

    key: str
    value: bytes | None
    modified: StoreRevision


@dataclasses.dataclass(frozen=True, kw_only=True)
class WatchBatch:
    """Changes of one or several store revisions, in order.

    An empty batch means that the watch is established.
    """

    events: tuple[Event, ...]
    revision: StoreRevision


@dataclasses.dataclass(frozen=True, kw_only=True)
class WatchCompacted:
    """The requested revision is no longer kept: read, then watch from there."""

    oldest: StoreRevision


TransactionResult = Committed | Rejected | Unknown | Unreachable
LeaseResult = LeaseGranted | LeaseLost | Unknown | Unreachable
RevokeResult = LeaseRevoked | LeaseLost | Unknown | Unreachable
WatchMessage = WatchBatch | WatchCompacted | Unreachable


class ValueLimit(Protocol):
    """Tells how long the value of a key may be for its readers."""

    def __call__(self, key: str) -> int:
        """Return the longest value that is read, in bytes.

        A longer one is read as an empty value: anybody may have written it, and
        it must not displace the others.
        """


class KeyValueStore(Protocol):
    """Key-value store with compare-and-swap, leases and watches.

    No method raises an exception for a fault of the store or the network.
    Cancelling a write leaves it in the state that `Unknown` describes.
    """

    async def get(self, key: str) -> Item | Unreachable:
        """Read one key. A lagging store may return an old value."""

    async def list_prefix(
        self, prefix: str, *, keys_only: bool = False
    ) -> Listing | Unreachable:
        """Read all keys that start with `prefix`, with or without values."""

    async def transact(
        self,
        *,
        comparisons: Sequence[Comparison],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> TransactionResult:
        """Apply all writes if all comparisons are true, otherwise none.

        The comparison and the items of `Rejected` are never based on old
        values, so a transaction without writes is also a linearizable read.
        """

    async def grant_lease(self, *, ttl_seconds: float) -> LeaseResult:
        """Request a lease; the store may grant another duration."""

    async def renew_lease(self, lease: LeaseId) -> LeaseResult:
        """Renew a lease once; `LeaseGranted` has the time from now on."""

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

        If a watch is a series of calls, each waits at most `max_wait_seconds`
        for a change (None: as long as the store's client chooses); an empty
        batch then means that the store still answers.

        The iterator ends after `Unreachable` or `WatchCompacted`; the caller
        decides when to watch again. Close it with `aclose`.
        """
