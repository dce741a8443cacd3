"""Frames in which an entry VM forwards an upstream's bytes to another one.

The end of a connection is a frame of its own: if the forwarding process is
killed, its system closes the connection as if the upstream had ended an answer
without a length.
"""

import enum
import struct

from lagoonrun_core import errors

PATH = "/upstream-connections/"
"""Path of the peer endpoint; the id of the upstream follows."""

PROTOCOL = "lagoonrun-forwarding"
"""Name of the protocol in the `Upgrade` header."""

_HEADER = struct.Struct("!BI")
_MAX_FRAME_BYTES = 256 * 1024
"""What the forwarding entry VM reads from an upstream at a time, at most."""


class FrameKind(enum.IntEnum):
    """Kinds of frames, from the forwarding entry VM to the other one."""

    DATA = 0
    """Bytes of the upstream."""

    END = 1
    """The upstream has ended its output."""

    BROKEN = 2
    """The connection to the upstream was reset or lost."""

    RETIRE = 3
    """The forwarding process stops; no further request may be sent."""


def encode(kind: FrameKind, data: bytes = b"") -> bytes:
    """Return a frame."""
    return _HEADER.pack(kind, len(data)) + data


class FrameReader:
    """Splits a stream of bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[tuple[FrameKind, bytes]]:
        """Return the frames that `data` completes.

        Raises
        ------
        errors.LagoonrunError
            If the bytes are no frames.
        """
        self._buffer += data
        frames = []
        while len(self._buffer) >= _HEADER.size:
            kind, size = _HEADER.unpack_from(self._buffer)
            if kind not in FrameKind.__members__.values() or (
                size > _MAX_FRAME_BYTES
            ):
                raise errors.LagoonrunError(
                    step=errors.Step.UPSTREAM_READ,
                    detail=f"frame of kind {kind} with {size} bytes; valid: "
                    f"kinds 0 to {max(FrameKind)}, {_MAX_FRAME_BYTES} bytes",
                )
            end = _HEADER.size + size
            if len(self._buffer) < end:
                break
            frames.append(
                (FrameKind(kind), bytes(self._buffer[_HEADER.size : end]))
            )
            del self._buffer[:end]
        return frames
