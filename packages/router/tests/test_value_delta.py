"""Deltas between two values of the declarations.

The case to support is a configuration of 1,400 routes or more that changes in
one place, and that forty entry VMs fetch over links of 5 to 20 Mbit/s.
"""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_router import format_error, value_delta

TEXTS = st.lists(
    st.sampled_from([b"{a}", b"{b}", b"{c:1}", b"x", b"}", b"{", b'{"d"}'])
).map(b"".join)


def delta_size(delta):
    numbers = len(delta.new_lengths) * 3 * 4
    return len(delta.packed_text) + numbers


def config(revision, routes, changed=None):
    """Return a configuration in the format that operators use."""
    return json.dumps(
        {
            "version": revision,
            "routes": [
                {
                    "name": f"route-{number}",
                    "host": f"host-{number % 7}.example",
                    "prefix": f"/{number * 7919 % 100003}/",
                    "kind": "streaming",
                    "timeout_ms": 9000 if number == changed else 8000,
                    "service": f"pool-{number % 5}",
                }
                for number in range(routes)
            ],
        }
    ).encode()


@given(base=TEXTS, value=TEXTS)
def test_delta_makes_the_value_out_of_the_base(base, value):
    delta = value_delta.between(base, value)
    assert value_delta.apply(delta, base) == value


def test_one_changed_route_of_many_takes_a_few_hundred_bytes():
    before = config(1, 1900)
    after = config(2, 1900, changed=950)
    delta = value_delta.between(before, after)
    assert value_delta.apply(delta, before) == after
    assert delta_size(delta) < 500
    assert len(after) > 200_000


def test_delta_has_only_added_or_removed_routes():
    small, large = config(1, 300), config(2, 1700)
    growing = value_delta.between(small, large)
    shrinking = value_delta.between(large, small)
    assert value_delta.apply(growing, small) == large
    assert delta_size(growing) < len(large) / 5
    assert delta_size(shrinking) < 200


def test_delta_from_nothing_is_the_compressed_value():
    value = config(1, 1900)
    delta = value_delta.between(b"", value)
    assert delta.base == ""
    assert delta_size(delta) < len(value) / 5


def test_delta_of_another_value_is_rejected():
    delta = value_delta.between(b"{a}", b"{b}")
    with pytest.raises(format_error.FormatError, match="not the value"):
        value_delta.apply(delta, b"{c}")


@pytest.mark.parametrize("packed", [b"", b"no zlib"])
def test_broken_text_is_rejected(packed):
    delta = value_delta.ValueDelta(
        base="",
        result="x",
        new_lengths=(1,),
        copied_starts=(0,),
        copied_lengths=(0,),
        packed_text=packed,
    )
    with pytest.raises(format_error.FormatError):
        value_delta.apply(delta, b"")
