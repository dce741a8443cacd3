"""Adaptive limit on a runner's concurrent requests.

An overloaded batching engine slows down all its requests. The limit is
reduced by a factor while latencies are clearly above those of the same runner
under low load. Otherwise, while it is reached, it grows by one per as many
answers as the limit.
"""

from lagoonrun_core import types

MIN_LIMIT = 1.0

_FIRST_TOKEN_TOLERANCE = 3.0
_TOKEN_TOLERANCE = 2.5
_FIRST_TOKEN_SLACK_SECONDS = 0.02
_TOKEN_SLACK_SECONDS = 0.002
_DECREASE = 0.9
_SMOOTHING = 0.05
_BASELINE_WINDOW_SECONDS = 120.0


class AdaptiveConcurrencyLimit:
    """Additive increase, multiplicative decrease on two latencies.

    Parameters
    ----------
    slots
        Declared maximum of concurrent requests; the limit's initial value
        and upper bound.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._first_token_by_profile: dict[types.ProfileName, _Latency] = {}
        self._per_token = _Latency(
            tolerance=_TOKEN_TOLERANCE, slack=_TOKEN_SLACK_SECONDS
        )
        self._answers_to_ignore = 0

    @property
    def value(self) -> float:
        """Current maximum of concurrent requests."""
        return self._limit

    def set_slots(self, slots: int) -> None:
        """Apply a new declared maximum, which resets the limit."""
        if slots != self._slots:
            self._slots = slots
            self._limit = float(slots)

    def observe(
        self,
        *,
        profile: types.ProfileName,
        first_token_seconds: float,
        seconds_per_token: float,
        in_flight: int,
        now: float,
    ) -> None:
        """Adjust the limit to the latencies of one answer.

        Parameters
        ----------
        profile
            Class of the request; first-token latencies are compared within a
            class, since prompt lengths differ between classes.
        first_token_seconds, seconds_per_token
            0 if not known.
        in_flight
            Requests at the runner when the answer ended, this one included.
        """
        slow = False
        if first_token_seconds > 0:
            first_token = self._first_token_by_profile.get(profile)
            if first_token is None:
                first_token = _Latency(
                    tolerance=_FIRST_TOKEN_TOLERANCE,
                    slack=_FIRST_TOKEN_SLACK_SECONDS,
                )
                self._first_token_by_profile[profile] = first_token
            slow = first_token.is_slow(first_token_seconds, now)
        if seconds_per_token > 0:
            slow = self._per_token.is_slow(seconds_per_token, now) or slow
        if self._answers_to_ignore > 0:
            # Requests in flight when the limit was reduced still reflect the
            # old load; reducing it for each of them would overshoot.
            self._answers_to_ignore -= 1
            return
        if slow:
            self._limit = max(MIN_LIMIT, self._limit * _DECREASE)
            self._answers_to_ignore = int(self._limit)
        elif in_flight >= int(self._limit):
            grown = self._limit + 1.0 / self._limit
            self._limit = min(float(self._slots), grown)


class _Latency:
    """A smoothed latency and its recent minimum as the baseline."""

    def __init__(self, *, tolerance: float, slack: float) -> None:
        self._tolerance = tolerance
        self._slack = slack
        self._smoothed: float | None = None
        self._baseline = 0.0
        self._next_baseline = 0.0
        self._rotate_at = 0.0

    def is_slow(self, value: float, now: float) -> bool:
        if self._smoothed is None:
            self._smoothed = self._baseline = self._next_baseline = value
            self._rotate_at = now + _BASELINE_WINDOW_SECONDS
            return False
        self._smoothed += _SMOOTHING * (value - self._smoothed)
        if now >= self._rotate_at:
            self._baseline = self._next_baseline
            self._next_baseline = self._smoothed
            self._rotate_at = now + _BASELINE_WINDOW_SECONDS
        self._baseline = min(self._baseline, self._smoothed)
        self._next_baseline = min(self._next_baseline, self._smoothed)
        return self._smoothed > self._tolerance * self._baseline + self._slack
