"""Authenticated frames of the protocol between entry VMs; performs no I/O.

A connection begins with three handshake messages, by which both sides prove
that they know the shared key and exchange a nonce each. Every later frame is

    length (4 bytes, big endian) | tag (16 bytes) | body

The tag is a keyed BLAKE2b hash of the frame's number and body, with a key that
is derived from both nonces. Both sides count the frames and never send the
number, so the tag of a replayed, dropped or reordered frame does not match.
"""

import hashlib
import hmac
import struct

from lagoonrun_core import errors

MAXIMUM_FRAME_BYTES = 2 * 1024 * 1024
"""Largest body of a frame: a value of the platform's store (1 MB) fits in."""

NONCE_BYTES = 16
TAG_BYTES = 16

_LENGTH = struct.Struct(">I")
_NUMBER = struct.Struct(">Q")
_HEADER_BYTES = _LENGTH.size + TAG_BYTES
_PERSON_SESSION = b"lagoonrun-sess"
_PERSON_CONNECT = b"lagoonrun-conn"
_PERSON_ACCEPT = b"lagoonrun-acce"


def frame_error(*, peer: str, detail: str) -> errors.LagoonrunError:
    """Return the error to raise for a rejected frame or datagram."""
    return errors.LagoonrunError(
        step=errors.Step.PEER_FRAME, peer=peer, detail=detail
    )


def normalised_key(key: bytes) -> bytes:
    """Hash `key` to a fixed length, since BLAKE2b limits that of its key.

    Raises
    ------
    ValueError
        If `key` is empty.
    """
    if not key:
        raise ValueError("inner key is empty; valid: at least one byte")
    return hashlib.blake2b(key, digest_size=32).digest()


def keyed_tag(key: bytes, person: bytes, *parts: bytes) -> bytes:
    """Return the keyed BLAKE2b tag of `parts`, each prefixed by its length."""
    tag = hashlib.blake2b(key=key, person=person, digest_size=TAG_BYTES)
    for part in parts:
        tag.update(_LENGTH.pack(len(part)))
        tag.update(part)
    return tag.digest()


def tags_match(first: bytes, second: bytes) -> bool:
    """Compare two tags in constant time."""
    return hmac.compare_digest(first, second)


class Handshake:
    """Computes the tags and the session key of one connection.

    The acceptor sends its nonce first. The connector replies with its own
    nonce, its hello and `connect_tag`; the acceptor replies with its hello and
    `accept_tag`. Each tag covers both nonces, so that neither can be replayed
    on another connection.

    Parameters
    ----------
    key
        The shared key, of any length.
    accept_nonce, connect_nonce
        Random bytes that each side generates for this connection.
    """

    def __init__(
        self, *, key: bytes, accept_nonce: bytes, connect_nonce: bytes
    ) -> None:
        self._key = normalised_key(key)
        self._nonces = accept_nonce + connect_nonce

    def connect_tag(self, hello: bytes) -> bytes:
        """Return the tag of the connector's encoded `hello`."""
        return keyed_tag(self._key, _PERSON_CONNECT, self._nonces, hello)

    def accept_tag(self, hello: bytes) -> bytes:
        """Return the tag of the acceptor's encoded `hello`."""
        return keyed_tag(self._key, _PERSON_ACCEPT, self._nonces, hello)

    def session_key(self) -> bytes:
        """Return the key that authenticates frames after the handshake."""
        return hashlib.blake2b(
            self._nonces,
            key=self._key,
            person=_PERSON_SESSION,
            digest_size=32,
        ).digest()


class FrameWriter:
    """Adds length and authentication tag to frames.

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
    """Splits a byte stream into frames and verifies them.

    Parameters
    ----------
    session_key
        Key of this direction of this connection.
    peer
        Name of the sender, for error messages.
    maximum_bytes
        Maximum length of a body.
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
        """Append received bytes and return the bodies that are complete.

        Raises
        ------
        lagoonrun_core.errors.LagoonrunError
            If a frame is too long or its tag is wrong. The connection must
            then be closed, since the frame numbers no longer match.
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
        # Checked before the body is read: a corrupt or malicious length would
        # otherwise grow the buffer without limit.
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
        # The tag of a modified, replayed or reordered frame covers another
        # body or frame number and does not match.
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
