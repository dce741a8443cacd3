"""Interface of clocks, with a clock that tests advance."""

import time
from typing import Protocol

from lagoonrun_core import stalls


class Clock(Protocol):
    """Source of time in seconds."""

    def monotonic(self) -> float:
        """Return seconds from an arbitrary origin; never decreases."""

    def running(self) -> float:
        """Return `monotonic` without the stalls of this process.

        For how long a peer has been silent counts only while this process read
        its sockets. Never used for the age of data or for time limits.
        """

    def wall(self) -> float:
        """Return seconds since the Unix epoch, for display only."""


class SystemClock:
    """The operating system's clocks."""

    def monotonic(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def running(self) -> float:
        """Return the monotonic clock: stalls are not known."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall clock in seconds since the Unix epoch."""
        return time.time()


class SuspendAwareClock:
    """The operating system's clocks, including the time of suspensions.

    While the VM is suspended, time passes for its peers, so idle connections
    and received state must age.

    Parameters
    ----------
    stalls
        Stalls of this process; None if they are not recorded.
    """

    def __init__(self, *, stalls: stalls.Stalls | None = None) -> None:
        self._stalls = stalls

    def monotonic(self) -> float:
        """Return seconds since the VM booted, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def running(self) -> float:
        """Return seconds since the VM booted without stalls of this process."""
        stalled = 0.0 if self._stalls is None else self._stalls.total_seconds
        return self.monotonic() - stalled

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

    def running(self) -> float:
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
