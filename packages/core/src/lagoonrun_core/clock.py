"""Interface of clocks, with a clock that tests advance."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time in seconds."""

    def monotonic(self) -> float:
        """Return seconds from an arbitrary origin; never decreases."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch, for display only."""


class SystemClock:
    """The operating system's clocks."""

    def monotonic(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall clock in seconds since the Unix epoch."""
        return time.time()


class SuspendAwareClock:
    """The operating system's clocks, including the time of suspensions.

    While the VM is suspended, time passes for its peers, so idle connections
    and received state must age.
    """

    def monotonic(self) -> float:
        """Return seconds since the VM booted, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the wall clock in seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """Clock for tests that changes only by `advance`.

    Parameters
    ----------
    start
        Initial time of both clocks, in seconds.
    """

    def __init__(self, *, start: float = 1000.0) -> None:
        self._now = start

    def monotonic(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance by `seconds`, which must not be negative."""
        if seconds < 0:
            raise ValueError(f"cannot go back by {seconds} s; valid: >= 0")
        self._now += seconds
