"""The daemon's view of the fleet: who dispatches what, who is leaving."""

from collections.abc import Sequence

from lagoonrun_config import model
from lagoonrun_core import types
from lagoonrun_daemon import shards
from lagoonrun_membership import membership, ranking


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
        self._shards_by_id: dict[types.ShardId, shards.Shard] = {}
        self._shards_by_pool: dict[types.PoolName, list[shards.Shard]] = {}
        self._ranked_by_shard: dict[
            types.ShardId, tuple[types.EntryVmId, ...]
        ] = {}

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
        self._ranked_by_shard.clear()

    def ranked_for(self, shard: types.ShardId) -> Sequence[types.EntryVmId]:
        """Return the live entry VMs that may dispatch `shard`, best first.

        Only entry VMs of the shard's own failure domain dispatch it, unless
        none of them lives; then any live one does.
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
            if self._members.upstream_is_leaving(upstream)
        )

    def is_leaving(self, upstream: types.UpstreamId) -> bool:
        """Return whether `upstream` gets no new work."""
        return self._members.upstream_is_leaving(upstream)

    def shards_of_pool(self, pool: types.PoolName) -> Sequence[shards.Shard]:
        """Return the pool's shards, those of the own domain first."""
        return sorted(
            self._shards_by_pool.get(pool, ()),
            key=lambda shard: (shard.domain != self._domain, shard.id),
        )

    def _rank(self, shard: types.ShardId) -> tuple[types.EntryVmId, ...]:
        domain = self._shards_by_id[shard].domain
        live = self._members.live_in(domain)
        if not live:
            live = tuple(
                vm
                for other in self._domains()
                for vm in self._members.live_in(other)
            )
        return ranking.rank_entry_vms(shard, live)

    def _domains(self) -> Sequence[types.FailureDomain]:
        members = self._members.members_by_id.values()
        return sorted({member.domain for member in members})
