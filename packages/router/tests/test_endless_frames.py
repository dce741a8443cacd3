"""Entry VMs that send bytes without end on connections that they forward."""

import asyncio

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_http import dialing, limits, messages, upstream
from lagoonrun_router import forwarded_connection, forwarding_frames, settings
from lagoonrun_standins.router_samples import HOST

_Kind = forwarding_frames.FrameKind

MAX_SECONDS = 5.0
HEAD_SECONDS = 1.0
NO_HEAD_LIMIT_SECONDS = 60.0
SWITCHED = (
    b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
    b"Upgrade: " + forwarding_frames.PROTOCOL.encode() + b"\r\n\r\n"
)
ENDLESS = {
    "answer-header-line": (b"HTTP/1.1 101 A\r\nA: ", b"a" * 100),
    "answer-header-fields": (b"HTTP/1.1 101 A\r\n", b"A: a\r\n" * 20),
    "answer-informational": (b"", b"HTTP/1.1 103 A\r\n\r\n"),
    # No entry VM sends these two; they end the connection at once.
    "empty-frames": (SWITCHED, forwarding_frames.encode(_Kind.DATA)),
    "retire-frames": (SWITCHED, forwarding_frames.encode(_Kind.RETIRE)),
    "frames-of-a-byte": (SWITCHED, forwarding_frames.encode(_Kind.DATA, b"H")),
    "large-frame": (SWITCHED, b"\x00\x00\x10\x00\x00" + b"H" * 1000),
}


class ForwardingDialer:
    """Opens each connection by way of one entry VM; see `Dialer`."""

    def __init__(self, forwarder):
        self._forwarder = forwarder

    def may_reuse(self, connection):
        """Return True."""
        return True

    async def dial(self, endpoint, make_connection):
        """Return a forwarded connection."""
        return await forwarded_connection.open_forwarded(
            make_connection,
            upstream=types.UpstreamId("u-1"),
            forwarder=self._forwarder,
        )


@pytest.mark.parametrize("drop_by_drop", [False, True], ids=["fast", "drops"])
@pytest.mark.parametrize("name", ENDLESS)
async def test_endless_bytes_of_an_entry_vm_end_the_connection(
    name, drop_by_drop
):
    """Guards against a forwarder that holds a request with frames alone."""
    begin, unit = ENDLESS[name]
    at_once = name in ("empty-frames", "retire-frames")
    closed = asyncio.Event()
    sent = 0

    async def forward(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        data = unit if drop_by_drop else unit * 200
        try:
            writer.write(begin)
            while not reader.at_eof():
                writer.write(data)
                await writer.drain()
                sent += len(data)
                await asyncio.sleep(0.2 if drop_by_drop else 0)
        except OSError:
            pass
        finally:
            writer.transport.abort()
            closed.set()

    server = await asyncio.start_server(forward, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    client = upstream.UpstreamClient(
        limits=limits.ClientLimits(
            head_seconds=NO_HEAD_LIMIT_SECONDS if at_once else HEAD_SECONDS,
            sweep_seconds=0.05,
        ),
        clock=clocks.SystemClock(),
        dialer=ForwardingDialer(settings.Address(host=HOST, port=port)),
    )
    endpoint = dialing.Endpoint(address=HOST, port=1)
    async with asyncio.timeout(MAX_SECONDS):
        failure = await client.send(
            upstream.UpstreamRequest(
                head=messages.RequestHead(method="GET", target="/"),
                body=b"",
                request_id=types.RequestId("r-1"),
            ),
            address=endpoint.address,
            port=endpoint.port,
        )
        assert isinstance(failure, upstream.UpstreamFailure)
        await closed.wait()
    assert sent < 4 * 1024 * 1024
    await client.close()
    server.close()
