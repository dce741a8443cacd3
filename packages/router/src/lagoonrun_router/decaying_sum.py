"""A sum whose parts fade with time."""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class DecayingSum:
    """A sum in which an amount counts half after each half-life.

    Parameters
    ----------
    value, at
        The sum, and the reading of the clock to which it belongs.
    """

    half_life_seconds: float
    value: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        """Return the sum as it is by `now`."""
        elapsed = max(0.0, now - self.at)
        return self.value * 0.5 ** (elapsed / self.half_life_seconds)

    def add(self, amount: float, now: float) -> None:
        """Add an amount of `now`."""
        self.value = self.read(now) + amount
        self.at = now
