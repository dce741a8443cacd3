"""Places at one limited upstream, given out one after the other. Pure decisions.

A token bucket: places come up at the limit's rate, and a few that nobody wanted are
kept. A higher tier goes first: where one of its requests was turned away, the next
place waits for it for a moment. Each tier that asks gets a place now and then.
"""

import dataclasses

from lagoonrun_core import types

FLOOR_SECONDS = 10.0
"""Time after which a tier that asks gets the next place, whoever else wants it."""

_BURST_SECONDS = 1.0
"""Places of so much time are kept while nobody wants them."""

_MIN_BURST = 2.0
"""Places that are kept in any case: one that waits for a higher tier, one for all."""

_RETRY_GRACE_SECONDS = 0.5
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
        self._refilled_at = now
        self._reserved_until_by_tier: dict[types.Tier, float] = {}
        self._floor_due_at_by_tier: dict[types.Tier, float] = {}

    def set_rate(self, per_second: float, *, now: float) -> None:
        """Replace the rate from now on."""
        self._refill(now)
        self._per_second = per_second

    def acquire(self, tier: types.Tier, *, now: float) -> PlaceDecision:
        """Take a place for a request of a tier, if one is left for it."""
        self._refill(now)
        self._floor_due_at_by_tier.setdefault(tier, now + FLOOR_SECONDS)
        if self._level >= self._required_level(tier, now):
            self._level -= 1.0
            self._reserved_until_by_tier.pop(tier, None)
            self._floor_due_at_by_tier[tier] = now + FLOOR_SECONDS
            return Granted()
        wait_seconds = self._wait_seconds(tier, now)
        self._reserved_until_by_tier[tier] = (
            now + wait_seconds + _RETRY_GRACE_SECONDS
        )
        return Refused(wait_seconds=wait_seconds)

    def _refill(self, now: float) -> None:
        max_level = max(_MIN_BURST, self._per_second * _BURST_SECONDS)
        passed = max(0.0, now - self._refilled_at)
        self._level = min(max_level, self._level + passed * self._per_second)
        self._refilled_at = now

    def _required_level(self, tier: types.Tier, now: float) -> float:
        """Return the level from which a tier may take a place."""
        if self._is_floor_due(tier, now):
            return 1.0
        others = (
            other
            for other, until in self._reserved_until_by_tier.items()
            if other != tier and now < until
        )
        must_yield = any(
            other < tier or self._is_floor_due(other, now) for other in others
        )
        return 2.0 if must_yield else 1.0

    def _is_floor_due(self, tier: types.Tier, now: float) -> bool:
        return now >= self._floor_due_at_by_tier.get(tier, now + FLOOR_SECONDS)

    def _wait_seconds(self, tier: types.Tier, now: float) -> float:
        missing = self._required_level(tier, now) - self._level
        return max(0.0, missing) / self._per_second
