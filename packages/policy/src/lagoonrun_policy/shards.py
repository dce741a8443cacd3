"""Which shard to ask: the own domain's first, then others by their summary."""

import dataclasses
import enum
from collections.abc import Iterable

from lagoonrun_core import types

NO_TIER = types.Tier(0)
"""Stands for "none waits" or "none runs" in a summary."""

_OLD_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShardView:
    """What an ingress knows of one shard of a pool.

    Parameters
    ----------
    own
        Whether the shard is in the ingress's own failure domain.
    reachable
        Whether its dispatcher answers, as far as is known.
    free
        Requests that could start at once.
    lowest_waiting_tier, lowest_running_tier
        Highest number that waits or runs; `NO_TIER` for none.
    wait_seconds
        Expected wait of a new request of the lowest tier.
    age_seconds
        Age of the summary; the own shard may have none (infinity).
    """

    shard: types.ShardId
    own: bool
    reachable: bool = True
    free: int = 0
    lowest_waiting_tier: types.Tier = NO_TIER
    lowest_running_tier: types.Tier = NO_TIER
    wait_seconds: float = 0.0
    age_seconds: float = 0.0


class _Rank(enum.IntEnum):
    """How promising a shard is, best first."""

    OWN = 0
    FREE = 1
    ADMITS_LOWER_TIER = 2
    QUEUES = 3
    OLD_SUMMARY = 4


def rank_shards(
    views: Iterable[ShardView],
    *,
    tier: types.Tier,
    remaining_seconds: float,
) -> tuple[types.ShardId, ...]:
    """Return the shards to ask, in order.

    The next one is asked when one is gone or refuses for room. A shard of
    another domain that admits lower tiers is always among them, so that no
    high tier is refused here while a lower one is served there. One whose
    queue alone is longer than the time left is left out.

    Parameters
    ----------
    tier, remaining_seconds
        Of the request.
    """
    ranked = sorted(
        (_rank(view, tier), view.wait_seconds, -view.free, view.shard)
        for view in views
        if view.reachable and _may_serve(view, tier, remaining_seconds)
    )
    return tuple(shard for *_, shard in ranked)


def _may_serve(
    view: ShardView, tier: types.Tier, remaining_seconds: float
) -> bool:
    if view.own or view.age_seconds > _OLD_SECONDS:
        return True
    if view.free > 0 or _admits_lower(view, tier):
        return True
    return view.wait_seconds < remaining_seconds


def _rank(view: ShardView, tier: types.Tier) -> _Rank:
    if view.own:
        return _Rank.OWN
    if view.age_seconds > _OLD_SECONDS:
        return _Rank.OLD_SUMMARY
    if view.free > 0:
        return _Rank.FREE
    if _admits_lower(view, tier):
        return _Rank.ADMITS_LOWER_TIER
    return _Rank.QUEUES


def _admits_lower(view: ShardView, tier: types.Tier) -> bool:
    return max(view.lowest_waiting_tier, view.lowest_running_tier) > tier
