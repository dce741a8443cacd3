"""Places at one limited upstream, given out one after the other. Pure decisions.

A token bucket: places come up at the limit's rate, and a few that nobody wanted are
kept. A higher tier goes first: where one of its requests was turned away, the next
place waits for it for a moment. Each tier that asks gets a place now and then.
"""

import dataclasses

from lagoonrun_core import types

FLOOR_SECONDS = 10.0
"""Time after which a tier that asks gets the next place, whoever else wants it."""

_KEPT_SECONDS = 1.0
"""Places of so much time are kept while nobody wants them."""

_LEAST_KEPT = 2.0
"""Places that are kept in any case: one that waits for a higher tier, one for all."""

_RETURN_SECONDS = 0.5
"""Time that a caller that was turned away takes to come back, beyond the wait that it
was told."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """One request may be sent."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """No place is left now.

    Parameters
    ----------
    wait_seconds
        Time until the next one may come up.
    """

    wait_seconds: float


PlaceDecision = Granted | Refused


class PlaceBucket:
    """Gives out the places of one limit.

    Parameters
    ----------
    per_second
        Places that come up in a second; above 0.
    now
        Reading of the clock.
    level
        Places that are left at the beginning, up to 1.
    """

    def __init__(
        self, *, per_second: float, now: float, level: float = 0.0
    ) -> None:
        self._per_second = per_second
        self._level = level
        self._filled_at = now
        self._wanted_until_by_tier: dict[types.Tier, float] = {}
        self._due_at_by_tier: dict[types.Tier, float] = {}

    def use(self, per_second: float, *, now: float) -> None:
        """Replace the rate from now on."""
        self._fill(now)
        self._per_second = per_second

    def take(self, tier: types.Tier, *, now: float) -> PlaceDecision:
        """Take a place for a request of a tier, if one is left for it."""
        self._fill(now)
        self._due_at_by_tier.setdefault(tier, now + FLOOR_SECONDS)
        if self._level >= self._wanted_level(tier, now):
            self._level -= 1.0
            self._wanted_until_by_tier.pop(tier, None)
            self._due_at_by_tier[tier] = now + FLOOR_SECONDS
            return Granted()
        wait_seconds = self._wait_seconds(tier, now)
        self._wanted_until_by_tier[tier] = now + wait_seconds + _RETURN_SECONDS
        return Refused(wait_seconds=wait_seconds)

    def _fill(self, now: float) -> None:
        most = max(_LEAST_KEPT, self._per_second * _KEPT_SECONDS)
        passed = max(0.0, now - self._filled_at)
        self._level = min(most, self._level + passed * self._per_second)
        self._filled_at = now

    def _wanted_level(self, tier: types.Tier, now: float) -> float:
        """Return the level from which a tier may take a place."""
        if self._is_due(tier, now):
            return 1.0
        others = (
            other
            for other, until in self._wanted_until_by_tier.items()
            if other != tier and now < until
        )
        waits = any(
            other < tier or self._is_due(other, now) for other in others
        )
        return 2.0 if waits else 1.0

    def _is_due(self, tier: types.Tier, now: float) -> bool:
        return now >= self._due_at_by_tier.get(tier, now + FLOOR_SECONDS)

    def _wait_seconds(self, tier: types.Tier, now: float) -> float:
        missing = self._wanted_level(tier, now) - self._level
        return max(0.0, missing) / self._per_second
