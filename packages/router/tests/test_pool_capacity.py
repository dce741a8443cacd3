"""Admission to an adaptive pool, and the times at which callers return."""

import dataclasses

import pytest

from lagoonrun_router import (
    adaptive_load,
    admission,
    call,
    declarations,
    load_ledger,
    load_report,
    loads,
    organisation_shares,
    placement,
    pool_capacity,
    return_schedule,
    shared_room,
)
from lagoonrun_standins.router_samples import (
    make_call,
    make_registration,
    make_route,
)

NOW = 1000.0
LIMIT_SECONDS = 10.0
TARGET = 1.0
POOL = declarations.Pool(
    name="engines",
    maximum_connections=64,
    engine=declarations.Engine(slots=8, cache_tokens=400_000),
)
UPSTREAM = make_registration("u-1", pool="engines")
Arrival = return_schedule.Arrival


@pytest.fixture
def load():
    return adaptive_load.AdaptiveLoad(
        contended=True, weight_override=lambda organisation: None
    )


@pytest.fixture
def ledger():
    return load_ledger.LoadLedger()


@pytest.fixture
def capacity(load, ledger):
    return pool_capacity.PoolCapacity(load=load, ledger=ledger)


def call_of(digest="d-1", *, id=None, organisation="house", tier=1, now=NOW):
    """Return a request to the pool."""
    return make_call(
        attributes=call.CallAttributes(
            request_id=id or digest, host="portal.test", prompt_tokens=1000
        ),
        route=make_route(target_seconds=TARGET, tier=tier),
        pool=POOL,
        organisation=organisation
        and declarations.RankedOrganisation(id=organisation, key_digests=()),
        pool_tiers=(1, 2),
        tier_targets={1: TARGET, 2: 2.0},
        arrived_at=now,
        limit_at=now + LIMIT_SECONDS,
        digest=digest,
    )


def ranked(wait=0.1):
    return placement.Ranked(
        candidate=placement.Candidate(
            upstream="u-1",
            slots=8,
            has_shared=False,
            same_domain=True,
            load=loads.Load(),
        ),
        new_tokens=1000.0,
        wait_seconds=wait,
        cost=0.0,
        costs=(),
    )


def rejection(tokens=1000.0, wait=0.0, share=None, rate=40_000.0):
    return pool_capacity.Rejection(
        refusal=admission.Refusal.NO_ROOM,
        room=shared_room.TierRoom(
            tier=1,
            tokens=0.0,
            backlog_tokens=0.0,
            tokens_per_second=rate,
            higher_covered=True,
            wait_seconds=wait,
        ),
        share=share,
        tokens=tokens,
    )


def admit(capacity, one, base, *, now=NOW, usable=(UPSTREAM,), tokens=1000.0):
    return capacity.admit(
        one, base, usable, tokens=tokens, floor_due=False, now=now
    )


def fill(ledger, *, tokens, upstream="u-1", now=NOW):
    """Queue a prompt at an upstream."""
    ledger.begin(
        loads.InFlightRequest(
            upstream=upstream, new_tokens=tokens, sensitivity=0.0
        ),
        now=now,
    )


# The draw of a request.


def draws_of(capacity, load, monkeypatch, ids):
    """Return the draw of each request, as passed to the shares."""
    draws = []
    decide = load.shares.decide

    def recorded(*positional, draw, **named):
        draws.append(draw)
        return decide(*positional, draw=draw, **named)

    monkeypatch.setattr(load.shares, "decide", recorded)
    for id in ids:
        admit(capacity, call_of("d", id=id), ranked(wait=0.9))
    return draws


def test_draw_is_uniform_over_requests(capacity, load, monkeypatch):
    """Guards against a limit that admits all requests, or the same ones."""
    ids = [f"request-{number}" for number in range(4000)]
    draws = sorted(draws_of(capacity, load, monkeypatch, ids))
    assert len(set(draws)) == len(ids)
    # The Kolmogorov-Smirnov statistic; exceeded by chance in 1 of 10,000.
    largest_gap = max(
        abs(draw - (index + 0.5) / len(draws))
        for index, draw in enumerate(draws)
    )
    assert largest_gap < 2.23 / len(draws) ** 0.5


def test_draw_is_the_same_for_the_same_request(capacity, load, monkeypatch):
    """Guards against callers that repeat a request until it is drawn."""
    draws = draws_of(capacity, load, monkeypatch, ["r-1", "r-1", "r-2"])
    assert draws[0] == draws[1] != draws[2]


def test_caller_that_returns_in_time_is_drawn_anew(capacity, load, monkeypatch):
    """Guards against invited callers that are always refused again."""
    one = call_of("d", id="r-1")
    due_at = NOW + capacity.return_seconds(one, rejection(), now=NOW)
    drawn = []
    decide = load.shares.decide

    def recorded(*positional, draw, **named):
        drawn.append(draw)
        return decide(*positional, draw=draw, **named)

    monkeypatch.setattr(load.shares, "decide", recorded)
    for now in (NOW + 0.01, due_at):
        admit(capacity, one, ranked(wait=0.9), now=now)
    early, invited = drawn
    assert [early] == draws_of(capacity, load, monkeypatch, ["r-1"])
    assert invited != early


