"""The daemon's view of the fleet: who dispatches what, who is leaving."""

import dataclasses
import math
from collections.abc import Sequence

import xxhash

from lagoonrun_config import model
from lagoonrun_core import types
from lagoonrun_daemon import shards
from lagoonrun_membership import membership, ranking
from lagoonrun_policy import shard_ranking
from lagoonrun_protocol import messages

_OWN_SHARDS_ASKED = 2
_ASSUMED_NEAR_SECONDS = 0.005
_ASSUMED_FAR_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Place:
    """Where a shard is, as seen from here."""

    own: bool
    near: bool
    distance_seconds: float
    reachable: bool


_OWN_PLACE = _Place(own=True, near=True, distance_seconds=0.0, reachable=True)


class FleetView:
    """Join the configuration in force with the membership.

    Parameters
    ----------
    entry_vm, domain
        This entry VM and its failure domain.
    members
        Source of live entry VMs and leaving upstreams.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        domain: types.FailureDomain,
        members: membership.Membership,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._members = members
        self._configuration: model.Configuration | None = None
        self._known_domains: Sequence[types.FailureDomain] | None = None
        self._shards_by_id: dict[types.ShardId, shards.Shard] = {}
        self._shards_by_pool: dict[types.PoolName, list[shards.Shard]] = {}
        self._ranked_by_shard: dict[
            types.ShardId, tuple[types.EntryVmId, ...]
        ] = {}

    @property
    def domain(self) -> types.FailureDomain:
        """Failure domain of this entry VM."""
        return self._domain

    @property
    def configuration(self) -> model.Configuration | None:
        """Configuration in force, None before the first."""
        return self._configuration

    @property
    def shards_by_id(self) -> dict[types.ShardId, shards.Shard]:
        """All shards of the configuration in force."""
        return self._shards_by_id

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Take over a new revision."""
        self._configuration = configuration
        self._shards_by_id = {
            shard.id: shard for shard in shards.shards_of(configuration)
        }
        self._shards_by_pool = {}
        for shard in self._shards_by_id.values():
            self._shards_by_pool.setdefault(shard.pool, []).append(shard)
        self._ranked_by_shard.clear()

    def on_members_changed(self) -> None:
        """Forget rankings that older memberships gave."""
        self._known_domains = None
        self._ranked_by_shard.clear()

    def ranked_for(self, shard: types.ShardId) -> Sequence[types.EntryVmId]:
        """Return the live entry VMs that may dispatch `shard`, best first.

        Only entry VMs of the shard's own failure domain dispatch it, unless
        none of them lives; then any live one of its region does. Empty where
        a whole region other than the own one is dead: it is most likely cut
        off, and grants for its runners would be in vain.
        """
        ranked = self._ranked_by_shard.get(shard)
        if ranked is None:
            ranked = self._rank(shard)
            self._ranked_by_shard[shard] = ranked
        return ranked

    def owner_of(self, shard: types.ShardId) -> types.EntryVmId | None:
        """Return the entry VM ranked first for `shard`."""
        ranked = self.ranked_for(shard)
        return ranked[0] if ranked else None

    def leaving_upstreams(self) -> frozenset[types.UpstreamId]:
        """Return the upstreams that get no new work."""
        if self._configuration is None:
            return frozenset()
        return frozenset(
            upstream
            for upstream in self._configuration.upstreams_by_id
            if self.is_leaving(upstream)
        )

    def is_leaving(self, upstream: types.UpstreamId) -> bool:
        """Return whether `upstream` gets no new work.

        It is leaving by the word of the upstream or of the platform, or an
        operator drains it by the configuration.
        """
        if self._members.upstream_is_leaving(upstream):
            return True
        if self._configuration is None:
            return False
        declared = self._configuration.upstreams_by_id.get(upstream)
        return declared is not None and declared.draining

    def region_of(self, domain: types.FailureDomain) -> types.Region:
        """Return the region of a failure domain."""
        if self._configuration is None:
            return model.NO_REGION
        return self._configuration.region_of(domain)

    def distance_to(self, domain: types.FailureDomain) -> float:
        """Return the round trip to a domain in seconds.

        Measured on probes of the membership; assumed where none was answered
        yet.
        """
        if domain == self._domain:
            return 0.0
        measured = self._members.round_trip_to(domain)
        if measured is not None:
            return measured
        if self._is_near(domain):
            return _ASSUMED_NEAR_SECONDS
        return _ASSUMED_FAR_SECONDS

    def own_shard_views(
        self, pool: types.PoolName, *, spread_by: int | str
    ) -> Sequence[shard_ranking.ShardView]:
        """Return what is known of the shards of `pool` in the own domain.

        Parameters
        ----------
        spread_by
            Two shards are chosen by it where there are more: requests with
            one prefix meet the same two, and no shard is asked by all at
            once because its summary looked best.
        """
        shards_here = [
            shard.id
            for shard in self._shards_by_pool.get(pool, ())
            if shard.domain == self._domain
        ]
        return [
            _view(shard, self._members.summary_of(shard), _OWN_PLACE)
            for shard in _spread(shards_here, spread_by)
        ]

    def other_shard_views(
        self, pool: types.PoolName
    ) -> Sequence[shard_ranking.ShardView]:
        """Return what is known of the shards of `pool` in other domains."""
        places_by_domain: dict[types.FailureDomain, _Place] = {}
        views = []
        for shard in self._shards_by_pool.get(pool, ()):
            if shard.domain == self._domain:
                continue
            place = places_by_domain.get(shard.domain)
            if place is None:
                place = self._place_of(shard.domain)
                places_by_domain[shard.domain] = place
            views.append(
                _view(shard.id, self._members.summary_of(shard.id), place)
            )
        return views

    def _place_of(self, domain: types.FailureDomain) -> _Place:
        near = self._is_near(domain)
        return _Place(
            own=False,
            near=near,
            distance_seconds=self.distance_to(domain),
            # A far region without a living member is cut off: its runners
            # would be asked in vain, whoever dispatched them.
            reachable=near or bool(self._live_in_region_of(domain)),
        )

    def _is_near(self, domain: types.FailureDomain) -> bool:
        return self.region_of(domain) == self.region_of(self._domain)

    def _live_in_region_of(
        self, domain: types.FailureDomain
    ) -> tuple[types.EntryVmId, ...]:
        region = self.region_of(domain)
        return tuple(
            vm
            for other in self._domains()
            if self.region_of(other) == region
            for vm in self._members.eligible_in(other)
        )

    def _rank(self, shard: types.ShardId) -> tuple[types.EntryVmId, ...]:
        domain = self._shards_by_id[shard].domain
        live = self._members.eligible_in(domain)
        if not live:
            live = self._live_in_region_of(domain)
        if not live and self._is_near(domain):
            # This entry VM runs, whatever the others believe of it: while
            # it stops as the last one, or has just come back, it goes on
            # dispatching for itself.
            live = (self._entry_vm,)
        return ranking.rank_entry_vms(shard, live)

    def _domains(self) -> Sequence[types.FailureDomain]:
        if self._known_domains is None:
            members = self._members.members_by_id.values()
            self._known_domains = sorted({m.domain for m in members})
        return self._known_domains


