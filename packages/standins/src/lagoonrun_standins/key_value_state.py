"""Revisioned key-value state with leases, like that of etcd v3; no I/O."""

import bisect
import dataclasses
import enum
import math
from collections.abc import Callable, Sequence

from lagoonrun_core import clock as clock_lib

MAXIMUM_VALUE_BYTES = 1_000_000
_FIRST_REVISION = 1
_FROM_KEY = b"\0"


class StateError(Exception):
    """A call that the service rejects."""


class LeaseNotFoundError(StateError):
    """The lease does not exist or has expired."""


class CompactedError(StateError):
    """The requested revision was compacted."""


class ValueTooLargeError(StateError):
    """The value exceeds the size limit of the service."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyValue:
    """One version of a key; `version` 0 denotes a deletion."""

    key: bytes
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int
    version: int = 0
    lease: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A put or a deletion, with the previous version of the key."""

    present: KeyValue
    previous: KeyValue | None

    @property
    def is_deletion(self) -> bool:
        """Whether the key was deleted."""
        return self.present.version == 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyRange:
    """One key, or those from `key` up to but not including `end`.

    If `end` is a single zero byte, the range has no upper bound.
    """

    key: bytes
    end: bytes = b""

    def contains(self, key: bytes) -> bool:
        """Return whether `key` is in the range."""
        if not self.end:
            return key == self.key
        return key >= self.key and (self.end == _FROM_KEY or key < self.end)


