"""The reserve of higher tiers follows what they have sent lately."""

import pytest

from lagoonrun_router import (
    active_tiers,
    admission,
    choosing,
    declarations,
    loads,
    pool_capacity,
)
from lagoonrun_standins.router_samples import make_call, make_stream_route

TIERS = (1, 2, 3)
STARTED_AT = 1000.0
LATER = STARTED_AT + active_tiers.ACTIVE_SECONDS


@pytest.fixture
def tiers():
    return active_tiers.ActiveTiers(started_at=STARTED_AT)


def share_of(tiers, tier, *, now):
    relevant = tiers.relevant("portal", tier, TIERS, now=now)
    return admission.share_of(tier, relevant)


def test_entry_vm_that_starts_keeps_the_reserve(tiers):
    """Guards against a restart that gives the higher tiers' slots away."""
    assert share_of(tiers, 3, now=LATER - 0.1) == admission.LOWEST_TIER_SHARE
    assert share_of(tiers, 3, now=LATER) == 1.0


def test_own_and_reported_requests_keep_the_reserve(tiers):
    tiers.record_request("portal", 1, now=LATER)
    assert share_of(tiers, 3, now=LATER) == admission.LOWEST_TIER_SHARE
    much_later = LATER + active_tiers.ACTIVE_SECONDS
    assert share_of(tiers, 3, now=much_later) == 1.0
    load = loads.Load(running=1, running_by_tier=(0, 1))
    tiers.record_load("portal", load, now=much_later)
    assert share_of(tiers, 3, now=much_later) == admission.LOWEST_TIER_SHARE
    tiers.record_request("other", 1, now=much_later)
    assert share_of(tiers, 2, now=much_later) == 1.0


def test_absent_lower_tiers_change_nothing(tiers):
    """Guards against a smaller share than with all tiers."""
    for tier in TIERS:
        assert share_of(tiers, tier, now=LATER) >= admission.share_of(
            tier, TIERS
        )


async def test_entry_vm_with_most_callers_uses_what_is_free(world_of):
    """Guards against refusals beside idle slots at the busiest entry VM.

    It knew exactly how many slots were reserved, and refused a third of its
    callers for tiers that sent nothing.
    """
    world = await world_of()
    await world.declare(make_stream_route(), revision=2)
    await world.add_upstream(id="u-1", slots=4)
    await world.ready()
    components = world.router._ingress._components
    now = components.clock.monotonic()
    components.active_tiers._started_at = now - active_tiers.ACTIVE_SECONDS
    engine = declarations.Engine(slots=4, cache_tokens=1_000_000)
    call = make_call(
        route=make_stream_route(tier=3, limit_seconds=60.0),
        pool=declarations.Pool(
            name="portal", maximum_connections=64, engine=engine
        ),
        pool_tiers=TIERS,
        arrived_at=now,
        limit_at=now + 60.0,
    )
    for _ in range(3):
        components.ledger.begin(
            loads.InFlightRequest(
                upstream="u-1", new_tokens=10.0, sensitivity=0.0, tier=3
            ),
            now=now,
        )
    chooser = choosing.Chooser(components=components)
    assert isinstance(chooser.choose(call, excluded=()), choosing.Choice)
    components.active_tiers.record_request("portal", 1, now=now)
    refused = chooser.choose(call, excluded=())
    assert isinstance(refused, pool_capacity.Rejection)
    assert refused.refusal is admission.Refusal.NO_ROOM
