"""A small HTTP/1.1 server based on `h11`, shared by the stand-ins."""

import asyncio
import dataclasses
import json
import logging
from collections.abc import Awaitable, Iterable, Mapping
from typing import Any, Protocol

import h11

_LOGGER = logging.getLogger(__name__)
_MAXIMUM_HEADER_BYTES = 65536
_BACKLOG = 1024

Header = tuple[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """One complete request.

    Parameters
    ----------
    path
        Request target without the query.
    headers
        Values by lower-case name; the last of equal names is kept.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body, decoded from JSON.

        Raises
        ------
        ValueError
            If the body is not JSON.
        """
        return json.loads(self.body)


class Handler(Protocol):
    """Called once for each request."""

    async def __call__(self, request: Request, exchange: "Exchange") -> None:
        """Respond to `request` through `exchange`, or drop the connection."""


class Exchange:
    """The response side of one request.

    Writes never block; `flush` does. Once the client has disconnected, they
    are ignored.

    Attributes
    ----------
    gone
        Set when the client closes the connection.
    """

    def __init__(
        self, *, connection: h11.Connection, transport: asyncio.Transport
    ) -> None:
        self.gone = asyncio.Event()
        self._connection = connection
        self._transport = transport
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def started(self) -> bool:
        """Whether the status line was written."""
        return self._connection.our_state is not h11.SEND_RESPONSE

    def start(self, status: int, headers: Iterable[Header] = ()) -> None:
        """Write the status line and the headers."""
        self._write(
            h11.Response(status_code=status, headers=list(headers), reason=b"")
        )

    def send(self, data: bytes) -> None:
        """Write a part of the body."""
        self._write(h11.Data(data=data))

    def finish(self) -> None:
        """End the body."""
        self._write(h11.EndOfMessage())

    def respond(
        self, status: int, body: bytes = b"", headers: Iterable[Header] = ()
    ) -> None:
        """Write a complete response."""
        length = ("Content-Length", str(len(body)))
        self.start(status, [*headers, length])
        self.send(body)
        self.finish()

    def respond_json(
        self, status: int, value: Any, headers: Iterable[Header] = ()
    ) -> None:
        """Write a complete response with a JSON body."""
        content_type = ("Content-Type", "application/json")
        body = json.dumps(value).encode()
        self.respond(status, body, [*headers, content_type])

    def write_unsolicited(self, data: bytes) -> None:
        """Write bytes outside the protocol, to simulate a faulty server."""
        if not self._transport.is_closing():
            self._transport.write(data)

    async def flush(self) -> None:
        """Wait until the transport's buffer accepts more data."""
        await self._writable.wait()

    async def wait_unless_gone(self, waiting: Awaitable[Any]) -> bool:
        """Await `waiting`, but cancel it when the client disconnects.

        Returns
        -------
        bool
            Whether `waiting` completed.
        """
        task = asyncio.ensure_future(waiting)
        gone = asyncio.create_task(self.gone.wait())
        try:
            await asyncio.wait(
                {task, gone}, return_when=asyncio.FIRST_COMPLETED
            )
            return task.done()
        finally:
            task.cancel()
            gone.cancel()

    def drop(self) -> None:
        """Abort the connection without ending the response."""
        self._transport.abort()

    def set_writable(self, writable: bool) -> None:
        """Set whether `flush` may return, by the transport's flow control."""
        if writable:
            self._writable.set()
        else:
            self._writable.clear()

    def _write(self, event: h11.Event) -> None:
        if self.gone.is_set() or self._transport.is_closing():
            return
        data = self._connection.send(event)
        if data:
            self._transport.write(data)


class HttpServer:
    """Listens on one address and calls a handler for each request.

    Parameters
    ----------
    handler
        Responds to the requests.
    host
        IP address to listen on.
    port
        Port to listen on; 0 lets the operating system choose.
    """

    def __init__(
        self, *, handler: Handler, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        self.handler = handler
        self.host = host
        self.port = port
        self.aborts_left = 0
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    async def start(self) -> None:
        """Start listening and set `port` to the actual port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(server=self),
            self.host,
            self.port,
            backlog=_BACKLOG,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening, abort all connections and cancel their handlers."""
        if self._server is None:
            return
        self._server.close()
        tasks = [c.handler_task for c in self._connections if c.handler_task]
        self.drop_all()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._server = None

    def drop_all(self, *, sparing: Exchange | None = None) -> None:
        """Abort every connection except that of `sparing`."""
        for connection in list(self._connections):
            if sparing is None or connection.exchange is not sparing:
                connection.abort()

    def abort_next_at_first_byte(self, count: int) -> None:
        """Abort the next `count` requests when their first byte arrives."""
        self.aborts_left = count

    def add(self, connection: "_Connection") -> None:
        """Register an open connection."""
        self._connections.add(connection)

    def discard(self, connection: "_Connection") -> None:
        """Unregister a closed connection."""
        self._connections.discard(connection)


class _Connection(asyncio.Protocol):
    """One accepted connection: parses requests, runs one handler at a time."""

    def __init__(self, *, server: HttpServer) -> None:
        self._server = server
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=_MAXIMUM_HEADER_BYTES
        )
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._request_begun = False
        self.exchange: Exchange | None = None
        self.handler_task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.discard(self)
        self._on_client_gone()

    def eof_received(self) -> bool:
        self._on_client_gone()
        return False

    def pause_writing(self) -> None:
        if self.exchange:
            self.exchange.set_writable(False)

    def resume_writing(self) -> None:
        if self.exchange:
            self.exchange.set_writable(True)

    def data_received(self, data: bytes) -> None:
        if not self._request_begun and self._server.aborts_left:
            self._server.aborts_left -= 1
            self.abort()
            return
        self._request_begun = True
        self._h11.receive_data(data)
        self._read_events()

    def abort(self) -> None:
        """Close the connection and discard unsent data."""
        self._transport.abort()

    def _on_client_gone(self) -> None:
        if self.exchange:
            self.exchange.gone.set()
            self.exchange.set_writable(True)

    def _read_events(self) -> None:
        try:
            while self._on_event(self._h11.next_event()):
                pass
        except h11.RemoteProtocolError:
            self.abort()

    def _on_event(self, event: Any) -> bool:
        if isinstance(event, h11.Request):
            self._head = event
            if self._h11.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                self._transport.write(self._h11.send(interim))
            return True
        if isinstance(event, h11.Data):
            self._body.append(bytes(event.data))
            return True
        if isinstance(event, h11.EndOfMessage):
            self._start_handler()
        elif isinstance(event, h11.ConnectionClosed):
            self._transport.close()
        return False

    def _start_handler(self) -> None:
        assert self._head is not None
        path, _, query = self._head.target.decode("latin-1").partition("?")
        request = Request(
            method=self._head.method.decode(),
            path=path,
            query=query,
            headers={
                name.decode(): value.decode("latin-1")
                for name, value in self._head.headers
            },
            body=b"".join(self._body),
        )
        self._body = []
        self.exchange = Exchange(
            connection=self._h11, transport=self._transport
        )
        self.handler_task = asyncio.create_task(
            self._handle(request, self.exchange)
        )

    async def _handle(self, request: Request, exchange: Exchange) -> None:
        try:
            await self._server.handler(request, exchange)
        except Exception:
            _LOGGER.exception("handler failed: %s", request.path)
            if exchange.started:
                exchange.drop()
            else:
                exchange.respond_json(500, {"error": "handler failed"})
        self._finish()

    def _finish(self) -> None:
        self.exchange = None
        self.handler_task = None
        self._request_begun = False
        if self._transport.is_closing():
            return
        done = (self._h11.our_state, self._h11.their_state)
        if done != (h11.DONE, h11.DONE):
            self._transport.close()
            return
        self._h11.start_next_cycle()
        self._read_events()
