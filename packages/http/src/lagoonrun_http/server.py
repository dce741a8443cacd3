"""The HTTP/1.1 server that callers connect to."""

import asyncio
import logging
import socket

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs
from lagoonrun_http import (
    connection_owner,
    exchange,
    limits,
    periodic,
    read_buffer,
    rejections,
    server_connection,
)

Exchange = exchange.Exchange
ExchangeHandler = exchange.ExchangeHandler
ServerLimits = limits.ServerLimits

_MAX_ANSWERED_REFUSALS = 64

_BACKLOG = 1024
"""Length of the listen queue; when it is full, the kernel drops the SYN of
further connections, which is sent again only after a second."""


class HttpServer:
    """Accepts connections and passes each request to a handler.

    Parameters
    ----------
    host
        Address to listen on.
    port
        Port to listen on; 0 lets the system choose.
    limits
        Limits on callers.
    handler
        Responds to the requests.
    clock
        Clock of the timeouts.
    listening
        Socket that already listens on the address; None to open one.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        limits: limits.ServerLimits,
        handler: exchange.ExchangeHandler,
        clock: clocks.Clock,
        listening: socket.socket | None = None,
    ) -> None:
        self._listening = listening
        self._host = host
        self._port = port
        self._limits = limits
        self._handler = handler
        self._clock = clock
        self._connections: set[connection_owner.OwnedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._all_closed = asyncio.Event()
        self._all_closed.set()
        self._listener: asyncio.Server | None = None
        self._sweep = periodic.PeriodicCall(
            interval_seconds=limits.sweep_seconds,
            function=self._check_deadlines,
        )
        self._buffer = read_buffer.ReadBuffer()
        self._held_body_bytes = 0
        self.stopping = False
        """Whether each connection ends with its next response."""

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._port

    @property
    def open_exchanges(self) -> int:
        """Requests that are being processed."""
        return len(self._tasks)

    @property
    def open_connections(self) -> int:
        """Open connections of callers."""
        return len(self._connections)

    @property
    def reading_heads(self) -> int:
        """Connections on which part of a request's head has arrived."""
        return sum(made.reading_head for made in self._connections)

    async def start(self) -> None:
        """Listen; raises `OSError` when the address is taken."""
        loop = asyncio.get_running_loop()
        if self._listening is None:
            self._listening = _bind(self._host, self._port)
        self._listener = await loop.create_server(
            self._accept, sock=self._listening, backlog=_BACKLOG
        )
        self._port = self._listening.getsockname()[1]
        self._sweep.start()

    def set_limits(self, limits: limits.ServerLimits) -> None:
        """Apply `limits` to new connections and to the next requests of others.

        Callers keep connections for hours, over many changes of the limits.
        """
        self._limits = limits
        for connection in tuple(self._connections):
            connection.set_limits(limits)

    def disable_keep_alive(self) -> None:
        """Keep serving, but end each connection with its next response.

        New connections are still accepted: a load balancer opens some until
        it has seen that this process is no longer ready.
        """
        self.stopping = True

    def stop_accepting(self) -> None:
        """Accept no new connections; running exchanges continue.

        Connections in the listen queue are accepted first: their callers have
        connected and may have sent a request, and closing the listener would
        reset them.
        """
        self.stopping = True
        if self._listener is not None:
            self._accept_pending()
            self._listener.close()
            self._listener = None
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def _accept_pending(self) -> None:
        """Accept the connections in the listen queue."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = self._listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # For example, no file descriptor is left. The connections
                # that are still in the queue are reset.
                logs.emit(
                    events.LogEvent.TASK_FAILED,
                    level=logging.ERROR,
                    task="listener",
                    peer="",
                    error=type(error).__name__,
                    trace=str(error),
                )
                return
            accepted.setblocking(False)
            task = loop.create_task(
                loop.connect_accepted_socket(self._accept, accepted)
            )
            # Counted as an exchange until its connection is counted.
            self._all_closed.clear()
            self.on_exchange_started(task)
            task.add_done_callback(self.on_exchange_finished)

    async def drain(self, timeout_seconds: float) -> int:
        """Wait until all connections are closed; return how many exchanges run.

        Waits for the connections of finished exchanges as well, which end
        after `stop_accepting`: a process that exits earlier loses the part of
        a response that a slow caller has not read yet.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._all_closed.wait()
        except TimeoutError:
            pass
        return len(self._tasks)

    async def close(self) -> None:
        """Stop at once: reset connections and cancel running exchanges."""
        self.stop_accepting()
        self._sweep.close()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for connection in tuple(self._connections):
            connection.abort()

    # Callbacks of the connections.

    def on_exchange_started(self, task: "asyncio.Task[None]") -> None:
        """Add a running exchange."""
        self._tasks.add(task)

    def on_exchange_finished(self, task: "asyncio.Task[None]") -> None:
        """Remove a finished exchange."""
        self._tasks.discard(task)
        self._check_all_closed()

    def on_connection_closed(
        self, connection: connection_owner.OwnedConnection
    ) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self._check_all_closed()

    def add_held_bytes(self, size: int) -> bool:
        """Add to the body bytes held; return whether they are in the limit."""
        self._held_body_bytes += size
        return self._held_body_bytes <= self._limits.held_body_bytes

    def subtract_held_bytes(self, size: int) -> None:
        """Subtract from the body bytes held."""
        self._held_body_bytes -= size

    def on_connection_opened(
        self, connection: connection_owner.OwnedConnection
    ) -> bool:
        """Add a connection; return whether it is within the limit.

        The first `_MAX_ANSWERED_REFUSALS` connections over the limit get an
        error response, further ones are reset.
        """
        self._connections.add(connection)
        self._all_closed.clear()
        over = len(self._connections) - self._limits.connections
        if over > _MAX_ANSWERED_REFUSALS:
            connection.abort()
        elif over > 0:
            connection.refuse(rejections.too_many_connections(self._limits))
        return over <= 0

    def _check_all_closed(self) -> None:
        if not self._tasks and not self._connections:
            self._all_closed.set()

    def _accept(self) -> server_connection.ServerConnection:
        return server_connection.ServerConnection(
            server_limits=self._limits,
            handler=self._handler,
            clock=self._clock,
            owner=self,
            buffer=self._buffer,
        )

    def _check_deadlines(self) -> None:
        for connection in tuple(self._connections):
            connection.check_deadlines()


def _bind(host: str, port: int) -> socket.socket:
    """Return a socket bound to the address; raises `OSError`.

    The protocol is passed explicitly, since asyncio sets `TCP_NODELAY` on
    accepted connections only then.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, port))
    except OSError:
        listening.close()
        raise
    return listening