def test_limited_organisation_gets_its_fraction(capacity, load):
    """Guards against an organisation whose share is refused as a whole."""
    key = load.share_key("engines", 1)
    for organisation, requests in (("house", 160), ("garden", 10)):
        for _ in range(requests):
            load.shares.record_arrival(key, organisation, cost=1000.0, now=NOW)
    admitted = {
        organisation: sum(
            isinstance(
                admit(
                    capacity,
                    call_of(f"d-{number}", organisation=organisation),
                    ranked(wait=0.9),
                ),
                placement.Ranked,
            )
            for number in range(4000)
        )
        for organisation in ("house", "garden")
    }
    assert admitted["garden"] == 4000
    # The default rate of one upstream, less what the other asks for.
    assert admitted["house"] / 4000 == pytest.approx(30 / 160, abs=0.02)


# Repeated requests.


def test_repeated_request_does_not_raise_the_demand(capacity, load):
    """Guards against refusals that make an organisation look more demanding.

    A caller that returns as told asks for the capacity then, and counts once.
    """
    one = call_of()
    capacity.record_arrival(one, tokens=1000.0, now=NOW)
    key = load.share_key("engines", 1)
    asked = load.shares.demand_of(key, now=NOW + 0.2)
    capacity.return_seconds(one, rejection(wait=0.5), now=NOW)
    for after in (0.01, 0.15, 0.2, 0.3):
        arrival = capacity.record_arrival(one, tokens=1000.0, now=NOW + after)
        assert arrival is Arrival.EARLY
    assert load.shares.demand_of(key, now=NOW + 0.4) <= asked
    arrival = capacity.record_arrival(one, tokens=1000.0, now=NOW + 0.55)
    assert arrival is Arrival.INVITED
    assert load.shares.demand_of(key, now=NOW + 0.6) > asked


def test_requests_without_a_key_count_as_one_organisation(capacity, load):
    """Guards against public routes that no share applies to."""
    for number in range(3):
        capacity.record_arrival(
            call_of(f"d-{number}", organisation=None), tokens=100.0, now=NOW
        )
    (row,) = load.shares.own_rows(now=NOW)
    assert (row.organisation, row.organisations) == ("public", 1)


# The time to return.


def share(retry_seconds):
    return organisation_shares.ShareDecision(
        admitted=False,
        fraction=0.5,
        asked=2000.0,
        fair_rate=1000.0,
        retry_seconds=retry_seconds,
        from_fleet=True,
    )


@pytest.mark.parametrize(
    ("room_wait", "share_wait", "expected"),
    [(0.9, 0.5, 0.9), (0.5, 0.9, 0.9), (1.6, None, 1.6), (0.0, None, 0.25)],
)
def test_time_is_the_larger_of_share_and_room(
    capacity, room_wait, share_wait, expected
):
    """Guards against callers that return before the capacity is there."""
    given = rejection(wait=room_wait)
    if share_wait is not None:
        given = dataclasses.replace(
            given,
            refusal=admission.Refusal.OVER_SHARE,
            share=share(share_wait),
        )
    got = capacity.return_seconds(call_of(), given, now=NOW)
    # Times are promised by tenths of a second.
    assert expected - 1e-6 <= got <= expected + 0.1


@pytest.mark.parametrize("wait", [5.0, 60.0])
def test_time_is_at_most_three_tenths_of_the_remaining_time(capacity, wait):
    """Guards against a Retry-After that callers don't honour."""
    got = capacity.return_seconds(call_of(), rejection(wait=wait), now=NOW)
    assert 0.29 * LIMIT_SECONDS <= got <= 0.3 * LIMIT_SECONDS
    later = NOW + 0.9 * LIMIT_SECONDS
    got = capacity.return_seconds(
        call_of("d-2"), rejection(wait=wait), now=later
    )
    assert 0.0 < got <= 0.03 * LIMIT_SECONDS + 1e-6


def test_callers_return_as_fast_as_the_pool_prefills(capacity):
    """Guards against refused callers that all return at once."""
    given = rejection(tokens=1000.0, rate=20_000.0)
    times = [
        capacity.return_seconds(call_of(f"d-{number}"), given, now=NOW)
        for number in range(40)
    ]
    for start in range(20):
        within = [one for one in times if start <= 10 * one < start + 9.9]
        assert len(within) <= 20


def test_early_repetition_keeps_its_time(capacity):
    """Guards against callers that gain or lose by returning early."""
    one = call_of()
    due_at = NOW + capacity.return_seconds(one, rejection(wait=1.0), now=NOW)
    early = capacity.return_seconds(one, rejection(wait=2.0), now=NOW + 0.3)
    assert NOW + 0.3 + early == pytest.approx(due_at)


