"""The slowness of an upstream at the moment, and its long-run mean."""

import math

SLOW_PERIOD_SECONDS = 0.6
"""Duration of a slow period. The part of a report that still applies declines
linearly over this time, as the probability does that the same period lasts."""

_MEAN_SECONDS = 30.0
"""Time over which the mean is taken: several times the few seconds between two
slow periods."""

_PRIOR_SECONDS = SLOW_PERIOD_SECONDS
"""Time at usual slowness that the mean starts with, so that a first report from
a slow period does not count as the mean."""

_MIN_SLOWNESS = 0.1
_MAX_SLOWNESS = 100.0
"""Reports beyond these are implausible and are clamped."""


class MomentarySlowness:
    """Slowness of one upstream, from its reports.

    Attributes
    ----------
    reported, reported_at
        The newest report and the time it was made at; None before the first.
    mean
        The long-run mean.
    """

    __slots__ = ("_observed_seconds", "mean", "reported", "reported_at")

    def __init__(self) -> None:
        self.reported: float | None = None
        self.reported_at = 0.0
        self.mean = 1.0
        self._observed_seconds = _PRIOR_SECONDS

    def apply(self, slowness: float, *, at: float) -> None:
        """Apply a report that is newer than the ones before."""
        # A report stands for the time since the previous one, so that many
        # answers at a time do not count more than few.
        elapsed = SLOW_PERIOD_SECONDS
        if self.reported is not None:
            elapsed = max(0.0, min(elapsed, at - self.reported_at))
        self._observed_seconds = min(
            _MEAN_SECONDS, self._observed_seconds + elapsed
        )
        self.mean += (slowness - self.mean) * elapsed / self._observed_seconds
        self.reported = slowness
        self.reported_at = at

    def expected(self, *, now: float) -> float:
        """Return the slowness to expect now."""
        if self.reported is None:
            return self.mean
        age = now - self.reported_at
        if age >= SLOW_PERIOD_SECONDS:
            return self.mean
        part = 1.0 - max(0.0, age) / SLOW_PERIOD_SECONDS
        return self.mean + (self.reported - self.mean) * part

    def over_interval(self, slowness: float | None, seconds: float) -> float:
        """Return the mean slowness of an interval, given that at its end.

        Parameters
        ----------
        slowness
            At the end of the interval; None if unknown.
        seconds
            Duration of the interval.
        """
        if slowness is None:
            return self.mean
        return mean_over_interval(slowness, self.mean, seconds)


def mean_over_interval(slowness: float, mean: float, seconds: float) -> float:
    """Return the mean slowness of an interval, given that at one end of it.

    Parameters
    ----------
    slowness
        At the beginning or at the end of the interval.
    mean
        Long-run mean, to which it fades.
    seconds
        Duration of the interval.
    """
    part = (
        1.0 - 0.5 * seconds / SLOW_PERIOD_SECONDS
        if seconds < SLOW_PERIOD_SECONDS
        else 0.5 * SLOW_PERIOD_SECONDS / seconds
    )
    return mean + (slowness - mean) * part


def clamped(slowness: float | None) -> float | None:
    """Return a plausible slowness; None if it is not a number above 0."""
    if slowness is None or not math.isfinite(slowness) or slowness <= 0.0:
        return None
    return max(_MIN_SLOWNESS, min(_MAX_SLOWNESS, slowness))
