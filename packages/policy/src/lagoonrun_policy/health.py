"""Health of a runner: failures, ejection and pace.

The pace is the smoothed time per token, or per answer where the number of
tokens is not known. A straggler is a runner slower than the pool's median.
"""

from lagoonrun_core import outcomes

FAILURES_TO_EJECT = 3
_FIRST_EJECTION_SECONDS = 1.0
_MAX_EJECTION_SECONDS = 30.0
_PACE_SMOOTHING = 0.2
_PACE_HALF_LIFE_SECONDS = 10.0
_MIN_PACE_SAMPLES = 5

_RUNNER_FAULTS = frozenset(
    {
        outcomes.Reason.UPSTREAM_CONNECT,
        outcomes.Reason.UPSTREAM_CLOSED,
        outcomes.Reason.UPSTREAM_TIMEOUT,
        outcomes.Reason.UPSTREAM_MISMATCH,
        outcomes.Reason.UPSTREAM_PROTOCOL,
    }
)


def is_runner_fault(reason: outcomes.Reason) -> bool:
    """Return whether the reason is a fault of the runner itself."""
    return reason in _RUNNER_FAULTS


class RunnerHealth:
    """Consecutive failures, ejection and pace of one runner."""

    def __init__(self) -> None:
        self._failures = 0
        self._ejections = 0
        self._ejected_until: float | None = None
        self._pace: float | None = None
        self._pace_samples = 0
        self._pace_at = 0.0

    @property
    def failures(self) -> int:
        """Failures since the last success."""
        return self._failures

    @property
    def ejected(self) -> bool:
        """Whether the runner is ejected, which includes being probed."""
        return self._ejected_until is not None

    @property
    def ejected_until(self) -> float | None:
        """Time from which it may be probed; None if it is not ejected."""
        return self._ejected_until

    def is_probing(self, now: float) -> bool:
        """Return whether its ejection is over but no probe has succeeded."""
        return self._ejected_until is not None and now >= self._ejected_until

    def record_success(self) -> None:
        """Record a complete answer, which ends an ejection."""
        self._failures = 0
        self._ejections = 0
        self._ejected_until = None

    def record_failure(self) -> None:
        """Record a fault of the runner."""
        self._failures += 1

    def eject(self, now: float) -> None:
        """Eject the runner, twice as long for each consecutive ejection."""
        seconds = min(
            _MAX_EJECTION_SECONDS,
            _FIRST_EJECTION_SECONDS * 2.0 ** min(self._ejections, 16),
        )
        self._ejections += 1
        self._ejected_until = now + seconds

    def observe_pace(self, pace: float, now: float) -> None:
        """Add one observation of the pace."""
        if self._pace is None:
            self._pace = pace
        self._pace += _PACE_SMOOTHING * (pace - self._pace)
        self._pace_samples += 1
        self._pace_at = now

    @property
    def pace(self) -> float | None:
        """Smoothed pace in seconds; None with too few observations."""
        enough = self._pace_samples >= _MIN_PACE_SAMPLES
        return self._pace if enough else None

    def straggler_factor(self, median_pace: float | None, now: float) -> float:
        """Return how many times slower than the pool's median, at least 1.

        The factor decays with the age of the last observation, so that a
        recovered runner is tried again.
        """
        pace = self.pace
        if pace is None or not median_pace or pace <= median_pace:
            return 1.0
        age = now - self._pace_at
        excess = pace / median_pace - 1.0
        return 1.0 + excess * 0.5 ** (age / _PACE_HALF_LIFE_SECONDS)
