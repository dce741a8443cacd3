"""Limits the calls of one process to the platform.

A token bucket bounds the rate in calm; a backoff with jitter bounds it in an
outage, when each caller would otherwise try again on its own.
"""

import dataclasses
import random

from lagoonrun_core import clock as clock_module

_FIRST_DELAY_SECONDS = 0.1
_LONGEST_DELAY_SECONDS = 5.0
_FAILURES_BEFORE_BACKOFF = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The call may be made once `wait_seconds` have passed."""

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
        Rate in the long run.
    burst
        Calls that may be made at once after a pause.
    max_wait_seconds
        A call that would wait longer for its turn is denied.
    clock
        Drives the bucket.
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
            Longest time that the call may take; bounds the probe.
        """
        now = self._clock.monotonic()
        if self._failures >= _FAILURES_BEFORE_BACKOFF:
            # In an outage one call at a time finds out whether it is over;
            # all others fail at once and cost the platform nothing.
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
        """Note that the platform answered."""
        self._failures = 0
        self._probe_until = 0.0

    def failed(self) -> None:
        """Note that the platform did not answer."""
        self._failures += 1
        self._probe_until = 0.0
        over = max(0, self._failures - _FAILURES_BEFORE_BACKOFF)
        ceiling = min(
            _LONGEST_DELAY_SECONDS, _FIRST_DELAY_SECONDS * 2 ** min(over, 16)
        )
        delay = ceiling * self._rng.uniform(0.5, 1.0)
        self._retry_at = self._clock.monotonic() + delay

    def _refill(self, now: float) -> None:
        grown = self._tokens + (now - self._filled_at) * self._rate
        self._tokens = min(self._burst, grown)
        self._filled_at = now
