"""Forwards connections of other entry VMs to upstreams.

An entry VM that is cut from upstreams opens its connections to them by way of
another one. The bytes are forwarded as they are: routing, retries, limits and
time limits stay with the entry VM that has the caller, and its resets reach the
upstream. Connections are forwarded to registered upstreams only, and never by
way of a third entry VM.
"""

import asyncio

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, patience, types
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import messages as http_messages
from lagoonrun_http import tcp_keepalive, tcp_reset
from lagoonrun_router import (
    forwarding_frames,
    http_endpoints,
    upstream_links,
    upstreams,
)

_CONNECT_SECONDS = 0.25
"""Connection timeout towards the upstream, shorter than that of the entry VM
that waits for it, which may try a third one."""

_MAX_CONNECTIONS = 256
"""Connections that are forwarded at a time. Each takes two file descriptors and
up to 0.2 MB of buffers; the smallest VMs have 128 MB."""

_OK = 200
_NOT_FOUND = 404
_BAD_GATEWAY = 502
_UNAVAILABLE = 503


class ConnectionForwarder:
    """Accepts and forwards the connections of other entry VMs.

    Parameters
    ----------
    directory
        The upstreams.
    links
        Whether this entry VM reaches them.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        directory: upstreams.UpstreamDirectory,
        links: upstream_links.UpstreamLinks,
        clock: clocks.Clock,
    ) -> None:
        self._directory = directory
        self._links = links
        self._clock = clock
        self._open: set[_ForwardedPair] = set()
        self._stopping = False
        self._all_closed = asyncio.Event()
        self._all_closed.set()

    @property
    def open_connections(self) -> int:
        """Number of connections that are being forwarded."""
        return len(self._open)

    def begin_stop(self) -> None:
        """Accept no connections; ask for the end of the open ones."""
        self._stopping = True
        for connection in self._open:
            connection.request_end()

    async def drain(self, timeout_seconds: float) -> int:
        """Wait until all connections have ended; return how many are open."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._all_closed.wait()
        except TimeoutError:
            pass
        return len(self._open)

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Connect to an upstream and forward until either side ends.

        Without an `Upgrade` header only the connection is tried.
        """
        upstream = types.UpstreamId(
            exchange.head.target.removeprefix(forwarding_frames.PATH)
        )
        registration = self._directory.registration_of(upstream)
        if registration is None:
            await _respond(exchange, _NOT_FOUND)
        elif self._stopping or len(self._open) >= _MAX_CONNECTIONS:
            await _respond(exchange, _UNAVAILABLE)
        elif self._links.is_cut(upstream):
            await _respond(exchange, _BAD_GATEWAY)
        else:
            await self._forward(exchange, registration)

    async def _forward(
        self,
        exchange: exchanges.Exchange,
        registration: upstreams.Registration,
    ) -> None:
        connection = _ForwardedPair()
        loop = asyncio.get_running_loop()
        try:
            async with patience.PatienceTimeout(
                _CONNECT_SECONDS, clock=self._clock
            ):
                await loop.create_connection(
                    lambda: _UpstreamEnd(connection),
                    registration.host,
                    registration.port,
                )
        except OSError:
            await _respond(exchange, _BAD_GATEWAY)
            return
        began_at = self._clock.monotonic()
        self._links.record_reached(registration.id, now=began_at)
        if self._stopping or "upgrade" not in exchange.head.headers:
            connection.reset()
            await _respond(exchange, _UNAVAILABLE if self._stopping else _OK)
            return
        self._open.add(connection)
        self._all_closed.clear()
        try:
            exchange.switch_protocol(forwarding_frames.PROTOCOL, connection)
            await connection.closed.wait()
        finally:
            connection.reset()
            self._open.discard(connection)
            if not self._open:
                self._all_closed.set()
            logs.emit(
                events.LogEvent.FORWARDED_CONNECTION_ENDED,
                upstream=registration.id,
                peer=exchange.peer,
                seconds=round(self._clock.monotonic() - began_at, 3),
                received_bytes=connection.received_bytes,
                forwarded_bytes=connection.forwarded_bytes,
            )


async def _respond(exchange: exchanges.Exchange, status: int) -> None:
    await exchange.respond(
        status=status, headers=http_messages.Headers(), body=b""
    )


class _ForwardedPair:
    """Both ends of one connection; the end towards the other entry VM.

    Attributes
    ----------
    received_bytes
        Bytes of the upstream.
    forwarded_bytes
        Bytes for the upstream.
    """

    def __init__(self) -> None:
        self._peer: asyncio.Transport | None = None
        self._upstream: asyncio.Transport | None = None
        self.closed = asyncio.Event()
        self.received_bytes = 0
        self.forwarded_bytes = 0

    def reset(self) -> None:
        """Reset both ends that are still open."""
        for transport in (self._peer, self._upstream):
            if transport is not None and not transport.is_closing():
                tcp_reset.reset(transport)

    def request_end(self) -> None:
        """Ask the other entry VM to send no further request."""
        if self._peer is not None:
            self._peer.write(
                forwarding_frames.encode(forwarding_frames.FrameKind.RETIRE)
            )

    # Callbacks of the connection to the other entry VM.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport; see `TunnelEnd`."""
        self._peer = transport
        _enable_keepalive(transport)
        if self._upstream is None or self._upstream.is_closing():
            tcp_reset.reset(transport)
        else:
            self._upstream.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Forward bytes to the upstream; see `TunnelEnd`."""
        self.forwarded_bytes += len(data)
        if self._upstream is not None:
            self._upstream.write(data)

    def eof_received(self) -> None:
        """Close the connection to the upstream; see `TunnelEnd`."""
        if self._upstream is not None:
            self._upstream.close()

    def connection_lost(self, error: Exception | None) -> None:
        """End the upstream's work if the connection was reset."""
        if self._upstream is not None and not self._upstream.is_closing():
            if error is not None:
                tcp_reset.reset(self._upstream)
            else:
                self._upstream.close()
        self.closed.set()

    def pause_writing(self) -> None:
        """Read no more from the upstream; see `TunnelEnd`."""
        if self._upstream is not None:
            self._upstream.pause_reading()

    def resume_writing(self) -> None:
        """Read from the upstream again; see `TunnelEnd`."""
        if self._upstream is not None:
            self._upstream.resume_reading()

    # Callbacks of the connection to the upstream.

    def on_upstream_connected(self, transport: asyncio.Transport) -> None:
        """Store the transport; nothing is read before the switch."""
        self._upstream = transport
        _enable_keepalive(transport)
        transport.pause_reading()

    def on_upstream_data(self, data: bytes) -> None:
        """Forward bytes to the other entry VM."""
        self.received_bytes += len(data)
        if self._peer is not None:
            self._peer.write(
                forwarding_frames.encode(forwarding_frames.FrameKind.DATA, data)
            )

    def on_upstream_ended(self, kind: forwarding_frames.FrameKind) -> None:
        """Report the end after all bytes that came before it."""
        if self._peer is not None and not self._peer.is_closing():
            self._peer.write(forwarding_frames.encode(kind))
            self._peer.close()

    def pause_reading(self) -> None:
        """Read no more from the other entry VM."""
        if self._peer is not None:
            self._peer.pause_reading()

    def resume_reading(self) -> None:
        """Read from the other entry VM again."""
        if self._peer is not None:
            self._peer.resume_reading()


class _UpstreamEnd(asyncio.Protocol):
    """The end of a forwarded connection towards the upstream."""

    def __init__(self, connection: _ForwardedPair) -> None:
        self._connection = connection
        self._ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._connection.on_upstream_connected(transport)  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        """Forward bytes."""
        self._connection.on_upstream_data(data)

    def eof_received(self) -> bool:
        """Report the end of the upstream's output."""
        self._ended = True
        self._connection.on_upstream_ended(forwarding_frames.FrameKind.END)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Report a connection that ended without the upstream's end."""
        del error
        if not self._ended:
            self._connection.on_upstream_ended(
                forwarding_frames.FrameKind.BROKEN
            )

    def pause_writing(self) -> None:
        """Read no more from the other entry VM."""
        self._connection.pause_reading()

    def resume_writing(self) -> None:
        """Read from the other entry VM again."""
        self._connection.resume_reading()


def _enable_keepalive(transport: asyncio.Transport) -> None:
    tcp_keepalive.enable(
        transport, within_seconds=http_endpoints.UNACKNOWLEDGED_SECONDS
    )
