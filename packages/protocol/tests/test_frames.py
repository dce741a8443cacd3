"""Frames are delivered complete, once and in order, or not at all."""

import hypothesis
import pytest
from hypothesis import strategies

from lagoonrun_core import errors
from lagoonrun_protocol import frames

_SESSION_KEY = b"k" * 32


def _pair(*, maximum_bytes=frames.MAXIMUM_FRAME_BYTES):
    writer = frames.FrameWriter(session_key=_SESSION_KEY)
    reader = frames.FrameReader(
        session_key=_SESSION_KEY, peer="vm-2", maximum_bytes=maximum_bytes
    )
    return writer, reader


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(
    bodies=strategies.lists(strategies.binary(max_size=80), max_size=8),
    size=strategies.integers(1, 50),
)
def test_frames_are_reassembled_from_chunks_of_any_size(bodies, size):
    writer, reader = _pair()
    stream = b"".join(writer.frame(body) for body in bodies)
    received = []
    for start in range(0, len(stream), size):
        received += reader.feed(stream[start : start + size])
    assert received == bodies


@pytest.mark.parametrize(
    "order",
    [(0, 0), (1, 0), (0, 2)],
    ids=["replayed", "reordered", "dropped"],
)
def test_frames_out_of_order_are_refused(order):
    """Guards against replayed, reordered or dropped frames.

    The tag covers the number of the frame in its connection.
    """
    writer, reader = _pair()
    sent = [writer.frame(bytes([n])) for n in range(3)]
    with pytest.raises(errors.LagoonrunError, match="wrong tag"):
        reader.feed(b"".join(sent[n] for n in order))


def test_frame_of_another_connection_is_refused():
    """Guards against a frame that is replayed on another connection.

    The session key is derived from both nonces of a connection.
    """
    keys = [
        frames.Handshake(
            key=b"key", accept_nonce=nonce * 16, connect_nonce=b"c" * 16
        ).session_key()
        for nonce in (b"a", b"b")
    ]
    recorded = frames.FrameWriter(session_key=keys[0]).frame(b"grant")
    reader = frames.FrameReader(session_key=keys[1], peer="vm-2")
    with pytest.raises(errors.LagoonrunError, match="wrong tag"):
        reader.feed(recorded)


def test_oversize_frame_is_refused_before_its_body_is_received():
    writer, reader = _pair(maximum_bytes=100)
    assert reader.feed(writer.frame(b"x" * 100)) == [b"x" * 100]
    with pytest.raises(errors.LagoonrunError, match="101 bytes"):
        reader.feed(writer.frame(b"x" * 101)[:4])


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    position=strategies.integers(0, 27), bit=strategies.integers(0, 7)
)
def test_modified_frame_is_not_delivered(position, bit):
    writer, reader = _pair(maximum_bytes=1000)
    data = bytearray(writer.frame(b"eight by"))
    data[position] ^= 1 << bit
    try:
        assert reader.feed(bytes(data)) == []
    except errors.LagoonrunError as error:
        assert error.peer == "vm-2"


def test_empty_key_is_refused():
    with pytest.raises(ValueError, match="empty"):
        frames.normalised_key(b"")
