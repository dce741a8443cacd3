"""Datagrams are accepted once, and only if made with the shared key."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from lagoonrun_core import errors
from lagoonrun_protocol import datagrams

_KEY = b"shared key of the tests"


def _sealer(*, key=_KEY, incarnation=5, sender="vm-1"):
    return datagrams.DatagramSealer(
        key=key, sender=sender, incarnation=incarnation
    )


@pytest.fixture
def opener():
    return datagrams.DatagramOpener(key=_KEY)


def test_body_and_sender_are_returned(opener):
    data = _sealer().seal(b"news")
    assert len(data) == datagrams.OVERHEAD_BYTES + len("vm-1") + len(b"news")
    opened = opener.open(data)
    assert (opened.sender, opened.body) == ("vm-1", b"news")


def test_replayed_datagram_is_refused(opener):
    """Guards against replayed heartbeats of a dead entry VM.

    If they were accepted, the membership would consider the VM alive.
    """
    data = _sealer().seal(b"news")
    opener.open(data)
    with pytest.raises(errors.LagoonrunError, match="seen before"):
        opener.open(data)


def test_reordered_datagrams_are_accepted_once_each(opener):
    sealer = _sealer()
    sent = [sealer.seal(bytes([n])) for n in range(60)]
    random.Random(3).shuffle(sent)
    assert len([opener.open(data) for data in sent]) == 60
    for data in sent:
        with pytest.raises(errors.LagoonrunError):
            opener.open(data)


def test_older_process_of_the_same_name_is_refused(opener):
    """Guards against replayed datagrams of a replaced VM of the same name.

    The replacement has a higher incarnation, and the datagrams of the previous
    process must not be attributed to it.
    """
    old = _sealer(incarnation=5)
    replayed = old.seal(b"old")
    opener.open(_sealer(incarnation=6).seal(b"new"))
    with pytest.raises(errors.LagoonrunError, match="too old"):
        opener.open(replayed)
    opener.forget("vm-1")
    assert opener.open(replayed).body == b"old"


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(data=strategies.binary(max_size=200))
def test_garbage_is_refused(data):
    opener = datagrams.DatagramOpener(key=_KEY)
    with pytest.raises(errors.LagoonrunError):
        opener.open(data)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    position=strategies.integers(0, 46), bit=strategies.integers(0, 7)
)
def test_any_flipped_bit_is_refused(position, bit):
    data = bytearray(_sealer().seal(b"some news"))
    data[position] ^= 1 << bit
    with pytest.raises(errors.LagoonrunError):
        datagrams.DatagramOpener(key=_KEY).open(bytes(data))


def test_another_key_is_refused(opener):
    with pytest.raises(errors.LagoonrunError, match="wrong tag"):
        opener.open(_sealer(key=b"another").seal(b"news"))
