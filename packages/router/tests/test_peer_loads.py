"""Loads as columns of whole numbers, and back."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_protocol import codec, router_messages
from lagoonrun_router import format_error, loads, peer_loads

COUNT = st.integers(0, 100_000)
LOADS = st.builds(
    loads.Load,
    waiting_by_tier=st.lists(COUNT, max_size=4).map(tuple),
    running=COUNT,
    sensitive=COUNT.map(lambda n: n / 100),
    held_tokens=COUNT,
    overdue=COUNT,
)


def padded(load, tiers):
    """Return a load with a figure for each tier."""
    waiting = tuple(map(float, load.waiting_by_tier))
    missing = tiers - len(waiting)
    return dataclasses.replace(load, waiting_by_tier=waiting + (0.0,) * missing)


@given(st.dictionaries(st.sampled_from("abcdef"), LOADS))
def test_columns_tell_what_was_known(known):
    state = router_messages.RouterState(
        entry_vm="vm-1",
        domain="north",
        start=1,
        sequence=1,
        port=1,
        revision=1,
        loads=peer_loads.to_columns(known),
    )
    told = peer_loads.from_columns(codec.decode(codec.encode(state)).loads)
    tiers = max((len(one.waiting_by_tier) for one in known.values()), default=0)
    assert told == {id: padded(load, tiers) for id, load in known.items()}


@pytest.mark.parametrize("column", ["running", "overdue", "waiting_tokens"])
def test_columns_of_other_lengths_are_a_fault(column):
    """A datagram of another version lacks a column.

    Read as it stands, loads would be taken for those of other upstreams.
    """
    columns = peer_loads.to_columns(
        {"u-1": loads.Load(waiting_by_tier=(1.0,), running=1)}
    )
    broken = dataclasses.replace(columns, **{column: ()})
    with pytest.raises(format_error.FormatError, match="1 upstreams"):
        peer_loads.from_columns(broken)
