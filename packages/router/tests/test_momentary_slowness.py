"""Slowness of an upstream from its reports."""

import random

import pytest

from lagoonrun_router import momentary_slowness


def reported(slowness, *, at=0.0):
    known = momentary_slowness.MomentarySlowness()
    known.apply(slowness, at=at)
    return known


def test_report_is_exact_when_it_arrives():
    """Guards against requests to a runner that has just become slow."""
    assert reported(2.5).expected(now=0.0) == 2.5


@pytest.mark.parametrize("slowness", [0.5, 1.0, 2.5])
def test_report_fades_to_the_mean_within_a_slow_period(slowness):
    """Guards against avoiding, or preferring, a runner by an old report."""
    known = reported(1.3)
    for step in range(1, 100):
        known.apply(1.3, at=step * 0.5)
    known.apply(slowness, at=50.0)
    differences = [
        abs(known.expected(now=50.0 + age) - known.mean)
        for age in (0.0, 0.2, 0.4, 0.6)
    ]
    assert differences == sorted(differences, reverse=True)
    assert known.expected(now=50.6) == pytest.approx(known.mean)
    assert known.expected(now=1000.0) == known.mean


def test_old_report_of_a_fast_moment_never_means_fast():
    """Guards against sending everything to the upstream heard of long ago."""
    known = reported(2.0)
    for step in range(1, 200):
        known.apply(2.0, at=step * 0.5)
    known.apply(0.5, at=100.0)
    assert known.expected(now=100.0) == 0.5
    assert known.expected(now=101.0) > 1.8


@pytest.mark.parametrize("seed", range(5))
def test_mean_does_not_depend_on_the_rate_of_answers(seed):
    """Guards against a burst of answers in a slow period that skews the mean.

    The upstream is slow by 2.5 for 0.6 s, 15 % of the time: 1.225 on average.
    """
    rng = random.Random(seed)
    known = momentary_slowness.MomentarySlowness()
    now = 0.0
    means = []
    while now < 300.0:
        slow = now % 4.0 < 0.6
        known.apply(2.5 if slow else 1.0, at=now)
        means.append(known.mean)
        now += rng.expovariate(200.0 if slow else 10.0)
    later = means[len(means) // 2 :]
    assert sum(later) / len(later) == pytest.approx(1.225, abs=0.06)


def test_interval_is_corrected_by_the_slowness_that_probably_held_in_it():
    """Guards against a long wait corrected by the slowness of its last moment."""
    known = reported(1.0)
    assert known.over_interval(2.5, 0.01) == pytest.approx(2.5, rel=0.02)
    assert known.over_interval(2.5, 0.6) == pytest.approx(1.75)
    assert known.over_interval(2.5, 6.0) == pytest.approx(1.075)
    assert known.over_interval(None, 0.1) == known.mean


@pytest.mark.parametrize(
    ("slowness", "plausible"),
    [
        (None, None),
        (float("nan"), None),
        (float("inf"), None),
        (0.0, None),
        (-1.0, None),
        (1e-6, 0.1),
        (1.5, 1.5),
        (1e6, 100.0),
    ],
)
def test_implausible_slowness_is_clamped_or_ignored(slowness, plausible):
    """Guards against one absurd report that dominates the choice."""
    assert momentary_slowness.clamped(slowness) == plausible
