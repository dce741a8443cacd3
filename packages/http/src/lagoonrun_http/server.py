"""The HTTP/1.1 server towards callers."""

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

_LINGERING_REFUSALS = 64

_BACKLOG = 1024
"""Connections that wait to be accepted; a full queue drops the opening of
further ones, which come again only after a second."""


class HttpServer:
    """Accepts connections and hands each request to a handler.

    Parameters
    ----------
    host
        Address to listen on.
    port
        Port to listen on; 0 lets the system choose.
    limits
        Bounds on callers.
    handler
        Answers the requests.
    clock
        Source of time for the bounds.
    listening
        Socket that listens already at the address; None to open one.
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
        self._quiet = asyncio.Event()
        self._quiet.set()
        self._listener: asyncio.Server | None = None
        self._sweep = periodic.PeriodicCall(
            interval_seconds=limits.sweep_seconds, function=self._check
        )
        self._buffer = read_buffer.ReadBuffer()
        self._held_body_bytes = 0
        self.stopping = False
        """Whether answers tell callers to connect anew, elsewhere."""

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._port

    @property
    def open_exchanges(self) -> int:
        """Requests that are being answered."""
        return len(self._tasks)

    @property
    def open_connections(self) -> int:
        """Connections of callers."""
        return len(self._connections)

    @property
    def reading_heads(self) -> int:
        """Connections on which part of a request's head has arrived."""
        return sum(made.reading_head for made in self._connections)

    async def start(self) -> None:
        """Listen; raises `OSError` when the address is taken."""
        loop = asyncio.get_running_loop()
        if self._listening is None:
            self._listening = _listen(self._host, self._port)
        self._listener = await loop.create_server(
            self._accept, sock=self._listening, backlog=_BACKLOG
        )
        self._port = self._listening.getsockname()[1]
        self._sweep.start()

    def set_limits(self, limits: limits.ServerLimits) -> None:
        """Bound the connections that are accepted from now on by `limits`."""
        self._limits = limits

    def disable_keep_alive(self) -> None:
        """Answer on, with each answer the last one of its connection.

        New connections are still taken: a balancer goes on sending some
        until it has seen that this process is not ready any more.
        """
        self.stopping = True

    def stop_accepting(self) -> None:
        """Take no new connection; running exchanges go on.

        What waits in the listener's queue is taken first: its callers have
        connected and may have sent a request, and closing the listener would
        reset them.
        """
        self.stopping = True
        if self._listener is not None:
            self._take_waiting()
            self._listener.close()
            self._listener = None
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def _take_waiting(self) -> None:
        """Accept the connections that are complete but not yet accepted."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = self._listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # No descriptor is left, for one; those that wait are reset.
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
            # Counts as an exchange until its connection counts by itself.
            self._quiet.clear()
            self.exchange_began(task)
            task.add_done_callback(self.exchange_ended)

    async def drain(self, timeout_seconds: float) -> int:
        """Wait until no exchange runs; return how many were left.

        Also waits for the connections of finished exchanges, which end after
        `stop_accepting`: a process that exits earlier cuts the part of an
        answer that a slow caller has not taken yet.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._quiet.wait()
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

    # What connections tell.

    def exchange_began(self, task: "asyncio.Task[None]") -> None:
        """Take note of a running exchange."""
        self._tasks.add(task)

    def exchange_ended(self, task: "asyncio.Task[None]") -> None:
        """Take note that an exchange is over."""
        self._tasks.discard(task)
        self._note_quiet()

    def connection_closed(
        self, connection: connection_owner.OwnedConnection
    ) -> None:
        """Forget a connection."""
        self._connections.discard(connection)
        self._note_quiet()

    def hold_bytes(self, size: int) -> bool:
        """Count bytes of bodies; return whether all are within the limit."""
        self._held_body_bytes += size
        return self._held_body_bytes <= self._limits.held_body_bytes

    def release_bytes(self, size: int) -> None:
        """Count bytes of bodies that are no longer held."""
        self._held_body_bytes -= size

    def connection_opened(
        self, connection: connection_owner.OwnedConnection
    ) -> bool:
        """Count a connection; return whether it is within the limit."""
        self._connections.add(connection)
        self._quiet.clear()
        over = len(self._connections) - self._limits.connections
        if over > _LINGERING_REFUSALS:
            connection.abort()
        elif over > 0:
            connection.refuse(rejections.too_many_connections(self._limits))
        return over <= 0

    def _note_quiet(self) -> None:
        if not self._tasks and not self._connections:
            self._quiet.set()

    def _accept(self) -> server_connection.ServerConnection:
        return server_connection.ServerConnection(
            server_limits=self._limits,
            handler=self._handler,
            clock=self._clock,
            owner=self,
            buffer=self._buffer,
        )

    def _check(self) -> None:
        for connection in tuple(self._connections):
            connection.check_deadlines()


def _listen(host: str, port: int) -> socket.socket:
    """Return a socket that listens; raises `OSError`.

    The protocol is named, since asyncio sends small writes of accepted
    connections at once only then.
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
