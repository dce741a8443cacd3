"""A robust running mean of a measured rate."""

import math
import statistics

_MAX_WEIGHT = 16.0
"""Number of samples that the mean of a steady rate corresponds to."""

_SETTLED_WEIGHT = 4.0
"""Weight from which the mean is reliable enough to clip samples closely."""

_CLIP = math.log(2.0)
"""Largest deviation from a reliable mean that is taken into account, in log
space: one queue of unknown prompts makes a sample many times too low."""

_EARLY_CLIP = math.log(8.0)
"""The same before the mean is reliable."""

_LOW_SAMPLE_WEIGHT = 0.5
"""Weight of a sample below a reliable mean. Queueing behind unknown requests
only makes samples lower, so a low sample says less than a high one."""

_RECENT_SAMPLES = 6
"""Number of recent samples that are checked for a change of the rate."""

_MAX_CONTRARY = 1
"""How many of these may not show the change. With a quarter of the samples
behind unknown prompts, five of six are so by chance in 0.5 % of the cases."""

_CHANGE = 0.35
"""Deviation of the recent samples that counts as a change, in log space: 40 %.
The mean follows smaller changes without it."""


class RobustRate:
    """Running mean of a rate in log space, with outliers clipped.

    If the recent samples agree that the rate has changed, their median replaces
    the mean.

    Attributes
    ----------
    value
        The mean; 0.0 before the first sample.
    samples
        Number of samples that were added.
    """

    __slots__ = ("_log", "_recent", "_weight", "samples", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0
        self._log = 0.0
        self._weight = 0.0
        self._recent: tuple[float, ...] = ()

    def set_prior(self, rate: float) -> None:
        """Start at a likely rate, which counts as one sample."""
        self._log = math.log(rate)
        self._weight = 1.0
        self.value = rate

    def add(self, rate: float, samples: int = 1) -> float:
        """Add the mean of some samples; return it with its deviation clipped.

        Parameters
        ----------
        rate
            Geometric mean of the samples; above 0.
        samples
            Number of samples; at least 1.
        """
        self.samples += samples
        measured = math.log(rate)
        added = (measured,) * min(samples, _RECENT_SAMPLES)
        self._recent = (*self._recent, *added)[-_RECENT_SAMPLES:]
        if not self._weight:
            self._log = measured
            self._weight = min(float(samples), _MAX_WEIGHT)
            self.value = rate
            return rate
        settled = self._weight >= _SETTLED_WEIGHT
        clip = _CLIP if settled else _EARLY_CLIP
        deviation = measured - self._log
        clipped = max(-clip, min(clip, deviation))
        accepted = (
            rate if clipped == deviation else math.exp(self._log + clipped)
        )
        weight = float(samples)
        if settled and clipped < 0.0:
            weight *= _LOW_SAMPLE_WEIGHT
        if self._has_changed():
            self._log = statistics.median(self._recent)
            self._weight = float(_RECENT_SAMPLES)
        else:
            self._log += weight / (self._weight + weight) * clipped
            self._weight = min(_MAX_WEIGHT, self._weight + weight)
        self.value = math.exp(self._log)
        return accepted

    def _has_changed(self) -> bool:
        """Return whether the recent samples agree on another rate."""
        if len(self._recent) < _RECENT_SAMPLES:
            return False
        ordered = sorted(self._recent)
        return (
            ordered[_MAX_CONTRARY] - self._log > _CHANGE
            or ordered[-1 - _MAX_CONTRARY] - self._log < -_CHANGE
        )
