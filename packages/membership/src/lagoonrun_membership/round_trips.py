"""Round trips to other domains, measured on answers to probes. Pure."""

from lagoonrun_core import types

_WEIGHT_OF_NEW = 1 / 8
_MOST_OF_OLD = 4.0


class RoundTrips:
    """A smoothed round trip to each domain that answered a probe."""

    def __init__(self) -> None:
        self._seconds_by_domain: dict[types.FailureDomain, float] = {}

    def record(self, domain: types.FailureDomain, seconds: float) -> None:
        """Take in one measurement.

        One that a busy process took late counts as at most a few times the
        known one: a single stall must not make a domain look far away.
        """
        known = self._seconds_by_domain.get(domain)
        if known is None:
            self._seconds_by_domain[domain] = seconds
            return
        bounded = min(seconds, _MOST_OF_OLD * known)
        self._seconds_by_domain[domain] = (
            known + (bounded - known) * _WEIGHT_OF_NEW
        )

    def to(self, domain: types.FailureDomain) -> float | None:
        """Return the round trip in seconds; None if it is not known."""
        return self._seconds_by_domain.get(domain)
