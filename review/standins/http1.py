"""Read and write HTTP/1.1 messages on asyncio streams; for stand-ins only."""

import asyncio
import dataclasses
import socket
import struct


@dataclasses.dataclass(kw_only=True)
class Message:
    """One message: its first line, its headers by lower-case name, its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_message(
    reader: asyncio.StreamReader, *, close_delimited: bool = False
) -> Message | None:
    """Read one message; None if the connection ended before it began.

    Parameters
    ----------
    close_delimited
        Whether a message without a length extends to the connection's end.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    message = Message(first_line=first_line, headers=headers)
    if "chunked" in headers.get("transfer-encoding", ""):
        message.body = await _read_chunks(reader)
    elif "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif close_delimited:
        message.body = await reader.read()
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return bytes(body)
        body += chunk[:-2]


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
