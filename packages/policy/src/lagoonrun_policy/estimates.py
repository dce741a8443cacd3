"""Estimates of service times from observed durations.

The length of an answer is not known in advance. Whether a request can still
meet its deadline is decided by an online high quantile of recent durations.
"""

import math

import ddsketch

from lagoonrun_core import types

MINIMUM_SAMPLES = 20
"""Minimum number of observations for a meaningful high quantile."""

HIGH_QUANTILE = 0.9
TYPICAL_QUANTILE = 0.5

_RELATIVE_ACCURACY = 0.02
_BINS = 512
_RUNNER_WINDOW_SECONDS = 30.0
_POOL_WINDOW_SECONDS = 120.0
_REFRESH_SECONDS = 0.25


class WindowedQuantiles:
    """High quantile, median and mean over the last one to two windows.

    At the end of a window the values of the previous one are dropped, so
    that the estimates of a recovered runner are correct after two windows.

    Parameters
    ----------
    window_seconds
        Length of a window.
    """

    def __init__(self, *, window_seconds: float) -> None:
        self._window = window_seconds
        self._rotate_at: float | None = None
        self._older = _new_sketch()
        self._newer = _new_sketch()
        self._refresh_at = -math.inf
        self._high: float | None = None
        self._typical: float | None = None
        self._mean: float | None = None

    def add(self, value: float, *, now: float) -> None:
        """Add one observation in seconds."""
        self._rotate(now)
        self._newer.add(value)

    def samples(self, *, now: float) -> int:
        """Return the number of observations behind the quantiles."""
        self._rotate(now)
        return int(self._older.count + self._newer.count)

    def high(self, *, now: float) -> float | None:
        """Return the high quantile, or None with too few observations."""
        self._refresh(now)
        return self._high

    def typical(self, *, now: float) -> float | None:
        """Return the median, or None with too few observations."""
        self._refresh(now)
        return self._typical

    def mean(self, *, now: float) -> float | None:
        """Return the mean, or None with too few observations."""
        self._refresh(now)
        return self._mean

    def _rotate(self, now: float) -> None:
        if self._rotate_at is None:
            self._rotate_at = now + self._window
        if now < self._rotate_at:
            return
        missed_a_window = now >= self._rotate_at + self._window
        self._older = _new_sketch() if missed_a_window else self._newer
        self._newer = _new_sketch()
        self._rotate_at = now + self._window
        self._refresh_at = -math.inf

    def _refresh(self, now: float) -> None:
        if now < self._refresh_at:
            return
        self._rotate(now)
        if self._older.count + self._newer.count < MINIMUM_SAMPLES:
            self._high = self._typical = self._mean = None
            return
        self._refresh_at = now + _REFRESH_SECONDS
        both = _new_sketch()
        both.merge(self._older)
        both.merge(self._newer)
        self._high = both.get_quantile_value(HIGH_QUANTILE)
        self._typical = both.get_quantile_value(TYPICAL_QUANTILE)
        self._mean = both.avg


