"""Only complete events are returned, however the bytes are split."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_router import event_splitter

_MAX_SECONDS_OF_HALF_A_MEBIBYTE = 5.0
"""Ten microseconds a byte; copying the event for each takes minutes."""

STREAM = b"".join(
    b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(20)
)


@given(st.lists(st.integers(1, 40), min_size=1, max_size=40))
def test_any_split_returns_complete_events_and_their_last_id(sizes):
    splitter = event_splitter.EventSplitter()
    delivered = b""
    position = 0
    for size in sizes:
        delivered += splitter.feed(STREAM[position : position + size])
        position += size
        assert STREAM.startswith(delivered)
        assert delivered == b"" or delivered.endswith(b"\n\n")
        count = delivered.count(b"\n\n")
        assert splitter.last_id == (str(count - 1) if count else "")


def test_events_with_carriage_returns_are_split_too():
    splitter = event_splitter.EventSplitter()
    assert splitter.feed(b"id: 7\r\ndata: x\r\n\r\nid: 8") == (
        b"id: 7\r\ndata: x\r\n\r\n"
    )
    assert splitter.last_id == "7"
    assert splitter.within_event


def test_remainder_is_returned_at_the_end():
    splitter = event_splitter.EventSplitter()
    splitter.feed(b"data: x\n\ndata: y")
    assert splitter.pop_remainder() == b"data: y"
    assert not splitter.within_event


def test_endless_event_is_an_error():
    splitter = event_splitter.EventSplitter()
    with pytest.raises(event_splitter.OversizedEventError):
        splitter.feed(b"data: " + b"x" * (2 << 20))


ENDLESS_WITHOUT_DATA = (
    b": x\n\n",
    b": x\n",
    b"\r\n",
    b"x",
    b"id: 7\n\n",
    b"event: ping\r\n\r\n",
)


@pytest.mark.parametrize("unit", ENDLESS_WITHOUT_DATA)
@pytest.mark.parametrize("begin", [b"", b"data: x\n\n"], ids=["new", "begun"])
@pytest.mark.parametrize("size", [1, 64 << 10])
def test_endless_bytes_without_data_are_an_error(unit, begin, size):
    """Guards against comments that never end while no event ever comes."""
    splitter = event_splitter.EventSplitter()
    splitter.feed(begin)
    endless = unit * (2 * event_splitter.MAX_BYTES_WITHOUT_DATA // len(unit))
    with pytest.raises(event_splitter.OversizedEventError):
        for start in range(0, len(endless), size):
            splitter.feed(endless[start : start + size])


def test_comments_now_and_then_are_allowed():
    splitter = event_splitter.EventSplitter()
    block = b": keep-alive\n\n" * 100 + b"data: x\n\n"
    for number in range(20):
        assert splitter.feed(block) == block
        assert splitter.events == number + 1


def test_stream_is_not_begun_by_a_comment():
    """Guards against a caller that is bound to an upstream by a comment."""
    splitter = event_splitter.EventSplitter()
    assert splitter.feed(b": wait\n\n") == b""
    assert splitter.events == 0
    assert not splitter.within_event
    first = b": wait\n\ndata: x\n\n"
    assert splitter.feed(b"data: x\n\n") == first
    assert splitter.feed(b": wait\n\n") == b": wait\n\n"
    assert splitter.events == 1


def test_stream_of_comments_alone_is_returned_at_its_end():
    splitter = event_splitter.EventSplitter()
    splitter.feed(b": wait\n\n: w")
    assert splitter.pop_remainder() == b": wait\n\n: w"


def test_largest_event_in_single_bytes_costs_little():
    """Guards against a cost that grows with the square of an event's size."""
    splitter = event_splitter.EventSplitter()
    splitter.feed(b"data: ")
    began_at = time.process_time()
    for _ in range(1 << 19):
        splitter.feed(b"x")
    assert time.process_time() - began_at < _MAX_SECONDS_OF_HALF_A_MEBIBYTE


def test_comments_are_no_events():
    """Guards against a stream that looks alive for its comments alone."""
    splitter = event_splitter.EventSplitter()
    assert splitter.feed(b": waiting\n\n: waiting\n\n") == b""
    assert splitter.events == 0
    splitter.feed(b": waiting\n\ndata: x\n\n")
    assert splitter.events == 1