class Target(enum.Enum):
    """Field of a key to compare."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    LEASE = "LEASE"


class Relation(enum.Enum):
    """Required relation of the field to the operand."""

    EQUAL = "EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"
    NOT_EQUAL = "NOT_EQUAL"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Comparison:
    """A condition of a transaction, to be met by every key of a range."""

    keys: KeyRange
    target: Target
    relation: Relation
    operand: int | bytes


@dataclasses.dataclass(kw_only=True)
class Lease:
    """A lease, its expiry time by the clock and the keys attached to it."""

    id: int
    ttl_seconds: int
    expires_at: float
    keys: set[bytes] = dataclasses.field(default_factory=set)


class KeyValueState:
    """Current keys, the changes since the last compaction, and leases.

    All methods are synchronous, so each is atomic within an event loop.

    Parameters
    ----------
    clock
        Determines when leases expire.

    Attributes
    ----------
    on_change
        Called once for each revision, with all changes of that revision.
    """

    def __init__(self, *, clock: clock_lib.Clock) -> None:
        self.on_change: Callable[[Sequence[Change]], None] | None = None
        self.revision = _FIRST_REVISION
        self.compact_revision = 0
        self.lease_by_id: dict[int, Lease] = {}
        self._clock = clock
        self._current_by_key: dict[bytes, KeyValue] = {}
        self._history: list[Change] = []
        self._pending: list[Change] = []
        self._next_lease = 1

    def get(self, keys: KeyRange, *, revision: int = 0) -> list[KeyValue]:
        """Return the keys in range, sorted; `revision` 0 is the current one."""
        if revision in (0, self.revision):
            current = self._current_by_key
        else:
            current = self._at(revision)
        if not keys.end:
            found = current.get(keys.key)
            return [found] if found else []
        return [current[key] for key in sorted(current) if keys.contains(key)]

    def put(self, key: bytes, value: bytes, *, lease: int = 0) -> None:
        """Set `key` in the pending revision, which `commit` completes."""
        self.check_put(value, lease=lease)
        previous = self._current_by_key.get(key)
        revision = self.revision + 1
        if previous and previous.lease in self.lease_by_id:
            self.lease_by_id[previous.lease].keys.discard(key)
        if lease:
            self.lease_by_id[lease].keys.add(key)
        present = KeyValue(
            key=key,
            value=value,
            create_revision=previous.create_revision if previous else revision,
            mod_revision=revision,
            version=previous.version + 1 if previous else 1,
            lease=lease,
        )
        self._current_by_key[key] = present
        self._pending.append(Change(present=present, previous=previous))

    def check_put(self, value: bytes, *, lease: int = 0) -> None:
        """Raise the error that `put` would raise."""
        if len(value) > MAXIMUM_VALUE_BYTES:
            raise ValueTooLargeError(
                f"value of {len(value)} bytes; valid: at most"
                f" {MAXIMUM_VALUE_BYTES}"
            )
        if lease and lease not in self.lease_by_id:
            raise LeaseNotFoundError(f"lease {lease} not found")

    def delete(self, keys: KeyRange) -> list[KeyValue]:
        """Delete in the pending revision; return what was deleted."""
        deleted = self.get(keys)
        for previous in deleted:
            del self._current_by_key[previous.key]
            if previous.lease in self.lease_by_id:
                self.lease_by_id[previous.lease].keys.discard(previous.key)
            present = KeyValue(key=previous.key, mod_revision=self.revision + 1)
            self._pending.append(Change(present=present, previous=previous))
        return deleted

    def commit(self) -> bool:
        """Complete the pending revision; return whether anything changed."""
        if not self._pending:
            return False
        self.revision += 1
        changes, self._pending = self._pending, []
        self._history.extend(changes)
        if self.on_change:
            self.on_change(changes)
        return True

    def satisfies(self, comparison: Comparison) -> bool:
        """Return whether every key of a condition's range meets it."""
        found = self.get(comparison.keys)
        if not found and not comparison.keys.end:
            if comparison.target is Target.VALUE:
                return False
            found = [KeyValue(key=comparison.keys.key, mod_revision=0)]
        return all(_is_met(comparison, key_value) for key_value in found)

    def changes_from(self, revision: int) -> list[Change]:
        """Return the changes of `revision` and later ones.

        Raises
        ------
        CompactedError
            If some of them were compacted.
        """
        if revision <= self.compact_revision:
            raise CompactedError(
                f"revision {revision} was compacted; valid: above"
                f" {self.compact_revision}"
            )
        first = bisect.bisect_left(
            self._history, revision, key=lambda c: c.present.mod_revision
        )
        return self._history[first:]

    def compact(self, revision: int) -> None:
        """Discard the changes up to `revision`.

        Raises
        ------
        CompactedError
            If it was compacted already or is in the future.
        """
        if not self.compact_revision < revision <= self.revision:
            raise CompactedError(
                f"cannot compact to {revision}; valid: above"
                f" {self.compact_revision}, at most {self.revision}"
            )
        self._history = self.changes_from(revision + 1)
        self.compact_revision = revision

    def grant(self, ttl_seconds: int, *, lease_id: int = 0) -> Lease:
        """Grant a lease; with `lease_id` 0 the service chooses the id.

        Raises
        ------
        StateError
            If the id is in use or the time to live is not positive.
        """
        if ttl_seconds < 1:
            raise StateError(f"TTL of {ttl_seconds} s; valid: at least 1")
        if lease_id in self.lease_by_id:
            raise StateError(f"lease {lease_id} already exists")
        if not lease_id:
            while self._next_lease in self.lease_by_id:
                self._next_lease += 1
            lease_id = self._next_lease
            self._next_lease += 1
        lease = Lease(
            id=lease_id,
            ttl_seconds=ttl_seconds,
            expires_at=self._clock.monotonic() + ttl_seconds,
        )
        self.lease_by_id[lease_id] = lease
        return lease

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease; return its time to live, 0 if it does not exist."""
        lease = self.lease_by_id.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = self._clock.monotonic() + lease.ttl_seconds
        return lease.ttl_seconds

    def remaining_seconds(self, lease: Lease) -> int:
        """Return the seconds until a lease expires, rounded up."""
        return max(0, math.ceil(lease.expires_at - self._clock.monotonic()))

    def revoke(self, lease_id: int) -> None:
        """Remove a lease and delete its keys, in one revision.

        Raises
        ------
        LeaseNotFoundError
            If the lease does not exist.
        """
        lease = self.lease_by_id.get(lease_id)
        if lease is None:
            raise LeaseNotFoundError(f"lease {lease_id} not found")
        for key in sorted(lease.keys):
            self.delete(KeyRange(key=key))
        del self.lease_by_id[lease_id]
        self.commit()

    def expire(self) -> None:
        """Revoke the leases that have expired."""
        now = self._clock.monotonic()
        expired = [
            lease.id
            for lease in self.lease_by_id.values()
            if lease.expires_at <= now
        ]
        for lease_id in expired:
            self.revoke(lease_id)

    def _at(self, revision: int) -> dict[bytes, KeyValue]:
        if revision > self.revision:
            raise StateError(
                f"revision {revision} is in the future; valid: at most"
                f" {self.revision}"
            )
        if revision < self.compact_revision:
            raise CompactedError(f"revision {revision} was compacted")
        current = dict(self._current_by_key)
        for change in reversed(self.changes_from(revision + 1)):
            if change.previous is None:
                current.pop(change.present.key, None)
            else:
                current[change.present.key] = change.previous
        return current


def _is_met(comparison: Comparison, key_value: KeyValue) -> bool:
    actual: int | bytes = {
        Target.VERSION: key_value.version,
        Target.CREATE: key_value.create_revision,
        Target.MOD: key_value.mod_revision,
        Target.VALUE: key_value.value,
        Target.LEASE: key_value.lease,
    }[comparison.target]
    operand = comparison.operand
    if comparison.relation is Relation.EQUAL:
        return actual == operand
    if comparison.relation is Relation.NOT_EQUAL:
        return actual != operand
    if comparison.relation is Relation.GREATER:
        return actual > operand  # type: ignore[operator]
    return actual < operand  # type: ignore[operator]
