"""The naive version and the conservative fallback made of it."""

import random

import pytest

from lagoonrun_core import outcomes, types
from lagoonrun_policy import messages, naive

from .conftest import Driver, class_policy, shard_policy

_POLICY = shard_policy([class_policy("lookup", 1)], runners=2, slots=16)


def test_naive_takes_the_less_loaded_by_report():
    driver = Driver(
        subject=naive.NaiveScheduler(policy=_POLICY, rng=random.Random(1))
    )
    driver.send(
        messages.LoadReported(
            upstream=types.UpstreamId("r0"),
            running=20,
            waiting=0,
            cache_usage=0.0,
            age_seconds=0.5,
        )
    )
    for _ in range(10):
        key = driver.request("lookup")
        assert driver.upstream_by_key[key] == "r1"


def test_fallback_stays_below_its_part_of_the_slots():
    chooser = naive.FallbackChooser(
        policy=_POLICY, entry_vms=4, rng=random.Random(1)
    )
    requests = [
        messages.PermitRequested(
            key=messages.PermitKey(
                request_id=types.RequestId(f"q{i}"),
                attempt_id=types.AttemptId(1),
            ),
            ingress=types.EntryVmId("vm0"),
            profile=types.ProfileName("lookup"),
            organisation=types.OrganisationId("house"),
            remaining_seconds=1.0,
            remaining_target_seconds=1.0,
        )
        for i in range(5)
    ]
    chosen = [chooser.choose(r) for r in requests]
    assert sorted(chosen[:4]) == ["r0", "r0", "r1", "r1"]
    assert chosen[4] is None
    chooser.take(messages.PermitReturned(key=requests[0].key))
    assert chooser.choose(requests[4]) == chosen[0]


def test_fallback_keeps_off_a_leaving_runner():
    chooser = naive.FallbackChooser(
        policy=_POLICY, entry_vms=1, rng=random.Random(1)
    )
    for upstream in _POLICY.runners_by_id:
        state = messages.UpstreamState.LEAVING
        chooser.take(messages.UpstreamChanged(upstream=upstream, state=state))
    driver = Driver(
        subject=naive.NaiveScheduler(policy=_POLICY, rng=random.Random(1))
    )
    for upstream in _POLICY.runners_by_id:
        state = messages.UpstreamState.LEAVING
        driver.send(messages.UpstreamChanged(upstream=upstream, state=state))
    key = driver.request("lookup")
    assert driver.refused()[key].reason is outcomes.Reason.NO_UPSTREAM


def test_fallback_needs_an_entry_vm():
    with pytest.raises(ValueError, match="at least 1"):
        naive.FallbackChooser(policy=_POLICY, entry_vms=0, rng=random.Random(1))
