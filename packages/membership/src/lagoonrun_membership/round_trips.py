"""Round-trip times to domains, measured on probes: no I/O, no clock."""

from lagoonrun_core import types

_SMOOTHING_FACTOR = 1 / 8
_MAX_GROWTH_FACTOR = 4.0


class RoundTrips:
    """Smoothed round-trip time to each domain that answered a probe."""

    def __init__(self) -> None:
        self._seconds_by_domain: dict[types.FailureDomain, float] = {}

    def record(self, domain: types.FailureDomain, seconds: float) -> None:
        """Record one measurement.

        A busy process may measure an answer late. A measurement counts as at
        most a few times the known value, so that a single stall doesn't make a
        domain look distant.
        """
        known = self._seconds_by_domain.get(domain)
        if known is None:
            self._seconds_by_domain[domain] = seconds
            return
        bounded = min(seconds, _MAX_GROWTH_FACTOR * known)
        self._seconds_by_domain[domain] = (
            known + (bounded - known) * _SMOOTHING_FACTOR
        )

    def to(self, domain: types.FailureDomain) -> float | None:
        """Return the round-trip time in seconds, None if it is unknown."""
        return self._seconds_by_domain.get(domain)
