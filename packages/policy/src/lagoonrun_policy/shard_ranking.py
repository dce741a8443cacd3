"""Order in which an ingress asks the shards of a pool for a permit.

The shard of its own failure domain comes first, then others by their
summaries. Shards of the same region precede those of other regions, unless
the request would miss its target there and another region serves it sooner,
network delay included.
"""

import dataclasses
import enum
from collections.abc import Iterable, Sequence

from lagoonrun_core import types

NO_TIER = types.Tier(0)
"""Lowest tier in a summary if no request waits or runs."""

ROUND_TRIPS = 3
"""Round trips before a remote answer starts: permit, connection, request."""

_MAX_SUMMARY_AGE_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShardView:
    """Summary of one shard as known to an ingress.

    Parameters
    ----------
    same_domain
        Whether the shard is in the ingress's failure domain.
    reachable
        Whether its dispatcher answers, as far as is known.
    same_region
        Whether the shard is in the ingress's region.
    distance_seconds
        Round trip between the ingress and the shard's domain.
    free
        Number of free slots.
    lowest_waiting_tier, lowest_running_tier
        Lowest tier (highest number) that waits or runs; `NO_TIER` if none.
    wait_seconds
        Expected wait of a new request of the lowest tier.
    age_seconds
        Age of the summary; infinity if there is none, as may be the case for
        the shard of the same domain.
    """

    shard: types.ShardId
    same_domain: bool
    reachable: bool = True
    same_region: bool = True
    distance_seconds: float = 0.0
    free: int = 0
    lowest_waiting_tier: types.Tier = NO_TIER
    lowest_running_tier: types.Tier = NO_TIER
    wait_seconds: float = 0.0
    age_seconds: float = 0.0


class _Rank(enum.IntEnum):
    """Preference among shards, best first."""

    OWN = 0
    FREE = 1
    ADMITS_LOWER_TIER = 2
    QUEUES = 3
    OLD_SUMMARY = 4


_ADMITTING_RANKS = (_Rank.FREE, _Rank.ADMITS_LOWER_TIER)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Ranked:
    """A shard that may serve the request."""

    view: ShardView
    rank: _Rank
    network_seconds: float
    delay_seconds: float

    def sort_key(self) -> tuple[int, float, int, types.ShardId]:
        """Return the order among shards that are equally near."""
        return (
            self.rank,
            self.delay_seconds,
            -self.view.free,
            self.view.shard,
        )


def rank_shards(
    views: Iterable[ShardView],
    *,
    tier: types.Tier,
    remaining_seconds: float,
    remaining_target_seconds: float | None = None,
    max_shards: int | None = None,
) -> tuple[types.ShardId, ...]:
    """Return the shards to ask, in order.

    The next one is asked if one is unreachable or refuses for lack of
    capacity. Shards of other domains that admit lower tiers are always
    included, so that no request is refused here while one of a lower tier is
    served there. A shard is omitted if its queue or its distance alone takes
    longer than the time left.

    Parameters
    ----------
    tier, remaining_seconds
        Of the request.
    remaining_target_seconds
        Time left to the target; None if the target is the limit.
    max_shards
        Maximum number of shards to return; None for all. Shards with free
        slots or that admit lower tiers are preferred; the first shard of
        another domain is always preferred, since it is asked soonest.
    """
    target = remaining_seconds
    if remaining_target_seconds is not None:
        target = remaining_target_seconds
    candidates = [
        one
        for view in views
        if view.reachable
        and _may_serve(one := _ranked(view, tier), remaining_seconds)
    ]
    own = _sorted(one for one in candidates if one.view.same_domain)
    others = _merge(
        same_region=_sorted(
            c
            for c in candidates
            if c.view.same_region and not c.view.same_domain
        ),
        other_region=_sorted(
            c
            for c in candidates
            if not (c.view.same_region or c.view.same_domain)
        ),
        target_seconds=target,
    )
    chosen = _choose(
        own, others, len(candidates) if max_shards is None else max_shards
    )
    return tuple(one.view.shard for one in chosen)


def _ranked(view: ShardView, tier: types.Tier) -> _Ranked:
    network_seconds = (
        0.0 if view.same_domain else ROUND_TRIPS * view.distance_seconds
    )
    wait = 0.0 if view.free > 0 and not view.same_domain else view.wait_seconds
    return _Ranked(
        view=view,
        rank=_rank(view, tier),
        network_seconds=network_seconds,
        delay_seconds=wait + network_seconds,
    )


def _rank(view: ShardView, tier: types.Tier) -> _Rank:
    if view.same_domain:
        return _Rank.OWN
    if view.age_seconds > _MAX_SUMMARY_AGE_SECONDS:
        return _Rank.OLD_SUMMARY
    if view.free > 0:
        return _Rank.FREE
    if _admits_lower(view, tier):
        return _Rank.ADMITS_LOWER_TIER
    return _Rank.QUEUES


def _admits_lower(view: ShardView, tier: types.Tier) -> bool:
    return max(view.lowest_waiting_tier, view.lowest_running_tier) > tier


def _may_serve(one: _Ranked, remaining_seconds: float) -> bool:
    if one.rank is _Rank.OWN:
        return True
    if one.rank is _Rank.QUEUES:
        return one.delay_seconds < remaining_seconds
    # The summary's wait applies to the lowest tier, or is out of date.
    return one.network_seconds <= remaining_seconds


def _sorted(ranked: Iterable[_Ranked]) -> list[_Ranked]:
    return sorted(ranked, key=_Ranked.sort_key)


def _merge(
    *,
    same_region: list[_Ranked],
    other_region: list[_Ranked],
    target_seconds: float,
) -> list[_Ranked]:
    """Merge both lists; each keeps its order.

    Shards of the same region come first unless `_precedes` says otherwise.
    """
    merged = []
    same_index = other_index = 0
    while same_index < len(same_region) and other_index < len(other_region):
        if _precedes(
            other_region[other_index],
            same_region[same_index],
            target_seconds,
        ):
            merged.append(other_region[other_index])
            other_index += 1
        else:
            merged.append(same_region[same_index])
            same_index += 1
    return merged + same_region[same_index:] + other_region[other_index:]


def _precedes(
    other_region: _Ranked, same_region: _Ranked, target_seconds: float
) -> bool:
    """Return whether the other region's shard is asked first."""
    if other_region.rank is _Rank.OLD_SUMMARY:
        return False
    if same_region.rank is _Rank.OLD_SUMMARY:
        return True
    if (
        same_region.rank is _Rank.FREE
        or same_region.delay_seconds <= target_seconds
    ):
        return False
    if other_region.delay_seconds <= target_seconds:
        return True
    # Both miss the target. The summary's wait is that of the lowest tier: a
    # shard that admits lower tiers may serve this request sooner, one that
    # only queues may not.
    is_queue = same_region.rank is _Rank.QUEUES
    return is_queue and other_region.delay_seconds < same_region.delay_seconds


def _choose(
    own: Sequence[_Ranked], others: Sequence[_Ranked], max_shards: int
) -> list[_Ranked]:
    """Return at most `max_shards` of both, own shards first, in order."""
    # With only the nearest few, a request could be refused by the queues of
    # its region while an omitted shard of another region admits lower tiers.
    by_importance = sorted(
        range(len(others)),
        key=lambda index: (
            index > 0 and others[index].rank not in _ADMITTING_RANKS,
            index,
        ),
    )
    kept = sorted(by_importance[: max(0, max_shards - len(own))])
    return [*own[:max_shards], *(others[index] for index in kept)]
