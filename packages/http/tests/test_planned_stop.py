"""Responses to callers that are connected when the server stops."""

import asyncio
import socket

import pytest

from lagoonrun_http import exchange, messages

_OK = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


async def send_empty_response(running: exchange.Exchange) -> None:
    """Respond with an empty body."""
    await running.read_body()
    await running.respond(status=200, headers=messages.Headers(), body=b"")


async def test_stop_serves_connections_in_the_listen_queue(make_server):
    """A caller connects and sends its request while the process is busy.

    The connection is established in the kernel and waits in the listen queue
    when the planned stop closes the listener. The close would reset it, so
    that the caller sees an error although nothing had failed.
    """
    server = await make_server(send_empty_response)
    waiting = [
        socket.create_connection(("127.0.0.1", server.port), timeout=5)
        for _ in range(20)
    ]
    for caller in waiting:
        caller.sendall(_OK)
    # The event loop has not run yet: none of them is accepted.
    server.stop_accepting()
    assert await server.drain(5.0) == 0
    for caller in waiting:
        with caller:
            got = b"".join(iter(lambda one=caller: one.recv(4096), b""))
        assert got.startswith(b"HTTP/1.1 200")
        assert b"Connection: close" in got


async def test_stop_serves_a_request_not_yet_read(make_server):
    """A kept connection is idle, and its next request arrives at the stop.

    The bytes are unread in the socket's buffer. A close at that moment resets
    the connection, and the caller gets no response.
    """
    server = await make_server(send_empty_response)
    kept = socket.create_connection(("127.0.0.1", server.port), timeout=5)
    # The first response shows that the connection is accepted.
    kept.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(kept, _OK)
    assert (await loop.sock_recv(kept, 4096)).startswith(b"HTTP/1.1 200")
    kept.setblocking(True)
    kept.sendall(_OK)
    server.stop_accepting()
    assert await server.drain(5.0) == 0
    with kept:
        got = b"".join(iter(lambda: kept.recv(4096), b""))
    assert got.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("stop", ["disable_keep_alive", "stop_accepting"])
async def test_stop_serves_a_request_after_a_response_begun_before(
    make_server, stop
):
    """Guards against a request that is read and dropped during a stop.

    The head of a stream was sent before the stop and announced no close. Its
    caller has the whole stream and sends the next request before the process,
    which is held up, gets on.
    """
    kept = socket.socket()
    begun, stopped = asyncio.Event(), asyncio.Event()

    async def stream(running: exchange.Exchange) -> None:
        if running.head.target == "/next":
            await send_empty_response(running)
            return
        await running.start(
            messages.ResponseHead(status=200, headers=messages.Headers())
        )
        begun.set()
        await stopped.wait()
        await running.finish()
        kept.sendall(_OK.replace(b"/a", b"/next"))

    server = await make_server(stream)
    with kept:
        kept.connect(("127.0.0.1", server.port))
        kept.sendall(_OK)
        await begun.wait()
        getattr(server, stop)()
        stopped.set()
        server.stop_accepting()
        assert await server.drain(5.0) == 0
        kept.settimeout(5)
        got = b"".join(iter(lambda: kept.recv(4096), b""))
    assert got.count(b"HTTP/1.1 200") == 2
    assert got.count(b"Connection: close") == 1
