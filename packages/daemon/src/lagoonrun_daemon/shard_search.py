"""Order in which one call asks shards for a permit."""

from collections.abc import Sequence

from lagoonrun_core import outcomes, types
from lagoonrun_daemon import call as calls
from lagoonrun_daemon import permit_types
from lagoonrun_daemon import services as daemon_services
from lagoonrun_membership import shards as membership_shards
from lagoonrun_policy import shard_ranking

_MAXIMUM_SHARDS_ASKED = 5

_SILENCE_SHARE = 0.25
"""Fraction of the time to its target that a call may lose to silent domains."""

_ROUND_TRIPS_TO_REPLY = 1.5


class ShardSearch:
    """Choose shards: those of the own domain, then others by their summaries.

    A domain that was just cut off does not reply, and the membership does not
    know it yet. The time that a call may lose to all such domains is bounded:
    each may use half of the remaining budget, and further shards in the region
    of a silent domain are moved to the end. Before the call is refused, the
    shards given up are asked again with a share of the time to its limit: if
    only the dispatcher of a domain has died, the next-ranked one replies then.

    Parameters
    ----------
    call
        The call to be sent.
    services
        Shared components of the daemon.
    """

    def __init__(
        self, *, call: calls.Call, services: daemon_services.Services
    ) -> None:
        self._call = call
        self._services = services
        self._asked = 0
        self._asked_at = 0.0
        self._silence_budget_seconds = 0.0
        self._others_ranked = False
        self._given_up: list[types.ShardId] = []
        self._is_second_pass = False
        self._remaining_shards = self._own_shards()

    def next_shard(self) -> types.ShardId | None:
        """Return the shard to ask next, or None if there is none left."""
        while self._remaining_shards or self._begin_stage():
            shard = self._remaining_shards.pop(0)
            if self._may_ask(shard):
                self._asked += 1
                return shard
        return None

    def begin_ask(
        self, shard: types.ShardId
    ) -> permit_types.SilenceLimit | None:
        """Start to ask `shard`; return how long it may stay silent.

        Returns None in the own domain, where silence is not limited.
        """
        domain = membership_shards.domain_of(shard)
        fleet = self._services.fleet
        self._asked_at = self._services.clock.monotonic()
        if domain == fleet.domain:
            return None
        self._services.reach.begin_ask(domain)
        distance = fleet.distance_to(domain)
        # Below its round-trip time, every distant domain would seem silent.
        allowed = max(
            self._silence_budget_seconds / 2, _ROUND_TRIPS_TO_REPLY * distance
        )
        return permit_types.SilenceLimit(
            distance_seconds=distance, at=self._asked_at + allowed
        )

    def record_refusal(
        self, shard: types.ShardId, refusal: permit_types.PermitRefusal
    ) -> None:
        """Record that `shard` granted no permit."""
        domain = membership_shards.domain_of(shard)
        fleet = self._services.fleet
        if refusal.reason is not outcomes.Reason.NO_DISPATCHER:
            return
        if domain == fleet.domain:
            return
        if not self._is_second_pass:
            self._given_up.append(shard)
        lost = self._services.clock.monotonic() - self._asked_at
        self._silence_budget_seconds = max(
            0.0, self._silence_budget_seconds - lost
        )
        region = fleet.region_of(domain)
        self._remaining_shards.sort(
            key=lambda other: self._region_of(other) == region
        )

    def _begin_stage(self) -> bool:
        """Determine the next shards to ask; return whether there are any."""
        if not self._others_ranked:
            # Ranked only now, as the wait in the own domain may have been long.
            self._others_ranked = True
            self._remaining_shards = self._other_shards()
        if not self._remaining_shards and self._given_up:
            self._begin_second_pass()
        return bool(self._remaining_shards)

    def _begin_second_pass(self) -> None:
        now = self._services.clock.monotonic()
        remaining = max(self._call.limit_at - now, 0.0)
        self._silence_budget_seconds = _SILENCE_SHARE * remaining
        self._remaining_shards, self._given_up = self._given_up, []
        self._is_second_pass = True

    def _own_shards(self) -> list[types.ShardId]:
        resolved = self._call.resolved
        return self._rank(
            self._services.fleet.own_shard_views(
                resolved.service.pool,
                spread_by=resolved.prefix_hash or self._call.request_id,
            )
        )

    def _other_shards(self) -> list[types.ShardId]:
        now = self._services.clock.monotonic()
        target = self._call.target_at - now
        limit = self._call.limit_at - now
        self._silence_budget_seconds = _SILENCE_SHARE * (
            target if target > 0 else max(limit, 0.0)
        )
        views = self._services.fleet.other_shard_views(
            self._call.resolved.service.pool
        )
        return self._rank([v for v in views if self._may_ask(v.shard)])

    def _rank(
        self, views: Sequence[shard_ranking.ShardView]
    ) -> list[types.ShardId]:
        now = self._services.clock.monotonic()
        return list(
            shard_ranking.rank_shards(
                views,
                tier=self._call.resolved.profile.tier,
                remaining_seconds=self._call.limit_at - now,
                remaining_target_seconds=self._call.target_at - now,
                max_shards=_MAXIMUM_SHARDS_ASKED - self._asked,
            )
        )

    def _may_ask(self, shard: types.ShardId) -> bool:
        domain = membership_shards.domain_of(shard)
        fleet = self._services.fleet
        return domain == fleet.domain or self._services.reach.may_ask(domain)

    def _region_of(self, shard: types.ShardId) -> types.Region:
        domain = membership_shards.domain_of(shard)
        return self._services.fleet.region_of(domain)
