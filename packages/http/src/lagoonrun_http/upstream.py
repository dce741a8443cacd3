"""The HTTP/1.1 client of upstreams, with its connection pool."""

import asyncio
from collections.abc import Callable

from lagoonrun_core import clock as clocks
from lagoonrun_core import patience, types
from lagoonrun_http import (
    dialing,
    held_bytes,
    limits,
    parse_queue,
    periodic,
    read_buffer,
    upstream_connection,
    upstream_messages,
    upstream_response,
)

ClientLimits = limits.ClientLimits
EndOfBody = upstream_messages.EndOfBody
FailureStage = upstream_messages.FailureStage
UpstreamFailure = upstream_messages.UpstreamFailure
UpstreamRequest = upstream_messages.UpstreamRequest
UpstreamResponse = upstream_response.UpstreamResponse
SinkFull = upstream_response.SinkFull


class UpstreamClient:
    """Sends requests to upstreams over pooled connections.

    Parameters
    ----------
    limits
        Limits on upstreams.
    clock
        Clock of the timeouts.
    dialer
        Opens the connections; None to open them straight to the upstream.

    Attributes
    ----------
    held
        Bytes that the responses hold until they are complete.
    """

    def __init__(
        self,
        *,
        limits: limits.ClientLimits,
        clock: clocks.Clock,
        dialer: dialing.Dialer | None = None,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._dialer = dialer or dialing.DirectDialer()
        self._idle_by_endpoint: dict[
            dialing.Endpoint, list[upstream_connection.UpstreamConnection]
        ] = {}
        self._open_by_endpoint: dict[dialing.Endpoint, int] = {}
        self._connections: set[upstream_connection.UpstreamConnection] = set()
        self._closed = False
        self._buffer = read_buffer.ReadBuffer()
        self._parse_queue = parse_queue.ParseQueue()
        self.held = held_bytes.HeldBytes(
            limit_bytes=limits.held_response_bytes,
            small_bytes=limits.small_response_bytes,
        )
        self._sweep = periodic.PeriodicCall(
            interval_seconds=limits.sweep_seconds,
            function=self._check_deadlines,
        )

    @property
    def open_connections(self) -> int:
        """Connections to all upstreams, idle ones included."""
        return len(self._connections)

    async def send(
        self,
        request: upstream_messages.UpstreamRequest,
        *,
        address: str,
        port: int,
        new_connection: bool = False,
        may_write: Callable[[], bool] | None = None,
    ) -> upstream_response.UpstreamResponse | upstream_messages.UpstreamFailure:
        """Send a request and return the head of its response.

        Parameters
        ----------
        request
            What to send.
        address, port
            The upstream.
        new_connection
            Use no pooled connection: an upstream may close one while the
            request is in flight, and then it is unknown whether it ran.
        may_write
            Called on an open connection right before the first byte is
            written, without an await in between: what allowed the request may
            have expired while the connection was opened. If it returns False,
            nothing is sent.
        """
        endpoint = dialing.Endpoint(address=address, port=port)
        if self._closed:
            return _not_connected(endpoint, "the client is closed")
        self._sweep.start()
        connection = None
        if not new_connection:
            connection = self._pop_idle(endpoint, request.request_id)
        if connection is None:
            connection = await self._connect(endpoint)
        if isinstance(connection, upstream_messages.UpstreamFailure):
            return connection
        if may_write is not None and not may_write():
            connection.close_idle()
            return _not_connected(endpoint, "no longer allowed to be sent")
        return await connection.exchange(request)

    def close_idle_connections(self, host: str, port: int) -> None:
        """Close the idle connections to an upstream."""
        endpoint = dialing.Endpoint(address=host, port=port)
        for connection in self._idle_by_endpoint.pop(endpoint, []):
            connection.close_idle()

    def abort_connections(
        self, host: str, port: int, *, opened_until: float
    ) -> None:
        """Abort the connections to an upstream process that is gone.

        Idle connections are closed. Connections opened up to `opened_until`
        are reset, so that their responses fail at once: the process may have
        vanished without a reset, and nothing more would arrive.
        """
        self.close_idle_connections(host, port)
        endpoint = dialing.Endpoint(address=host, port=port)
        for connection in tuple(self._connections):
            if (
                _endpoint(connection) == endpoint
                and connection.opened_at <= opened_until
            ):
                connection.abort()

    async def close(self) -> None:
        """Close all connections; running responses fail."""
        self._closed = True
        self._sweep.close()
        self._parse_queue.close()
        for connection in tuple(self._connections):
            connection.abort()

    # Callbacks of the connections.

    def release_connection(
        self, connection: upstream_connection.UpstreamConnection
    ) -> None:
        """Return a connection to the pool after its response."""
        endpoint = _endpoint(connection)
        idle = self._idle_by_endpoint.setdefault(endpoint, [])
        if self._closed or len(idle) >= self._limits.idle_per_upstream:
            connection.close_idle()
        else:
            idle.append(connection)

    def on_connection_closed(
        self, connection: upstream_connection.UpstreamConnection
    ) -> None:
        """Remove a closed connection."""
        if connection not in self._connections:
            return
        self._connections.discard(connection)
        endpoint = _endpoint(connection)
        self._release(endpoint)
        idle = self._idle_by_endpoint.get(endpoint, [])
        if connection in idle:
            idle.remove(connection)

    def _pop_idle(
        self, endpoint: dialing.Endpoint, request_id: types.RequestId
    ) -> upstream_connection.UpstreamConnection | None:
        """Return the connection used last, which is most likely still open.

        Skips connections that served the same request before: a duplicate of
        that response would have the id that the next one is checked by.
        """
        idle = self._idle_by_endpoint.get(endpoint, [])
        now = self._clock.monotonic()
        for connection in reversed(idle):
            # Checks the age as well: after the VM was suspended, the sweep
            # runs late.
            age = now - connection.idle_since
            usable = not connection.closed and age < connection.idle_seconds
            usable = usable and self._dialer.may_reuse(connection)
            if usable and connection.last_request_id != request_id:
                idle.remove(connection)
                return connection
        return None

    async def _connect(
        self, endpoint: dialing.Endpoint
    ) -> (
        upstream_connection.UpstreamConnection
        | upstream_messages.UpstreamFailure
    ):
        count = self._open_by_endpoint.get(endpoint, 0)
        if count >= self._limits.connections_per_upstream:
            return _not_connected(
                endpoint, f"{count} connections are open; valid: fewer"
            )
        self._open_by_endpoint[endpoint] = count + 1
        try:
            async with patience.PatienceTimeout(
                self._limits.connect_seconds, clock=self._clock
            ):
                return await self._open(endpoint)
        except OSError as error:
            # TimeoutError is an OSError as well.
            self._release(endpoint)
            reason = str(error) or "no connection in time"
            return _not_connected(endpoint, reason)
        except asyncio.CancelledError:
            self._release(endpoint)
            raise

    async def _open(
        self, endpoint: dialing.Endpoint
    ) -> upstream_connection.UpstreamConnection:
        connection = await self._dialer.dial(
            endpoint,
            lambda: upstream_connection.UpstreamConnection(
                client_limits=self._limits,
                clock=self._clock,
                pool=self,
                buffer=self._buffer,
                held=self.held,
                parse_queue=self._parse_queue,
                address=endpoint.address,
                port=endpoint.port,
            ),
        )
        if connection.closed:
            raise ConnectionResetError("the upstream closed at once")
        self._connections.add(connection)
        return connection

    def _release(self, endpoint: dialing.Endpoint) -> None:
        count = self._open_by_endpoint[endpoint] - 1
        if count:
            self._open_by_endpoint[endpoint] = count
        else:
            del self._open_by_endpoint[endpoint]
            self._idle_by_endpoint.pop(endpoint, None)

    def _check_deadlines(self) -> None:
        now = self._clock.monotonic()
        running = self._clock.running()
        for connection in tuple(self._connections):
            if connection.busy:
                connection.check_deadlines(running)
            elif now - connection.idle_since >= connection.idle_seconds:
                connection.close_idle()


def _endpoint(
    connection: upstream_connection.UpstreamConnection,
) -> dialing.Endpoint:
    return dialing.Endpoint(address=connection.address, port=connection.port)


def _not_connected(
    endpoint: dialing.Endpoint, detail: str
) -> upstream_messages.UpstreamFailure:
    return upstream_messages.UpstreamFailure(
        stage=upstream_messages.FailureStage.CONNECT,
        write_attempted=False,
        detail=detail,
        peer=f"{endpoint.address}:{endpoint.port}",
    )
