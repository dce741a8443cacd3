"""What callers get that have connected when the server stops."""

import asyncio
import socket

from lagoonrun_http import exchange, messages

_OK = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


async def answer(running: exchange.Exchange) -> None:
    """Answer with nothing."""
    await running.read_body()
    await running.respond(status=200, headers=messages.Headers(), body=b"")


async def test_a_stop_answers_what_waits_in_the_listeners_queue(make_server):
    """A caller connects and sends its request while the process is busy.

    The connection is complete in the kernel and waits to be accepted when
    the planned stop closes the listener. The close would reset it: the caller
    sees a broken connection although nothing had gone wrong.
    """
    server = await make_server(answer)
    waiting = [
        socket.create_connection(("127.0.0.1", server.port), timeout=5)
        for _ in range(20)
    ]
    for caller in waiting:
        caller.sendall(_OK)
    # No turn of the event loop has passed: none of them is accepted yet.
    server.stop_accepting()
    assert await server.drain(5.0) == 0
    for caller in waiting:
        with caller:
            got = b"".join(iter(lambda one=caller: one.recv(4096), b""))
        assert got.startswith(b"HTTP/1.1 200")
        assert b"Connection: close" in got


async def test_a_stop_answers_a_request_that_lies_unread(make_server):
    """A kept connection is idle, and its next request arrives at the stop.

    The bytes lie in the socket's buffer, unread. A close at that moment
    resets the connection, and the caller gets no answer.
    """
    server = await make_server(answer)
    kept = socket.create_connection(("127.0.0.1", server.port), timeout=5)
    # The first answer shows that the connection is accepted.
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
