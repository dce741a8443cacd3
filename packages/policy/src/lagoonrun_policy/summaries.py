"""Summary of a shard for other failure domains."""

from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_policy import class_state, shard, shard_ranking


def summarise(
    shard_state: shard.ShardState, *, now: float
) -> shard_ranking.ShardView:
    """Return the shard's free slots, lowest tiers and expected wait."""
    free = sum(
        int(shard_state.pool.limit_of(r)) - r.in_flight
        for r in shard_state.pool.free(now)
        if not r.health.ejected
    )
    wait = 0.0
    if free == 0 and shard_state.classes:
        lowest = shard_state.classes[-1]
        wait = shard_state.drain_seconds(lowest, lowest.queue.length, now)
    return shard_ranking.ShardView(
        shard=shard_state.policy.shard,
        same_domain=True,
        free=free,
        lowest_waiting_tier=_lowest(
            c for c in shard_state.classes if c.queue.length > 0
        ),
        lowest_running_tier=_lowest(
            c for c in shard_state.classes if c.running > 0
        ),
        wait_seconds=wait,
    )


def _lowest(classes: Iterable[class_state.ClassState]) -> types.Tier:
    return max((c.policy.tier for c in classes), default=shard_ranking.NO_TIER)
