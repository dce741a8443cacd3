"""Authenticated frames of the inner protocol, without any I/O.

A connection opens with three handshake frames that prove the shared key both
ways and carry a nonce of each side. From then on each frame is

    length (4 bytes, big endian) | tag (16 bytes) | body

where the tag is a keyed BLAKE2b over the frame's number and its body, under a
key derived from both nonces. The number is counted on both sides and never
sent: a replayed, dropped or reordered frame therefore fails its check.
"""

import hashlib
import hmac
import struct

from lagoonrun_core import errors

MAXIMUM_FRAME_BYTES = 2 * 1024 * 1024
"""Largest body of a frame: a platform value of 1 MB and its envelope."""

NONCE_BYTES = 16
TAG_BYTES = 16

_LENGTH = struct.Struct(">I")
_NUMBER = struct.Struct(">Q")
_HEADER_BYTES = _LENGTH.size + TAG_BYTES
_PERSON_SESSION = b"lagoonrun-sess"
_PERSON_CONNECT = b"lagoonrun-conn"
_PERSON_ACCEPT = b"lagoonrun-acce"


def frame_error(*, peer: str, detail: str) -> errors.LagoonrunError:
    """Return the error of a frame or datagram that is refused."""
    return errors.LagoonrunError(
        step=errors.Step.PEER_FRAME, peer=peer, detail=detail
    )


def normalised_key(key: bytes) -> bytes:
    """Return a key of the fixed length that BLAKE2b takes.

    Raises
    ------
    ValueError
        If `key` is empty.
    """
    if not key:
        raise ValueError("inner key is empty; valid: at least one byte")
    return hashlib.blake2b(key, digest_size=32).digest()


def keyed_tag(key: bytes, person: bytes, *parts: bytes) -> bytes:
    """Return the keyed BLAKE2b tag of `parts`, separated by their lengths."""
    tag = hashlib.blake2b(key=key, person=person, digest_size=TAG_BYTES)
    for part in parts:
        tag.update(_LENGTH.pack(len(part)))
        tag.update(part)
    return tag.digest()


def tags_match(first: bytes, second: bytes) -> bool:
    """Return whether two tags are equal, in constant time."""
    return hmac.compare_digest(first, second)


class Handshake:
    """Tags and session keys of one connection.

    The acceptor speaks first, with its nonce. The connector answers with its
    own nonce, its hello and `connect_tag`; the acceptor answers with its hello
    and `accept_tag`. Each tag covers both nonces, so that neither can be
    replayed on another connection.

    Parameters
    ----------
    key
        The shared key, of any length.
    accept_nonce, connect_nonce
        Fresh random bytes of the accepting and of the connecting side.
    """

    def __init__(
        self, *, key: bytes, accept_nonce: bytes, connect_nonce: bytes
    ) -> None:
        self._key = normalised_key(key)
        self._nonces = accept_nonce + connect_nonce

    def connect_tag(self, hello: bytes) -> bytes:
        """Return the connector's proof over its encoded `hello`."""
        return keyed_tag(self._key, _PERSON_CONNECT, self._nonces, hello)

    def accept_tag(self, hello: bytes) -> bytes:
        """Return the acceptor's proof over its encoded `hello`."""
        return keyed_tag(self._key, _PERSON_ACCEPT, self._nonces, hello)

    def session_key(self) -> bytes:
        """Return the key of the frames after the handshake."""
        return hashlib.blake2b(
            self._nonces,
            key=self._key,
            person=_PERSON_SESSION,
            digest_size=32,
        ).digest()


class FrameWriter:
    """Wrap bodies into numbered, tagged frames.

    Parameters
    ----------
    session_key
        Key of this direction of this connection.
    """

    def __init__(self, *, session_key: bytes) -> None:
        self._session_key = session_key
        self._number = 0

    def frame(self, body: bytes) -> bytes:
        """Return the frame of `body`; frames must be sent in this order."""
        tag = _frame_tag(self._session_key, self._number, body)
        self._number += 1
        return _LENGTH.pack(len(body)) + tag + body


class FrameReader:
    """Cut a byte stream into frames and check each.

    Parameters
    ----------
    session_key
        Key of this direction of this connection.
    peer
        The other side, for errors.
    maximum_bytes
        Largest body that is accepted.
    """

    def __init__(
        self,
        *,
        session_key: bytes,
        peer: str,
        maximum_bytes: int = MAXIMUM_FRAME_BYTES,
    ) -> None:
        self._session_key = session_key
        self._peer = peer
        self._maximum_bytes = maximum_bytes
        self._number = 0
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the bodies now complete.

        Raises
        ------
        lagoonrun_core.errors.LagoonrunError
            If a frame is too long or its tag is wrong; the connection must
            be closed, because its numbering is lost.
        """
        self._buffer += data
        bodies = []
        offset = 0
        while (end := self._frame_end(offset)) is not None:
            bodies.append(self._checked_body(offset, end))
            offset = end
        del self._buffer[:offset]
        return bodies

    def _frame_end(self, offset: int) -> int | None:
        if len(self._buffer) - offset < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer, offset)
        # A corrupt or hostile length would make us buffer without bound, so
        # it is judged before any of its bytes are waited for.
        if length > self._maximum_bytes:
            raise frame_error(
                peer=self._peer,
                detail=f"frame of {length} bytes; valid: at most "
                f"{self._maximum_bytes}",
            )
        end = offset + _HEADER_BYTES + length
        return end if len(self._buffer) >= end else None

    def _checked_body(self, offset: int, end: int) -> bytes:
        start = offset + _HEADER_BYTES
        tag = bytes(self._buffer[offset + _LENGTH.size : start])
        body = bytes(self._buffer[start:end])
        # A frame that was altered, replayed or taken out of order has the
        # wrong number under its tag and is refused here.
        if not tags_match(
            tag, _frame_tag(self._session_key, self._number, body)
        ):
            raise frame_error(
                peer=self._peer,
                detail=f"frame {self._number} has a wrong tag; valid: one "
                "made with the shared key, in order",
            )
        self._number += 1
        return body


def _frame_tag(session_key: bytes, number: int, body: bytes) -> bytes:
    tag = hashlib.blake2b(
        _NUMBER.pack(number), key=session_key, digest_size=TAG_BYTES
    )
    tag.update(body)
    return tag.digest()
