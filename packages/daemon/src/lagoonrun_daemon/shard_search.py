"""The shards that one call asks for a permit, one after the other."""

from collections.abc import Sequence

from lagoonrun_core import outcomes, types
from lagoonrun_daemon import call as calls
from lagoonrun_daemon import permit_types
from lagoonrun_daemon import services as daemon_services
from lagoonrun_membership import shards as membership_shards
from lagoonrun_policy import shard_ranking

_MAXIMUM_SHARDS_ASKED = 5

_SILENCE_SHARE = 0.25
"""Share of the time to the target that silent domains may cost a call."""

_ROUND_TRIPS_TO_ANSWER = 1.5


class ShardSearch:
    """Choose shards: those of the own domain, then others by their summaries.

    A domain that is cut off does not answer, and nobody has told of it yet.
    All such domains together cost a call a bounded share of its time: each
    may use up half of what is left of it, and the region of a silent domain
    comes last from then on. Before the call is refused, those given up so are
    asked again with a share of the time to its limit: of a domain whose
    dispatcher alone has died, the next-ranked one answers then.

    Parameters
    ----------
    call
        The call that is to be sent.
    services
        Shared parts of the daemon.
    """

    def __init__(
        self, *, call: calls.Call, services: daemon_services.Services
    ) -> None:
        self._call = call
        self._services = services
        self._asked = 0
        self._asked_at = 0.0
        self._silence_seconds_left = 0.0
        self._others_ranked = False
        self._given_up: list[types.ShardId] = []
        self._is_second_pass = False
        self._left = self._own_shards()

    def next_shard(self) -> types.ShardId | None:
        """Return whom to ask next, None if there is nobody left."""
        while self._left or self._begin_stage():
            shard = self._left.pop(0)
            if self._may_ask(shard):
                self._asked += 1
                return shard
        return None

    def limits(self, shard: types.ShardId) -> permit_types.SilenceLimit | None:
        """Return how long `shard` may stay silent; None in the own domain."""
        domain = membership_shards.domain_of(shard)
        fleet = self._services.fleet
        self._asked_at = self._services.clock.monotonic()
        if domain == fleet.domain:
            return None
        self._services.reach.begin_ask(domain)
        distance = fleet.distance_to(domain)
        # Less than the way takes would find every far domain silent.
        allowed = max(
            self._silence_seconds_left / 2, _ROUND_TRIPS_TO_ANSWER * distance
        )
        return permit_types.SilenceLimit(
            distance_seconds=distance, at=self._asked_at + allowed
        )

    def note_refusal(
        self, shard: types.ShardId, refusal: permit_types.PermitRefusal
    ) -> None:
        """Take in that `shard` gave no permit."""
        domain = membership_shards.domain_of(shard)
        fleet = self._services.fleet
        if refusal.reason is not outcomes.Reason.NO_DISPATCHER:
            return
        if domain == fleet.domain:
            return
        if not self._is_second_pass:
            self._given_up.append(shard)
        lost = self._services.clock.monotonic() - self._asked_at
        self._silence_seconds_left = max(0.0, self._silence_seconds_left - lost)
        region = fleet.region_of(domain)
        self._left.sort(key=lambda other: self._region_of(other) == region)

    def _begin_stage(self) -> bool:
        """Take the next shards to ask; return whether there are any."""
        if not self._others_ranked:
            # Ranked only now: the own domain's queue may have taken long.
            self._others_ranked = True
            self._left = self._other_shards()
        if not self._left and self._given_up:
            self._begin_second_pass()
        return bool(self._left)

    def _begin_second_pass(self) -> None:
        now = self._services.clock.monotonic()
        remaining = max(self._call.limit_at - now, 0.0)
        self._silence_seconds_left = _SILENCE_SHARE * remaining
        self._left, self._given_up = self._given_up, []
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
        self._silence_seconds_left = _SILENCE_SHARE * (
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
