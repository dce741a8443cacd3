"""Weighted max-min fairness against a naive computation."""

import math

import hypothesis
import pytest
from hypothesis import strategies as st

from lagoonrun_router import max_min

_amounts = st.just(0.0) | st.floats(min_value=1e-6, max_value=1e7)
"""Tokens a second. Smaller ones underflow when they are scaled, and a request
costs at least one token."""
_demands = st.lists(
    st.builds(
        max_min.Demand,
        asked=_amounts,
        weight=st.floats(min_value=0.01, max_value=100.0),
    ),
    max_size=40,
)


def level_by_water_filling(demands, capacity):
    """Return the fair level: meet demands below the mean level, one by one."""
    unmet = list(demands)
    left = capacity
    while unmet:
        level = left / sum(demand.weight for demand in unmet)
        met = [one for one in unmet if one.asked <= level * one.weight]
        if not met:
            return max(0.0, level)
        left -= sum(one.asked for one in met)
        unmet = [one for one in unmet if one not in met]
    return math.inf


def used(demands, level):
    return sum(min(one.asked, level * one.weight) for one in demands)


@hypothesis.given(demands=_demands, capacity=_amounts)
def test_level_is_that_of_naive_water_filling(demands, capacity):
    """Guards against a wrong level among equal, zero or extreme demands."""
    expected = level_by_water_filling(demands, capacity)
    total = sum(one.asked for one in demands)
    # Both may be right where the capacity is the total but for rounding.
    hypothesis.assume(abs(capacity - total) > 1e-6 * total or not total)
    level = max_min.FairLevels(demands).level(capacity)
    assert level == pytest.approx(expected, rel=1e-6, abs=1e-6)


@hypothesis.given(demands=_demands, capacity=_amounts)
def test_capacity_is_used_but_not_exceeded(demands, capacity):
    """Guards against admitting too much, or idle capacity beside a limit."""
    level = max_min.FairLevels(demands).level(capacity)
    total = sum(one.asked for one in demands)
    assert used(demands, level) == pytest.approx(
        min(capacity, total), rel=1e-6, abs=1e-6
    )


@hypothesis.given(demands=_demands, capacity=_amounts)
def test_no_demand_below_the_mean_share_is_limited(demands, capacity):
    """Guards against limiting an organisation that asks less than its share."""
    level = max_min.FairLevels(demands).level(capacity)
    weights = sum(one.weight for one in demands)
    for one in demands:
        share = capacity * one.weight / weights
        # The smallest numbers have no digits to divide.
        assert level * one.weight >= min(one.asked, share) * (1 - 1e-6) - 1e-300


@hypothesis.given(
    demands=_demands,
    capacity=_amounts,
    factor=st.floats(min_value=0.001, max_value=1000.0),
)
def test_level_scales_with_demands_and_capacity(demands, capacity, factor):
    """Guards against a unit hidden in the computation, such as an epsilon."""
    total = sum(one.asked for one in demands)
    hypothesis.assume(abs(capacity - total) > 1e-6 * total or not total)
    level = max_min.FairLevels(demands).level(capacity)
    scaled = max_min.FairLevels(
        max_min.Demand(asked=one.asked * factor, weight=one.weight)
        for one in demands
    ).level(capacity * factor)
    assert scaled == pytest.approx(level * factor, rel=1e-6, abs=1e-6)


@hypothesis.given(
    asked=_amounts,
    count=st.integers(min_value=1, max_value=50),
    others=_demands,
)
def test_group_counts_like_its_members(asked, count, others):
    """Guards against a rest of many organisations that gets a single share."""
    capacity = (asked * count + sum(one.asked for one in others)) / 2
    single = [max_min.Demand(asked=asked, weight=2.0)] * count
    group = [max_min.Demand(asked=asked * count, weight=2.0 * count)]
    assert max_min.FairLevels(group + others).level(capacity) == pytest.approx(
        max_min.FairLevels(single + others).level(capacity), rel=1e-6, abs=1e-6
    )


@pytest.mark.parametrize("capacity", [0.0, -1.0])
def test_level_without_capacity_is_zero(capacity):
    """Guards against a negative level while a pool has no capacity left."""
    levels = max_min.FairLevels([max_min.Demand(asked=1.0, weight=1.0)])
    assert levels.level(capacity) == 0.0


def test_level_without_demand_is_infinite():
    """Guards against a limit, or a division by zero, without any demand."""
    assert max_min.FairLevels([]).level(0.0) == math.inf
