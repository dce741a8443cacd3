"""Authenticated datagrams of the membership protocol; performs no I/O.

A datagram has this layout, with the length of each field in bytes:

    version (1) | length of sender (1) | sender | incarnation (8) |
    sequence (8) | tag (16) | body

The tag is a keyed BLAKE2b hash of all other fields. The pair of incarnation
and sequence number increases with each datagram of a sender, so that replayed
datagrams are rejected. A sliding window accepts reordered datagrams once each.
"""

import collections
import dataclasses
import struct

from lagoonrun_core import types
from lagoonrun_protocol import frames

MAXIMUM_DATAGRAM_BYTES = 1200
"""Fits into an Ethernet frame with tunnel headers, so is not fragmented."""

OVERHEAD_BYTES = 34
"""Length of all fields other than the sender's name and the body."""

_VERSION = 1
_PREFIX = struct.Struct(">BB")
_SEQUENCE_HEADER = struct.Struct(">QQ")
_PERSON = b"lagoonrun-dgram"
_WINDOW_BITS = 64
_MAX_SENDERS = 8192


@dataclasses.dataclass(frozen=True, kw_only=True)
class Datagram:
    """A received datagram whose tag has been verified."""

    sender: types.EntryVmId
    body: bytes


@dataclasses.dataclass(kw_only=True)
class _ReplayWindow:
    """Sequence numbers received from one sender.

    Parameters
    ----------
    highest
        Highest sequence number received in this incarnation.
    seen
        Bit n is set if sequence number `highest - n` was received.
    """

    incarnation: int
    highest: int
    seen: int


class DatagramSealer:
    """Adds sequence numbers and authentication tags to datagrams.

    Parameters
    ----------
    key
        Shared secret.
    sender
        Name of this entry VM.
    incarnation
        Incarnation of this process; higher than that of any earlier process
        of the same name.
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
        """Use a higher incarnation for all further datagrams.

        If the clock of the previous process of this name was ahead, its
        incarnation is higher than this one's, and peers reject the datagrams
        of this process as replays. The membership updates that peers send
        about this entry VM contain the higher incarnation.
        """
        self._incarnation = max(self._incarnation, incarnation)

    def seal(self, body: bytes) -> bytes:
        """Return the datagram of `body`."""
        self._sequence += 1
        sequence_header = _SEQUENCE_HEADER.pack(
            self._incarnation, self._sequence
        )
        header = self._prefix + sequence_header
        return (
            header + frames.keyed_tag(self._key, _PERSON, header, body) + body
        )


class DatagramOpener:
    """Verifies datagrams and rejects replayed ones.

    Parameters
    ----------
    key
        Shared secret.
    """

    def __init__(self, *, key: bytes) -> None:
        self._key = frames.normalised_key(key)
        self._windows_by_sender: collections.OrderedDict[
            types.EntryVmId, _ReplayWindow
        ] = collections.OrderedDict()

    def open(self, data: bytes, *, peer: str = "") -> Datagram:
        """Return the sender and body of `data`.

        Parameters
        ----------
        data
            A received datagram.
        peer
            Address of the sender, for error messages.

        Raises
        ------
        lagoonrun_core.errors.LagoonrunError
            If it is malformed, made with another key, or was received before.
        """
        if len(data) < _PREFIX.size or data[0] != _VERSION:
            raise frames.frame_error(
                peer=peer,
                detail=f"datagram of {len(data)} bytes has no valid prefix",
            )
        sequence_start = _PREFIX.size + data[1]
        tag_start = sequence_start + _SEQUENCE_HEADER.size
        body_start = tag_start + frames.TAG_BYTES
        body = data[body_start:]
        expected = frames.keyed_tag(self._key, _PERSON, data[:tag_start], body)
        if not frames.tags_match(data[tag_start:body_start], expected):
            raise frames.frame_error(
                peer=peer, detail="datagram has a wrong tag"
            )
        sender = types.EntryVmId(
            data[_PREFIX.size : sequence_start].decode(errors="replace")
        )
        incarnation, sequence = _SEQUENCE_HEADER.unpack_from(
            data, sequence_start
        )
        if not self._is_new(sender, incarnation, sequence):
            raise frames.frame_error(
                peer=peer,
                detail=f"datagram {incarnation}/{sequence} of {sender!r} "
                "was seen before or is too old",
            )
        return Datagram(sender=sender, body=body)

    def forget(self, sender: types.EntryVmId) -> None:
        """Discard the replay window of a sender that the membership removed.

        Otherwise the datagrams of a VM that returns under the same name with
        a clock that was set back, and so with a lower incarnation, would be
        rejected for ever.
        """
        self._windows_by_sender.pop(sender, None)

    def _is_new(
        self, sender: types.EntryVmId, incarnation: int, sequence: int
    ) -> bool:
        window = self._windows_by_sender.get(sender)
        if window is None or incarnation > window.incarnation:
            self._windows_by_sender[sender] = _ReplayWindow(
                incarnation=incarnation, highest=sequence, seen=1
            )
            self._forget_oldest()
            return True
        if incarnation < window.incarnation:
            return False
        return _mark_seen(window, sequence)

    def _forget_oldest(self) -> None:
        # Only senders with the key get an entry. The limit keeps the names of
        # VMs replaced over several months from accumulating.
        if len(self._windows_by_sender) > _MAX_SENDERS:
            self._windows_by_sender.popitem(last=False)


def _mark_seen(window: _ReplayWindow, sequence: int) -> bool:
    """Mark `sequence` as received; return whether it was new."""
    ahead = sequence - window.highest
    if ahead > 0:
        mask = (1 << _WINDOW_BITS) - 1
        shift = min(ahead, _WINDOW_BITS)
        window.seen = ((window.seen << shift) | 1) & mask
        window.highest = sequence
        return True
    bit = 1 << -ahead
    if -ahead >= _WINDOW_BITS or window.seen & bit:
        return False
    window.seen |= bit
    return True
