"""Handshake between two entry VMs over asyncio streams.

The acceptor sends its nonce; the connector sends its nonce, hello and tag;
the acceptor sends its hello and tag. Nothing that the peer sends is used before
its tag has been verified.
"""

import asyncio
import dataclasses
import os
import struct

from lagoonrun_core import types
from lagoonrun_protocol import codec, frames, messages

_MAGIC = b"lagoonr1"
_HELLO_LENGTH = struct.Struct(">H")
_MAX_HELLO_BYTES = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Session:
    """Result of a handshake: the peer's hello and the key of the frames."""

    hello: messages.Hello
    session_key: bytes


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    key: bytes,
    hello: messages.Hello,
    peer: str,
) -> Session:
    """Perform the acceptor's side of the handshake.

    Raises
    ------
    lagoonrun_core.errors.LagoonrunError
        If the connector has another key or uses another protocol.
    """
    accept_nonce = os.urandom(frames.NONCE_BYTES)
    writer.write(_MAGIC + accept_nonce)
    connect_nonce = await reader.readexactly(frames.NONCE_BYTES)
    proof = frames.Handshake(
        key=key, accept_nonce=accept_nonce, connect_nonce=connect_nonce
    )
    peer_hello_bytes = await _read_hello(reader, peer=peer)
    await _check_tag(
        reader, expected=proof.connect_tag(peer_hello_bytes), peer=peer
    )
    peer_hello = _decode_hello(peer_hello_bytes, peer=peer)
    own_hello_bytes = codec.encode(hello)
    writer.write(
        _with_length(own_hello_bytes) + proof.accept_tag(own_hello_bytes)
    )
    return Session(hello=peer_hello, session_key=proof.session_key())


async def connect(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    key: bytes,
    hello: messages.Hello,
    expected: types.EntryVmId,
) -> Session:
    """Perform the connector's side; verify that the acceptor is `expected`.

    Raises
    ------
    lagoonrun_core.errors.LagoonrunError
        If the acceptor has another key, uses another protocol or is another
        entry VM.
    """
    greeting = await reader.readexactly(len(_MAGIC) + frames.NONCE_BYTES)
    if not greeting.startswith(_MAGIC):
        raise frames.frame_error(
            peer=expected,
            detail=f"greeting starts with {greeting[: len(_MAGIC)]!r}; "
            f"valid: {_MAGIC!r}",
        )
    connect_nonce = os.urandom(frames.NONCE_BYTES)
    proof = frames.Handshake(
        key=key,
        accept_nonce=greeting[len(_MAGIC) :],
        connect_nonce=connect_nonce,
    )
    own_hello_bytes = codec.encode(hello)
    writer.write(
        connect_nonce
        + _with_length(own_hello_bytes)
        + proof.connect_tag(own_hello_bytes)
    )
    peer_hello_bytes = await _read_hello(reader, peer=expected)
    await _check_tag(
        reader, expected=proof.accept_tag(peer_hello_bytes), peer=expected
    )
    peer_hello = _decode_hello(peer_hello_bytes, peer=expected)
    # The address of a replaced VM may already belong to another one, whose
    # permits would be attributed to the wrong entry VM.
    if peer_hello.entry_vm != expected:
        raise frames.frame_error(
            peer=expected,
            detail=f"the address belongs to entry VM {peer_hello.entry_vm!r}",
        )
    return Session(hello=peer_hello, session_key=proof.session_key())


def _with_length(hello: bytes) -> bytes:
    return _HELLO_LENGTH.pack(len(hello)) + hello


async def _read_hello(reader: asyncio.StreamReader, *, peer: str) -> bytes:
    header = await reader.readexactly(_HELLO_LENGTH.size)
    (length,) = _HELLO_LENGTH.unpack(header)
    if length > _MAX_HELLO_BYTES:
        raise frames.frame_error(
            peer=peer,
            detail=f"hello of {length} bytes; valid: at most "
            f"{_MAX_HELLO_BYTES}",
        )
    return await reader.readexactly(length)


async def _check_tag(
    reader: asyncio.StreamReader, *, expected: bytes, peer: str
) -> None:
    tag = await reader.readexactly(frames.TAG_BYTES)
    if not frames.tags_match(tag, expected):
        raise frames.frame_error(
            peer=peer, detail="handshake was made with another key"
        )


def _decode_hello(body: bytes, *, peer: str) -> messages.Hello:
    hello = codec.decode(body, peer=peer)
    if not isinstance(hello, messages.Hello):
        raise frames.frame_error(
            peer=peer,
            detail=f"first message is {type(hello).__name__}; valid: Hello",
        )
    return hello
