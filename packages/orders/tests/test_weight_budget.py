"""The token bucket of the weight store."""

import pytest

from lagoonrun_orders import weight_budget


@pytest.fixture
def budget(clock):
    return weight_budget.WeightBudget(
        clock=clock, bytes_per_second=10.0, burst_bytes=100.0
    )


def test_bucket_refills_at_the_rate(budget, clock):
    budget.spend(100.0)
    assert not budget.allows(20.0, available=budget.available_bytes())
    clock.advance(2.0)
    assert budget.allows(20.0, available=budget.available_bytes())
    clock.advance(1000.0)
    assert budget.available_bytes() == 100.0


def test_a_model_larger_than_the_bucket_leaves_a_debt(budget, clock):
    assert budget.allows(500.0, available=budget.available_bytes())
    budget.spend(500.0)
    clock.advance(49.0)
    assert not budget.allows(500.0, available=budget.available_bytes())
    assert not budget.allows(95.0, available=budget.available_bytes())
    clock.advance(1.0)
    assert budget.allows(500.0, available=budget.available_bytes())
