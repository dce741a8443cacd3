"""When the states of an entry VM are due, and whom their changes concern."""

import random

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_router import (
    adaptive_load,
    demand_row,
    load_ledger,
    load_report,
    loads,
    peer_table,
    pressure,
    prompt_locations,
    retry_budget,
    roster,
    settings,
    state_publisher,
    store_replica,
    upstreams,
)
from lagoonrun_standins.router_samples import make_registration
from lagoonrun_standins.router_words import PlainLayout

ADDRESS = settings.Address(host="10.0.0.1", port=1)


@pytest.fixture
def table():
    return peer_table.PeerTable(entry_vm="vm-1", domain="north")


@pytest.fixture
def ledger():
    return load_ledger.LoadLedger()


@pytest.fixture
def replica(table):
    return store_replica.StoreReplica(
        layout=PlainLayout(),
        directory=upstreams.UpstreamDirectory(),
        peers=table,
        blocks=None,
        overrides=None,
        on_declarations=lambda declared: None,
        on_upstreams=lambda: None,
        clock=clocks.ManualClock(),
    )


@pytest.fixture
def adaptive():
    return adaptive_load.AdaptiveLoad(
        contended=False, weight_override=lambda id: None
    )


@pytest.fixture
def publisher(table, ledger, replica, adaptive):
    configured = settings.RouterSettings(
        entry_vm="vm-1",
        domain="north",
        caller=ADDRESS,
        readiness=ADDRESS,
        peer=ADDRESS,
        metrics=None,
        seeds=(),
        store=ADDRESS,
        stop_seconds=8.0,
        retry_allowance=retry_budget.Allowance(
            ratio=0.2, window_seconds=10.0, fixed=50.0
        ),
        reuse_seconds=10.0,
        processor_cores=0.5,
    )
    made = state_publisher.StatePublisher(
        adaptive=adaptive,
        configured=configured,
        start=7,
        table=table,
        replica=replica,
        directory=upstreams.UpstreamDirectory(),
        ledger=ledger,
        prompt_locations=prompt_locations.PromptLocations(reuse_seconds=10.0),
        pressure=pressure.Pressure(),
        relays=roster.Roster(
            duty="relay", wanted_count=2, own="vm-1", own_size=0.5, others=table
        ),
        rng=random.Random(1),
    )
    made.tick(now=0.0)
    return made


def ticks_until_sent(publisher):
    ticks = 0
    while True:
        ticks += 1
        if publisher.tick(now=ticks * 0.05) is not None:
            return ticks


def begin_request(ledger, tokens):
    request = loads.InFlightRequest(
        upstream="u-1", new_tokens=tokens, sensitivity=0.0
    )
    ledger.begin(request, now=0.0)
    return request


def test_long_prompt_is_sent_at_once_and_its_end_a_tick_later(
    publisher, ledger
):
    request = begin_request(ledger, load_ledger.URGENT_TOKENS)
    assert ticks_until_sent(publisher) == 1
    ledger.end(request)
    assert ticks_until_sent(publisher) == 2


def test_unchanged_state_is_sent_before_the_silence_limit(publisher):
    seconds = ticks_until_sent(publisher) * 0.05
    assert 2 * seconds < roster.SILENT_SECONDS


def test_loss_of_the_store_concerns_all_neighbours(publisher, replica):
    """A reader loses the store, and its neighbours rely on it to read.

    If only the relay were sent this, they would learn of it too late, after a
    change of the store that they should have had.
    """
    replica.apply_changes((), 5)
    publisher.tick(now=0.1)
    assert publisher.was_reader
    replica.on_store_call_failed()
    assert ticks_until_sent(publisher) == 1
    assert publisher.was_reader
    assert publisher.concerns_all_neighbours
    ticks_until_sent(publisher)
    assert not publisher.was_reader


def test_size_and_relay_are_reported(publisher, table):
    assert publisher.announcement(now=0.0).processor_hundredths == 50
    assert publisher.announcement(now=0.0).relay == ""
    for number in range(13):
        address = settings.Address(host=f"10.0.1.{number}", port=1)
        table.add(f"near-{number}", address, "north", processor_cores=2.0)
    assert publisher.announcement(now=0.0).relay.startswith("near-")


def test_announcement_reports_no_load(publisher, ledger):
    begin_request(ledger, 5000.0)
    assert publisher.announcement(now=0.0).loads.upstreams == ""


def test_each_quiet_state_has_the_demand(publisher, adaptive):
    """Guards against demand that is sent every other time.

    Ticks are not exact, so two quiet states may be sent in less than 0.4 s. One
    that was left out together with one lost datagram exceeded the 1.5 s for
    which a report applies.
    """
    adaptive.record_report(
        make_registration("u-1", pool="engines"),
        load_report.LoadReport(running=0, waiting=0, slots=8, slowness=1.0),
        now=0.0,
    )
    adaptive.shares.record_arrival(
        demand_row.ShareKey(pool="engines", tier=1),
        "house",
        cost=1000.0,
        now=0.0,
    )
    # Each tick is a thousandth early.
    states = [publisher.tick(now=tick * 0.04995) for tick in range(1, 81)]
    with_demand = [bool(one.demands) for one in states if one is not None]
    assert len(with_demand) == 10
    assert all(with_demand)
