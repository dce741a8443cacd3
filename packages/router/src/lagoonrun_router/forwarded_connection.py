"""A connection to an upstream that another entry VM forwards."""

import asyncio

import h11

from lagoonrun_core import clock as clocks
from lagoonrun_core import errors, types
from lagoonrun_http import dialing, tcp_reset, upstream_connection
from lagoonrun_platform import http_client
from lagoonrun_router import forwarding_frames, settings

_SWITCHING_PROTOCOLS = 101
_OK = 200
_PROBE_CONNECT_SECONDS = 0.4


async def open_forwarded(
    make_connection: dialing.MakeConnection,
    *,
    upstream: types.UpstreamId,
    forwarder: settings.Address,
) -> upstream_connection.UpstreamConnection:
    """Return an open connection to `upstream` by way of the entry VM `forwarder`.

    Raises
    ------
    OSError
        If the entry VM can't be reached, or can't reach the upstream.
    """
    loop = asyncio.get_running_loop()
    connection = make_connection()
    connection.is_forwarded = True
    is_open = loop.create_future()
    transport, _ = await loop.create_connection(
        lambda: ForwardedConnection(
            connection=connection, upstream=upstream, is_open=is_open
        ),
        forwarder.host,
        forwarder.port,
    )
    try:
        await is_open
    except BaseException:
        tcp_reset.reset(transport)
        raise
    return connection


async def probe(
    upstream: types.UpstreamId,
    *,
    forwarder: settings.Address,
    clock: clocks.Clock,
) -> None:
    """Ask the entry VM `forwarder` to connect to `upstream`, without a request.

    Raises
    ------
    OSError
        If the entry VM can't be reached, or can't reach the upstream.
    """
    pool = http_client.ConnectionPool(
        address=forwarder,
        connect_timeout_seconds=_PROBE_CONNECT_SECONDS,
        clock=clock,
    )
    call = http_client.HttpRequest(
        method="GET", path=forwarding_frames.PATH + upstream
    )
    try:
        response = await pool.call_once(call)
    except (
        http_client.NotSentError,
        http_client.ResponseLostError,
    ) as error:
        raise ConnectionError(str(error)) from error
    if response.status != _OK:
        raise ConnectionError(f"the entry VM answered {response.status}")


class ForwardedConnection(asyncio.Protocol):
    """Unpacks the frames of another entry VM for an upstream connection.

    Parameters
    ----------
    connection
        The upstream connection, which writes to the transport directly.
    upstream
        The upstream that the other entry VM connects to.
    is_open
        Receives a result once that entry VM is connected to the upstream, or
        an exception.
    """

    def __init__(
        self,
        *,
        connection: upstream_connection.UpstreamConnection,
        upstream: types.UpstreamId,
        is_open: asyncio.Future[None],
    ) -> None:
        self._connection = connection
        self._upstream = upstream
        self._is_open = is_open
        self._h11 = h11.Connection(h11.CLIENT)
        self._frames = forwarding_frames.FrameReader()
        self._has_switched = False
        self._is_retired = False
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask the other entry VM for a connection to the upstream."""
        self._transport: asyncio.Transport = transport  # type: ignore[assignment]
        self._connection.connection_made(transport)
        request = h11.Request(
            method="GET",
            target=forwarding_frames.PATH + self._upstream,
            headers=[
                ("Host", "peer"),
                ("Connection", "Upgrade"),
                ("Upgrade", forwarding_frames.PROTOCOL),
            ],
        )
        self._transport.write(
            self._h11.send(request) + self._h11.send(h11.EndOfMessage())
        )

    def data_received(self, data: bytes) -> None:
        """Process the answer of the other entry VM, then its frames."""
        if not self._has_switched:
            self._h11.receive_data(data)
            data = self._read_answer()
        if data:
            self._read_frames(data)

    def _read_answer(self) -> bytes:
        """Return the bytes after the answer, once it has arrived."""
        try:
            event = self._h11.next_event()
        except h11.RemoteProtocolError as error:
            self._fail_opening(str(error))
            return b""
        if event is h11.NEED_DATA:
            return b""
        status = getattr(event, "status_code", 0)
        if status != _SWITCHING_PROTOCOLS:
            self._fail_opening(f"the entry VM answered {status}")
            return b""
        self._has_switched = True
        if not self._is_open.done():
            self._is_open.set_result(None)
        return bytes(self._h11.trailing_data[0])

    def _fail_opening(self, detail: str) -> None:
        if not self._is_open.done():
            self._is_open.set_exception(ConnectionResetError(detail))
        tcp_reset.reset(self._transport)

    def _read_frames(self, data: bytes) -> None:
        try:
            frames = self._frames.feed(data)
        except errors.LagoonrunError:
            tcp_reset.reset(self._transport)
            return
        for kind, payload in frames:
            if self._connection.closed:
                return
            if self._carries_nothing(kind, payload):
                tcp_reset.reset(self._transport)
                return
            if kind is forwarding_frames.FrameKind.DATA:
                self._pass_on(payload)
            elif kind is forwarding_frames.FrameKind.RETIRE:
                self._is_retired = True
                self._connection.retire()
            else:
                self._end(broken=kind is forwarding_frames.FrameKind.BROKEN)

    def _carries_nothing(
        self, kind: forwarding_frames.FrameKind, payload: bytes
    ) -> bool:
        """Return whether a frame is one that no entry VM sends.

        Such frames could arrive without end, since no bound on the upstream's
        bytes counts them.
        """
        if kind is forwarding_frames.FrameKind.RETIRE:
            return self._is_retired
        return kind is forwarding_frames.FrameKind.DATA and not payload

    def _pass_on(self, payload: bytes) -> None:
        rest = memoryview(payload)
        while rest and not self._connection.closed:
            buffer = self._connection.get_buffer(len(rest))
            size = min(len(buffer), len(rest))
            buffer[:size] = rest[:size]
            rest = rest[size:]
            self._connection.buffer_updated(size)

    def _end(self, *, broken: bool) -> None:
        self._has_ended = not broken
        if not broken:
            self._connection.eof_received()
        self._transport.close()

    def eof_received(self) -> bool:
        """Close: without a frame before it, the connection is broken."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end to the upstream connection."""
        if not self._is_open.done():
            self._is_open.set_exception(
                ConnectionResetError("the entry VM closed the connection")
            )
        if error is None and not self._has_ended:
            error = ConnectionResetError("the forwarding entry VM closed")
        self._connection.connection_lost(error)
