"""Revisions and leases of a store that may be restored from a backup.

A restored store has lost the writes since the backup, and assigns the same
revisions and lease numbers again for other contents. The store reports this by
an era (restore epoch), a counter that it increments on each restore. Era and
revision are combined into one number here, which increases across restores. So
code that keeps, compares, sends or logs a revision, or uses one as a fencing
number, need not know about eras. Leases have no order; their era is kept next
to their number.
"""

import logging

from lagoonrun_core import clock as clocks
from lagoonrun_core import errors, events, logs
from lagoonrun_platform import store

ERA_BITS = 53
"""Number of bits below the era: all integers that are exact in JSON."""

MAX_ERAS = 1 << 10
"""Number of eras; a larger era would not fit into 63 bits, the limit in
messages and for receivers of fencing numbers."""

NO_ERA = 0
"""Era of a store that reports none."""


class NumberRangeError(errors.LagoonrunError):
    """The store has reported a number that does not fit beside its era."""


def era_of(number: int) -> int:
    """Return the era of a revision."""
    return number >> ERA_BITS


class StoreEras:
    """The newest era of a store, and the conversion of its numbers.

    Parameters
    ----------
    clock
        Dates the eras.

    Attributes
    ----------
    newest
        The newest era that the store has reported.
    seen_at
        Monotonic time when it was first reported; None while none was.
    restore_count
        Number of restores seen; the first reported era is none.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self.newest = NO_ERA
        self.seen_at: float | None = None
        self.restore_count = 0

    def observe(self, era: int) -> bool:
        """Record the era of a response; return whether the response is valid.

        A response of an earlier era was on its way while the store was
        restored, and must be discarded.

        Raises
        ------
        NumberRangeError
            If the era is too large.
        """
        if era >= MAX_ERAS:
            raise _out_of_range("era", era, MAX_ERAS)
        if era < self.newest:
            return False
        if self.seen_at is None or era > self.newest:
            self._begin_era(era)
        return True

    def _begin_era(self, era: int) -> None:
        restored = self.seen_at is not None
        self.restore_count += restored
        previous, self.newest = self.newest, era
        self.seen_at = self._clock.monotonic()
        logs.emit(
            events.LogEvent.STORE_ERA_CHANGED,
            level=logging.WARNING if restored else logging.INFO,
            era=era,
            previous=previous,
            restored=restored,
        )

    def revision(self, store_number: int) -> store.StoreRevision:
        """Return a revision of the newest era as a combined number; 0 stays 0.

        Raises
        ------
        NumberRangeError
            If the store reports eras and the revision is too large.
        """
        if store_number == store.ABSENT or self.newest == NO_ERA:
            return store.StoreRevision(store_number)
        if store_number >= 1 << ERA_BITS:
            raise _out_of_range("revision", store_number, 1 << ERA_BITS)
        return store.StoreRevision(self.newest << ERA_BITS | store_number)

    def store_number(self, revision: int) -> int | None:
        """Return the store's own number of a revision; None if it is not valid.

        A revision of an earlier era may mean something else by now.
        """
        if revision <= store.ABSENT or self.newest == NO_ERA:
            return revision
        if era_of(revision) != self.newest:
            return None
        return revision & ((1 << ERA_BITS) - 1)

    def lease(self, number: int) -> store.LeaseId:
        """Return the lease with a number in the newest era."""
        return store.LeaseId(number=number, era=self.newest)

    def is_current_lease(self, lease: store.LeaseId) -> bool:
        """Return whether a lease belongs to the newest era."""
        return lease.era == self.newest


def _out_of_range(name: str, value: int, limit: int) -> NumberRangeError:
    return NumberRangeError(
        step=errors.Step.PLATFORM_CALL,
        detail=f"the store's {name} is {value}; valid: below {limit}",
    )
