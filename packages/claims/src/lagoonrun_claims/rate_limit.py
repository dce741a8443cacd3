"""Rate limit and backoff for calls to the store."""

import random

from lagoonrun_core import clock as clock_module


class StoreRateLimit:
    """Token bucket for writes, and backoff with jitter after failures.

    Parameters
    ----------
    writes_per_second
        Sustained rate of writes of this entry VM.
    burst
        Number of writes that may be made at once after an idle period.
    backoff_seconds
        Base of the backoff, which doubles with each failure up to the
        maximum.
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
        """Take one token; return how long to wait before the write."""
        now = self._clock.monotonic()
        earned = (now - self._refilled_at) * self._rate
        self._tokens = min(float(self._burst), self._tokens + earned) - 1
        self._refilled_at = now
        return max(0.0, -self._tokens / self._rate)

    def blocked_seconds(self) -> float:
        """Return how long no call may be made; 0 outside a backoff."""
        return max(0.0, self._blocked_until - self._clock.monotonic())

    def record_success(self) -> None:
        """Record a call that the store replied to."""
        self._failures = 0

    def record_failure(self, *, reached: bool) -> None:
        """Record a call without a reply.

        Parameters
        ----------
        reached
            Whether the call was sent and may have been applied. The first
            such failure starts no backoff, so that the write can be retried
            at once to learn its result.
        """
        self._failures += 1
        if reached and self._failures < 2:
            return
        self._blocked_until = self._clock.monotonic() + self._next_backoff()

    def retry_after_seconds(self) -> float:
        """Return the retry delay for a refused caller, with jitter."""
        base = max(self.blocked_seconds(), 0.5)
        return base * self._random.uniform(1.0, 2.0)

    def _next_backoff(self) -> float:
        doubled = self._backoff_seconds * 2 ** min(self._failures, 16)
        max_delay = min(doubled, self._maximum_backoff_seconds)
        return max_delay * self._random.uniform(0.5, 1.0)
