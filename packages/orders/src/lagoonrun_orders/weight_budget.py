"""Limit on the model weights that are fetched from a rate-limited store."""

from lagoonrun_core import clock as clock_module


class WeightBudget:
    """Token bucket of bytes.

    A load larger than the bucket is allowed when the bucket is full and leaves
    a debt, so that no model is too large to be loaded.

    Parameters
    ----------
    bytes_per_second
        Rate of the weight store for this failure domain.
    burst_bytes
        Size of the bucket; it is full at the start.
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
        self._refilled_at = clock.monotonic()

    def available_bytes(self) -> float:
        """Return how much may be fetched now; negative while in debt."""
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * self._bytes_per_second
        self._available = min(self._burst_bytes, self._available + refill)
        self._refilled_at = now
        return self._available

    def allows(self, size_bytes: float, *, available: float) -> bool:
        """Return whether a load fits into the available bytes."""
        return available >= min(size_bytes, self._burst_bytes)

    def spend(self, size_bytes: float) -> None:
        """Take the bytes of one load out of the bucket."""
        self._available = self.available_bytes() - size_bytes
