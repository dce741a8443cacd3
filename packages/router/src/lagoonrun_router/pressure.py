"""Which tiers of a pool could not be served a moment ago.

While requests of a tier find no room or no time, no lower tier is let in:
its prompts would take the place of those that are turned away.
"""

import collections
import dataclasses
from collections.abc import Iterable

from lagoonrun_core import types

PRESSURE_SECONDS = 1.5
"""How long a failed request of a tier keeps lower ones out.

About the time in which a runner reads the prompts that wait for it in an
overload; the next failure begins it anew.
"""


LEAST_REQUESTS = 3
"""Failed requests of a tier, at all entry VMs, that keep lower ones out.

A single one may have been given up by an impatient caller or have been lost
with a broken upstream; lower tiers are not turned away for that.
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PressedTier:
    """A tier of a pool that could not be served.

    Parameters
    ----------
    requests
        Requests of the last moments that could not.
    """

    pool: types.PoolName
    tier: types.Tier
    requests: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Place:
    pool: types.PoolName
    tier: types.Tier


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Told:
    pressed: tuple[PressedTier, ...]
    at: float


class Pressure:
    """Failed requests of the last moments, own and told ones."""

    def __init__(self) -> None:
        self._own_by_place: dict[_Place, list[float]] = {}
        self._told_by_peer: dict[types.LoadReporter, _Told] = {}
        self._fleet = _Told(pressed=(), at=float("-inf"))
        self.changed = False

    def record_rejection(
        self, pool: types.PoolName, tier: types.Tier, *, now: float
    ) -> None:
        """Note that a request found no room or no time."""
        place = _Place(pool=pool, tier=tier)
        self._own_by_place.setdefault(place, []).append(now)
        self.changed = True

    def apply_report(
        self,
        peer: types.LoadReporter,
        pressed: tuple[PressedTier, ...],
        *,
        now: float,
    ) -> None:
        """Replace what a peer told of its own requests."""
        self._told_by_peer[peer] = _Told(pressed=pressed, at=now)

    def apply_fleet_report(
        self, pressed: tuple[PressedTier, ...], *, now: float
    ) -> None:
        """Replace what was told of all entry VMs, this one included."""
        self._told_by_peer.clear()
        self._fleet = _Told(pressed=pressed, at=now)

    def higher_tier_pressed(
        self, pool: types.PoolName, tier: types.Tier, *, now: float
    ) -> bool:
        """Return whether a higher tier of the pool cannot be served."""
        known = [*self.recent(now=now)]
        for told in self._told_by_peer.values():
            if now - told.at < PRESSURE_SECONDS:
                known.extend(told.pressed)
        failed = _failed_before(known, pool, tier)
        if now - self._fleet.at < PRESSURE_SECONDS:
            # Own ones are in that sum as well, but for the newest.
            fleet = _failed_before(self._fleet.pressed, pool, tier)
            failed = max(failed, fleet)
        return failed >= LEAST_REQUESTS

    def recent_with(
        self, peers: Iterable[types.LoadReporter], *, now: float
    ) -> tuple[PressedTier, ...]:
        """Return what own requests met and those of `peers`, together."""
        known = [*self.recent(now=now)]
        for peer in peers:
            told = self._told_by_peer.get(peer)
            if told is not None and now - told.at < PRESSURE_SECONDS:
                known.extend(told.pressed)
        requests_by_place: collections.Counter[_Place] = collections.Counter()
        for one in known:
            place = _Place(pool=one.pool, tier=one.tier)
            requests_by_place[place] += one.requests
        return tuple(
            PressedTier(pool=place.pool, tier=place.tier, requests=requests)
            for place, requests in requests_by_place.items()
        )

    def recent(self, *, now: float) -> tuple[PressedTier, ...]:
        """Return what own requests met, for the other entry VMs."""
        for place, times in list(self._own_by_place.items()):
            kept = [at for at in times if now - at < PRESSURE_SECONDS]
            if kept:
                self._own_by_place[place] = kept
            else:
                del self._own_by_place[place]
        return tuple(
            PressedTier(pool=place.pool, tier=place.tier, requests=len(times))
            for place, times in self._own_by_place.items()
        )


def _failed_before(
    pressed: Iterable[PressedTier], pool: types.PoolName, tier: types.Tier
) -> int:
    """Return how many requests of tiers above `tier` could not be served."""
    return sum(
        one.requests for one in pressed if one.pool == pool and one.tier < tier
    )
