"""Summary of a shard for the other failure domains."""

from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_policy import class_state, shard, shard_ranking


def summarise(shared: shard.Shard, *, now: float) -> shard_ranking.ShardView:
    """Return the shard's room, lowest tiers and expected wait."""
    free = sum(
        int(shared.pool.limit(r)) - r.in_flight
        for r in shared.pool.free(now)
        if not r.health.ejected
    )
    wait = 0.0
    if free == 0 and shared.classes:
        lowest = shared.classes[-1]
        wait = shared.drain_seconds(lowest, lowest.queue.length, now)
    return shard_ranking.ShardView(
        shard=shared.policy.shard,
        same_domain=True,
        free=free,
        lowest_waiting_tier=_lowest(
            c for c in shared.classes if c.queue.length > 0
        ),
        lowest_running_tier=_lowest(c for c in shared.classes if c.running > 0),
        wait_seconds=wait,
    )


def _lowest(classes: Iterable[class_state.ClassState]) -> types.Tier:
    return max((c.policy.tier for c in classes), default=shard_ranking.NO_TIER)
