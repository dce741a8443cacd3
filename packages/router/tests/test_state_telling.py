"""When an entry VM tells its state, and what others must not miss."""

import random

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_router import (
    load_ledger,
    loads,
    peer_table,
    pressure,
    prompt_locations,
    retry_budget,
    roster,
    settings,
    state_telling,
    store_replica,
    upstreams,
)
from lagoonrun_standins.router_words import PlainLayout

HERE = settings.Address(host="10.0.0.1", port=1)


@pytest.fixture
def table():
    return peer_table.PeerTable(entry_vm="vm-1", domain="north")


@pytest.fixture
def ledger():
    return load_ledger.LoadLedger()


@pytest.fixture
def known(table):
    return store_replica.StoreReplica(
        layout=PlainLayout(),
        directory=upstreams.UpstreamDirectory(),
        peers=table,
        blocks=None,
        on_declarations=lambda declared: None,
        on_upstreams=lambda: None,
        clock=clocks.ManualClock(),
    )


@pytest.fixture
def teller(table, ledger, known):
    configured = settings.RouterSettings(
        entry_vm="vm-1",
        domain="north",
        caller=HERE,
        readiness=HERE,
        peer=HERE,
        metrics=None,
        seeds=(),
        store=HERE,
        stop_seconds=8.0,
        retry_allowance=retry_budget.Allowance(
            ratio=0.2, window_seconds=10.0, fixed=50.0
        ),
        reuse_seconds=10.0,
        processor_cores=0.5,
    )
    made = state_telling.StateTeller(
        configured=configured,
        start=7,
        table=table,
        known=known,
        directory=upstreams.UpstreamDirectory(),
        ledger=ledger,
        prompt_locations=prompt_locations.PromptLocations(reuse_seconds=10.0),
        pressed=pressure.Pressure(),
        relays=roster.Roster(
            duty="relay", wanted_count=2, own="vm-1", own_size=0.5, others=table
        ),
        rng=random.Random(1),
    )
    made.tick(now=0.0)
    return made


def beats_until_told(teller):
    beats = 0
    while True:
        beats += 1
        if teller.tick(now=beats * 0.05) is not None:
            return beats


def begin(ledger, tokens):
    work = loads.InFlightRequest(
        upstream="u-1", new_tokens=tokens, sensitivity=0.0
    )
    ledger.begin(work, now=0.0)
    return work


def test_long_prompt_is_told_at_once_and_its_end_a_beat_later(teller, ledger):
    work = begin(ledger, load_ledger.URGENT_TOKENS)
    assert beats_until_told(teller) == 1
    ledger.end(work)
    assert beats_until_told(teller) == 2


def test_nothing_new_is_told_before_others_would_take_it_for_silence(teller):
    seconds = beats_until_told(teller) * 0.05
    assert 2 * seconds < roster.SILENT_SECONDS


def test_reader_that_has_lost_the_store_says_so_to_all(teller, known):
    """Its neighbours rely on it, and hear of it through the relay only.

    Told to the relay alone, the loss of the store would be news to them
    after the change that they should have had.
    """
    known.apply_changes((), 5)
    teller.tick(now=0.1)
    assert teller.was_reader
    known.on_store_call_failed()
    assert beats_until_told(teller) == 1
    assert teller.was_reader
    assert teller.news_changed
    beats_until_told(teller)
    assert not teller.was_reader


def test_size_and_relay_are_told(teller, table):
    assert teller.greeting(now=0.0).processor_hundredths == 50
    assert teller.greeting(now=0.0).relay == ""
    for number in range(13):
        address = settings.Address(host=f"10.0.1.{number}", port=1)
        table.add(f"near-{number}", address, "north", processor_cores=2.0)
    assert teller.greeting(now=0.0).relay.startswith("near-")


def test_greeting_tells_no_work(teller, ledger):
    begin(ledger, 5000.0)
    assert teller.greeting(now=0.0).loads.upstreams == ""
