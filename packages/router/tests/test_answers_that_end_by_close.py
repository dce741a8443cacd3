"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio

import pytest

from lagoonrun_http import tcp_reset
from lagoonrun_standins.router_samples import (
    HOST,
    make_route,
    make_stream_route,
)

EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"


class RawUpstream:
    """Sends a body without a length, then closes or resets the connection."""

    def __init__(self, body, *, content_type, resets=False):
        self._body = body
        self._content_type = content_type
        self._resets = resets
        self._server = None

    async def start(self):
        """Start listening; return the port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening."""
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        id = head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0]
        writer.write(
            b"HTTP/1.1 200 OK\r\nMark: genuine\r\nX-Request-Id: "
            + id
            + b"\r\nContent-Type: "
            + self._content_type
            + b"\r\n\r\n"
            + self._body
        )
        await writer.drain()
        # The bytes arrive before the reset.
        await asyncio.sleep(0.05)
        if self._resets:
            tcp_reset.reset(writer.transport)
        else:
            writer.close()


@pytest.fixture
async def answer_of(world_of):
    """Return a function that has an upstream answer one request."""
    started = []

    async def answer(route, body, **options):
        upstream = RawUpstream(body, **options)
        port = await upstream.start()
        started.append(upstream)
        world = await world_of()
        await world.declare(route, revision=2)
        await world.register_at("u-1", port)
        await world.ready()
        return await world.ask("/lookups/1")

    yield answer
    for upstream in started:
        await upstream.close()


async def test_plain_answer_that_ends_by_close_is_whole(answer_of):
    got = await answer_of(make_route(), b"the body", content_type=b"text/plain")
    assert (got.status, got.body, got.whole) == (200, b"the body", True)


async def test_plain_answer_that_is_reset_is_no_answer(answer_of):
    """Guards against a part of an answer that looks like all of it."""
    got = await answer_of(
        make_route(), b"the bo", content_type=b"text/plain", resets=True
    )
    assert got.status == 502


async def test_stream_that_ends_between_events_is_whole(answer_of):
    got = await answer_of(
        make_stream_route(), EVENTS, content_type=b"text/event-stream"
    )
    assert (got.status, got.body, got.whole) == (200, EVENTS, True)


@pytest.mark.parametrize(
    ("body", "resets"), [(EVENTS[:-3], False), (EVENTS, True)]
)
async def test_stream_that_is_broken_off_does_not_look_whole(
    answer_of, body, resets
):
    """Guards against a stream that ends within an event, or by a reset."""
    got = await answer_of(
        make_stream_route(),
        body,
        content_type=b"text/event-stream",
        resets=resets,
    )
    assert not got.whole
