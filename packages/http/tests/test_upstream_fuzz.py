"""Generated responses of an upstream against a simple oracle."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import strategies

from lagoonrun_core import clock as clocks
from lagoonrun_http import limits, messages, upstream


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Response:
    """Response of an upstream, and where it is truncated."""

    request_id: bytes | None
    framing: str
    chunks: list[bytes]
    extra: bytes
    missing_bytes: int
    split_points: list[int]

    @property
    def body(self) -> bytes:
        return b"".join(self.chunks)

    @property
    def is_truncated(self) -> bool:
        return self.missing_bytes > 0

    def to_bytes(self) -> bytes:
        head = b"HTTP/1.1 200 OK\r\n"
        if self.request_id is not None:
            head += b"X-Request-Id: " + self.request_id + b"\r\n"
        if self.framing in ("length", "both"):
            head += b"Content-Length: %d\r\n" % len(self.body)
        if self.framing in ("chunked", "both"):
            head += b"Transfer-Encoding: chunked\r\n"
            framed = [b"%x\r\n%b\r\n" % (len(p), p) for p in self.chunks]
            body = b"".join(framed) + b"0\r\n\r\n"
        else:
            body = self.body
        whole = head + b"\r\n" + body
        if self.is_truncated:
            return whole[: max(0, len(whole) - self.missing_bytes)]
        return whole + self.extra


_RESPONSES = strategies.builds(
    _Response,
    request_id=strategies.sampled_from([b"r1", b"r1", b"r1", b"r2", None]),
    framing=strategies.sampled_from(["length", "chunked", "both"]),
    chunks=strategies.lists(strategies.binary(min_size=1, max_size=9)),
    extra=strategies.sampled_from([b"", b"", b"\r\n", b"HTTP/1.1 200 OK"]),
    missing_bytes=strategies.integers(-40, 40),
    split_points=strategies.lists(strategies.integers(0, 200), max_size=4),
)


async def _send(response):
    """Return the client's result and its number of open connections."""

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        data = response.to_bytes()
        start = 0
        for offset in sorted(
            offset % (len(data) + 1) for offset in response.split_points
        ):
            writer.write(data[start:offset])
            await asyncio.sleep(0)
            start = offset
        writer.write(data[start:])
        if response.is_truncated:
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
            if not (response.extra and client.open_connections):
                break
            await asyncio.sleep(0)
    pooled = client.open_connections
    await client.close()
    listener.close()
    await listener.wait_closed()
    return outcome, pooled


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(response=_RESPONSES)
def test_only_the_whole_response_to_this_request_is_delivered(response):
    """Each caller gets the whole response to its own request, or none.

    The upstream responds with any id, framing, truncation, trailing bytes and
    splits; the oracle derives the expected result from the generated response.
    """
    outcome, pooled = asyncio.run(_send(response))
    good = response.request_id == b"r1" and response.framing != "both"
    if good and not response.is_truncated:
        assert outcome == response.body
        assert pooled == (not response.extra)
    else:
        assert isinstance(outcome, upstream.UpstreamFailure)
        assert outcome.write_attempted
