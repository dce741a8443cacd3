"""Ranking of the shards of the own and of other failure domains."""

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
    same_domain = [by_shard[s].same_domain for s in order]
    assert same_domain == sorted(same_domain, reverse=True)
    for view in views:
        lower = max(view.lowest_waiting_tier, view.lowest_running_tier) > tier
        reachable_in_time = 3 * view.distance_seconds <= remaining
        if view.reachable and (
            view.same_domain or (reachable_in_time and (view.free > 0 or lower))
        ):
            assert view.shard in order


def _delay(view):
    wait = 0.0 if view.free else view.wait_seconds
    return wait + 3 * view.distance_seconds


def _rank_by_summary(view, tier):
    """Return the rank by the summary alone, 1 is best; 4 is out of date."""
    if view.age_seconds > 5.0:
        return 4
    if view.free > 0:
        return 1
    lower = max(view.lowest_waiting_tier, view.lowest_running_tier) > tier
    return 2 if lower else 3


def _ranked_without_regions(views, tier, remaining):
    """Return the order of a ranking that ignores regions."""
    served = [
        v
        for v in views
        if v.reachable
        and not v.same_domain
        and (
            _delay(v) < remaining
            if _rank_by_summary(v, tier) == 3
            else 3 * v.distance_seconds <= remaining
        )
    ]
    return sorted(
        served,
        key=lambda v: (_rank_by_summary(v, tier), _delay(v), -v.free, v.shard),
    )


_REQUEST = {
    "views": _VIEWS,
    "tier": strategies.integers(1, 6),
    "remaining": strategies.floats(0, 100),
    "target": strategies.floats(-1, 100),
}


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(**_REQUEST)
def test_each_region_keeps_the_order_without_regions(
    views, tier, remaining, target
):
    order = shard_ranking.rank_shards(
        reversed(views),
        tier=tier,
        remaining_seconds=remaining,
        remaining_target_seconds=target,
    )
    by_shard = {v.shard: v for v in views}
    others = [by_shard[s] for s in order if not by_shard[s].same_domain]
    expected = _ranked_without_regions(views, tier, remaining)
    for same_region in (True, False):
        assert [v for v in others if v.same_region is same_region] == [
            v for v in expected if v.same_region is same_region
        ]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(**_REQUEST)
def test_other_region_goes_first_only_if_the_same_region_is_late(
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
def test_limited_ranking_keeps_shards_that_admit_lower_tiers(
    views, tier, remaining, target, max_shards
):
    arguments = {"tier": tier, "remaining_seconds": remaining}
    arguments["remaining_target_seconds"] = target
    order = shard_ranking.rank_shards(views, **arguments)
    limited = shard_ranking.rank_shards(
        views, **arguments, max_shards=max_shards
    )
    assert len(limited) == min(max_shards, len(order))
    assert list(limited) == [s for s in order if s in limited]
    by_shard = {v.shard: v for v in views}
    others = [s for s in limited if not by_shard[s].same_domain]
    if not others:
        return
    left_out = [by_shard[s] for s in order if s not in limited]
    if any(_rank_by_summary(v, tier) < 3 for v in left_out):
        assert all(_rank_by_summary(by_shard[s], tier) < 3 for s in others[1:])


@pytest.mark.parametrize(
    ("target", "wait", "distance", "other_region_first"),
    [
        (1.0, 0.5, 0.05, False),  # the same region meets the target
        (1.0, 5.0, 0.05, True),  # only the other region does
        (1.0, 1.2, 0.5, False),  # neither; the same region is sooner
        (1.0, 5.0, 0.5, True),  # neither; the other region is sooner
    ],
)
def test_free_shard_of_another_region_against_a_queue(
    target, wait, distance, other_region_first
):
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
    assert (order[0] == "far") is other_region_first


def test_summary_has_free_slots_and_lowest_tiers(drive):
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
