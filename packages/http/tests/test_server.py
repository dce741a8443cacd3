"""The server with malicious, slow and disconnecting callers."""

import asyncio
import json
import socket

import pytest

from lagoonrun_core import errors as core_errors
from lagoonrun_http import errors, exchange, messages

_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"
_OK = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


async def echo(running: exchange.Exchange) -> None:
    """Respond with the body of the request."""
    body = await running.read_body()
    await running.respond(status=200, headers=messages.Headers(), body=body)


def parse_error(response: bytes) -> tuple[int, dict[str, str]]:
    """Return status and error of the single response in `response`."""
    head, _, body = response.partition(b"\r\n\r\n")
    assert b"Connection: close" in head
    assert b"Lagoonrun-Outcome: not-run" in head
    return int(head.split()[1]), json.loads(body)["error"]


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"\x16\x03\x01\x02\x00\x01\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400),
        (_HEAD + b"Bad Name: 1\r\n\r\n", 400),
        (_HEAD + b"Content-Length: -1\r\n\r\n", 400),
        (_HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
        (
            _HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\n",
            400,
        ),
        (
            b"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (_HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 501),
        (_HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (_HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400),
        (b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (_HEAD + b"A: " + b"a" * 2000 + b"\r\n\r\n", 431),
        (_HEAD + b"A: " + b"a" * 2000, 431),
        (_HEAD + b"Content-Length: 101\r\n\r\n", 413),
        (
            _HEAD + b"Content-Length: 101\r\nExpect: 100-continue\r\n\r\n",
            413,
        ),
        (
            _HEAD + b"Transfer-Encoding: chunked\r\n\r\n65\r\n" + b"a" * 101,
            413,
        ),
    ],
)
async def test_invalid_input_gets_an_error_response_and_a_close(
    make_server, connect, request_bytes, status
):
    server = await make_server(echo, header_bytes=1000, body_bytes=100)
    caller = await connect(server)
    caller.write(request_bytes)
    response = await caller.read_to_end()
    response_status, error = parse_error(response)
    assert response_status == status
    assert sorted(error) == ["field", "message", "step", "valid"]
    assert error["valid"]


async def test_smuggled_request_does_not_run(make_server, connect):
    """A load balancer that uses `Content-Length` forwards two requests as one.

    The caller sends both framing headers, and the chunked body ends early;
    the rest would run as a second request that the load balancer never saw.
    """
    targets = []

    async def handle(running):
        targets.append(running.head.target)
        await echo(running)

    caller = await connect(await make_server(handle))
    caller.write(
        _HEAD + b"Content-Length: 50\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
    )
    assert (await caller.read_to_end()).count(b"HTTP/1.1 ") == 1
    assert targets == []


@pytest.mark.parametrize(
    ("request_bytes", "seconds", "field"),
    [
        (b"GET /a HTTP/1.1\r\nHost:", 10, "head"),
        (_HEAD + b"Content-Length: 5\r\n\r\nab", 20, "body"),
        (
            _HEAD + b"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n",
            20,
            "body",
        ),
    ],
)
async def test_slow_request_gets_408(
    make_server, connect, clock, request_bytes, seconds, field
):
    """Slowloris: a caller keeps connections open by sending almost nothing.

    The bytes stop in the middle of head or body; when the timeout of that part
    expires, the caller gets a 408 that names the part, and is disconnected.
    """
    reading = asyncio.Event()

    async def handle(running):
        reading.set()
        await echo(running)

    server = await make_server(
        handle, header_read_seconds=10, body_read_seconds=20
    )
    caller = await connect(server)
    caller.write(request_bytes)
    if field == "body":
        await asyncio.wait_for(reading.wait(), 5)
    else:
        await until(lambda: server.open_connections == 1)
        await until(lambda: server.reading_heads == 1)
    clock.advance(seconds - 1)
    clock.advance(1)
    response = (await caller.read_to_end()).removeprefix(
        b"HTTP/1.1 100 Continue\r\n\r\n"
    )
    status, error = parse_error(response)
    assert (status, error["field"]) == (408, field)


async def until(condition) -> None:
    """Wait until the condition holds, with a timeout."""
    async with asyncio.timeout(5):
        while True:
            if condition():
                return
            await asyncio.sleep(0)


async def test_idle_connection_is_closed_without_a_response(
    make_server, connect, clock
):
    server = await make_server(echo, idle_seconds=7)
    caller = await connect(server)
    caller.write(_OK)
    await caller.read_until(b"\r\n\r\n")
    clock.advance(7)
    assert await caller.read_to_end() == b""


async def test_continue_is_sent_only_when_the_body_is_read(
    make_server, connect
):
    async def handle(running):
        if running.head.target == "/refused":
            await running.respond(
                status=401, headers=messages.Headers(), body=b""
            )
        else:
            await echo(running)

    server = await make_server(handle)
    rest = b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"
    caller = await connect(server)
    caller.write(_HEAD + rest)
    assert await caller.read_until(b"\r\n\r\n") == (
        b"HTTP/1.1 100 Continue\r\n\r\n"
    )
    caller.write(b"ab")
    assert (await caller.read_until(b"ab")).startswith(b"HTTP/1.1 200 OK")
    caller.write(_HEAD.replace(b"/a", b"/refused") + rest)
    response = await caller.read_to_end()
    assert response.startswith(b"HTTP/1.1 401 ")
    assert b"Connection: close" in response


async def test_pipelined_requests_get_responses_in_order(make_server, connect):
    async def handle(running):
        await running.respond(
            status=200,
            headers=messages.Headers(),
            body=running.head.target.encode(),
        )

    caller = await connect(await make_server(handle, pipelined_bytes=64))
    count = 20
    caller.write(
        b"".join(_OK.replace(b"/a", b"/%02d" % n) for n in range(count))
    )
    for n in range(count):
        assert await caller.read_until(b"/%02d" % n)


async def test_response_to_head_has_content_length_and_no_body(
    make_server, connect
):
    async def handle(running):
        headers = messages.Headers(pairs=[("Content-Length", "5")])
        await running.start(messages.ResponseHead(status=200, headers=headers))
        await running.send(b"never")
        await running.finish()

    caller = await connect(await make_server(handle))
    caller.write(b"HEAD /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    response = await caller.read_to_end()
    assert b"Content-Length: 5\r\n" in response
    assert response.endswith(b"\r\n\r\n")


@pytest.mark.parametrize(
    ("request_bytes", "expected"),
    [
        (_HEAD + b"Content-Length: 9\r\n\r\nab", errors.RequestRejectedError),
        (_OK, errors.CallerLeftError),
    ],
    ids=["body", "stream"],
)
async def test_handler_is_notified_of_a_disconnect(
    make_server, connect, request_bytes, expected
):
    """A response that nobody waits for is wasted work of the engine.

    The caller disconnects while its body is read, or while the response is
    streamed; the handler is notified at once and can cancel the upstream.
    """
    begun: asyncio.Future[exchange.Exchange] = asyncio.Future()
    outcome: asyncio.Future[type] = asyncio.Future()

    async def handle(running):
        begun.set_result(running)
        try:
            await running.read_body()
            await running.start(messages.ResponseHead(status=200))
            while True:
                await running.send(b"data: {}\n\n")
                await asyncio.sleep(0)
        except (
            errors.CallerLeftError,
            errors.RequestRejectedError,
        ) as error:
            outcome.set_result(type(error))
            raise

    caller = await connect(await make_server(handle))
    caller.write(request_bytes)
    running = await asyncio.wait_for(begun, 5)
    caller.writer.transport.abort()
    await asyncio.wait_for(running.caller_left.wait(), 5)
    assert await asyncio.wait_for(outcome, 5) is expected


def test_caller_left_error_is_a_connection_error():
    error = errors.CallerLeftError(
        step=core_errors.Step.CALLER_WRITE, peer="a:1", detail="gone"
    )
    assert isinstance(error, ConnectionError)
    assert str(error) == "caller-write with a:1: gone"


async def test_half_closed_caller_still_gets_its_response(make_server, connect):
    """A caller may close its write side and still read.

    The end of input looks like a disconnect; the handler is notified, but if
    it responds nevertheless, the whole response reaches the caller.
    """

    async def handle(running):
        await asyncio.wait_for(running.caller_left.wait(), 5)
        await echo(running)

    caller = await connect(await make_server(handle))
    caller.write(_HEAD + b"Content-Length: 2\r\n\r\nab")
    caller.writer.write_eof()
    assert (await caller.read_to_end()).endswith(b"\r\n\r\nab")


async def test_slow_caller_blocks_the_handler_and_is_reset(
    make_server, connect, clock
):
    """A caller that reads nothing must use bounded memory and time.

    The response is larger than all buffers; `send` blocks, and when nothing
    was read for the stall timeout the connection is reset.
    """
    blocked = asyncio.Event()
    ended = asyncio.Event()

    async def handle(running):
        await running.start(messages.ResponseHead(status=200))
        try:
            while True:
                sending = asyncio.ensure_future(running.send(b"a" * 65536))
                await asyncio.sleep(0)
                if not sending.done():
                    blocked.set()
                await sending
        except errors.CallerLeftError:
            ended.set()

    server = await make_server(handle, write_stall_seconds=9)
    caller = await connect(server)
    caller.writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
    )
    caller.writer.transport.pause_reading()
    caller.write(_OK)
    await asyncio.wait_for(blocked.wait(), 5)
    async with asyncio.timeout(5):
        while not ended.is_set():
            clock.advance(1)
            await asyncio.sleep(0.005)
    await until(lambda: server.open_connections == 0)


async def test_total_size_of_held_bodies_is_limited(make_server, connect):
    """Many large bodies at a time must not exhaust the memory of a small VM.

    One caller's body uses nearly the whole limit; another's, which alone would
    be accepted, is rejected as not run until the first has its response.
    """
    respond_now = asyncio.Event()
    held = asyncio.Event()

    async def handle(running):
        await running.read_body()
        held.set()
        await respond_now.wait()
        await echo(running)

    server = await make_server(handle, held_body_bytes=10)
    first, second = await connect(server), await connect(server)
    first.write(_HEAD + b"Content-Length: 9\r\n\r\nabcdefghi")
    await asyncio.wait_for(held.wait(), 5)
    request = _HEAD + b"Content-Length: 2\r\n\r\nab"
    second.write(request)
    response = await second.read_to_end()
    assert b"Retry-After: 1\r\n" in response
    status, error = parse_error(response)
    assert (status, error["field"]) == (503, "body")
    respond_now.set()
    await first.read_until(b"abcdefghi")
    third = await connect(server)
    third.write(request)
    assert (await third.read_until(b"ab")).startswith(b"HTTP/1.1 200 ")


async def test_connections_over_the_limit_get_503(make_server, connect):
    server = await make_server(echo, connections=1)
    first, second = await connect(server), await connect(server)
    status, error = parse_error(await second.read_to_end())
    assert (status, error["field"]) == (503, "connection")
    first.write(_OK)
    assert await first.read_until(b"\r\n\r\n")


@pytest.mark.parametrize("started", [False, True])
async def test_failing_handler_sends_no_traceback_and_no_whole_response(
    make_server, connect, started
):
    """An exception in the handler must not look like a whole response.

    Before the head the caller gets a 500; after it the connection is reset,
    so that the caller detects the truncated body.
    """

    async def handle(running):
        if started:
            await running.start(messages.ResponseHead(status=200))
            await running.send(b"part")
        raise ValueError("secret")

    caller = await connect(await make_server(handle))
    caller.write(_OK)
    if started:
        with pytest.raises(ConnectionResetError):
            await caller.read_to_end()
    else:
        response = await caller.read_to_end()
        assert response.startswith(b"HTTP/1.1 500 ")
        assert b"secret" not in response
        assert b"Lagoonrun-Outcome: unknown" in response


async def test_body_shorter_than_content_length_is_reset(make_server, connect):
    async def handle(running):
        headers = messages.Headers(pairs=[("Content-Length", "9")])
        await running.start(messages.ResponseHead(status=200, headers=headers))
        await running.send(b"part")
        await running.finish()

    caller = await connect(await make_server(handle))
    caller.write(_OK)
    with pytest.raises(ConnectionResetError):
        await caller.read_to_end()


async def test_drain_returns_the_number_of_running_exchanges(
    make_server, connect
):
    begun = asyncio.Event()

    async def handle(running):
        begun.set()
        await asyncio.Event().wait()

    server = await make_server(handle)
    caller = await connect(server)
    caller.write(_OK)
    await asyncio.wait_for(begun.wait(), 5)
    server.stop_accepting()
    assert await server.drain(0.01) == 1
    assert server.open_exchanges == 1
    await server.close()
    assert server.open_exchanges == 0


async def test_small_writes_are_not_delayed(make_server, connect):
    seen: asyncio.Future[int] = asyncio.Future()

    async def handle(running):
        sock = running._channel._transport.get_extra_info("socket")
        seen.set_result(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        await echo(running)

    caller = await connect(await make_server(handle))
    caller.write(_OK)
    assert await asyncio.wait_for(seen, 5)
