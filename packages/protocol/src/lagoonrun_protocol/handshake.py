"""Open a connection between two entry VMs over asyncio streams.

The acceptor sends its nonce; the connector sends its nonce, hello and tag;
the acceptor sends its hello and tag. Nothing that the peer says is used before
its tag is checked.
"""

import asyncio
import dataclasses
import os
import struct

from lagoonrun_core import types
from lagoonrun_protocol import codec, frames, messages

_MAGIC = b"lagoonr1"
_HELLO_LENGTH = struct.Struct(">H")
_MAXIMUM_HELLO_BYTES = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Session:
    """An open connection: who is there, and the key of its frames."""

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
    """Prove the key to a connector and have it prove its own.

    Raises
    ------
    lagoonrun_core.errors.LagoonrunError
        If the connector does not know the key or speaks another protocol.
    """
    accept_nonce = os.urandom(frames.NONCE_BYTES)
    writer.write(_MAGIC + accept_nonce)
    connect_nonce = await reader.readexactly(frames.NONCE_BYTES)
    proof = frames.Handshake(
        key=key, accept_nonce=accept_nonce, connect_nonce=connect_nonce
    )
    theirs = await _read_hello(reader, peer=peer)
    await _check_tag(reader, expected=proof.connect_tag(theirs), peer=peer)
    decoded = _decoded_hello(theirs, peer=peer)
    ours = codec.encode(hello)
    writer.write(_hello_bytes(ours) + proof.accept_tag(ours))
    return Session(hello=decoded, session_key=proof.session_key())


async def connect(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    key: bytes,
    hello: messages.Hello,
    expected: types.EntryVmId,
) -> Session:
    """Prove the key to an acceptor, and check that it is `expected`.

    Raises
    ------
    lagoonrun_core.errors.LagoonrunError
        If the acceptor does not know the key, speaks another protocol or is
        another entry VM.
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
    ours = codec.encode(hello)
    writer.write(connect_nonce + _hello_bytes(ours) + proof.connect_tag(ours))
    theirs = await _read_hello(reader, peer=expected)
    await _check_tag(reader, expected=proof.accept_tag(theirs), peer=expected)
    decoded = _decoded_hello(theirs, peer=expected)
    # A replaced VM's address may already belong to another one. Its permits
    # would be granted under the wrong name, so the name is checked.
    if decoded.entry_vm != expected:
        raise frames.frame_error(
            peer=expected,
            detail=f"the address belongs to entry VM {decoded.entry_vm!r}",
        )
    return Session(hello=decoded, session_key=proof.session_key())


def _hello_bytes(hello: bytes) -> bytes:
    return _HELLO_LENGTH.pack(len(hello)) + hello


async def _read_hello(reader: asyncio.StreamReader, *, peer: str) -> bytes:
    header = await reader.readexactly(_HELLO_LENGTH.size)
    (length,) = _HELLO_LENGTH.unpack(header)
    if length > _MAXIMUM_HELLO_BYTES:
        raise frames.frame_error(
            peer=peer,
            detail=f"hello of {length} bytes; valid: at most "
            f"{_MAXIMUM_HELLO_BYTES}",
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


def _decoded_hello(body: bytes, *, peer: str) -> messages.Hello:
    hello = codec.decode(body, peer=peer)
    if not isinstance(hello, messages.Hello):
        raise frames.frame_error(
            peer=peer,
            detail=f"first message is {type(hello).__name__}; valid: Hello",
        )
    return hello
