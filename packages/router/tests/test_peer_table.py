"""Other entry VMs: addresses, silence, overtaken messages."""

import random

import pytest

from lagoonrun_router import peer_table, settings

A = settings.Address(host="10.0.0.1", port=1)
B = settings.Address(host="10.0.0.2", port=1)


@pytest.fixture
def table():
    return peer_table.PeerTable(entry_vm="vm-1", domain="north")


def hear(table, name="vm-2", address=A, domain="north", **changes):
    values = {"start": 7, "sequence": 1, "now": 0.0, "domain": domain}
    return table.record_message(name, address, **{**values, **changes})


def test_record_in_the_store_is_read_back(table):
    table.apply_record("vm-2", table.record(A, processor_cores=0.5))
    assert table.address_of("vm-2") == A
    assert table.sizes() == {"vm-2": 0.5}


def test_record_of_an_entry_vm_that_tells_no_size_is_read(table):
    """A fleet is upgraded one entry VM after the other."""
    record = b'{"host": "10.0.0.1", "port": 1, "domain": "north"}'
    table.apply_record("vm-2", record)
    assert table.sizes() == {"vm-2": 0.0}


def test_own_and_broken_records_are_left_out(table):
    table.apply_record("vm-1", table.record(A, processor_cores=1.0))
    table.apply_record("vm-3", b"{")
    table.apply_record("vm-4", b'{"host": "x"}')
    assert table.addresses() == ()


def test_overtaken_message_is_dropped(table):
    assert hear(table, sequence=2)
    assert not hear(table, sequence=1)
    assert hear(table, sequence=3)


def test_restarted_peer_is_heard_although_it_counts_anew(table):
    """A peer restarts while its clock is set back.

    Nothing in its messages may depend on that clock, or the others would
    take it for the old process for as long as the clock is behind.
    """
    assert hear(table, start=7, sequence=900)
    assert hear(table, start=3, sequence=1)


def test_silent_peer_is_lost_once_and_gained_again(table):
    hear(table, now=0.0)
    assert table.pop_lost(now=1.0) == ()
    assert table.pop_lost(now=2.5) == ("vm-2",)
    assert table.pop_lost(now=2.6) == ()
    assert table.known() == {}
    hear(table, sequence=2, now=3.0)
    assert table.known() == {"vm-2": A}


def test_lost_peer_still_shares_budgets_for_a_while(table):
    """Half of the fleet is cut off and goes on retrying.

    Both halves must not take the whole allowance for themselves.
    """
    hear(table, now=0.0)
    table.pop_lost(now=10.0)
    assert table.budget_sharers(now=10.0) == 2
    assert table.budget_sharers(now=100.0) == 1


def test_peer_of_another_domain_shares_budgets_although_hardly_heard(table):
    """It tells this one by chance, in a large fleet once in half a minute."""
    hear(table, domain="south", now=0.0)
    assert table.pop_lost(now=10.0) == ()
    assert table.budget_sharers(now=100.0) == 2


def test_now_and_then_another_domain_is_told(table):
    hear(table, "near", A)
    hear(table, "far", B, domain="south")
    assert table.neighbour_addresses() == (A,)
    assert table.sample_remote_addresses(random.Random(1)) == (B,)


def test_only_a_large_domain_has_a_relay(table):
    """Thirty neighbours that all told each other would do nothing else."""
    for number in range(12):
        hear(table, f"near-{number}", at(number))
        hear(table, f"far-{number}", at(100 + number), domain="south")
    assert not table.has_relay
    hear(table, "near-12", at(12))
    assert table.has_relay


def test_peer_that_moves_to_another_domain_is_no_neighbour_any_more(table):
    hear(table)
    changes = table.changes
    hear(table, sequence=2, domain="south")
    assert table.neighbour_ids() == ()
    assert table.changes > changes


def test_relay_that_lists_a_peer_shows_that_it_lives(table):
    hear(table, now=0.0)
    table.record_alive("vm-2", now=2.5)
    assert table.pop_lost(now=3.0) == ()
    assert table.neighbours() == ("vm-2",)


def test_stopping_peer_is_not_revived_by_what_was_heard_before(table):
    """A relay lists a neighbour that it heard just before it said it ends."""
    hear(table, now=0.0, stopping=True)
    table.record_alive("vm-2", now=0.1)
    assert table.is_stopping("vm-2")
    table.record_alive("vm-2", now=peer_table.PEER_TIMEOUT_SECONDS)
    assert not table.is_stopping("vm-2")


def at(number):
    return settings.Address(host=f"10.0.1.{number}", port=1)


def test_peer_with_a_new_address_is_reached_there(table):
    hear(table, address=A)
    hear(table, address=B, sequence=2)
    assert table.addresses() == (B,)
