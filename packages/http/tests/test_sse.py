"""The event scanner against a simple one that holds the whole stream."""

import hypothesis
import pytest
from hypothesis import strategies

from lagoonrun_http import sse

_EVENTS = strategies.lists(
    strategies.sampled_from(
        ["data: {}", ": ping", "event: x\ndata: 1", "data: [DONE]", "data:a"]
    ),
    max_size=6,
)


def feed_in_chunks(stream, split_points):
    scanner = sse.EventScanner()
    start = 0
    for cut in [
        *sorted(cut % (len(stream) + 1) for cut in split_points),
        len(stream),
    ]:
        scanner.feed(stream[start:cut])
        start = cut
    return scanner


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    events=_EVENTS,
    tail=strategies.sampled_from(["", "da", "data: [DONE]", "data: {}\n"]),
    line_end=strategies.sampled_from(["\n", "\r\n"]),
    split_points=strategies.lists(strategies.integers(0, 200), max_size=8),
)
def test_counts_do_not_depend_on_how_the_stream_is_split(
    events, tail, line_end, split_points
):
    whole = "".join(f"{event}\n\n" for event in events)
    stream = (whole + tail).replace("\n", line_end).encode()
    scanner = feed_in_chunks(stream, split_points)
    assert scanner.events == sum("data:" in event for event in events)
    assert scanner.done == ("data: [DONE]" in events)
    assert scanner.boundary == len(whole.replace("\n", line_end))
    assert scanner.at_boundary == (not tail)


@pytest.mark.parametrize(
    "text", [b'data: "data: [DONE]"\n\n', b"data: [DON\n\n", b"data: [DONE]"]
)
def test_done_must_be_a_line_of_a_complete_event(text):
    scanner = sse.EventScanner()
    scanner.feed(text)
    assert not scanner.done
