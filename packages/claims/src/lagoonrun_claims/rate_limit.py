"""Limits on calls to the store: a rate, and backoff after failures."""

import random

from lagoonrun_core import clock as clock_module


class StoreRateLimit:
    """Token bucket of writes and backoff with jitter after failures.

    Parameters
    ----------
    writes_per_second
        Lasting rate of writes of this entry VM.
    burst
        Writes that may follow each other at once after a pause.
    backoff_seconds
        First pause after a failure; it doubles up to the maximum.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random.Random,
        writes_per_second: float,
        burst: int,
        backoff_seconds: float = 0.05,
        maximum_backoff_seconds: float = 2.0,
    ) -> None:
        self._clock = clock
        self._random = random
        self._rate = writes_per_second
        self._burst = burst
        self._backoff_seconds = backoff_seconds
        self._maximum_backoff_seconds = maximum_backoff_seconds
        self._tokens = float(burst)
        self._refilled_at = clock.monotonic()
        self._failures = 0
        self._blocked_until = clock.monotonic()

    def wait_seconds(self) -> float:
        """Take one write; return how long to wait before making it."""
        now = self._clock.monotonic()
        earned = (now - self._refilled_at) * self._rate
        self._tokens = min(float(self._burst), self._tokens + earned) - 1
        self._refilled_at = now
        return max(0.0, -self._tokens / self._rate)

    def blocked_seconds(self) -> float:
        """Return how long no call should be made; 0 when one may."""
        return max(0.0, self._blocked_until - self._clock.monotonic())

    def record_success(self) -> None:
        """Record an answer of the store."""
        self._failures = 0

    def record_failure(self, *, reached: bool) -> None:
        """Record a call without an answer.

        Parameters
        ----------
        reached
            The call was sent and its reply lost. One such call alone is
            followed up at once, to learn what became of the write.
        """
        self._failures += 1
        if reached and self._failures < 2:
            return
        self._blocked_until = self._clock.monotonic() + self._next_backoff()

    def retry_after_seconds(self) -> float:
        """Return when a refused caller should come back, with jitter."""
        base = max(self.blocked_seconds(), 0.5)
        return base * self._random.uniform(1.0, 2.0)

    def _next_backoff(self) -> float:
        doubled = self._backoff_seconds * 2 ** min(self._failures, 16)
        max_delay = min(doubled, self._maximum_backoff_seconds)
        return max_delay * self._random.uniform(0.5, 1.0)
