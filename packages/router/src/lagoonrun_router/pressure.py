"""Which tiers of a pool could not be served a moment ago.

While requests of a tier find no room or no time, no lower tier is let in:
its prompts would take the place of those that are turned away.
"""

import dataclasses

from lagoonrun_core import types

PRESSURE_SECONDS = 1.5
"""How long a failed request of a tier keeps lower ones out.

About the time in which a runner reads the prompts that wait for it in an
overload; the next failure begins it anew.
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pressed:
    """A tier of a pool that could not be served.

    Parameters
    ----------
    age_seconds
        Time since its latest request that could not.
    """

    pool: types.PoolName
    tier: types.Tier
    age_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Place:
    pool: types.PoolName
    tier: types.Tier


class Pressure:
    """Latest failures by pool and tier, own and told ones."""

    def __init__(self) -> None:
        self._at_by_place: dict[_Place, float] = {}
        self.changed = False

    def note(
        self, pool: types.PoolName, tier: types.Tier, *, now: float
    ) -> None:
        """Note that a request found no room or no time."""
        self._at_by_place[_Place(pool=pool, tier=tier)] = now
        self.changed = True

    def take_told(self, pressed: Pressed, *, now: float) -> None:
        """Take in what a peer met."""
        place = _Place(pool=pressed.pool, tier=pressed.tier)
        at = now - pressed.age_seconds
        self._at_by_place[place] = max(at, self._at_by_place.get(place, at))

    def keeps_out(
        self, pool: types.PoolName, tier: types.Tier, *, now: float
    ) -> bool:
        """Return whether a higher tier of the pool could not be served."""
        return any(
            place.pool == pool
            and place.tier < tier
            and now - at < PRESSURE_SECONDS
            for place, at in self._at_by_place.items()
        )

    def recent(self, *, now: float) -> tuple[Pressed, ...]:
        """Return what still counts, for the other entry VMs."""
        for place, at in list(self._at_by_place.items()):
            if now - at >= PRESSURE_SECONDS:
                del self._at_by_place[place]
        return tuple(
            Pressed(pool=place.pool, tier=place.tier, age_seconds=now - at)
            for place, at in self._at_by_place.items()
        )
