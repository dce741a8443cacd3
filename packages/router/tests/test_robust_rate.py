"""Running mean of a rate with outliers and changes."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_router import robust_rate


def steady(rate=40_000.0, count=30):
    mean = robust_rate.RobustRate()
    for _ in range(count):
        mean.add(rate)
    return mean


@pytest.mark.parametrize("factor", [0.01, 0.1, 0.5, 2.0, 10.0, 100.0])
def test_single_outlier_moves_the_mean_by_less_than_a_tenth(factor):
    """Guards against one queue of unknown prompts that makes a runner slow."""
    mean = steady()
    mean.add(40_000.0 * factor)
    assert mean.value == pytest.approx(40_000.0, rel=0.1)


def test_two_stragglers_in_a_row_do_not_count_as_a_change():
    """Guards against two requests behind the same unknown prompt."""
    mean = steady()
    mean.add(4000.0)
    mean.add(4000.0)
    assert mean.value == pytest.approx(40_000.0, rel=0.1)


@pytest.mark.parametrize("factor", [0.4, 2.5])
def test_lasting_change_is_found_within_ten_samples(factor):
    """Guards against an estimate that outlives the speed it was learnt from."""
    mean = steady()
    for _ in range(10):
        mean.add(40_000.0 * factor)
    assert mean.value == pytest.approx(40_000.0 * factor, rel=0.1)


@pytest.mark.parametrize("seed", range(20))
def test_queues_of_unknown_prompts_hardly_lower_the_mean(seed):
    """Guards against busy runners that look slow: a quarter of samples queue."""
    rng = random.Random(seed)
    mean = robust_rate.RobustRate()
    values = []
    for _ in range(200):
        sample = 40_000.0 * math.exp(rng.gauss(0.0, 0.25))
        if rng.random() < 0.25:
            sample /= rng.uniform(1.2, 5.0)
        mean.add(sample)
        values.append(mean.value)
    settled = values[50:]
    assert 0.8 < sum(settled) / len(settled) / 40_000.0 < 1.1


def test_wrong_prior_is_corrected_by_few_samples():
    """Guards against a new upstream that keeps the speed of the others."""
    mean = robust_rate.RobustRate()
    mean.set_prior(40_000.0)
    for _ in range(4):
        mean.add(18_000.0)
    assert mean.value == pytest.approx(18_000.0, rel=0.2)


def test_first_sample_without_a_prior_is_taken_as_it_is():
    """Guards against a default that distorts a deployment of other speeds."""
    mean = robust_rate.RobustRate()
    assert mean.add(900.0) == 900.0
    assert mean.value == pytest.approx(900.0)


def test_accepted_value_of_an_outlier_is_clipped():
    """Guards against outliers that other entry VMs get unclipped."""
    mean = steady()
    assert 10_000.0 < mean.add(40.0) < 40_000.0
    assert mean.add(41_000.0) == 41_000.0


@given(
    st.lists(
        st.tuples(st.floats(1_000.0, 90_000.0), st.integers(1, 64)),
        min_size=1,
        max_size=60,
    )
)
def test_mean_stays_within_the_range_of_its_samples(samples):
    """Guards against repeated or reordered samples that amplify a deviation."""
    mean = robust_rate.RobustRate()
    for rate, count in samples:
        mean.add(rate, count)
    rates = [rate for rate, _ in samples]
    assert min(rates) * 0.999 <= mean.value <= max(rates) * 1.001
    assert mean.samples == sum(count for _, count in samples)
