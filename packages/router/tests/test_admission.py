"""Admission of requests to overloaded runners."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_router import admission, loads, placement

TIERS = (1, 2, 3)


def ranked(name="u-1", wait=0.1, new=1000.0, **load):
    candidate = placement.Candidate(
        upstream=name,
        slots=64,
        cache_tokens=400_000.0,
        has_shared=False,
        same_domain=True,
        load=loads.Load(**load),
    )
    return placement.Ranked(
        candidate=candidate,
        new_tokens=new,
        wait_seconds=wait,
        cost=0.0,
        costs=(),
    )


def admission_request(tier=3, patience=10.0, **changes):
    return admission.AdmissionRequest(
        tier=tier,
        tiers=TIERS,
        patience_seconds=patience,
        **changes,
    )


def test_idle_runner_admits_every_tier():
    for tier in TIERS:
        one = ranked()
        assert admission.admit(admission_request(tier), (one,)) is one


def test_slots_are_reserved_for_higher_tiers():
    """Guards against low-tier streams that occupy all slots for seconds.

    An urgent request would then wait until its caller disconnects.
    """
    half = ranked(running=32)
    assert (
        admission.admit(admission_request(3), (half,))
        is admission.Refusal.NO_ROOM
    )
    assert admission.admit(admission_request(1), (half,)) is half


def test_backlog_of_a_lower_tier_refuses_no_higher_one():
    """Guards against a refused higher tier while a lower one is served.

    When four of five runners were taken away, the last one held 48 requests,
    most of the lowest tier and still queued; the tier above was refused for
    two seconds although the engine would have served it first.
    """
    lowest_first = ranked(running=48, running_by_tier=(4, 6, 38))
    assert admission.admit(admission_request(2), (lowest_first,)) is (
        lowest_first
    )
    assert (
        admission.admit(admission_request(3), (lowest_first,))
        is admission.Refusal.NO_ROOM
    )
    own_tier = ranked(running=48, running_by_tier=(4, 44, 0))
    assert (
        admission.admit(admission_request(2), (own_tier,))
        is admission.Refusal.NO_ROOM
    )


def test_requests_of_unknown_tier_count_for_every_tier():
    """Guards against an overload by requests that older peers report.

    They report the number of their requests without the tiers.
    """
    unknown = ranked(running=48, running_by_tier=(0, 0, 8))
    assert (
        admission.admit(admission_request(2, patience=10.0), (unknown,))
        is unknown
    )
    unknown = ranked(running=56, running_by_tier=(0, 0, 8))
    assert (
        admission.admit(admission_request(2), (unknown,))
        is admission.Refusal.NO_ROOM
    )


def test_prefix_cache_is_reserved_for_higher_tiers():
    full = ranked(running=9, held_tokens=300_000.0)
    assert (
        admission.admit(admission_request(3), (full,))
        is admission.Refusal.NO_ROOM
    )
    assert admission.admit(admission_request(1), (full,)) is full


def test_largest_prompt_is_admitted_by_an_idle_runner():
    one = ranked(new=390_000.0)
    assert admission.admit(admission_request(3), (one,)) is one


def test_request_with_too_long_a_wait_is_rejected():
    late = ranked(wait=8.0)
    decision = admission.admit(admission_request(3, patience=10.0), (late,))
    assert decision is admission.Refusal.TOO_LATE


def test_second_upstream_admits_if_the_first_has_no_capacity():
    full, other = ranked(running=60), ranked("u-2")
    assert admission.admit(admission_request(3), (full, other)) is other


def test_each_class_is_served_in_the_longest_overload():
    """Guards against a class without answers while higher tiers are busy.

    The admission floor admits one of its requests at a fixed interval.
    """
    full = ranked(running=64)
    floor_request = admission_request(
        3, higher_tier_pressed=True, floor_due=True
    )
    assert admission.admit(floor_request, (full,)) is full


def test_no_lower_tier_is_admitted_while_a_higher_one_is_rejected():
    """Guards against long prompts admitted while urgent requests are rejected.

    With one runner left, they would make the next urgent requests fail, too.
    """
    pressed = admission_request(3, higher_tier_pressed=True)
    decision = admission.admit(pressed, (ranked(),))
    assert decision is admission.Refusal.HIGHER_TIER


@pytest.mark.parametrize("tiers", [(1,), (3,)])
def test_only_tier_may_use_all_capacity(tiers):
    assert admission.share_of(tiers[0], tiers) == 1.0


@given(
    st.integers(0, 80),
    st.floats(0, 500_000),
    st.floats(0, 20),
    st.integers(1, 2),
)
def test_higher_tier_is_admitted_wherever_a_lower_one_is(
    running, held, wait, tier
):
    one = (ranked(wait=wait, running=running, held_tokens=held),)
    lower = admission.admit(admission_request(tier + 1), one)
    if not isinstance(lower, admission.Refusal):
        higher = admission.admit(admission_request(tier), one)
        assert not isinstance(higher, admission.Refusal)
