"""Clocks as a `Protocol`, so that tests drive time by hand."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time in seconds."""

    def monotonic(self) -> float:
        """Return seconds that never go backwards; the origin means nothing."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch, for people only."""


class SystemClock:
    """The operating system's clocks."""

    def monotonic(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall clock in seconds since the Unix epoch."""
        return time.time()


class SuspendAwareClock:
    """The operating system's clocks, with the time of suspensions counted.

    Ages of idle connections and of what others told must grow while the VM
    is suspended: the other side's time went on.
    """

    def monotonic(self) -> float:
        """Return seconds since the VM's start, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the wall clock in seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """Clock for tests that moves only when told.

    Parameters
    ----------
    start
        First reading of both clocks, in seconds.
    """

    def __init__(self, *, start: float = 1000.0) -> None:
        self._now = start

    def monotonic(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move forwards by `seconds`, which must not be negative."""
        if seconds < 0:
            raise ValueError(f"cannot go back by {seconds} s; valid: >= 0")
        self._now += seconds
