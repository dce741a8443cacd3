"""HTTP/1.1 client for services of the platform and for peers.

A request uses a pooled connection, one of its own, or streams its response. The
client distinguishes a request that was certainly not sent (`NotSentError`) from
one whose response was lost (`ResponseLostError`); the guarantees of its callers
depend on it.
"""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Protocol

import h11

from lagoonrun_core import clock as clock_module

_READ_BYTES = 65_536
MAX_BODY_BYTES = 16 * 1024 * 1024

_MAX_HEAD_BYTES = 32 * 1024
"""Bytes before the end of the response head; informational (1xx) responses count
as well."""

_MAX_FRAMING_BYTES = 64 * 1024
"""Bytes of a body that are no data, such as chunk sizes, extensions and trailer
fields, beyond as many as there are data bytes."""

_MIN_PROGRESS_BYTES = 4 * 1024
"""Data that extends the time limit of a response. A link that carries less in
the longest allowed pause would take minutes for a listing."""

_MAX_RESPONSE_SECONDS = 30.0
"""Time limit of a response that keeps arriving: the largest body at 5 Mbit/s."""

_EVENTS_PER_TURN = 256
"""Parts of a response that are parsed before the event loop gets a turn."""

_MAX_IDLE_CONNECTIONS = 8
_MAX_IDLE_SECONDS = 30.0
_KEEPALIVE_IDLE_SECONDS = 10
_KEEPALIVE_INTERVAL_SECONDS = 5
_KEEPALIVE_PROBES = 3


class NetworkAddress(Protocol):
    """An IP address and a port."""

    @property
    def host(self) -> str:
        """IP address."""

    @property
    def port(self) -> int:
        """TCP port."""


class NotSentError(Exception):
    """No byte of the request was sent."""


class ResponseLostError(Exception):
    """The request was sent at least in part, and no complete response came."""


