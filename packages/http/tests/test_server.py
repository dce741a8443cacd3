"""The server towards hostile, slow and leaving callers."""

import asyncio
import json
import socket

import pytest

from lagoonrun_core import errors as core_errors
from lagoonrun_http import errors, exchange, messages

_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"
_OK = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


async def echo(running: exchange.Exchange) -> None:
    """Answer with the body that came."""
    body = await running.read_body()
    await running.respond(status=200, headers=messages.Headers(), body=body)


def parse_error(answer: bytes) -> tuple[int, dict[str, str]]:
    """Return status and error of the one answer that `answer` holds."""
    head, _, body = answer.partition(b"\r\n\r\n")
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
async def test_bad_input_is_answered_with_an_error_and_a_close(
    make_server, connect, request_bytes, status
):
    server = await make_server(echo, header_bytes=1000, body_bytes=100)
    caller = await connect(server)
    caller.write(request_bytes)
    answer = await caller.read_to_end()
    answered, error = parse_error(answer)
    assert answered == status
    assert sorted(error) == ["field", "message", "step", "valid"]
    assert error["valid"]


async def test_no_smuggled_request_is_run(make_server, connect):
    """A balancer that goes by the length forwards two requests as one.

    The caller gives both lengths, and the chunked body ends early; what
    follows would run as a second request that the balancer never saw.
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
async def test_a_slow_request_is_answered_408(
    make_server, connect, clock, request_bytes, seconds, field
):
    """Slow-loris: a caller holds connections by sending next to nothing.

    The bytes stop in the midst of head or body; when the time for that part
    is over, the caller is told which part was slow, and is closed.
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
    answer = (await caller.read_to_end()).removeprefix(
        b"HTTP/1.1 100 Continue\r\n\r\n"
    )
    status, error = parse_error(answer)
    assert (status, error["field"]) == (408, field)


async def until(condition) -> None:
    """Wait, for a bounded time, until the condition holds."""
    async with asyncio.timeout(5):
        while True:
            if condition():
                return
            await asyncio.sleep(0)


async def test_an_idle_connection_is_closed_without_an_answer(
    make_server, connect, clock
):
    server = await make_server(echo, idle_seconds=7)
    caller = await connect(server)
    caller.write(_OK)
    await caller.read_until(b"\r\n\r\n")
    clock.advance(7)
    assert await caller.read_to_end() == b""


async def test_continue_is_sent_when_the_body_is_read_and_only_then(
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
    answer = await caller.read_to_end()
    assert answer.startswith(b"HTTP/1.1 401 ")
    assert b"Connection: close" in answer


async def test_pipelined_requests_are_answered_in_order(make_server, connect):
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


async def test_head_has_the_length_and_no_body(make_server, connect):
    async def handle(running):
        headers = messages.Headers(pairs=[("Content-Length", "5")])
        await running.start(messages.ResponseHead(status=200, headers=headers))
        await running.send(b"never")
        await running.finish()

    caller = await connect(await make_server(handle))
    caller.write(b"HEAD /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    answer = await caller.read_to_end()
    assert b"Content-Length: 5\r\n" in answer
    assert answer.endswith(b"\r\n\r\n")


@pytest.mark.parametrize(
    ("request_bytes", "expected"),
    [
        (_HEAD + b"Content-Length: 9\r\n\r\nab", errors.RequestRejectedError),
        (_OK, errors.CallerLeftError),
    ],
    ids=["body", "stream"],
)
async def test_a_caller_that_leaves_is_noticed(
    make_server, connect, request_bytes, expected
):
    """An answer no one waits for is wasted work on the engine.

    The caller disconnects while its body is awaited, or while the answer is
    streamed; the handler is told at once and can cancel the upstream.
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


def test_a_caller_that_left_is_a_connection_error():
    error = errors.CallerLeftError(
        step=core_errors.Step.CALLER_WRITE, peer="a:1", detail="gone"
    )
    assert isinstance(error, ConnectionError)
    assert str(error) == "caller-write with a:1: gone"


async def test_a_half_closed_caller_is_told_of_and_still_answered(
    make_server, connect
):
    """A caller may end its output and still read.

    Its end of input looks like a disconnect; the handler is told, but an
    answer that it gives all the same reaches the caller whole.
    """

    async def handle(running):
        await asyncio.wait_for(running.caller_left.wait(), 5)
        await echo(running)

    caller = await connect(await make_server(handle))
    caller.write(_HEAD + b"Content-Length: 2\r\n\r\nab")
    caller.writer.write_eof()
    assert (await caller.read_to_end()).endswith(b"\r\n\r\nab")


async def test_a_slow_caller_makes_the_handler_wait_and_is_reset(
    make_server, connect, clock
):
    """A caller that reads nothing must cost bounded memory and time.

    The answer is larger than all buffers; `send` stops, and once nothing was
    taken for the stall time the connection is reset.
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


async def test_bodies_together_are_bounded(make_server, connect):
    """Many large bodies at a time must not exhaust a small VM.

    One caller's body takes nearly all the room; another's, which alone would
    be accepted, is refused as not run until the first is answered.
    """
    answer_now = asyncio.Event()
    held = asyncio.Event()

    async def handle(running):
        await running.read_body()
        held.set()
        await answer_now.wait()
        await echo(running)

    server = await make_server(handle, held_body_bytes=10)
    first, second = await connect(server), await connect(server)
    first.write(_HEAD + b"Content-Length: 9\r\n\r\nabcdefghi")
    await asyncio.wait_for(held.wait(), 5)
    request = _HEAD + b"Content-Length: 2\r\n\r\nab"
    second.write(request)
    answer = await second.read_to_end()
    assert b"Retry-After: 1\r\n" in answer
    status, error = parse_error(answer)
    assert (status, error["field"]) == (503, "body")
    answer_now.set()
    await first.read_until(b"abcdefghi")
    third = await connect(server)
    third.write(request)
    assert (await third.read_until(b"ab")).startswith(b"HTTP/1.1 200 ")


async def test_connections_over_the_limit_are_answered_503(
    make_server, connect
):
    server = await make_server(echo, connections=1)
    first, second = await connect(server), await connect(server)
    status, error = parse_error(await second.read_to_end())
    assert (status, error["field"]) == (503, "connection")
    first.write(_OK)
    assert await first.read_until(b"\r\n\r\n")


@pytest.mark.parametrize("started", [False, True])
async def test_a_handler_that_fails_shows_no_traceback_and_no_whole_answer(
    make_server, connect, started
):
    """A fault of ours must not look like an answer.

    Before the head the caller gets a 500; after it the connection is reset,
    so that the cut body shows.
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
        answer = await caller.read_to_end()
        assert answer.startswith(b"HTTP/1.1 500 ")
        assert b"secret" not in answer
        assert b"Lagoonrun-Outcome: unknown" in answer


async def test_a_body_shorter_than_its_length_is_reset(make_server, connect):
    async def handle(running):
        headers = messages.Headers(pairs=[("Content-Length", "9")])
        await running.start(messages.ResponseHead(status=200, headers=headers))
        await running.send(b"part")
        await running.finish()

    caller = await connect(await make_server(handle))
    caller.write(_OK)
    with pytest.raises(ConnectionResetError):
        await caller.read_to_end()


async def test_drain_says_how_many_exchanges_were_left(make_server, connect):
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