def test_other_pools_have_no_time_of_the_schedule(capacity, load):
    """Guards against invitations in pools that are not adaptive."""
    given = pool_capacity.Rejection(refusal=admission.Refusal.NO_ROOM)
    assert capacity.return_seconds(call_of(), given, now=NOW) is None
    assert load.schedule.outstanding(now=NOW) == ()


# Returning callers.


def test_caller_in_time_goes_first_and_redeems_once(capacity, load, ledger):
    """Guards against an invitation that is used twice or stays reserved."""
    # A backlog that leaves 500 tokens of room within the target.
    fill(ledger, tokens=39_500.0)
    one = call_of()
    due_at = NOW + capacity.return_seconds(one, rejection(), now=NOW)
    other = admit(capacity, call_of("d-2"), ranked(), now=due_at)
    assert other.refusal is admission.Refusal.RESERVED
    assert isinstance(
        admit(capacity, one, ranked(), now=due_at), placement.Ranked
    )
    capacity.record_admission(one, tokens=1000.0, now=due_at)
    assert load.schedule.arrival_of("d-1", now=due_at) is Arrival.NEW
    assert load.schedule.reserved_tokens("engines", 1, now=due_at) == 0.0
    assert isinstance(
        admit(capacity, call_of("d-2"), ranked(), now=due_at), placement.Ranked
    )


def test_reservation_does_not_hold_off_a_higher_tier(capacity, ledger):
    """Guards against a higher tier that waits for callers of a lower one."""
    fill(ledger, tokens=39_500.0)
    low = call_of("d-low", tier=2)
    given = rejection()
    due_at = NOW + capacity.return_seconds(low, given, now=NOW)
    assert isinstance(
        admit(capacity, call_of("d-2", tier=1), ranked(), now=due_at),
        placement.Ranked,
    )


def test_room_is_that_of_all_tiers_of_the_pool(capacity, load, ledger):
    """Guards against a tier that is judged by the requests of one class."""
    fill(ledger, tokens=39_500.0)
    room = capacity.room(call_of(tier=2), (UPSTREAM,), now=NOW)
    assert room.tier == 2
    high, low = load.latest_rooms()["engines"]
    assert (high.tier, high.tokens) == (1, pytest.approx(500.0))
    assert low.tokens > high.tokens


def test_slots_without_stated_slowness_are_those_of_the_upstream(
    capacity, load
):
    """Guards against room by other slots than those that admission uses.

    Without stated slowness, admission takes all upstreams to be equally fast.
    """
    others = tuple(
        make_registration(f"u-{number}", pool="engines", slots=8)
        for number in range(2, 5)
    )
    usable = (UPSTREAM, *others)
    for one in usable:
        slow = one is UPSTREAM
        for _ in range(40):
            load.speeds.record_prefill(
                one.id,
                0,
                tokens=4000.0,
                seconds=1.0 if slow else 0.1,
                slowness=None,
                now=NOW,
            )
    assert not load.states_slowness(usable)
    assert capacity._capacity(UPSTREAM, 0.0, NOW).slots == UPSTREAM.slots


def test_rounded_speeds_are_reused_for_a_moment(load):
    """Guards against estimates of all upstreams for each request."""
    ids = (UPSTREAM.id, "u-2")
    for id, slowness in zip(ids, (1.0, 3.0), strict=True):
        for number in range(200):
            load.speeds.record_report(
                id,
                1,
                load_report.LoadReport(
                    running=0, waiting=0, slots=8, slowness=slowness
                ),
                now=NOW + number,
            )
        load.speeds.record_prefill(
            id, 1, tokens=4000, seconds=0.1, slowness=slowness, now=NOW + 200
        )
    fast, slow = first = load.rounded_speeds("engines", ids, now=NOW + 200)
    assert fast > slow > 0.0
    assert load.rounded_speeds("engines", ids, now=NOW + 200.9) is first
    assert load.rounded_speeds("engines", ids, now=NOW + 201) is not first
    one = load.rounded_speeds("engines", ids[:1], now=NOW + 201.1)
    assert one == (fast,)


def test_organisation_is_served_again_after_an_outage(capacity):
    """Guards against shares of a capacity of zero, which stays zero.

    After nothing was admitted for a while, a few refusals of another
    organisation, whose prompts are too long for its time limit, went on.
    """

    def ask(organisation, base, now):
        one = call_of(f"d-{now}", organisation=organisation, now=now)
        capacity.record_arrival(one, tokens=1000.0, now=now)
        verdict = admit(capacity, one, base, now=now)
        admitted = isinstance(verdict, placement.Ranked)
        if admitted:
            capacity.record_admission(one, tokens=1000.0, now=now)
        return admitted

    for step in range(60):
        ask("house", admission.Refusal.NO_ROOM, NOW + step / 10)
    served = 0
    for step in range(60, 120):
        now = NOW + step / 10
        # A quarter of what the pool prefills.
        served += ask("house", ranked(), now)
        if step % 5 == 0:
            ask("garden", admission.Refusal.TOO_LATE, now + 0.05)
    assert served >= 45