def _view(
    shard: types.ShardId, summary: messages.ShardSummary | None, place: _Place
) -> shard_ranking.ShardView:
    if summary is None:
        return shard_ranking.ShardView(
            shard=shard,
            same_domain=place.own,
            same_region=place.near,
            distance_seconds=place.distance_seconds,
            reachable=place.reachable,
            age_seconds=math.inf,
        )
    return shard_ranking.ShardView(
        shard=shard,
        same_domain=place.own,
        same_region=place.near,
        distance_seconds=place.distance_seconds,
        reachable=place.reachable,
        free=summary.free,
        lowest_waiting_tier=summary.lowest_waiting_tier,
        lowest_running_tier=summary.lowest_running_tier,
        wait_seconds=summary.wait_seconds,
        age_seconds=summary.age_seconds,
    )


def _spread(
    shards_here: Sequence[types.ShardId], spread_by: int | str
) -> Sequence[types.ShardId]:
    if len(shards_here) <= _OWN_SHARDS_ASKED:
        return shards_here
    seed = xxhash.xxh3_64_intdigest(str(spread_by).encode())
    return sorted(
        shards_here,
        key=lambda shard: xxhash.xxh3_64_intdigest(shard.encode(), seed=seed),
    )[:_OWN_SHARDS_ASKED]
