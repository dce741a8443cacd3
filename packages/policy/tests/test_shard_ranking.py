"""Choice between the own domain's shard and those of others."""

import itertools

import hypothesis
import pytest
from hypothesis import strategies

from lagoonrun_core import types
from lagoonrun_policy import shard_ranking

from .conftest import class_policy

_VIEWS = strategies.lists(
    strategies.builds(
        shard_ranking.ShardView,
        shard=strategies.integers(0, 1000).map(str),
        same_domain=strategies.booleans(),
        reachable=strategies.booleans(),
        same_region=strategies.booleans(),
        distance_seconds=strategies.sampled_from([0.0, 0.001, 0.05, 0.2]),
        free=strategies.integers(0, 2),
        lowest_waiting_tier=strategies.integers(0, 6),
        lowest_running_tier=strategies.integers(0, 6),
        wait_seconds=strategies.floats(0, 100),
        age_seconds=strategies.floats(0, 10),
    ),
    unique_by=lambda view: view.shard,
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    views=_VIEWS,
    tier=strategies.integers(1, 6),
    remaining=strategies.floats(0, 100),
)
def test_every_shard_that_admits_lower_tiers_is_asked(views, tier, remaining):
    order = shard_ranking.rank_shards(
        views, tier=tier, remaining_seconds=remaining
    )
    by_shard = {v.shard: v for v in views}
    assert all(by_shard[s].reachable for s in order)
    owns = [by_shard[s].same_domain for s in order]
    assert owns == sorted(owns, reverse=True)
    for view in views:
        lower = max(view.lowest_waiting_tier, view.lowest_running_tier) > tier
        in_reach = 3 * view.distance_seconds <= remaining
        if view.reachable and (
            view.same_domain or (in_reach and (view.free > 0 or lower))
        ):
            assert view.shard in order


def _delay(view):
    wait = 0.0 if view.free else view.wait_seconds
    return wait + 3 * view.distance_seconds


def _naive_class(view, tier):
    """Return what the summary alone says, best first; 4 is too old."""
    if view.age_seconds > 5.0:
        return 4
    if view.free > 0:
        return 1
    lower = max(view.lowest_waiting_tier, view.lowest_running_tier) > tier
    return 2 if lower else 3


def _naive(views, tier, remaining):
    """Return the order of a ranking that knows of no regions."""
    served = [
        v
        for v in views
        if v.reachable
        and not v.same_domain
        and (
            _delay(v) < remaining
            if _naive_class(v, tier) == 3
            else 3 * v.distance_seconds <= remaining
        )
    ]
    return sorted(
        served,
        key=lambda v: (_naive_class(v, tier), _delay(v), -v.free, v.shard),
    )


_REQUEST = {
    "views": _VIEWS,
    "tier": strategies.integers(1, 6),
    "remaining": strategies.floats(0, 100),
    "target": strategies.floats(-1, 100),
}


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(**_REQUEST)
def test_each_region_keeps_the_naive_order(views, tier, remaining, target):
    order = shard_ranking.rank_shards(
        reversed(views),
        tier=tier,
        remaining_seconds=remaining,
        remaining_target_seconds=target,
    )
    by_shard = {v.shard: v for v in views}
    others = [by_shard[s] for s in order if not by_shard[s].same_domain]
    naive = _naive(views, tier, remaining)
    for same_region in (True, False):
        assert [v for v in others if v.same_region is same_region] == [
            v for v in naive if v.same_region is same_region
        ]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(**_REQUEST)
def test_far_shard_goes_first_only_where_the_near_one_is_late(
    views, tier, remaining, target
):
    order = shard_ranking.rank_shards(
        views,
        tier=tier,
        remaining_seconds=remaining,
        remaining_target_seconds=target,
    )
    by_shard = {v.shard: v for v in views}
    others = [by_shard[s] for s in order if not by_shard[s].same_domain]
    fresh = [v for v in others if v.age_seconds <= 5.0]
    in_time = [v for v in fresh if _delay(v) <= target]
    same_region_in_time = [v for v in in_time if v.same_region]
    if same_region_in_time:
        first_in_time = others.index(same_region_in_time[0])
        assert all(
            _delay(v) <= target or v.same_region for v in others[:first_in_time]
        )
    for first, second in itertools.pairwise(others):
        if first.same_region or not second.same_region:
            continue
        assert first.age_seconds <= 5.0
        assert second.age_seconds > 5.0 or (
            second.free == 0 and _delay(second) > target
        )


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(**_REQUEST, max_shards=strategies.integers(0, 6))
def test_the_few_asked_are_those_that_admit_lower_tiers(
    views, tier, remaining, target, max_shards
):
    asked = {"tier": tier, "remaining_seconds": remaining}
    asked["remaining_target_seconds"] = target
    order = shard_ranking.rank_shards(views, **asked)
    few = shard_ranking.rank_shards(views, **asked, max_shards=max_shards)
    assert len(few) == min(max_shards, len(order))
    assert list(few) == [s for s in order if s in few]
    by_shard = {v.shard: v for v in views}
    others = [s for s in few if not by_shard[s].same_domain]
    if not others:
        return
    left_out = [by_shard[s] for s in order if s not in few]
    if any(_naive_class(v, tier) < 3 for v in left_out):
        assert all(_naive_class(by_shard[s], tier) < 3 for s in others[1:])


@pytest.mark.parametrize(
    ("target", "wait", "distance", "far_first"),
    [
        (1.0, 0.5, 0.05, False),  # the near queue meets the target
        (1.0, 5.0, 0.05, True),  # only the far one does
        (1.0, 1.2, 0.5, False),  # neither; the near one is sooner
        (1.0, 5.0, 0.5, True),  # neither; the far one is sooner
    ],
)
def test_far_free_shard_against_near_queue(target, wait, distance, far_first):
    nearby = shard_ranking.ShardView(
        shard="near", same_domain=False, wait_seconds=wait
    )
    remote = shard_ranking.ShardView(
        shard="far",
        same_domain=False,
        same_region=False,
        distance_seconds=distance,
        free=1,
    )
    order = shard_ranking.rank_shards(
        [nearby, remote],
        tier=types.Tier(1),
        remaining_seconds=30.0,
        remaining_target_seconds=target,
    )
    assert (order[0] == "far") is far_first


def test_summary_tells_room_and_lowest_tiers(drive):
    driver = drive(
        class_policy("lookup", 1), class_policy("digest", 3), runners=1
    )
    assert driver.subject.summary(now=driver.now).free == 2
    driver.request("lookup")
    driver.request("digest")
    driver.request("lookup")
    summary = driver.subject.summary(now=driver.now)
    assert summary.free == 0
    assert summary.lowest_waiting_tier == types.Tier(1)
    assert summary.lowest_running_tier == types.Tier(3)
