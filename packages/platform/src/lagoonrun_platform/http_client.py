"""HTTP/1.1 calls to a service of the platform or to a peer: pooled, or a stream.

It tells a call that was certainly not sent (`NotSentError`) from one whose
reply was lost (`ResponseLostError`); the caller's promises rest on that.
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
_MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
_MOST_IDLE = 8
_LONGEST_IDLE_SECONDS = 30.0
_KEEPALIVE_IDLE_SECONDS = 10
_KEEPALIVE_INTERVAL_SECONDS = 5
_KEEPALIVE_PROBES = 3


class NetworkAddress(Protocol):
    """An IP number and a port."""

    @property
    def host(self) -> str:
        """IP number."""

    @property
    def port(self) -> int:
        """TCP port."""


class NotSentError(Exception):
    """No byte of the call left for the gateway."""


class ResponseLostError(Exception):
    """The call was sent, in part at least, and no whole reply came."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """A whole reply.

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
        Further fields of the head.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class GatewayConnection:
    """One connection, used for one call at a time.

    Parameters
    ----------
    reader, writer
        Streams of the open connection.
    address
        The other side, for the Host field.
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
        self._state = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0

    @property
    def reusable(self) -> bool:
        """Return whether another call may be sent."""
        return (
            self._state.our_state is h11.IDLE
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    async def call(
        self,
        call: HttpRequest,
        *,
        on_progress: Callable[[], None] | None = None,
    ) -> HttpResponse:
        """Send a call and return its whole reply.

        Parameters
        ----------
        on_progress
            Called whenever a part of the reply has come.

        Raises
        ------
        ResponseLostError
            When the connection ends before the reply does.
        """
        try:
            await self._send(call)
            head = await self._read_head()
            body = bytearray()
            async for part in self._read_body():
                body += part
                if on_progress is not None:
                    on_progress()
                if len(body) > _MAXIMUM_BODY_BYTES:
                    raise ResponseLostError(
                        f"reply over {_MAXIMUM_BODY_BYTES} bytes"
                    )
        except (OSError, h11.ProtocolError) as error:
            raise ResponseLostError(str(error)) from error
        if self._state.states == {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            self._state.start_next_cycle()
        return HttpResponse(
            status=head.status_code,
            body=bytes(body),
            headers={
                name.decode(): value.decode("latin-1")
                for name, value in head.headers
            },
        )

    async def open_stream(self, call: HttpRequest) -> int:
        """Send a call and return its status; `parts` gives the body."""
        try:
            await self._send(call)
            return (await self._read_head()).status_code
        except (OSError, h11.ProtocolError) as error:
            raise ResponseLostError(str(error)) from error

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body of a streamed reply as it comes."""
        try:
            async for part in self._read_body():
                yield part
        except (OSError, h11.ProtocolError) as error:
            raise ResponseLostError(str(error)) from error

    def close(self) -> None:
        """Close the connection without waiting for the other side."""
        self._writer.close()

    def reset(self) -> None:
        """Close the connection, and drop what has not been sent yet."""
        raw = self._writer.get_extra_info("socket")
        if raw is not None:
            linger = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._writer.transport.abort()

    async def _send(self, call: HttpRequest) -> None:
        request = h11.Request(
            method=call.method,
            target=call.path,
            headers=[
                ("Host", self._host),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(call.body))),
                *call.headers,
            ],
        )
        data = self._state.send(request) or b""
        if call.body:
            data += self._state.send(h11.Data(data=call.body)) or b""
        data += self._state.send(h11.EndOfMessage()) or b""
        self._writer.write(data)
        await self._writer.drain()

    async def _read_head(self) -> h11.Response:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ResponseLostError("connection closed before the reply")

    async def _read_body(self) -> AsyncIterator[bytes]:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ResponseLostError("connection closed within the reply")
            yield bytes(event.data)

    async def _next_event(self) -> object:
        while True:
            event = self._state.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._state.receive_data(await self._reader.read(_READ_BYTES))


class ConnectionPool:
    """Idle connections to one address.

    Parameters
    ----------
    address
        The gateway.
    connect_timeout_seconds
        Longest wait for a connection.
    clock
        Dates idle connections.
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
        self._idle: list[GatewayConnection] = []

    async def call(
        self,
        call: HttpRequest,
        *,
        timeout_seconds: float,
        stall_seconds: float | None = None,
    ) -> HttpResponse:
        """Send a call over an idle or a new connection.

        Parameters
        ----------
        timeout_seconds
            Longest wait for the whole reply.
        stall_seconds
            Where it is given, the longest pause between two parts of the
            reply; the time above then holds for its first part only.

        Raises
        ------
        NotSentError
            When no connection could be had.
        ResponseLostError
            When it was sent and no whole reply came in time.
        """
        connection = self._take_idle() or await self.connect()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_seconds) as bound:

                def extend() -> None:
                    if stall_seconds is not None:
                        bound.reschedule(loop.time() + stall_seconds)

                reply = await connection.call(call, on_progress=extend)
        except TimeoutError as error:
            connection.close()
            raise ResponseLostError(
                f"no reply within {timeout_seconds:g} s, or a pause in it"
            ) from error
        except BaseException:
            connection.close()
            raise
        self._give_back(connection)
        return reply

    async def call_once(self, call: HttpRequest) -> HttpResponse:
        """Send a call over a connection of its own.

        One that is given up, by its caller's time limit too, is reset: no byte
        of it arrives later.

        Raises
        ------
        NotSentError
            When no connection could be had.
        ResponseLostError
            When it was sent and no whole reply came.
        """
        connection = await self.connect()
        try:
            reply = await connection.call(call)
        except BaseException:
            connection.reset()
            raise
        connection.close()
        return reply

    async def connect(self) -> GatewayConnection:
        """Open a connection.

        Raises
        ------
        NotSentError
            When it is refused or takes too long.
        """
        try:
            async with asyncio.timeout(self._connect_timeout_seconds):
                reader, writer = await asyncio.open_connection(
                    self.address.host, self.address.port
                )
        except (OSError, TimeoutError) as error:
            text = str(error) or "no connection in time"
            raise NotSentError(text) from error
        _watch_liveness(writer)
        return GatewayConnection(
            reader=reader, writer=writer, address=self.address
        )

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take_idle(self) -> GatewayConnection | None:
        now = self._clock.monotonic()
        while self._idle:
            connection = self._idle.pop()
            age = now - connection.idle_since
            # A gateway closes idle connections; a call that is written into
            # one on its way down has a lost reply for no other reason.
            if connection.reusable and age < _LONGEST_IDLE_SECONDS:
                return connection
            connection.close()
        return None

    def _give_back(self, connection: GatewayConnection) -> None:
        if not connection.reusable or len(self._idle) >= _MOST_IDLE:
            connection.close()
            return
        connection.idle_since = self._clock.monotonic()
        self._idle.append(connection)


def _watch_liveness(writer: asyncio.StreamWriter) -> None:
    """Have the system probe the connection.

    A watch may wait for hours; when the gateway's VM vanishes without a
    word, only these probes end it.
    """
    raw = writer.get_extra_info("socket")
    if raw is None:
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
            raw.setsockopt(level, option, value)
