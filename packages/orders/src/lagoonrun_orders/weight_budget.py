"""Limit on the weights that are fetched from the rate-limited store."""

from lagoonrun_core import clock as clock_module


class WeightBudget:
    """Token bucket of bytes.

    A load larger than the bucket is let through when the bucket is full and
    leaves a debt, so that no model is too large ever to be loaded.

    Parameters
    ----------
    bytes_per_second
        Rate of the weight store for this failure domain.
    burst_bytes
        Size of the bucket; it starts full.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        bytes_per_second: float,
        burst_bytes: float,
    ) -> None:
        self._clock = clock
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._available = burst_bytes
        self._counted = clock.monotonic()

    def available_bytes(self) -> float:
        """Return what may be fetched now; negative while in debt."""
        now = self._clock.monotonic()
        earned = (now - self._counted) * self._bytes_per_second
        self._available = min(self._burst_bytes, self._available + earned)
        self._counted = now
        return self._available

    def affords(self, size_bytes: float, *, available: float) -> bool:
        """Return whether a load fits into what is available."""
        return available >= min(size_bytes, self._burst_bytes)

    def spend(self, size_bytes: float) -> None:
        """Take one load's bytes out of the bucket."""
        self._available = self.available_bytes() - size_bytes
