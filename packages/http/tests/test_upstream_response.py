"""A response's body handed over piece by piece, in the moment it is read."""

import asyncio

import pytest

from lagoonrun_http import messages, upstream_messages, upstream_response


class Connection:
    """Counts what a response asks of its connection."""

    def __init__(self):
        self.resumed = 0
        self.aborted = False

    def resume_reading(self):
        """Count."""
        self.resumed += 1

    def abort(self):
        """Note."""
        self.aborted = True


class Sink:
    """Takes pieces until it is full."""

    def __init__(self, room=100):
        self.room = room
        self.taken = []

    def take(self, data):
        """Take a piece."""
        self.taken.append(data)
        return len(self.taken) < self.room


@pytest.fixture
def response():
    return upstream_response.UpstreamResponse(
        head=messages.ResponseHead(status=200, headers=messages.Headers()),
        connection=Connection(),
    )


async def pumping(response, sink):
    """Return a task that pumps and waits for the next piece."""
    task = asyncio.create_task(response.pump(sink))
    await asyncio.sleep(0)
    return task


async def test_pieces_are_taken_as_they_are_read(response):
    sink = Sink()
    response.take(b"before")
    task = await pumping(response, sink)
    response.take(b"a")
    assert sink.taken == [b"before", b"a"]
    assert response.held_bytes == 0
    response.end()
    assert await task is upstream_messages.END_OF_BODY


async def test_failure_comes_after_what_was_read(response):
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
    assert sink.taken == [b"a"]


async def test_full_sink_has_the_rest_held(response):
    """A caller reads slowly: its upstream's bytes must not pile up unseen."""
    sink = Sink(room=2)
    task = await pumping(response, sink)
    for piece in (b"a", b"b", b"c"):
        response.take(piece)
    assert await task is upstream_response.SinkFull.SINK_FULL
    assert sink.taken == [b"a", b"b"]
    assert response.held_bytes == 1
    response.end()
    sink.room = 100
    assert await response.pump(sink) is upstream_messages.END_OF_BODY
    assert sink.taken == [b"a", b"b", b"c"]


async def test_what_a_sink_raises_ends_the_pump_alone(response):
    """The caller has left; the connection's other callbacks must go on."""

    class Broken:
        def take(self, data):
            raise ConnectionError(data)

    task = await pumping(response, Broken())
    response.take(b"a")
    with pytest.raises(ConnectionError):
        await task
    response.take(b"b")
    assert response.held_bytes == 1


async def test_pump_that_is_given_up_holds_what_comes(response):
    sink = Sink()
    task = await pumping(response, sink)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    response.take(b"a")
    assert sink.taken == []
    assert await response.next_chunk() == b"a"
