"""Generated answers of an upstream against a simple oracle."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import strategies

from lagoonrun_core import clock as clocks
from lagoonrun_http import limits, messages, upstream


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Answer:
    """What an upstream sends, and where it stops."""

    request_id: bytes | None
    framing: str
    pieces: list[bytes]
    extra: bytes
    missing_bytes: int
    cuts: list[int]

    @property
    def body(self) -> bytes:
        return b"".join(self.pieces)

    @property
    def is_cut(self) -> bool:
        return self.missing_bytes > 0

    def to_bytes(self) -> bytes:
        head = b"HTTP/1.1 200 OK\r\n"
        if self.request_id is not None:
            head += b"X-Request-Id: " + self.request_id + b"\r\n"
        if self.framing in ("length", "both"):
            head += b"Content-Length: %d\r\n" % len(self.body)
        if self.framing in ("chunked", "both"):
            head += b"Transfer-Encoding: chunked\r\n"
            chunks = [b"%x\r\n%b\r\n" % (len(p), p) for p in self.pieces]
            body = b"".join(chunks) + b"0\r\n\r\n"
        else:
            body = self.body
        whole = head + b"\r\n" + body
        if self.is_cut:
            return whole[: max(0, len(whole) - self.missing_bytes)]
        return whole + self.extra


_ANSWERS = strategies.builds(
    _Answer,
    request_id=strategies.sampled_from([b"r1", b"r1", b"r1", b"r2", None]),
    framing=strategies.sampled_from(["length", "chunked", "both"]),
    pieces=strategies.lists(strategies.binary(min_size=1, max_size=9)),
    extra=strategies.sampled_from([b"", b"", b"\r\n", b"HTTP/1.1 200 OK"]),
    missing_bytes=strategies.integers(-40, 40),
    cuts=strategies.lists(strategies.integers(0, 200), max_size=4),
)


async def _ask(answer):
    """Return what the client makes of the answer, and its connections."""

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        data = answer.to_bytes()
        start = 0
        for cut in sorted(cut % (len(data) + 1) for cut in answer.cuts):
            writer.write(data[start:cut])
            await asyncio.sleep(0)
            start = cut
        writer.write(data[start:])
        if answer.is_cut:
            writer.close()
        else:
            await reader.read()
            writer.close()

    listener = await asyncio.start_server(script, "127.0.0.1", 0)
    client = upstream.UpstreamClient(
        limits=limits.ClientLimits(), clock=clocks.ManualClock()
    )
    request = upstream.UpstreamRequest(
        head=messages.RequestHead(method="GET", target="/"),
        body=b"",
        request_id="r1",
    )
    port = listener.sockets[0].getsockname()[1]
    async with asyncio.timeout(5):
        outcome = await client.send(request, address="127.0.0.1", port=port)
        if isinstance(outcome, upstream.UpstreamResponse):
            outcome = await outcome.read_all(1 << 20)
        while True:
            if not (answer.extra and client.open_connections):
                break
            await asyncio.sleep(0)
    pooled = client.open_connections
    await client.close()
    listener.close()
    await listener.wait_closed()
    return outcome, pooled


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(answer=_ANSWERS)
def test_only_the_whole_answer_to_this_request_is_delivered(answer):
    """Each caller gets the whole answer to its own request, or none.

    The upstream answers with any id, framing, truncation, trailing bytes and
    splits; the oracle knows from how the answer was made what must come out.
    """
    outcome, pooled = asyncio.run(_ask(answer))
    good = answer.request_id == b"r1" and answer.framing != "both"
    if good and not answer.is_cut:
        assert outcome == answer.body
        assert pooled == (not answer.extra)
    else:
        assert isinstance(outcome, upstream.UpstreamFailure)
        assert outcome.write_attempted