class ServiceTimes:
    """Service times per class over the shard, and per class and runner."""

    def __init__(self) -> None:
        self._by_profile: dict[types.ProfileName, WindowedQuantiles] = {}
        self._first_token_by_profile: dict[
            types.ProfileName, WindowedQuantiles
        ] = {}
        self._by_runner: dict[
            types.UpstreamId, dict[types.ProfileName, WindowedQuantiles]
        ] = {}

    def record(
        self,
        *,
        profile: types.ProfileName,
        upstream: types.UpstreamId,
        first_token_seconds: float,
        total_seconds: float,
        now: float,
    ) -> None:
        """Record the duration of a complete answer."""
        _entry(self._by_profile, profile, _POOL_WINDOW_SECONDS).add(
            total_seconds, now=now
        )
        by_profile = self._by_runner.setdefault(upstream, {})
        _entry(by_profile, profile, _RUNNER_WINDOW_SECONDS).add(
            total_seconds, now=now
        )
        if first_token_seconds > 0:
            _entry(
                self._first_token_by_profile, profile, _POOL_WINDOW_SECONDS
            ).add(first_token_seconds, now=now)

    def record_lower_bound(
        self,
        *,
        profile: types.ProfileName,
        upstream: types.UpstreamId,
        total_seconds: float,
        now: float,
    ) -> None:
        """Record an answer that was stopped before its end.

        Counting only answers that end in time would bias the quantile low
        and admit more requests that cannot end in time. A stopped answer is
        counted if it already lasted longer than the quantile.
        """
        high = self.high(profile=profile, upstream=upstream, now=now)
        if high is not None and total_seconds > high:
            self.record(
                profile=profile,
                upstream=upstream,
                first_token_seconds=0.0,
                total_seconds=total_seconds,
                now=now,
            )

    def high(
        self,
        *,
        profile: types.ProfileName,
        upstream: types.UpstreamId,
        now: float,
        slowdown: float = 1.0,
    ) -> float | None:
        """Return the high quantile at a runner, or None while unknown.

        A runner with too few observations of its own gets the shard's
        quantile, multiplied by `slowdown`.
        """
        own = self._by_runner.get(upstream, {}).get(profile)
        if own is not None:
            value = own.high(now=now)
            if value is not None:
                return value
        shared = self._by_profile.get(profile)
        value = shared.high(now=now) if shared is not None else None
        return value * slowdown if value is not None else None

    def shard_high(
        self, *, profile: types.ProfileName, now: float
    ) -> float | None:
        """Return the shard's high quantile, or None while unknown."""
        entry = self._by_profile.get(profile)
        return entry.high(now=now) if entry is not None else None

    def typical(self, *, profile: types.ProfileName, now: float) -> float:
        """Return the shard's median; 0 while unknown."""
        return _value_or_zero(self._by_profile.get(profile), now, "typical")

    def typical_first_token(
        self, *, profile: types.ProfileName, now: float
    ) -> float:
        """Return the shard's median time to first token; 0 while unknown."""
        entry = self._first_token_by_profile.get(profile)
        return _value_or_zero(entry, now, "typical")

    def mean(self, *, profile: types.ProfileName, now: float) -> float:
        """Return the shard's mean; 0 while unknown."""
        return _value_or_zero(self._by_profile.get(profile), now, "mean")

    def samples(self, *, profile: types.ProfileName, now: float) -> int:
        """Return the number of observations behind the shard's quantiles."""
        entry = self._by_profile.get(profile)
        return entry.samples(now=now) if entry is not None else 0

    def forget_runner(self, upstream: types.UpstreamId) -> None:
        """Drop the observations of a runner no longer configured."""
        self._by_runner.pop(upstream, None)

    def forget_profile(self, profile: types.ProfileName) -> None:
        """Drop the observations of a class no longer configured."""
        self._by_profile.pop(profile, None)
        self._first_token_by_profile.pop(profile, None)
        for by_profile in self._by_runner.values():
            by_profile.pop(profile, None)


def _new_sketch() -> ddsketch.LogCollapsingLowestDenseDDSketch:
    return ddsketch.LogCollapsingLowestDenseDDSketch(_RELATIVE_ACCURACY, _BINS)


def _entry(
    by_profile: dict[types.ProfileName, WindowedQuantiles],
    profile: types.ProfileName,
    window_seconds: float,
) -> WindowedQuantiles:
    entry = by_profile.get(profile)
    if entry is None:
        entry = WindowedQuantiles(window_seconds=window_seconds)
        by_profile[profile] = entry
    return entry


def _value_or_zero(
    entry: WindowedQuantiles | None, now: float, statistic: str
) -> float:
    if entry is None:
        return 0.0
    value = (
        entry.typical(now=now)
        if statistic == "typical"
        else entry.mean(now=now)
    )
    return value if value is not None else 0.0
