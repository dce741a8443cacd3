"""Tiers of a pool whose requests could not be admitted recently.

While requests of a tier are rejected for lack of capacity or time, no lower
tier is admitted: its prompts would use the capacity that the rejected ones
need.
"""

import collections
import dataclasses
from collections.abc import Iterable

from lagoonrun_core import types

PRESSURE_SECONDS = 1.5
"""How long a rejection blocks lower tiers; each further one restarts the time.

About the time that a runner takes to prefill its queue in an overload.
"""


MIN_REJECTIONS = 3
"""Rejected requests of a tier, at all entry VMs together, that block lower
tiers.

A single one may be due to an impatient caller or a broken upstream, which is no
reason to reject lower tiers.
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PressedTier:
    """A tier of a pool with recently rejected requests.

    Parameters
    ----------
    requests
        Number of rejected requests within `PRESSURE_SECONDS`.
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
    """Recently rejected requests, at this entry VM and as reported by others.

    Attributes
    ----------
    changed
        Whether there were rejections that peers have not been sent yet.
    """

    def __init__(self) -> None:
        self._own_times_by_key: dict[_PoolTier, list[float]] = {}
        self._report_by_peer: dict[types.LoadReporter, _Report] = {}
        self._fleet_report = _Report(pressed=(), at=float("-inf"))
        self.changed = False

    def record_rejection(
        self, pool: types.PoolName, tier: types.Tier, *, now: float
    ) -> None:
        """Record a request rejected for lack of capacity or time."""
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
        """Replace a peer's report of its own rejections."""
        self._report_by_peer[peer] = _Report(pressed=pressed, at=now)

    def apply_fleet_report(
        self, pressed: tuple[PressedTier, ...], *, now: float
    ) -> None:
        """Replace the sum of rejections at all entry VMs, own included."""
        self._report_by_peer.clear()
        self._fleet_report = _Report(pressed=pressed, at=now)

    def higher_tier_pressed(
        self, pool: types.PoolName, tier: types.Tier, *, now: float
    ) -> bool:
        """Return whether a higher tier of the pool could not be admitted."""
        counted = [*self.recent(now=now)]
        for report in self._report_by_peer.values():
            if now - report.at < PRESSURE_SECONDS:
                counted.extend(report.pressed)
        rejections = _rejections_above(counted, pool, tier)
        if now - self._fleet_report.at < PRESSURE_SECONDS:
            # The sum includes own rejections except the newest, so the two
            # counts must not be added.
            fleet_rejections = _rejections_above(
                self._fleet_report.pressed, pool, tier
            )
            rejections = max(rejections, fleet_rejections)
        return rejections >= MIN_REJECTIONS

    def recent_with(
        self, peers: Iterable[types.LoadReporter], *, now: float
    ) -> tuple[PressedTier, ...]:
        """Return the sum of own rejections and those reported by `peers`."""
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
        """Return own rejections, to be reported to the other entry VMs."""
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
    """Return the number of rejected requests of tiers above `tier`."""
    return sum(
        one.requests for one in pressed if one.pool == pool and one.tier < tier
    )
