"""A server with keep-alive disabled, and sockets that listen before it."""

import asyncio
import dataclasses
import socket

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_http import limits, messages, server

WAIT_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Echo:
    """Responds to each request with its target."""

    async def handle(self, exchange):
        """Respond to one request."""
        await exchange.read_body()
        await exchange.respond(
            status=200,
            headers=messages.Headers(),
            body=exchange.head.target.encode(),
        )


def make_server(listening=None, **bounds):
    return server.HttpServer(
        host="127.0.0.1",
        port=0,
        limits=limits.ServerLimits(**bounds),
        handler=Echo(),
        clock=clocks.SystemClock(),
        listening=listening,
    )


async def ask(reader, writer, target="/x"):
    writer.write(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    async with asyncio.timeout(WAIT_SECONDS):
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(target))
    return head.lower()


async def test_without_keep_alive_connections_end_and_new_ones_are_accepted():
    """An entry VM is about to stop; the load balancer has not noticed yet.

    Kept connections end with their next response, so that their callers move
    to other entry VMs; callers that still connect are served.
    """
    made = make_server()
    await made.start()
    kept = await asyncio.open_connection("127.0.0.1", made.port)
    assert b"connection: close" not in await ask(*kept)
    made.disable_keep_alive()
    assert b"connection: close" in await ask(*kept)
    new = await asyncio.open_connection("127.0.0.1", made.port)
    assert b"connection: close" in await ask(*new)
    await made.close()


async def test_callers_wait_in_the_queue_of_a_socket_opened_before_the_server():
    """The process listens on its port while the program is still loading."""
    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    listening.listen(16)
    listening.setblocking(False)
    port = listening.getsockname()[1]
    early = await asyncio.open_connection("127.0.0.1", port)
    made = make_server(listening)
    await made.start()
    assert b" 200 " in await ask(*early)
    assert made.port == port
    await made.close()


LONG_HEAD = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 200 + b"\r\n\r\n"
BODY = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n" + b"x" * 200


@pytest.mark.parametrize(
    ("before", "after", "request_bytes", "status"),
    [
        ({"body_bytes": 100}, {}, BODY, b"200"),
        ({}, {"body_bytes": 100}, BODY, b"413"),
        ({"header_bytes": 100}, {}, LONG_HEAD, b"200"),
        ({}, {"header_bytes": 100}, LONG_HEAD, b"431"),
    ],
)
async def test_changed_limits_apply_to_open_connections(
    before, after, request_bytes, status
):
    """Guards against rejections by limits that are no longer declared."""
    made = make_server()
    made.set_limits(limits.ServerLimits(**before))
    await made.start()
    caller = await asyncio.open_connection("127.0.0.1", made.port)
    assert b" 200 " in await ask(*caller)
    made.set_limits(limits.ServerLimits(**after))
    reader, writer = caller
    writer.write(request_bytes)
    async with asyncio.timeout(WAIT_SECONDS):
        head = await reader.readuntil(b"\r\n\r\n")
    assert head.split(b" ")[1] == status
    await made.close()


async def test_changed_limits_apply_to_new_connections():
    made = make_server()
    await made.start()
    made.set_limits(limits.ServerLimits(header_bytes=100))
    reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
    writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 200 + b"\r\n\r\n")
    async with asyncio.timeout(WAIT_SECONDS):
        head = await reader.readuntil(b"\r\n\r\n")
    assert b" 431 " in head
    await made.close()
