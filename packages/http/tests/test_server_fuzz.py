"""Random bytes in random pieces: the server answers or closes."""

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
_CUTS = strategies.lists(strategies.integers(0, 400), max_size=5)


class _Recorder:
    """Echoes bodies and keeps what it was asked."""

    def __init__(self):
        self.requests = []

    async def handle(self, exchange):
        body = await exchange.read_body()
        self.requests.append((exchange.head.method, exchange.head.target, body))
        await exchange.respond(
            status=200, headers=messages.Headers(), body=body
        )


def _statuses(answer):
    return re.findall(rb"HTTP/1\.1 (\d+) ", answer)


async def _feed(pieces):
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
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0)
    if writer.can_write_eof():
        writer.write_eof()
    async with asyncio.timeout(5):
        answer = await reader.read(-1)
    writer.close()
    made.stop_accepting()
    assert await made.drain(5) == 0
    assert made.open_connections == 0
    await made.close()
    assert faults == []
    return recorder.requests, answer


_PIPELINED = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n" * 3


def test_last_of_several_requests_in_one_piece_is_answered():
    """A caller sends three requests at once and ends its output.

    All three were run; the end of input, read together with the last one,
    closed the connection before its answer was written.
    """
    requests, answer = asyncio.run(_feed([_PIPELINED]))
    assert len(requests) == 3
    assert _statuses(answer) == [b"200"] * 3


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(stream=_STREAMS, cuts=_CUTS)
@hypothesis.example(stream=_PIPELINED, cuts=[1])
def test_any_bytes_are_answered_or_closed_alike_in_any_pieces(stream, cuts):
    """A caller may send anything, cut anywhere by the network.

    The server must neither hang nor crash, and the same bytes must run the
    same requests however they are cut.
    """
    bounds = sorted({0, *(cut % (len(stream) + 1) for cut in cuts)})
    pieces = [
        stream[start:end]
        for start, end in zip(bounds, [*bounds[1:], len(stream)], strict=True)
    ]
    cut_requests, cut_answer = asyncio.run(_feed(pieces))
    requests, answer = asyncio.run(_feed([stream]))
    assert cut_requests == requests
    assert _statuses(cut_answer) == _statuses(answer)
    assert answer == b"" or answer.startswith(b"HTTP/1.1 ")
