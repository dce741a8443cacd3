"""How long an upstream is used whose entry has disappeared from the store."""

LEASE_EXPIRY_GRACE_SECONDS = 2.5
"""Time after an outage of the store in which a missing entry may be written
again.

The platform promises about two seconds; the rest allows for the watch's delay.
"""

_UNCERTAIN_GRACE_SECONDS = 1.7
"""Time for which a removed upstream may still be used if it is not known whether
its lease has expired: most upstreams are missing, or the removal was heard of
from a peer while this entry VM does not reach the store. No request may reach an
upstream later than 2 s after it has left; the rest is for the news of it."""

REMOVAL_GRACE_SECONDS = 1.2
"""Time for which a removed upstream may still be used in normal operation,
where most of its pool is missing.

An upstream that leaves serves for at least two seconds after its entry is
removed; after this time a request might reach it too late.
"""

MIN_REGISTERED_SHARE = 0.5
"""Share of a pool that must be registered for missing upstreams to be excluded.

Operators replace or remove a few at a time, and new ones register before old
ones leave. When most of a pool is missing, leases have expired.
"""

_ROUNDING_SECONDS = 0.001


class RemovalGrace:
    """Decides by outages of the store how long missing upstreams are used.

    Attributes
    ----------
    restored_at
        When the store was last restored from a backup.
    """

    def __init__(self) -> None:
        self.restored_at = float("-inf")
        self._store_unreachable = False
        self._store_reachable_at = float("-inf")

    def on_store_unreachable(self) -> None:
        """Record that the store cannot be reached."""
        self._store_unreachable = True

    def on_store_reachable(self, *, now: float) -> None:
        """Record that the store answers again."""
        if self._store_unreachable:
            self._store_unreachable = False
            self._store_reachable_at = now

    def on_store_restored(self, *, now: float) -> None:
        """Record that the store was restored from a backup."""
        self._store_unreachable = False
        self._store_reachable_at = now
        self.restored_at = now

    def kept_until(self, *, now: float) -> float:
        """Return until when an upstream is used whose entry disappears now.

        One whose lease expired during an outage registers again within two
        seconds after it. One that leaves later must not be kept for longer.
        """
        if self._store_unreachable:
            return now + _UNCERTAIN_GRACE_SECONDS
        return max(
            now + REMOVAL_GRACE_SECONDS,
            self._store_reachable_at + LEASE_EXPIRY_GRACE_SECONDS,
        )


def unexplained_seconds(*, missing: int, known: int) -> float:
    """Return how long upstreams are kept for an outage that was not seen.

    An outage may end without any failed call of this entry VM; then most
    entries are missing at once. Operators never remove all upstreams.

    Parameters
    ----------
    missing, known
        Number of upstreams that are missing, and of all.
    """
    if missing == known and known > 1:
        return LEASE_EXPIRY_GRACE_SECONDS
    if missing > MIN_REGISTERED_SHARE * known:
        return _UNCERTAIN_GRACE_SECONDS
    return REMOVAL_GRACE_SECONDS


def may_have_expired(*, missing_since: float, kept_until: float) -> bool:
    """Return whether a missing upstream's lease may have expired."""
    kept_seconds = kept_until - missing_since
    return kept_seconds > REMOVAL_GRACE_SECONDS + _ROUNDING_SECONDS
