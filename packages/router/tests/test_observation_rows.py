"""Speed observations in the messages between entry VMs."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import format_error, observation_rows, speed_observation

LINE_SEPARATORS = ("\u2028", "\u2029", "\x85", "\x0b", "\r")

_counts = st.integers(0, 2**32 - 2)
_observations = st.builds(
    speed_observation.SpeedObservation,
    upstream=st.text("abc-019", min_size=1, max_size=12),
    start=st.integers(0, 2**64 - 1),
    tokens_per_second=st.none() | st.integers(1, 2**32 - 1).map(float),
    samples=st.integers(0, 2**32 - 1),
    slowness=st.none() | st.integers(1, 10_000).map(lambda one: one / 100),
    running=st.none() | _counts,
    waiting=st.none() | _counts,
    service_seconds=st.none()
    | st.integers(1, 2**32 - 1).map(lambda one: one / 1e6),
    age_seconds=st.integers(0, 2**32 - 1).map(lambda one: one / 1000),
)


def state_with(rows):
    return router_messages.RouterState(
        entry_vm="vm-1",
        domain="north",
        start=7,
        sequence=1,
        port=1,
        revision=1,
        observations=rows,
    )


@given(observations=st.lists(_observations, max_size=48))
def test_observations_arrive_as_they_were_sent(observations):
    """Guards against unknown values that arrive as measured ones."""
    state = state_with(observation_rows.to_rows(observations))
    decoded = router_codec.decode(router_codec.encode(state))
    got = observation_rows.from_rows(decoded.observations)
    assert got == tuple(observations)


@pytest.mark.parametrize("separator", LINE_SEPARATORS)
def test_id_with_another_line_separator_arrives(separator):
    """Guards against an id that is split in two, so that all rows are lost."""
    observations = tuple(
        speed_observation.SpeedObservation(upstream=one, start=1, samples=3)
        for one in (f"u{separator}1", "u-2", f"u-3{separator}")
    )
    state = state_with(observation_rows.to_rows(observations))
    decoded = router_codec.decode(router_codec.encode(state))
    got = observation_rows.from_rows(decoded.observations)
    assert got == observations


def test_empty_list_takes_no_space():
    """Guards against larger messages where no upstream was observed."""
    rows = observation_rows.to_rows(())
    assert rows == router_messages.NO_OBSERVATIONS
    assert observation_rows.from_rows(rows) == ()


@pytest.mark.parametrize("cut", [1, 4, 35, 36])
def test_rows_of_a_wrong_length_are_rejected(cut):
    """Guards against values of one upstream that are read as another's."""
    rows = observation_rows.to_rows(
        [
            speed_observation.SpeedObservation(upstream=one, start=1)
            for one in ("u-1", "u-2")
        ]
    )
    broken = dataclasses.replace(rows, numbers=rows.numbers[:-cut])
    with pytest.raises(format_error.FormatError):
        observation_rows.from_rows(broken)


def test_rows_without_an_upstream_are_rejected():
    """Guards against a list of upstreams that was cut."""
    rows = observation_rows.to_rows(
        [speed_observation.SpeedObservation(upstream="u-1", start=1)]
    )
    with pytest.raises(format_error.FormatError):
        observation_rows.from_rows(dataclasses.replace(rows, upstreams=""))


def test_values_beyond_the_range_are_reduced_to_it():
    """Guards against a message that can't be packed."""
    rows = observation_rows.to_rows(
        [
            speed_observation.SpeedObservation(
                upstream="u-1", start=1, tokens_per_second=1e12, samples=1
            )
        ]
    )
    (got,) = observation_rows.from_rows(rows)
    assert got.tokens_per_second == 2**32 - 1
