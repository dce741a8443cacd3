"""Token bucket of the places at one rate-limited upstream, without I/O.

A place is the right to send one request to a rate-limited upstream. Places
accrue at the rate of the limit, and a few unused ones are kept. Higher tiers
take precedence: after a refusal, the next place is reserved for the higher tier
for a short time. Each tier that asks gets a place at a minimum rate.
"""

import dataclasses

from lagoonrun_core import types

FLOOR_SECONDS = 10.0
"""Time after which a tier that asks gets the next place regardless of
others."""

_BURST_SECONDS = 1.0
"""Capacity of the bucket, as the time in which it fills at the limit's rate."""

_MIN_BURST = 2.0
"""Minimum capacity: one place reserved for a higher tier and one for any
tier."""

_RETRY_GRACE_SECONDS = 0.5
"""Time that a refused caller takes to retry, beyond the wait that it was given.
The reservation of its place ends then."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """A place was acquired: one request may be sent."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """No place is available.

    Parameters
    ----------
    wait_seconds
        Minimum time until the next place.
    """

    wait_seconds: float


PlaceDecision = Granted | Refused


class PlaceBucket:
    """Allocates the places of one rate limit.

    Parameters
    ----------
    per_second
        Places that accrue per second, above 0.
    now
        Monotonic time.
    level
        Initial number of places, up to 1.
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
        """Change the rate from `now` on."""
        self._refill(now)
        self._per_second = per_second

    def acquire(self, tier: types.Tier, *, now: float) -> PlaceDecision:
        """Acquire a place for a request of a tier, if one is available."""
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
        """Return the level at which a tier may acquire a place.

        It is one place more while one is reserved for another tier.
        """
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
