"""Admission to adaptive pools, beyond the admission of all pools."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_router import (
    adaptive_admission,
    admission,
    loads,
    organisation_shares,
    placement,
    return_schedule,
    shared_room,
)

TARGET = 1.0
Arrival = return_schedule.Arrival
Refusal = admission.Refusal


def ranked(wait=0.1):
    candidate = placement.Candidate(
        upstream="u-1",
        slots=8,
        has_shared=False,
        same_domain=True,
        load=loads.Load(),
    )
    return placement.Ranked(
        candidate=candidate,
        new_tokens=1000.0,
        wait_seconds=wait,
        cost=0.0,
        costs=(),
    )


def tier_room(tokens=10_000.0, higher_covered=True, wait=0.0):
    return shared_room.TierRoom(
        tier=2,
        tokens=tokens,
        backlog_tokens=0.0,
        tokens_per_second=40_000.0,
        higher_covered=higher_covered,
        wait_seconds=wait,
    )


def adaptive_request(**changes):
    values = {
        "tokens": 1000.0,
        "target_seconds": TARGET,
        "arrival": Arrival.NEW,
        "room": tier_room(),
    }
    return adaptive_admission.AdaptiveRequest(**{**values, **changes})


def share(admitted):
    return organisation_shares.ShareDecision(
        admitted=admitted,
        fraction=1.0 if admitted else 0.25,
        asked=4000.0,
        fair_rate=1000.0,
        retry_seconds=0.0 if admitted else 0.5,
        from_fleet=True,
    )


def never_asked():
    raise AssertionError("the share was decided on")


SHORT = ranked(wait=0.71)
"""An upstream whose expected wait makes the pool short."""


def test_nobody_is_limited_while_there_is_capacity():
    """Guards against refusals by share in a pool with idle capacity."""
    best = ranked(wait=0.7)
    got = adaptive_admission.admit(
        adaptive_request(), best, decide_share=never_asked
    )
    assert got == adaptive_admission.Admitted(upstream=best)


def test_organisation_above_its_share_is_refused_in_a_short_pool():
    """Guards against one organisation that takes the capacity of all."""
    got = adaptive_admission.admit(
        adaptive_request(), SHORT, decide_share=lambda: share(False)
    )
    assert got == adaptive_admission.Rejected(
        refusal=Refusal.OVER_SHARE, share=share(False)
    )


def test_organisation_within_its_share_is_admitted_in_a_short_pool():
    """Guards against refusals of everyone once a pool is short."""
    got = adaptive_admission.admit(
        adaptive_request(), SHORT, decide_share=lambda: share(True)
    )
    assert got == adaptive_admission.Admitted(upstream=SHORT, share=share(True))


@pytest.mark.parametrize(
    "arrival", [Arrival.NEW, Arrival.EARLY, Arrival.EXPIRED]
)
def test_only_callers_in_time_use_reserved_room(arrival):
    """Guards against newcomers that take the room of invited callers."""
    request = adaptive_request(
        arrival=arrival, room=tier_room(tokens=2999.0), reserved_tokens=2000.0
    )
    got = adaptive_admission.admit(
        request, ranked(), decide_share=lambda: share(True)
    )
    assert got == adaptive_admission.Rejected(
        refusal=Refusal.RESERVED, share=share(True)
    )


def test_room_beside_the_reserved_one_is_free():
    """Guards against reservations that close a pool with enough room."""
    best = ranked()
    request = adaptive_request(
        room=tier_room(tokens=3000.0), reserved_tokens=2000.0
    )
    got = adaptive_admission.admit(request, best, decide_share=never_asked)
    assert got == adaptive_admission.Admitted(upstream=best)


def test_over_share_takes_precedence_over_reserved_room():
    """Guards against a refusal that hides that the organisation is limited."""
    request = adaptive_request(room=tier_room(tokens=0.0), reserved_tokens=1.0)
    got = adaptive_admission.admit(
        request, ranked(), decide_share=lambda: share(False)
    )
    assert got.refusal is Refusal.OVER_SHARE


def test_pool_without_room_or_reservation_is_left_to_the_base_admission():
    """Guards against refusals of a tier whose own room is used up.

    A request that is admitted late is better than one that is refused.
    """
    best = ranked()
    request = adaptive_request(room=tier_room(tokens=0.0, wait=0.4))
    got = adaptive_admission.admit(request, best, decide_share=never_asked)
    assert got == adaptive_admission.Admitted(upstream=best)


def test_caller_in_time_is_admitted_before_newcomers():
    """Guards against callers that return as told and are refused again."""
    request = adaptive_request(
        arrival=Arrival.INVITED,
        room=tier_room(tokens=0.0, wait=0.4),
        reserved_tokens=50_000.0,
    )
    got = adaptive_admission.admit(
        request, SHORT, decide_share=lambda: share(True)
    )
    assert got == adaptive_admission.Admitted(upstream=SHORT, share=share(True))


def test_caller_in_time_does_not_exceed_the_share():
    """Guards against an organisation that gets more by returning in time."""
    request = adaptive_request(arrival=Arrival.INVITED)
    got = adaptive_admission.admit(
        request, SHORT, decide_share=lambda: share(False)
    )
    assert got.refusal is Refusal.OVER_SHARE


def test_organisation_within_its_share_uses_reserved_room():
    """Guards against refusals for what others were promised above their share.

    Without others above their shares, the reserved room is kept.
    """
    request = adaptive_request(room=tier_room(tokens=0.0), reserved_tokens=1.0)
    scarce = dataclasses.replace(share(True), scarce=True)
    got = adaptive_admission.admit(
        request, ranked(), decide_share=lambda: scarce
    )
    assert got == adaptive_admission.Admitted(upstream=ranked(), share=scarce)
    limited = dataclasses.replace(scarce, fraction=0.5)
    got = adaptive_admission.admit(
        request, ranked(), decide_share=lambda: limited
    )
    assert got.refusal is Refusal.RESERVED


@pytest.mark.parametrize("tokens", [0.0, 10_000.0])
@pytest.mark.parametrize("wait", [0.1, 2.0])
def test_higher_tier_without_room_closes_the_lower_one(tokens, wait):
    """Guards against a lower tier that is served while a higher one is not.

    It holds with and without room of the own tier.
    """
    request = adaptive_request(
        room=tier_room(tokens=tokens, higher_covered=False)
    )
    got = adaptive_admission.admit(
        request, ranked(wait=wait), decide_share=never_asked
    )
    assert got == adaptive_admission.Rejected(refusal=Refusal.HIGHER_TIER)


@pytest.mark.parametrize("higher_covered", [True, False])
def test_due_floor_is_admitted_in_any_case(higher_covered):
    """Guards against a class or organisation that is never served."""
    request = adaptive_request(
        floor_due=True,
        room=tier_room(tokens=0.0, higher_covered=higher_covered),
        reserved_tokens=9000.0,
    )
    got = adaptive_admission.admit(request, SHORT, decide_share=never_asked)
    assert got == adaptive_admission.Admitted(upstream=SHORT)


@given(
    refusal=st.sampled_from(Refusal),
    arrival=st.sampled_from(Arrival),
    floor_due=st.booleans(),
    higher_covered=st.booleans(),
)
def test_refusals_of_the_base_admission_stay(
    refusal, arrival, floor_due, higher_covered
):
    """Guards against requests that are sent to a pool without slots."""
    request = adaptive_request(
        arrival=arrival,
        floor_due=floor_due,
        room=tier_room(higher_covered=higher_covered),
    )
    got = adaptive_admission.admit(request, refusal, decide_share=never_asked)
    assert got == adaptive_admission.Rejected(refusal=refusal)


@given(
    arrival=st.sampled_from(Arrival),
    wait=st.floats(0.0, 3.0),
    tokens=st.floats(0.0, 1e6),
    reserved=st.floats(0.0, 1e6),
    higher_covered=st.booleans(),
    admitted=st.booleans(),
)
def test_share_is_only_decided_on_in_a_short_pool(
    arrival, wait, tokens, reserved, higher_covered, admitted
):
    """Guards against limits on organisations outside of a shortage."""
    asked = []
    request = adaptive_request(
        arrival=arrival,
        room=tier_room(tokens=tokens, higher_covered=higher_covered),
        reserved_tokens=reserved,
    )
    best = ranked(wait=wait)

    def decide():
        asked.append(True)
        return share(admitted)

    got = adaptive_admission.admit(request, best, decide_share=decide)
    if asked:
        assert adaptive_admission.is_short(request, best)
        assert higher_covered
    if isinstance(got, adaptive_admission.Rejected):
        assert asked or got.refusal is Refusal.HIGHER_TIER


@pytest.mark.parametrize(
    ("wait", "expected"),
    [(0.0, None), (0.1, 0.1), (0.125, 0.125), (0.126, None), (60.0, None)],
)
def test_request_is_held_for_at_most_an_eighth_of_its_target(wait, expected):
    """Guards against waits that use up the caller's time at an entry VM."""
    got = adaptive_admission.hold_seconds(
        tier_room(tokens=0.0, wait=wait), target_seconds=TARGET
    )
    assert got == expected


def test_caller_in_time_does_not_precede_a_higher_tier():
    """Guards against a lower tier that is served while a higher one is not.

    A caller that is refused because of a higher tier is told to return after
    0.1 s, when the higher tier may still lack room.
    """
    request = adaptive_request(
        arrival=Arrival.INVITED, room=tier_room(higher_covered=False)
    )
    got = adaptive_admission.admit(request, ranked(), decide_share=never_asked)
    assert got == adaptive_admission.Rejected(refusal=Refusal.HIGHER_TIER)
