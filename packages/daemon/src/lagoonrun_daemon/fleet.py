"""The daemon's view of the fleet: shard owners and leaving upstreams."""

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

_MAX_OWN_SHARDS = 2
_ASSUMED_SAME_REGION_SECONDS = 0.005
_ASSUMED_OTHER_REGION_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ShardLocation:
    """Location of a shard relative to this entry VM."""

    same_domain: bool
    same_region: bool
    distance_seconds: float
    reachable: bool


_OWN_LOCATION = _ShardLocation(
    same_domain=True, same_region=True, distance_seconds=0.0, reachable=True
)


class FleetView:
    """Combine the configuration in force with the membership.

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
        self._cached_domains: Sequence[types.FailureDomain] | None = None
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
        """Apply a new configuration revision."""
        self._configuration = configuration
        self._shards_by_id = {
            shard.id: shard for shard in shards.shards_of(configuration)
        }
        self._shards_by_pool = {}
        for shard in self._shards_by_id.values():
            self._shards_by_pool.setdefault(shard.pool, []).append(shard)
        self._ranked_by_shard.clear()

    def on_members_changed(self) -> None:
        """Invalidate the rankings computed from the previous membership."""
        self._cached_domains = None
        self._ranked_by_shard.clear()

    def ranked_for(self, shard: types.ShardId) -> Sequence[types.EntryVmId]:
        """Return the live entry VMs that may dispatch `shard`, best first.

        Only entry VMs of the shard's own failure domain dispatch it, unless
        none of them is alive; then any live one of its region does. Empty if
        all entry VMs of another region are dead: the region is probably cut
        off, and grants for its runners would be useless.
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
        """Return the upstreams that get no new requests."""
        if self._configuration is None:
            return frozenset()
        return frozenset(
            upstream
            for upstream in self._configuration.upstreams_by_id
            if self.is_leaving(upstream)
        )

    def is_leaving(self, upstream: types.UpstreamId) -> bool:
        """Return whether `upstream` gets no new requests.

        The upstream or the platform has reported that it is leaving, or an
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
        """Return the round-trip time to a domain in seconds.

        Measured by the membership's probes; a default before the first reply
        to a probe.
        """
        if domain == self._domain:
            return 0.0
        measured = self._members.round_trip_to(domain)
        if measured is not None:
            return measured
        if self._is_same_region(domain):
            return _ASSUMED_SAME_REGION_SECONDS
        return _ASSUMED_OTHER_REGION_SECONDS

    def own_shard_views(
        self, pool: types.PoolName, *, spread_by: int | str
    ) -> Sequence[shard_ranking.ShardView]:
        """Return the views of the shards of `pool` in the own domain.

        Parameters
        ----------
        spread_by
            Hash key that selects two shards if there are more, so that
            requests with the same prefix get the same two, and not all
            requests ask the one shard whose summary looks best.
        """
        shards_here = [
            shard.id
            for shard in self._shards_by_pool.get(pool, ())
            if shard.domain == self._domain
        ]
        return [
            _view(shard, self._members.summary_of(shard), _OWN_LOCATION)
            for shard in _spread(shards_here, spread_by)
        ]

    def other_shard_views(
        self, pool: types.PoolName
    ) -> Sequence[shard_ranking.ShardView]:
        """Return the views of the shards of `pool` in other domains."""
        locations_by_domain: dict[types.FailureDomain, _ShardLocation] = {}
        views = []
        for shard in self._shards_by_pool.get(pool, ()):
            if shard.domain == self._domain:
                continue
            location = locations_by_domain.get(shard.domain)
            if location is None:
                location = self._location_of(shard.domain)
                locations_by_domain[shard.domain] = location
            views.append(
                _view(shard.id, self._members.summary_of(shard.id), location)
            )
        return views

    def _location_of(self, domain: types.FailureDomain) -> _ShardLocation:
        same_region = self._is_same_region(domain)
        return _ShardLocation(
            same_domain=False,
            same_region=same_region,
            distance_seconds=self.distance_to(domain),
            # Another region without a live member is cut off: its runners
            # cannot be reached, whichever entry VM dispatches them.
            reachable=same_region or bool(self._live_in_region_of(domain)),
        )

    def _is_same_region(self, domain: types.FailureDomain) -> bool:
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
        if not live and self._is_same_region(domain):
            # This entry VM is running, whatever state the membership has
            # for it: while it stops as the last one, or has just returned,
            # it continues to dispatch for itself.
            live = (self._entry_vm,)
        return ranking.rank_entry_vms(shard, live)

    def _domains(self) -> Sequence[types.FailureDomain]:
        if self._cached_domains is None:
            members = self._members.members_by_id.values()
            self._cached_domains = sorted({m.domain for m in members})
        return self._cached_domains


def _view(
    shard: types.ShardId,
    summary: messages.ShardSummary | None,
    location: _ShardLocation,
) -> shard_ranking.ShardView:
    if summary is None:
        return shard_ranking.ShardView(
            shard=shard,
            same_domain=location.same_domain,
            same_region=location.same_region,
            distance_seconds=location.distance_seconds,
            reachable=location.reachable,
            age_seconds=math.inf,
        )
    return shard_ranking.ShardView(
        shard=shard,
        same_domain=location.same_domain,
        same_region=location.same_region,
        distance_seconds=location.distance_seconds,
        reachable=location.reachable,
        free=summary.free,
        lowest_waiting_tier=summary.lowest_waiting_tier,
        lowest_running_tier=summary.lowest_running_tier,
        wait_seconds=summary.wait_seconds,
        age_seconds=summary.age_seconds,
    )


def _spread(
    shards_here: Sequence[types.ShardId], spread_by: int | str
) -> Sequence[types.ShardId]:
    if len(shards_here) <= _MAX_OWN_SHARDS:
        return shards_here
    seed = xxhash.xxh3_64_intdigest(str(spread_by).encode())
    return sorted(
        shards_here,
        key=lambda shard: xxhash.xxh3_64_intdigest(shard.encode(), seed=seed),
    )[:_MAX_OWN_SHARDS]
