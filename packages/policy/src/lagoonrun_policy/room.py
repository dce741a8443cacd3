"""How many requests a runner takes at once without slowing all of them.

A batching engine that is overfilled slows down for everyone. The room falls
by a factor while answers come clearly slower than from the same runner with
little load, and grows by one per room's worth of answers otherwise.
"""

from lagoonrun_core import types

MINIMUM_ROOM = 1.0

_FIRST_TOKEN_TOLERANCE = 3.0
_TOKEN_TOLERANCE = 2.5
_FIRST_TOKEN_SLACK_SECONDS = 0.02
_TOKEN_SLACK_SECONDS = 0.002
_DECREASE = 0.9
_SMOOTHING = 0.05
_BASELINE_WINDOW_SECONDS = 120.0


class AdaptiveRoom:
    """Additive increase, multiplicative decrease on two latencies.

    Parameters
    ----------
    slots
        Declared most requests at once; where the room starts and ends.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._room = float(slots)
        self._first_token_by_profile: dict[types.ProfileName, _Latency] = {}
        self._per_token = _Latency(
            tolerance=_TOKEN_TOLERANCE, slack=_TOKEN_SLACK_SECONDS
        )
        self._hold = 0

    @property
    def limit(self) -> float:
        """Most requests at once, as of now."""
        return self._room

    def set_slots(self, slots: int) -> None:
        """Take over a new declaration."""
        if slots != self._slots:
            self._slots = slots
            self._room = float(slots)

    def observe(
        self,
        *,
        profile: types.ProfileName,
        first_token_seconds: float,
        seconds_per_token: float,
        in_flight: int,
        now: float,
    ) -> None:
        """Take in the latencies of one answer.

        Parameters
        ----------
        profile
            Class of the request; prompts of one class are alike in length,
            those of two are not.
        first_token_seconds, seconds_per_token
            0 where the answer does not show them.
        in_flight
            Requests at the runner when the answer ended, itself included.
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
        if self._hold > 0:
            # The answers that were running when the room was cut still show
            # the old load; cutting on each of them would overshoot.
            self._hold -= 1
            return
        if slow:
            self._room = max(MINIMUM_ROOM, self._room * _DECREASE)
            self._hold = int(self._room)
        elif in_flight >= int(self._room):
            grown = self._room + 1.0 / self._room
            self._room = min(float(self._slots), grown)


class _Latency:
    """A smoothed latency and the lowest value it had lately."""

    def __init__(self, *, tolerance: float, slack: float) -> None:
        self._tolerance = tolerance
        self._slack = slack
        self._smoothed: float | None = None
        self._lowest = 0.0
        self._next_lowest = 0.0
        self._rotate_at = 0.0

    def is_slow(self, value: float, now: float) -> bool:
        if self._smoothed is None:
            self._smoothed = self._lowest = self._next_lowest = value
            self._rotate_at = now + _BASELINE_WINDOW_SECONDS
            return False
        self._smoothed += _SMOOTHING * (value - self._smoothed)
        if now >= self._rotate_at:
            self._lowest = self._next_lowest
            self._next_lowest = self._smoothed
            self._rotate_at = now + _BASELINE_WINDOW_SECONDS
        self._lowest = min(self._lowest, self._smoothed)
        self._next_lowest = min(self._next_lowest, self._smoothed)
        return self._smoothed > self._tolerance * self._lowest + self._slack
