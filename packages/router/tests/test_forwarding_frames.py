"""Frames of forwarded connections."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_core import errors
from lagoonrun_router import forwarding_frames
from lagoonrun_router.forwarding_frames import FrameKind

FRAMES = st.lists(
    st.tuples(st.sampled_from(FrameKind), st.binary(max_size=50)), max_size=8
)


@given(frames=FRAMES, data=st.data())
def test_frames_are_read_however_they_arrive(frames, data):
    """Guards against bytes that are lost or joined at segment borders."""
    sent = b"".join(
        forwarding_frames.encode(kind, body) for kind, body in frames
    )
    reader = forwarding_frames.FrameReader()
    received = []
    while sent:
        size = data.draw(st.integers(1, len(sent)))
        received += reader.feed(sent[:size])
        sent = sent[size:]
    assert received == frames


@pytest.mark.parametrize("junk", [b"HTTP/1.1 200", b"\x00\xff\xff\xff\xff"])
def test_bytes_that_are_no_frames_are_rejected(junk):
    """Guards against another protocol's bytes in an upstream's answer."""
    with pytest.raises(errors.LagoonrunError):
        forwarding_frames.FrameReader().feed(junk)
