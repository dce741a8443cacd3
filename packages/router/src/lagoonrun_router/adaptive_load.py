"""State of the adaptive pools of one entry VM.

A pool is adaptive if one of its upstreams states in its answers how long work
takes there at the moment, or if the deployment declares that its callers compete
for capacity. In the other pools nothing is recorded and nothing is sent.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from lagoonrun_core import types
from lagoonrun_router import (
    declarations,
    demand_row,
    load_report,
    organisation_shares,
    pool_medians,
    return_schedule,
    shared_room,
    upstream_speeds,
    upstreams,
)

ROOM_SECONDS = 0.05
"""Time for which the room of a pool is not computed again: the interval at which
reports arrive at most."""

_SPEED_STEP = 0.5
"""Step to which relative speeds are rounded where entry VMs have to agree on
them. Estimates of different entry VMs differ by about an eighth."""

_ROUNDED_SECONDS = 1.0
"""Time for which rounded speeds are reused. They are needed for each request,
and those of 11,000 upstreams take about 30 ms."""

OverrideLookup = Callable[[types.OrganisationId], float | None]
"""Returns the weight that an operator has set; None for none."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _RoundedSpeeds:
    """Rounded relative speeds of upstreams at a monotonic time."""

    ids: tuple[types.UpstreamId, ...]
    speeds: tuple[float, ...]
    at: float


class AdaptiveLoad:
    """Speeds, shares, room and invitations of the adaptive pools.

    Parameters
    ----------
    contended
        Whether all pools of engines are adaptive.
    weight_override
        Looks up the weights that operators have set.
    pool_of
        Returns the pool of an upstream; None if it is unknown.

    Attributes
    ----------
    speeds
        Estimated speeds of upstreams.
    shares
        Demand and shares of organisations.
    schedule
        Callers that were told to return.
    """

    def __init__(
        self,
        *,
        contended: bool,
        weight_override: OverrideLookup,
        pool_of: pool_medians.PoolLookup = pool_medians.single_pool,
    ) -> None:
        self._contended = contended
        self._weight_override = weight_override
        self._adaptive_pools: set[types.PoolName] = set()
        self._weights_by_organisation: dict[types.OrganisationId, float] = {}
        self._rooms_by_pool: dict[
            types.PoolName, tuple[float, tuple[shared_room.TierRoom, ...]]
        ] = {}
        self._rounded_by_pool: dict[types.PoolName, _RoundedSpeeds] = {}
        self.speeds = upstream_speeds.UpstreamSpeeds(pool_of=pool_of)
        self.shares = organisation_shares.OrganisationShares()
        self.schedule = return_schedule.ReturnSchedule()

    def apply_declarations(self, declared: declarations.Declarations) -> None:
        """Replace the declared organisations and pools."""
        ranked = declared.organisations_by_id
        tiers = max((one.tier or 1 for one in ranked.values()), default=1)
        self._weights_by_organisation = {
            id: float(tiers - (one.tier or tiers) + 1)
            for id, one in ranked.items()
        }
        self._adaptive_pools &= set(declared.pools_by_name)
        self._rooms_by_pool.clear()
        self._rounded_by_pool.clear()

    def is_adaptive(
        self,
        pool: declarations.Pool,
        registered: Iterable[upstreams.Registration],
    ) -> bool:
        """Return whether a pool is adaptive.

        Parameters
        ----------
        registered
            Upstreams of the pool.
        """
        if pool.name in self._adaptive_pools:
            return True
        if not (
            (self._contended and pool.engine is not None)
            or self.states_slowness(registered)
        ):
            return False
        self._adaptive_pools.add(pool.name)
        return True

    def states_slowness(
        self, registered: Iterable[upstreams.Registration]
    ) -> bool:
        """Return whether an upstream of a pool states how long work takes.

        Without such statements, the upstreams are taken to be equally fast:
        measured speeds alone differ by queues that are not known.
        """
        if not self.speeds.upstreams:
            return False
        return any(self.speeds.states_slowness(one.id) for one in registered)

    def rounded_speeds(
        self,
        pool: types.PoolName,
        ids: tuple[types.UpstreamId, ...],
        *,
        now: float,
    ) -> tuple[float, ...]:
        """Return relative speeds, rounded so that entry VMs agree on them.

        They are at most one second old.
        """
        known = self._rounded_by_pool.get(pool)
        if (
            known is None
            or known.ids != ids
            or not 0.0 <= now - known.at < _ROUNDED_SECONDS
        ):
            known = self._rounded_by_pool[pool] = _RoundedSpeeds(
                ids=ids,
                speeds=tuple(
                    _rounded(self.speeds.estimate(id, now=now).relative_speed)
                    for id in ids
                ),
                at=now,
            )
        return known.speeds

    @property
    def adaptive_pools(self) -> frozenset[types.PoolName]:
        """Names of the pools that were found to be adaptive."""
        return frozenset(self._adaptive_pools)

    def record_report(
        self,
        upstream: upstreams.Registration,
        report: load_report.LoadReport,
        *,
        now: float,
    ) -> None:
        """Record the load that an upstream states in an answer.

        Without the slowness it is not used, and not recorded.
        """
        if report.slowness is None:
            return
        self._adaptive_pools.add(upstream.pool)
        self.speeds.record_report(upstream.id, upstream.start, report, now=now)

    def weight_of(self, organisation: types.OrganisationId) -> float:
        """Return the weight of an organisation's share."""
        override = self._weight_override(organisation)
        if override is not None:
            return override
        return self._weights_by_organisation.get(organisation, 1.0)

    def rooms(
        self,
        pool: types.PoolName,
        *,
        compute: Callable[[], tuple[shared_room.TierRoom, ...]],
        recompute: bool = False,
        max_age_seconds: float = ROOM_SECONDS,
        now: float,
    ) -> tuple[shared_room.TierRoom, ...]:
        """Return the room of a pool by tier.

        Parameters
        ----------
        compute
            Computes the room of all tiers.
        recompute
            Whether the room has to be the present one.
        max_age_seconds
            Time for which a computed room is used again.
        """
        known = self._rooms_by_pool.get(pool)
        if (
            not recompute
            and known is not None
            and 0.0 <= now - known[0] < max_age_seconds
        ):
            return known[1]
        computed = compute()
        self._rooms_by_pool[pool] = (now, computed)
        return computed

    def latest_rooms(
        self,
    ) -> Mapping[types.PoolName, tuple[shared_room.TierRoom, ...]]:
        """Return the room by pool as last computed."""
        return {pool: rooms for pool, (_, rooms) in self._rooms_by_pool.items()}

    def share_key(
        self, pool: types.PoolName, tier: types.Tier
    ) -> demand_row.ShareKey:
        """Return the key under which the demand of a tier is counted."""
        return demand_row.ShareKey(pool=pool, tier=tier)

    def forget_instance(self, upstream: types.UpstreamId) -> None:
        """Forget the speed of an upstream that has restarted."""
        self.speeds.forget_instance(upstream)

    def forget_upstreams(self, known: Iterable[types.UpstreamId]) -> None:
        """Forget the speeds of upstreams that are not in `known`."""
        self.speeds.forget_upstreams(known)


def _rounded(relative_speed: float) -> float:
    return max(1, round(relative_speed / _SPEED_STEP)) * _SPEED_STEP
