"""Fixtures: a server, a client and raw-socket fakes of both peers."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_http import (
    exchange,
    limits,
    messages,
    server,
    upstream,
    upstream_messages,
)

WAIT_SECONDS = 5.0
SWEEP_SECONDS = 0.005

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Handle = Callable[[exchange.Exchange], Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class FunctionHandler:
    """Exchange handler that calls a function."""

    function: Handle

    async def handle(self, exchange: exchange.Exchange) -> None:
        """Call the function."""
        await self.function(exchange)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RawCaller:
    """A caller that sends arbitrary bytes."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def write(self, data: bytes) -> None:
        """Send bytes unchanged."""
        self.writer.write(data)

    async def read_until(self, separator: bytes) -> bytes:
        """Read up to and including a separator, with a timeout."""
        async with asyncio.timeout(WAIT_SECONDS):
            return await self.reader.readuntil(separator)

    async def read_to_end(self) -> bytes:
        """Read until the server ends its output, with a timeout."""
        async with asyncio.timeout(WAIT_SECONDS):
            return await self.reader.read(-1)


class FakeUpstream:
    """A raw-socket upstream that runs one script per connection."""

    def __init__(self, *, script: Script) -> None:
        self._script = script
        self.connections = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.port = 0

    async def start(self) -> None:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._run, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and end the scripts."""
        self._server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.tasks.append(asyncio.current_task())
        try:
            await self._script(reader, writer)
        finally:
            writer.close()


@pytest.fixture
def clock() -> clocks.ManualClock:
    return clocks.ManualClock()


@pytest.fixture
async def make_server(
    clock: clocks.ManualClock,
) -> AsyncIterator[Callable[..., Awaitable[server.HttpServer]]]:
    """Start servers for a handler function; they are closed at the end."""
    servers = []

    async def make(handle: Handle, **overrides: float) -> server.HttpServer:
        made = server.HttpServer(
            host="127.0.0.1",
            port=0,
            limits=limits.ServerLimits(
                sweep_seconds=SWEEP_SECONDS, **overrides
            ),
            handler=FunctionHandler(function=handle),
            clock=clock,
        )
        await made.start()
        servers.append(made)
        return made

    yield make
    for made in servers:
        await made.close()


@pytest.fixture
async def connect() -> AsyncIterator[Callable[..., Awaitable[RawCaller]]]:
    """Open raw connections to a server."""
    callers = []

    async def make(to: server.HttpServer) -> RawCaller:
        reader, writer = await asyncio.open_connection("127.0.0.1", to.port)
        callers.append(RawCaller(reader=reader, writer=writer))
        return callers[-1]

    yield make
    for caller in callers:
        caller.writer.transport.abort()


@pytest.fixture
async def make_upstream() -> AsyncIterator[
    Callable[..., Awaitable[FakeUpstream]]
]:
    """Start fake upstreams; they are closed at the end."""
    fakes = []

    async def make(script: Script) -> FakeUpstream:
        fake = FakeUpstream(script=script)
        await fake.start()
        fakes.append(fake)
        return fake

    yield make
    for fake in fakes:
        await fake.close()


@pytest.fixture
async def make_client(
    clock: clocks.ManualClock,
) -> AsyncIterator[Callable[..., upstream.UpstreamClient]]:
    """Make upstream clients; they are closed at the end."""
    clients = []

    def make(**overrides: float) -> upstream.UpstreamClient:
        made = upstream.UpstreamClient(
            limits=limits.ClientLimits(
                sweep_seconds=SWEEP_SECONDS, **overrides
            ),
            clock=clock,
        )
        clients.append(made)
        return made

    yield make
    for made in clients:
        await made.close()


@pytest.fixture
def make_request() -> Callable[..., upstream_messages.UpstreamRequest]:
    """Make requests to an upstream."""

    def make(
        *, request_id: str = "r1", method: str = "POST", body: bytes = b"{}"
    ) -> upstream_messages.UpstreamRequest:
        return upstream_messages.UpstreamRequest(
            head=messages.RequestHead(method=method, target="/v1"),
            body=body,
            request_id=types.RequestId(request_id),
        )

    return make
