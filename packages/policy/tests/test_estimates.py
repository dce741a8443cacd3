"""Service times that are learnt and forgotten."""

import pytest

from lagoonrun_core import types
from lagoonrun_policy import estimates

_PROFILE = types.ProfileName("lookup")
_RUNNER = types.UpstreamId("r0")


@pytest.fixture
def times():
    """Return service times and a function that adds observations."""
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


def test_few_observations_say_nothing(times):
    subject, add = times
    add(estimates.MINIMUM_SAMPLES - 1, 1.0, now=0.0)
    assert _high(subject, 0.0) is None
    add(1, 1.0, now=0.0)
    assert _high(subject, 0.0) == pytest.approx(1.0, rel=0.03)


def test_high_quantile_sees_the_slow_tenth(times):
    subject, add = times
    add(85, 1.0, now=0.0)
    add(15, 8.0, now=0.0)
    assert _high(subject, 0.0) == pytest.approx(8.0, rel=0.03)
    typical = subject.typical(profile=_PROFILE, now=0.0)
    assert typical == pytest.approx(1.0, rel=0.03)


def test_runner_without_observations_is_as_the_shard(times):
    subject, add = times
    add(30, 2.0, now=0.0)
    other = types.UpstreamId("r1")
    assert _high(subject, 0.0, upstream=other) == pytest.approx(2.0, rel=0.03)
    slow = _high(subject, 0.0, upstream=other, slowdown=3.0)
    assert slow == pytest.approx(6.0, rel=0.03)


def test_recovered_runner_is_believed_again(times):
    """A runner was ten times slower for a while and has recovered.

    Its old observations must fade, or it would be avoided for ever, and
    being avoided it would never show that it is fast again.
    """
    subject, add = times
    add(50, 10.0, now=0.0)
    assert _high(subject, 1.0) > 9
    for now in range(60, 130, 10):
        add(30, 1.0, now=float(now))
    assert _high(subject, 130.0) < 1.1


def test_all_is_forgotten_after_long_silence(times):
    subject, add = times
    add(50, 10.0, now=0.0)
    assert _high(subject, 1000.0) is None


def test_stopped_work_counts_only_where_it_was_longer(times):
    """Long answers are cut at their limit and never seen to end.

    If only those that ended in time counted, the quantile would be too short
    and more would be admitted that cannot end.
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
