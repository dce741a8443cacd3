"""Random bytes in random chunks: the server responds or closes."""

import asyncio
import re

import hypothesis
from hypothesis import strategies

from lagoonrun_core import clock as clocks
from lagoonrun_http import limits, messages, server

_FRAGMENTS = strategies.sampled_from(
    [
        b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
        b"POST /b HTTP/1.1\r\nHost: x\r\n",
        b"HEAD /c HTTP/1.0\r\n\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: 99999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Expect: 100-continue\r\n",
        b"Connection: close\r\n",
        b"\r\n",
        b"abc",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"A: " + b"a" * 600 + b"\r\n",
    ]
)
_STREAMS = strategies.lists(
    strategies.one_of(_FRAGMENTS, strategies.binary(max_size=12)), max_size=9
).map(b"".join)
_SPLIT_POINTS = strategies.lists(strategies.integers(0, 400), max_size=5)


class _Recorder:
    """Echoes bodies and records the requests."""

    def __init__(self):
        self.requests = []

    async def handle(self, exchange):
        body = await exchange.read_body()
        self.requests.append((exchange.head.method, exchange.head.target, body))
        await exchange.respond(
            status=200, headers=messages.Headers(), body=body
        )


def _statuses(response):
    return re.findall(rb"HTTP/1\.1 (\d+) ", response)


async def _feed(chunks):
    faults = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: faults.append(context)
    )
    recorder = _Recorder()
    made = server.HttpServer(
        host="127.0.0.1",
        port=0,
        limits=limits.ServerLimits(header_bytes=500, body_bytes=1000),
        handler=recorder,
        clock=clocks.ManualClock(),
    )
    await made.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
    for chunk in chunks:
        writer.write(chunk)
        await asyncio.sleep(0)
    if writer.can_write_eof():
        writer.write_eof()
    async with asyncio.timeout(5):
        response = await reader.read(-1)
    writer.close()
    made.stop_accepting()
    assert await made.drain(5) == 0
    assert made.open_connections == 0
    await made.close()
    assert faults == []
    return recorder.requests, response


_PIPELINED = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n" * 3


def test_last_of_several_pipelined_requests_gets_its_response():
    """A caller sends three pipelined requests and ends its output.

    All three ran; the end of input, read together with the last one, closed
    the connection before its response was written.
    """
    requests, response = asyncio.run(_feed([_PIPELINED]))
    assert len(requests) == 3
    assert _statuses(response) == [b"200"] * 3


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(stream=_STREAMS, split_points=_SPLIT_POINTS)
@hypothesis.example(stream=_PIPELINED, split_points=[1])
def test_result_does_not_depend_on_how_the_input_is_split(stream, split_points):
    """A caller may send any bytes, which the network may split anywhere.

    The server must neither hang nor crash, and the same bytes must run the
    same requests however they are split.
    """
    offsets = sorted({0, *(cut % (len(stream) + 1) for cut in split_points)})
    chunks = [
        stream[start:end]
        for start, end in zip(offsets, [*offsets[1:], len(stream)], strict=True)
    ]
    cut_requests, cut_response = asyncio.run(_feed(chunks))
    requests, response = asyncio.run(_feed([stream]))
    assert cut_requests == requests
    assert _statuses(cut_response) == _statuses(response)
    assert response == b"" or response.startswith(b"HTTP/1.1 ")
