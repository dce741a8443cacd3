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
class _PoolTier:
    pool: types.PoolName
    tier: types.Tier


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Report:
    pressed: tuple[PressedTier, ...]
    at: float


class Pressure:
    """Failed requests of the last moments, own and told ones."""

    def __init__(self) -> None:
        self._own_times_by_key: dict[_PoolTier, list[float]] = {}
        self._report_by_peer: dict[types.LoadReporter, _Report] = {}
        self._fleet_report = _Report(pressed=(), at=float("-inf"))
        self.changed = False

    def record_rejection(
        self, pool: types.PoolName, tier: types.Tier, *, now: float
    ) -> None:
        """Note that a request found no room or no time."""
        key = _PoolTier(pool=pool, tier=tier)
        self._own_times_by_key.setdefault(key, []).append(now)
        self.changed = True

    def apply_report(
        self,
        peer: types.LoadReporter,
        pressed: tuple[PressedTier, ...],
        *,
        now: float,
    ) -> None:
        """Replace what a peer told of its own requests."""
        self._report_by_peer[peer] = _Report(pressed=pressed, at=now)

    def apply_fleet_report(
        self, pressed: tuple[PressedTier, ...], *, now: float
    ) -> None:
        """Replace what was told of all entry VMs, this one included."""
        self._report_by_peer.clear()
        self._fleet_report = _Report(pressed=pressed, at=now)

    def higher_tier_pressed(
        self, pool: types.PoolName, tier: types.Tier, *, now: float
    ) -> bool:
        """Return whether a higher tier of the pool cannot be served."""
        counted = [*self.recent(now=now)]
        for report in self._report_by_peer.values():
            if now - report.at < PRESSURE_SECONDS:
                counted.extend(report.pressed)
        rejections = _rejections_above(counted, pool, tier)
        if now - self._fleet_report.at < PRESSURE_SECONDS:
            # Own ones are in that sum as well, but for the newest.
            fleet_rejections = _rejections_above(
                self._fleet_report.pressed, pool, tier
            )
            rejections = max(rejections, fleet_rejections)
        return rejections >= LEAST_REQUESTS

    def recent_with(
        self, peers: Iterable[types.LoadReporter], *, now: float
    ) -> tuple[PressedTier, ...]:
        """Return what own requests met and those of `peers`, together."""
        counted = [*self.recent(now=now)]
        for peer in peers:
            report = self._report_by_peer.get(peer)
            if report is not None and now - report.at < PRESSURE_SECONDS:
                counted.extend(report.pressed)
        requests_by_key: collections.Counter[_PoolTier] = collections.Counter()
        for one in counted:
            key = _PoolTier(pool=one.pool, tier=one.tier)
            requests_by_key[key] += one.requests
        return tuple(
            PressedTier(pool=key.pool, tier=key.tier, requests=requests)
            for key, requests in requests_by_key.items()
        )

    def recent(self, *, now: float) -> tuple[PressedTier, ...]:
        """Return what own requests met, for the other entry VMs."""
        for key, times in list(self._own_times_by_key.items()):
            kept = [at for at in times if now - at < PRESSURE_SECONDS]
            if kept:
                self._own_times_by_key[key] = kept
            else:
                del self._own_times_by_key[key]
        return tuple(
            PressedTier(pool=key.pool, tier=key.tier, requests=len(times))
            for key, times in self._own_times_by_key.items()
        )


def _rejections_above(
    pressed: Iterable[PressedTier], pool: types.PoolName, tier: types.Tier
) -> int:
    """Return how many requests of tiers above `tier` could not be served."""
    return sum(
        one.requests for one in pressed if one.pool == pool and one.tier < tier
    )
