"""Choice between the own domain's shard and those of others."""

import hypothesis
from hypothesis import strategies

from lagoonrun_core import types
from lagoonrun_policy import shards

from .conftest import class_policy

_VIEWS = strategies.lists(
    strategies.builds(
        shards.ShardView,
        shard=strategies.integers(0, 1000).map(str),
        own=strategies.booleans(),
        reachable=strategies.booleans(),
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
    order = shards.rank_shards(views, tier=tier, remaining_seconds=remaining)
    by_shard = {v.shard: v for v in views}
    assert all(by_shard[s].reachable for s in order)
    owns = [by_shard[s].own for s in order]
    assert owns == sorted(owns, reverse=True)
    for view in views:
        lower = max(view.lowest_waiting_tier, view.lowest_running_tier) > tier
        if view.reachable and (view.own or view.free > 0 or lower):
            assert view.shard in order


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
