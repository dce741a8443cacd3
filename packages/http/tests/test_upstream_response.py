"""A response's body passed to a sink in the callback that reads it."""

import asyncio

import pytest

from lagoonrun_http import (
    held_bytes,
    messages,
    upstream_messages,
    upstream_response,
)


class Connection:
    """Records the calls of a response to its connection."""

    def __init__(self):
        self.resumed = 0
        self.aborted = False

    def resume_reading(self):
        """Count the call."""
        self.resumed += 1

    def abort(self):
        """Record the call."""
        self.aborted = True


class Sink:
    """Accepts a number of chunks until it is full."""

    def __init__(self, capacity=100):
        self.capacity = capacity
        self.chunks = []

    def take(self, data):
        """Record a chunk; return whether another is accepted."""
        self.chunks.append(data)
        return len(self.chunks) < self.capacity


@pytest.fixture
def response():
    return upstream_response.UpstreamResponse(
        head=messages.ResponseHead(status=200, headers=messages.Headers()),
        connection=Connection(),
        held=held_bytes.HeldBytes(limit_bytes=1 << 20, small_bytes=1 << 10),
    )


async def pumping(response, sink):
    """Return a task that pumps and waits for the next chunk."""
    task = asyncio.create_task(response.pump(sink))
    await asyncio.sleep(0)
    return task


async def test_chunks_are_passed_to_the_sink_as_they_are_read(response):
    sink = Sink()
    response.take(b"before")
    task = await pumping(response, sink)
    response.take(b"a")
    assert sink.chunks == [b"before", b"a"]
    assert response.held_bytes == 0
    response.end()
    assert await task is upstream_messages.END_OF_BODY


async def test_failure_is_returned_after_the_chunks_read_before(response):
    failure = upstream_messages.UpstreamFailure(
        stage=upstream_messages.FailureStage.READ_BODY,
        write_attempted=True,
        detail="cut",
        peer="",
    )
    sink = Sink()
    task = await pumping(response, sink)
    response.take(b"a")
    response.fail(failure)
    assert await task is failure
    assert sink.chunks == [b"a"]


async def test_chunks_after_a_full_sink_are_held(response):
    """A caller reads slowly: bytes of its upstream must be held, not lost."""
    sink = Sink(capacity=2)
    task = await pumping(response, sink)
    for piece in (b"a", b"b", b"c"):
        response.take(piece)
    assert await task is upstream_response.SinkFull.SINK_FULL
    assert sink.chunks == [b"a", b"b"]
    assert response.held_bytes == 1
    response.end()
    sink.capacity = 100
    assert await response.pump(sink) is upstream_messages.END_OF_BODY
    assert sink.chunks == [b"a", b"b", b"c"]


async def test_exception_of_the_sink_ends_only_the_pump(response):
    """The caller disconnected; the connection's other callbacks must continue.

    The exception of the sink is raised in the pump only.
    """

    class Broken:
        def take(self, data):
            raise ConnectionError(data)

    task = await pumping(response, Broken())
    response.take(b"a")
    with pytest.raises(ConnectionError):
        await task
    response.take(b"b")
    assert response.held_bytes == 1


async def test_chunks_after_a_cancelled_pump_are_held(response):
    sink = Sink()
    task = await pumping(response, sink)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    response.take(b"a")
    assert sink.chunks == []
    assert await response.next_chunk() == b"a"
