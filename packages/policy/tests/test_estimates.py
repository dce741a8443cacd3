"""Estimates of service times."""

import pytest

from lagoonrun_core import types
from lagoonrun_policy import estimates

_PROFILE = types.ProfileName("lookup")
_RUNNER = types.UpstreamId("r0")


@pytest.fixture
def times():
    """Return a `ServiceTimes` and a function that adds observations."""
    subject = estimates.ServiceTimes()

    def add(count, seconds, *, now, upstream=_RUNNER):
        for _ in range(count):
            subject.record(
                profile=_PROFILE,
                upstream=upstream,
                first_token_seconds=0.0,
                total_seconds=seconds,
                now=now,
            )

    return subject, add


def _high(subject, now, **changes):
    fields = {"profile": _PROFILE, "upstream": _RUNNER, "now": now}
    return subject.high(**(fields | changes))


def test_too_few_observations_give_no_quantile(times):
    subject, add = times
    add(estimates.MINIMUM_SAMPLES - 1, 1.0, now=0.0)
    assert _high(subject, 0.0) is None
    add(1, 1.0, now=0.0)
    assert _high(subject, 0.0) == pytest.approx(1.0, rel=0.03)


def test_high_quantile_reflects_the_slow_tenth(times):
    subject, add = times
    add(85, 1.0, now=0.0)
    add(15, 8.0, now=0.0)
    assert _high(subject, 0.0) == pytest.approx(8.0, rel=0.03)
    typical = subject.typical(profile=_PROFILE, now=0.0)
    assert typical == pytest.approx(1.0, rel=0.03)


def test_runner_without_observations_gets_the_shards_quantile(times):
    subject, add = times
    add(30, 2.0, now=0.0)
    other = types.UpstreamId("r1")
    assert _high(subject, 0.0, upstream=other) == pytest.approx(2.0, rel=0.03)
    slow = _high(subject, 0.0, upstream=other, slowdown=3.0)
    assert slow == pytest.approx(6.0, rel=0.03)


def test_estimates_of_a_recovered_runner_recover(times):
    """A runner that was ten times slower for a while has recovered.

    If its old observations did not expire, it would be avoided for ever and
    never have the chance to show that it is fast again.
    """
    subject, add = times
    add(50, 10.0, now=0.0)
    assert _high(subject, 1.0) > 9
    for now in range(60, 130, 10):
        add(30, 1.0, now=float(now))
    assert _high(subject, 130.0) < 1.1


def test_old_observations_expire(times):
    subject, add = times
    add(50, 10.0, now=0.0)
    assert _high(subject, 1000.0) is None


def test_stopped_answers_count_only_if_longer(times):
    """Long answers are stopped at their limit, before their end is observed.

    If only answers that ended in time counted, the quantile would be too low
    and too many requests would be admitted that cannot end in time.
    """
    subject, add = times
    add(50, 1.0, now=0.0)
    for seconds in [0.5] * 50 + [9.0] * 20:
        subject.record_lower_bound(
            profile=_PROFILE,
            upstream=_RUNNER,
            total_seconds=seconds,
            now=0.0,
        )
    assert _high(subject, 1.0) == pytest.approx(9.0, rel=0.03)
    assert subject.samples(profile=_PROFILE, now=1.0) == 70
