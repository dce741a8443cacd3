"""Conversion of loads to rows of integers and back."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import format_error, loads, peer_loads

COUNT = st.integers(0, 100_000)
LOADS = st.builds(
    loads.Load,
    waiting_by_tier=st.lists(COUNT, max_size=4).map(tuple),
    running=COUNT,
    sensitive=COUNT.map(lambda n: n / 100),
    held_tokens=COUNT,
    overdue=COUNT,
    running_by_tier=st.lists(COUNT, max_size=4).map(tuple),
)


def padded(load, tiers, running_tiers):
    """Return a load with a number for each tier."""
    waiting = tuple(map(float, load.waiting_by_tier))
    missing = tiers - len(waiting)
    running = load.running_by_tier
    return dataclasses.replace(
        load,
        waiting_by_tier=waiting + (0.0,) * missing,
        running_by_tier=running + (0,) * (running_tiers - len(running)),
    )


@given(st.dictionaries(st.sampled_from("abcdef"), LOADS))
def test_rows_round_trip_through_a_message(loads_by_upstream):
    state = router_messages.RouterState(
        entry_vm="vm-1",
        domain="north",
        start=1,
        sequence=1,
        port=1,
        revision=1,
        loads=peer_loads.to_rows(loads_by_upstream),
    )
    decoded = peer_loads.from_rows(
        router_codec.decode(router_codec.encode(state)).loads
    )
    tiers = max(
        (len(one.waiting_by_tier) for one in loads_by_upstream.values()),
        default=0,
    )
    running_tiers = max(
        (len(one.running_by_tier) for one in loads_by_upstream.values()),
        default=0,
    )
    assert decoded == {
        id: padded(load, tiers, running_tiers)
        for id, load in loads_by_upstream.items()
    }


def test_rows_of_an_older_version_have_no_tiers():
    """Guards against a mixed fleet in which older entry VMs are not heard."""
    rows = peer_loads.to_rows(
        {"u-1": loads.Load(running=4, running_by_tier=(1, 3))}
    )
    older = dataclasses.replace(rows, running=b"")
    decoded = peer_loads.from_rows(older)["u-1"]
    assert decoded.running_through(1) == 4


@pytest.mark.parametrize("missing", [1, 4, 20])
def test_rows_of_another_length_are_rejected(missing):
    """A datagram of another version has one number less in each row.

    If it were accepted, loads would be attributed to the wrong upstreams.
    """
    rows = peer_loads.to_rows(
        {"u-1": loads.Load(waiting_by_tier=(1.0,), running=1)}
    )
    broken = dataclasses.replace(rows, numbers=rows.numbers[:-missing])
    with pytest.raises(format_error.FormatError, match="valid: 5 numbers"):
        peer_loads.from_rows(broken)


def test_number_beyond_its_range_is_reduced_to_the_maximum():
    rows = peer_loads.to_rows({"u-1": loads.Load(held_tokens=1e12)})
    decoded = peer_loads.from_rows(rows)["u-1"]
    assert decoded.held_tokens == 2**32 - 1
