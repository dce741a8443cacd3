"""Limit on the calls of one process to the platform.

A token bucket limits the rate in normal operation. In an outage, when every
caller would otherwise retry on its own, a backoff with jitter limits it.
"""

import dataclasses
import random

from lagoonrun_core import clock as clock_module

_FIRST_DELAY_SECONDS = 0.1
_MAX_DELAY_SECONDS = 5.0
_FAILURES_BEFORE_BACKOFF = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The call may be made after `wait_seconds`."""

    wait_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Denied:
    """The call must not be made now."""

    detail: str


class CallBudget:
    """Decides whether and when a call may be made; it never waits itself.

    Parameters
    ----------
    calls_per_second
        Long-term rate.
    burst
        Number of calls that may be made at once after a pause.
    max_wait_seconds
        A call that would wait longer is denied.
    clock
        Refills the bucket.
    rng
        Source of the backoff's jitter.
    """

    def __init__(
        self,
        *,
        calls_per_second: float,
        burst: float,
        max_wait_seconds: float,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._rate = calls_per_second
        self._burst = burst
        self._max_wait_seconds = max_wait_seconds
        self._clock = clock
        self._rng = rng
        self._tokens = burst
        self._filled_at = clock.monotonic()
        self._failures = 0
        self._retry_at = 0.0
        self._probe_until = 0.0

    def admit(self, *, timeout_seconds: float) -> Admitted | Denied:
        """Take one call out of the budget.

        Parameters
        ----------
        timeout_seconds
            Time limit of the call, and of the probe in an outage.
        """
        now = self._clock.monotonic()
        if self._failures >= _FAILURES_BEFORE_BACKOFF:
            # In an outage one call at a time probes whether it is over; all
            # others fail at once and cost the platform nothing.
            if now < max(self._retry_at, self._probe_until):
                return Denied(detail="backing off after failed calls")
            self._probe_until = now + timeout_seconds
        self._refill(now)
        wait = max(0.0, (1.0 - self._tokens) / self._rate)
        if wait > self._max_wait_seconds:
            return Denied(detail=f"budget of {self._rate:g} calls/s is used up")
        self._tokens -= 1.0
        return Admitted(wait_seconds=wait)

    def succeeded(self) -> None:
        """Record that the platform answered."""
        self._failures = 0
        self._probe_until = 0.0

    def failed(self) -> None:
        """Record that the platform did not answer."""
        self._failures += 1
        self._probe_until = 0.0
        excess_failures = max(0, self._failures - _FAILURES_BEFORE_BACKOFF)
        ceiling = min(
            _MAX_DELAY_SECONDS,
            _FIRST_DELAY_SECONDS * 2 ** min(excess_failures, 16),
        )
        delay = ceiling * self._rng.uniform(0.5, 1.0)
        self._retry_at = self._clock.monotonic() + delay

    def _refill(self, now: float) -> None:
        refilled = self._tokens + (now - self._filled_at) * self._rate
        self._tokens = min(self._burst, refilled)
        self._filled_at = now