class ResponseTooLongError(ResponseLostError):
    """The body of the response has more bytes than the caller accepts."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """A complete response.

    Parameters
    ----------
    headers
        Values by name in lower case.
    """

    status: int
    body: bytes
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """One request with a JSON body; a GET has none.

    Parameters
    ----------
    headers
        Additional header fields.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class HttpConnection:
    """One connection, used for one request at a time.

    Parameters
    ----------
    reader, writer
        Streams of the open connection.
    address
        Address of the server, for the Host field.
    """

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        address: NetworkAddress,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._host = f"{address.host}:{address.port}"
        self._protocol = h11.Connection(h11.CLIENT)
        self._bytes_before_head = 0
        self._framing_bytes = 0
        self._events = 0
        self.idle_since = 0.0

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        return (
            self._protocol.our_state is h11.IDLE
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    async def call(
        self,
        request: HttpRequest,
        *,
        on_progress: Callable[[], None] | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> HttpResponse:
        """Send a request and return its complete response.

        Parameters
        ----------
        on_progress
            Called whenever another part of the response body has arrived that
            is large enough to count as progress.
        max_body_bytes
            Longest body of the response.

        Raises
        ------
        ResponseLostError
            If the connection ends before the response does.
        ResponseTooLongError
            If the response has a longer body.
        """
        try:
            await self._send(request)
            head = await self._read_head()
            body = bytearray()
            progress_at_bytes = 0
            async for part in self._read_body():
                body += part
                if on_progress is not None and len(body) >= progress_at_bytes:
                    on_progress()
                    progress_at_bytes = len(body) + _MIN_PROGRESS_BYTES
                if len(body) > max_body_bytes:
                    raise ResponseTooLongError(
                        f"response exceeds {max_body_bytes} bytes"
                    )
        except (OSError, h11.ProtocolError) as error:
            raise ResponseLostError(str(error)) from error
        if self._protocol.states == {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            self._protocol.start_next_cycle()
        return HttpResponse(
            status=head.status_code,
            body=bytes(body),
            headers={
                name.decode(): value.decode("latin-1")
                for name, value in head.headers
            },
        )

    async def open_stream(self, request: HttpRequest) -> int:
        """Send a request and return its status; `parts` yields the body."""
        try:
            await self._send(request)
            return (await self._read_head()).status_code
        except (OSError, h11.ProtocolError) as error:
            raise ResponseLostError(str(error)) from error

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body of a streamed response as it arrives."""
        try:
            async for part in self._read_body():
                yield part
        except (OSError, h11.ProtocolError) as error:
            raise ResponseLostError(str(error)) from error

    def close(self) -> None:
        """Close the connection without waiting for the server."""
        self._writer.close()

    def reset(self) -> None:
        """Close the connection and discard unsent bytes."""
        raw_socket = self._writer.get_extra_info("socket")
        if raw_socket is not None:
            linger = struct.pack("ii", 1, 0)
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._writer.transport.abort()

    async def _send(self, request: HttpRequest) -> None:
        head = h11.Request(
            method=request.method,
            target=request.path,
            headers=[
                ("Host", self._host),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(request.body))),
                *request.headers,
            ],
        )
        payload = self._protocol.send(head) or b""
        if request.body:
            payload += self._protocol.send(h11.Data(data=request.body)) or b""
        payload += self._protocol.send(h11.EndOfMessage()) or b""
        self._writer.write(payload)
        await self._writer.drain()

    async def _read_head(self) -> h11.Response:
        self._bytes_before_head = 0
        self._framing_bytes = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                # What follows the head in the same read is not counted.
                self._bytes_before_head = -1
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ResponseLostError("connection closed before the response")

    async def _read_body(self) -> AsyncIterator[bytes]:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ResponseLostError("connection closed within the response")
            self._framing_bytes -= 2 * len(event.data)
            yield bytes(event.data)

    async def _next_event(self) -> object:
        while True:
            self._events += 1
            if self._events % _EVENTS_PER_TURN == 0:
                await asyncio.sleep(0)
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._reader.read(_READ_BYTES)
            self._count(len(data))
            self._protocol.receive_data(data)

    def _count(self, size: int) -> None:
        """Count bytes read; raise ResponseLostError if too many are no data."""
        if self._bytes_before_head < 0:
            self._framing_bytes += size
            if self._framing_bytes > _MAX_FRAMING_BYTES + _READ_BYTES:
                raise ResponseLostError(
                    f"over {_MAX_FRAMING_BYTES} bytes of chunk framing beyond "
                    "the size of the data"
                )
            return
        if self._bytes_before_head > _MAX_HEAD_BYTES:
            raise ResponseLostError(
                f"{self._bytes_before_head} bytes before the end of the "
                f"response head; valid: <= {_MAX_HEAD_BYTES}"
            )
        self._bytes_before_head += size


class ConnectionPool:
    """Idle connections to one address.

    Parameters
    ----------
    address
        Address of the server.
    connect_timeout_seconds
        Time limit for opening a connection.
    clock
        Measures how long connections have been idle.
    """

    def __init__(
        self,
        *,
        address: NetworkAddress,
        connect_timeout_seconds: float,
        clock: clock_module.Clock,
    ) -> None:
        self.address = address
        self._connect_timeout_seconds = connect_timeout_seconds
        self._clock = clock
        self._idle: list[HttpConnection] = []

    async def call(
        self,
        request: HttpRequest,
        *,
        timeout_seconds: float,
        stall_seconds: float | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> HttpResponse:
        """Send a request over an idle or a new connection.

        Parameters
        ----------
        timeout_seconds
            Time limit for the complete response.
        stall_seconds
            If given, the longest pause in the response, in which at least
            4 KiB of it have to arrive; the time limit above then holds for the
            first part only, and 30 s for the whole response.
        max_body_bytes
            Longest body of the response.

        Raises
        ------
        NotSentError
            If no connection could be opened.
        ResponseLostError
            If the request was sent and no complete response came in time.
        ResponseTooLongError
            If the response has a longer body.
        """
        connection = self._pop_idle() or await self.connect()
        loop = asyncio.get_running_loop()
        last_at = loop.time() + max(timeout_seconds, _MAX_RESPONSE_SECONDS)
        try:
            async with asyncio.timeout(timeout_seconds) as bound:

                def extend() -> None:
                    if stall_seconds is not None:
                        stalled_at = loop.time() + stall_seconds
                        bound.reschedule(min(stalled_at, last_at))

                response = await connection.call(
                    request,
                    on_progress=extend,
                    max_body_bytes=max_body_bytes,
                )
        except TimeoutError as error:
            connection.close()
            raise ResponseLostError(
                f"no response within {timeout_seconds:g} s, or a pause in it"
            ) from error
        except BaseException:
            connection.close()
            raise
        self._release(connection)
        return response

    async def call_once(self, request: HttpRequest) -> HttpResponse:
        """Send a request over a connection of its own.

        If the request is cancelled, also by a time limit of the caller, the
        connection is reset: no byte of it arrives later.

        Raises
        ------
        NotSentError
            If no connection could be opened.
        ResponseLostError
            If the request was sent and no complete response came.
        """
        connection = await self.connect()
        try:
            response = await connection.call(request)
        except BaseException:
            connection.reset()
            raise
        connection.close()
        return response

    async def connect(self) -> HttpConnection:
        """Open a connection.

        Raises
        ------
        NotSentError
            If the connection is refused or takes too long.
        """
        try:
            async with asyncio.timeout(self._connect_timeout_seconds):
                reader, writer = await asyncio.open_connection(
                    self.address.host, self.address.port
                )
        except (OSError, TimeoutError) as error:
            detail = str(error) or "no connection in time"
            raise NotSentError(detail) from error
        _enable_keepalive(writer)
        return HttpConnection(
            reader=reader, writer=writer, address=self.address
        )

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _pop_idle(self) -> HttpConnection | None:
        now = self._clock.monotonic()
        while self._idle:
            connection = self._idle.pop()
            age = now - connection.idle_since
            # A server closes idle connections; a request written to one that is
            # being closed would lose its response for no other reason.
            if connection.reusable and age < _MAX_IDLE_SECONDS:
                return connection
            connection.close()
        return None

    def _release(self, connection: HttpConnection) -> None:
        if not connection.reusable or len(self._idle) >= _MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        connection.idle_since = self._clock.monotonic()
        self._idle.append(connection)


def _enable_keepalive(writer: asyncio.StreamWriter) -> None:
    """Have the operating system probe the connection.

    A watch may wait for hours. If the server's VM disappears without closing
    the connection, only these probes end it.
    """
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS),
        (
            socket.IPPROTO_TCP,
            socket.TCP_KEEPINTVL,
            _KEEPALIVE_INTERVAL_SECONDS,
        ),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    )
    with contextlib.suppress(OSError):
        for level, option, value in options:
            raw_socket.setsockopt(level, option, value)
