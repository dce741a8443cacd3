"""An upstream whose answers never end, as raw bytes on a socket."""

import asyncio
import dataclasses
import enum
import socket

from lagoonrun_standins.router_samples import HOST

_SEND_BUFFER_BYTES = 16 * 1024
"""Small, so that bytes count as sent only once they are read."""

_WRITE_BYTES = 16 * 1024
_DROP_SECONDS = 0.2

_OK = b"HTTP/1.1 200 OK\r\n"
_IDENTITY = b"X-Request-Id: %(id)b\r\nMark: genuine\r\n"
_HEAD = _OK + _IDENTITY
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_NO_LENGTH = b"\r\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Bytes:
    """What an answer begins with, and what follows again and again."""

    begin: bytes
    unit: bytes


class EndlessForm(enum.Enum):
    """Where in an answer the bytes have no end."""

    HEADER_LINE = _Bytes(begin=_HEAD + b"A: ", unit=b"a")
    HEADER_FIELDS = _Bytes(begin=_HEAD, unit=b"A: a\r\n")
    INFORMATIONAL = _Bytes(begin=b"", unit=b"HTTP/1.1 103 Early\r\n\r\n")
    CHUNK_SIZE = _Bytes(begin=_HEAD + _CHUNKED, unit=b"0")
    CHUNK_EXTENSION = _Bytes(begin=_HEAD + _CHUNKED + b"5;", unit=b"a")
    EXTENDED_CHUNKS = _Bytes(
        begin=_HEAD + _CHUNKED, unit=b"1;a=" + b"b" * 99 + b"\r\n:\r\n"
    )
    TINY_CHUNKS = _Bytes(begin=_HEAD + _CHUNKED, unit=b"1\r\n:\r\n")
    TRAILER_FIELDS = _Bytes(begin=_HEAD + _CHUNKED + b"0\r\n", unit=b"A: a\r\n")
    EVENT = _Bytes(begin=_HEAD + _NO_LENGTH + b"data: ", unit=b"x")
    COMMENTS = _Bytes(begin=_HEAD + _NO_LENGTH, unit=b": x\n\n")
    COMMENT_LINES = _Bytes(begin=_HEAD + _NO_LENGTH, unit=b": x\n")
    COMMENTS_AFTER_EVENT = _Bytes(
        begin=_HEAD + _NO_LENGTH + b"id: 1\ndata: 1\n\n", unit=b": x\n\n"
    )
    BODY_WITHOUT_LENGTH = _Bytes(begin=_HEAD + _NO_LENGTH, unit=b"x")
    MISDIRECTED = _Bytes(
        begin=b"HTTP/1.1 421 Misdirected\r\n" + _IDENTITY + _NO_LENGTH,
        unit=b"x",
    )
    NOT_RUN = _Bytes(
        begin=b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + _IDENTITY + _NO_LENGTH,
        unit=b"x",
    )
    ERROR = _Bytes(
        begin=b"HTTP/1.1 500 Error\r\n" + _IDENTITY + _NO_LENGTH, unit=b"x"
    )
    AFTER_ANSWER = _Bytes(
        begin=_HEAD + b"Content-Length: 5\r\n\r\nwhole", unit=b"x"
    )


class EndlessUpstream:
    """Answers each request without end, once the test says so.

    Parameters
    ----------
    form
        Where in an answer the bytes have no end.
    drop_by_drop
        Whether to send one byte every 0.2 s; otherwise as fast as it is read.

    Attributes
    ----------
    requests
        Requests received.
    sent_bytes
        Largest number of bytes sent on one connection.
    open_seconds
        Longest time from the beginning of an answer until its connection was
        closed.
    """

    def __init__(self, form: EndlessForm, *, drop_by_drop: bool) -> None:
        self._form = form
        self._drop_by_drop = drop_by_drop
        self._tasks: set[asyncio.Task[None]] = set()
        self._begun = asyncio.Event()
        self.requests = 0
        self.sent_bytes = 0
        self.open_seconds = 0.0
        self.port = 0

    async def start(self) -> None:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def begin(self) -> None:
        """Begin to answer the requests that have arrived, and later ones."""
        self._begun.set()

    async def close(self) -> None:
        """Stop listening and end the answers."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def open_connections(self) -> int:
        """Number of connections that are open."""
        return len(self._tasks)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass  # The peer closed the connection.
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
        writer.transport.set_write_buffer_limits(high=0)
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        id = head.partition(b"X-Request-Id: ")[2].split(b"\r\n")[0]
        await self._begun.wait()
        parts = self._form.value
        began_at = asyncio.get_running_loop().time()
        sent = 0
        closed = asyncio.create_task(_read_to_end(reader))
        try:
            async for data in self._writes(parts, id):
                writer.write(data)
                await writer.drain()
                sent += len(data)
                self.sent_bytes = max(self.sent_bytes, sent)
                if closed.done():
                    return
        finally:
            closed.cancel()
            seconds = asyncio.get_running_loop().time() - began_at
            self.open_seconds = max(self.open_seconds, seconds)

    async def _writes(self, parts: _Bytes, id: bytes):
        yield parts.begin.replace(b"%(id)b", id)
        if not self._drop_by_drop:
            data = parts.unit * max(1, _WRITE_BYTES // len(parts.unit))
            while True:
                yield data
                await asyncio.sleep(0)
        position = 0
        while True:
            yield parts.unit[position : position + 1]
            position = (position + 1) % len(parts.unit)
            await asyncio.sleep(_DROP_SECONDS)


async def _read_to_end(reader: asyncio.StreamReader) -> None:
    try:
        while await reader.read(1 << 16):
            pass
    except OSError:
        pass
