"""How long upstreams that asked for a rest, a back-off, get no requests."""

import random

import pytest

from lagoonrun_router import running_requests, upstream_notice, upstream_rests

INSTANCE = running_requests.UpstreamInstance(upstream="u-1", start=7)
NOW = 1000.0


@pytest.fixture
def rests():
    return upstream_rests.UpstreamRests(rng=random.Random(1))


def ask(rests, instance, seconds, *, now):
    notice = upstream_notice.UpstreamNotice(rest_seconds=seconds)
    return rests.apply_answer(instance, notice, now=now)


def test_rest_is_respected_to_its_end_and_a_little_longer(rests):
    ask(rests, INSTANCE, 3.0, now=NOW)
    assert rests.rest_seconds(INSTANCE, now=NOW + 2.99) > 0.0
    assert rests.rest_seconds(INSTANCE, now=NOW + 3.0 * 1.1) == 0.0


def test_shorter_rest_does_not_end_a_longer_one(rests):
    """Guards against an older answer that arrives late."""
    ask(rests, INSTANCE, 3.0, now=NOW)
    assert ask(rests, INSTANCE, 0.5, now=NOW + 0.1) is None
    assert rests.rest_seconds(INSTANCE, now=NOW + 2.9) > 0.0


@pytest.mark.parametrize(
    ("asked", "kept"),
    [(0.0, 0.0), (0.25, 0.25), (86_400.0, upstream_rests.MAX_REST_SECONDS)],
)
def test_extreme_rests_have_defined_effects(rests, asked, kept):
    """Guards against an upstream that excludes itself for ever."""
    ask(rests, INSTANCE, asked, now=NOW)
    assert kept <= rests.rest_seconds(INSTANCE, now=NOW) <= kept * 1.1


def test_other_instance_of_an_upstream_does_not_rest(rests):
    """Guards against a rest that outlives the process that asked for it."""
    ask(rests, INSTANCE, 3.0, now=NOW)
    other = running_requests.UpstreamInstance(upstream="u-1", start=8)
    assert rests.rest_seconds(other, now=NOW) == 0.0
    rests.forget_instance(INSTANCE)
    assert not rests.has_any(now=NOW)


def test_reported_rest_is_a_preference_and_does_not_close(rests):
    rest = upstream_rests.Rest(instance=INSTANCE, until=NOW + 2.0)
    assert rests.apply_report(rest, source="vm-2", now=NOW)
    assert not rests.apply_report(rest, source="vm-3", now=NOW)
    late = upstream_rests.Rest(instance=INSTANCE, until=NOW + 2.01)
    assert not rests.apply_report(late, source="vm-3", now=NOW + 0.01)
    assert rests.rest_seconds(INSTANCE, now=NOW) == 0.0
    assert rests.is_avoided(INSTANCE, now=NOW + 1.9)
    assert not rests.is_avoided(INSTANCE, now=NOW + 2.0)


def test_ends_of_rests_asked_for_at_one_moment_differ(rests):
    """Guards against all callers of a pool retrying at the same moment."""
    instances = [
        running_requests.UpstreamInstance(upstream=f"u-{n}", start=1)
        for n in range(10)
    ]
    for instance in instances:
        ask(rests, instance, 3.0, now=NOW)
    ends = {rests.rest_seconds(instance, now=NOW) for instance in instances}
    assert len(ends) == len(instances)


def test_number_of_stored_rests_is_bounded(rests, monkeypatch):
    monkeypatch.setattr(upstream_rests, "_MAX_RESTS", 4)
    instances = [
        running_requests.UpstreamInstance(upstream=f"u-{n}", start=1)
        for n in range(10)
    ]
    for instance in instances:
        ask(rests, instance, 3.0, now=NOW)
    assert [
        instance
        for instance in instances
        if rests.rest_seconds(instance, now=NOW)
    ] == instances[6:]
