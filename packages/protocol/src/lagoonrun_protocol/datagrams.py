"""Authenticated datagrams of the membership, without any I/O.

    version (1) | sender's length (1) | sender | incarnation (8) |
    sequence (8) | tag (16) | body

The tag is a keyed BLAKE2b over all the rest. Incarnation and sequence rise
with each datagram of a sender, so that a replayed one is refused; a window
lets datagrams that overtook each other pass once each.
"""

import collections
import dataclasses
import struct

from lagoonrun_core import types
from lagoonrun_protocol import frames

MAXIMUM_DATAGRAM_BYTES = 1200
"""Fits an Ethernet frame through a tunnel, so that nothing is fragmented."""

OVERHEAD_BYTES = 34
"""Bytes around the body, less the sender's name."""

_VERSION = 1
_PREFIX = struct.Struct(">BB")
_STAMP = struct.Struct(">QQ")
_PERSON = b"lagoonrun-dgram"
_WINDOW = 64
_MAXIMUM_SENDERS = 8192


@dataclasses.dataclass(frozen=True, kw_only=True)
class Datagram:
    """A datagram whose sender has proved the key."""

    sender: types.EntryVmId
    body: bytes


@dataclasses.dataclass(kw_only=True)
class _Stamps:
    """Stamps already seen from one sender: the highest and a bit window."""

    incarnation: int
    highest: int
    seen: int


class DatagramSealer:
    """Wrap bodies into stamped, tagged datagrams.

    Parameters
    ----------
    key
        Shared secret.
    sender
        This entry VM.
    incarnation
        Of this process; higher than that of any earlier process of the name.
    """

    def __init__(
        self,
        *,
        key: bytes,
        sender: types.EntryVmId,
        incarnation: types.Incarnation,
    ) -> None:
        self._key = frames.normalised_key(key)
        name = sender.encode()
        self._prefix = _PREFIX.pack(_VERSION, len(name)) + name
        self._incarnation = incarnation
        self._sequence = 0

    def raise_incarnation(self, incarnation: types.Incarnation) -> None:
        """Stamp datagrams with a higher incarnation from now on.

        A process whose predecessor had a clock that was ahead learns so from
        others' news of itself. With its own lower incarnation its datagrams
        would be taken for replays of the predecessor's time.
        """
        self._incarnation = max(self._incarnation, incarnation)

    def seal(self, body: bytes) -> bytes:
        """Return the datagram of `body`."""
        self._sequence += 1
        stamp = _STAMP.pack(self._incarnation, self._sequence)
        header = self._prefix + stamp
        return (
            header + frames.keyed_tag(self._key, _PERSON, header, body) + (body)
        )


class DatagramOpener:
    """Check datagrams and refuse each one that was seen before.

    Parameters
    ----------
    key
        Shared secret.
    """

    def __init__(self, *, key: bytes) -> None:
        self._key = frames.normalised_key(key)
        self._stamps_by_sender: collections.OrderedDict[
            types.EntryVmId, _Stamps
        ] = collections.OrderedDict()

    def open(self, data: bytes, *, peer: str = "") -> Datagram:
        """Return the sender and body of `data`.

        Parameters
        ----------
        data
            A received datagram.
        peer
            Where it came from, for errors.

        Raises
        ------
        lagoonrun_core.errors.LagoonrunError
            If it is malformed, made with another key, or seen before.
        """
        if len(data) < _PREFIX.size or data[0] != _VERSION:
            raise frames.frame_error(
                peer=peer,
                detail=f"datagram of {len(data)} bytes has no valid prefix",
            )
        stamp_start = _PREFIX.size + data[1]
        tag_start = stamp_start + _STAMP.size
        body_start = tag_start + frames.TAG_BYTES
        body = data[body_start:]
        expected = frames.keyed_tag(self._key, _PERSON, data[:tag_start], body)
        if not frames.tags_match(data[tag_start:body_start], expected):
            raise frames.frame_error(
                peer=peer, detail="datagram has a wrong tag"
            )
        sender = types.EntryVmId(
            data[_PREFIX.size : stamp_start].decode(errors="replace")
        )
        incarnation, sequence = _STAMP.unpack_from(data, stamp_start)
        if not self._is_new(sender, incarnation, sequence):
            raise frames.frame_error(
                peer=peer,
                detail=f"datagram {incarnation}/{sequence} of {sender!r} "
                "was seen before or is too old",
            )
        return Datagram(sender=sender, body=body)

    def forget(self, sender: types.EntryVmId) -> None:
        """Forget the stamps of a sender that the membership has forgotten.

        Otherwise a VM that comes back under its old name with a clock set
        back, and so a lower incarnation, would be refused for ever.
        """
        self._stamps_by_sender.pop(sender, None)

    def _is_new(
        self, sender: types.EntryVmId, incarnation: int, sequence: int
    ) -> bool:
        stamps = self._stamps_by_sender.get(sender)
        if stamps is None or incarnation > stamps.incarnation:
            self._stamps_by_sender[sender] = _Stamps(
                incarnation=incarnation, highest=sequence, seen=1
            )
            self._forget_oldest()
            return True
        if incarnation < stamps.incarnation:
            return False
        return _mark_seen(stamps, sequence)

    def _forget_oldest(self) -> None:
        # Only holders of the key add senders; the bound is against names
        # piling up over months of replaced VMs.
        if len(self._stamps_by_sender) > _MAXIMUM_SENDERS:
            self._stamps_by_sender.popitem(last=False)


def _mark_seen(stamps: _Stamps, sequence: int) -> bool:
    """Mark `sequence` as seen; return whether it was new."""
    ahead = sequence - stamps.highest
    if ahead > 0:
        window = (1 << _WINDOW) - 1
        shift = min(ahead, _WINDOW)
        stamps.seen = ((stamps.seen << shift) | 1) & window
        stamps.highest = sequence
        return True
    bit = 1 << -ahead
    if -ahead >= _WINDOW or stamps.seen & bit:
        return False
    stamps.seen |= bit
    return True
