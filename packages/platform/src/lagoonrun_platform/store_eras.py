"""Numbers of a store that may come back from an older copy of itself.

A store that is restored has lost what came since the copy was made, and gives out
the same revisions and leases again for other contents. It says so by an era that
rises each time. Era and revision make one number here, which rises through a
restore: whoever keeps, compares, tells or logs a revision, and whoever takes one as
a fencing number, needs to know nothing of eras.
"""

import logging

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs
from lagoonrun_platform import store

ERA_BITS = 40
"""Bits below the era: a thousand writes a second for thirty years. Numbers of 8,000
eras are exact in JSON."""

NO_ERA = 0
"""Era of a store that tells none."""


def era_of(number: int) -> int:
    """Return the era of a revision or a lease."""
    return number >> ERA_BITS


class StoreEras:
    """The newest era of a store, and the numbers of what it says.

    Parameters
    ----------
    clock
        Dates the eras.

    Attributes
    ----------
    newest
        The newest era that the store has told.
    seen_at
        Reading of the clock when it was first told; None while none was.
    restores
        Restores that were seen: the first era that is told is none.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self.newest = NO_ERA
        self.seen_at: float | None = None
        self.restores = 0

    def take(self, era: int) -> bool:
        """Take in the era of an answer; return whether the answer counts.

        One of an earlier era was under way while the store was restored; what it
        says is void.
        """
        if era < self.newest:
            return False
        if self.seen_at is None or era > self.newest:
            self._begin(era)
        return True

    def _begin(self, era: int) -> None:
        restored = self.seen_at is not None
        self.restores += restored
        previous, self.newest = self.newest, era
        self.seen_at = self._clock.monotonic()
        logs.emit(
            events.LogEvent.STORE_ERA_CHANGED,
            level=logging.WARNING if restored else logging.INFO,
            era=era,
            previous=previous,
            restored=restored,
        )

    def revision(self, plain: int) -> store.StoreRevision:
        """Return the number of a revision of the newest era; 0 stays 0."""
        return store.StoreRevision(self._number(plain))

    def lease(self, plain: int) -> store.LeaseId:
        """Return the number of a lease of the newest era."""
        return store.LeaseId(self._number(plain))

    def plain(self, number: int) -> int | None:
        """Return what the store calls a number; None where it has no such.

        One of an earlier era may mean something else by now.
        """
        if number <= 0 or self.newest == NO_ERA == era_of(number):
            return number
        if era_of(number) != self.newest:
            return None
        return number & ((1 << ERA_BITS) - 1)

    def _number(self, plain: int) -> int:
        return plain and (self.newest << ERA_BITS | plain)
