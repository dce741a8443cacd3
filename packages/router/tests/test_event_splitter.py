"""Only complete events are returned, however the bytes are split."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_router import event_splitter

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
        splitter.feed(b"x" * (2 << 20))


def test_comments_are_no_events():
    """Guards against a stream that looks alive for its comments alone."""
    splitter = event_splitter.EventSplitter()
    assert splitter.feed(b": waiting\n\n: waiting\n\n")
    assert splitter.events == 0
    splitter.feed(b": waiting\n\ndata: x\n\n")
    assert splitter.events == 1
