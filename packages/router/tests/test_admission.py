"""Who is let in when there is not enough for all."""

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


def test_free_runner_takes_every_tier():
    for tier in TIERS:
        one = ranked()
        assert admission.admit(admission_request(tier), (one,)) is one


def test_places_are_kept_for_higher_tiers():
    """Low-tier streams fill a runner and stay for seconds.

    An urgent request that comes then waits until its caller leaves.
    """
    half = ranked(running=32)
    assert (
        admission.admit(admission_request(3), (half,))
        is admission.Refusal.NO_ROOM
    )
    assert admission.admit(admission_request(1), (half,)) is half


def test_memory_is_kept_for_higher_tiers():
    full = ranked(running=9, held_tokens=300_000.0)
    assert (
        admission.admit(admission_request(3), (full,))
        is admission.Refusal.NO_ROOM
    )
    assert admission.admit(admission_request(1), (full,)) is full


def test_largest_prompt_is_let_in_where_nothing_runs():
    one = ranked(new=390_000.0)
    assert admission.admit(admission_request(3), (one,)) is one


def test_what_would_come_too_late_is_refused():
    late = ranked(wait=8.0)
    verdict = admission.admit(admission_request(3, patience=10.0), (late,))
    assert verdict is admission.Refusal.TOO_LATE


def test_second_choice_is_taken_where_the_first_has_no_room():
    full, other = ranked(running=60), ranked("u-2")
    assert admission.admit(admission_request(3), (full, other)) is other


def test_each_class_is_served_in_the_longest_overload():
    """Higher tiers fill all runners for minutes.

    A class below them gets one request in from time to time.
    """
    full = ranked(running=64)
    waited = admission_request(3, higher_tier_pressed=True, floor_due=True)
    assert admission.admit(waited, (full,)) is full


def test_no_lower_tier_is_let_in_while_a_higher_one_is_turned_away():
    """One runner is left, and urgent requests find no room.

    Long prompts that are let in now would make the next ones fail too.
    """
    pressed = admission_request(3, higher_tier_pressed=True)
    verdict = admission.admit(pressed, (ranked(),))
    assert verdict is admission.Refusal.HIGHER_TIER


@pytest.mark.parametrize("tiers", [(1,), (3,)])
def test_only_tier_may_fill_everything(tiers):
    assert admission.share_of(tiers[0], tiers) == 1.0


@given(
    st.integers(0, 80),
    st.floats(0, 500_000),
    st.floats(0, 20),
    st.integers(1, 2),
)
def test_higher_tier_is_let_in_wherever_a_lower_one_is(
    running, held, wait, tier
):
    one = (ranked(wait=wait, running=running, held_tokens=held),)
    lower = admission.admit(admission_request(tier + 1), one)
    if not isinstance(lower, admission.Refusal):
        higher = admission.admit(admission_request(tier), one)
        assert not isinstance(higher, admission.Refusal)
