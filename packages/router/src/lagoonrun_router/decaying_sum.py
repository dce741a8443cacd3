"""An exponentially decaying sum."""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class DecayingSum:
    """A sum in which each amount decays exponentially.

    Parameters
    ----------
    half_life_seconds
        Time in which an amount decays to half of its value.
    value, at
        The sum, and the monotonic time at which it was computed.
    """

    half_life_seconds: float
    value: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        """Return the sum decayed to `now`."""
        elapsed = max(0.0, now - self.at)
        return self.value * 0.5 ** (elapsed / self.half_life_seconds)

    def add(self, amount: float, now: float) -> None:
        """Add an amount at time `now`."""
        self.value = self.read(now) + amount
        self.at = now
