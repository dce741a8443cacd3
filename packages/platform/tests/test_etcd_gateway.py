"""The gateway adapter under faults that only occur on a network."""

import asyncio
import types

import pytest

from lagoonrun_platform import store, vm_list
from lagoonrun_standins import platform_store

_ABSENT = [store.Comparison(key="a", modified=store.ABSENT)]
_PUT = [store.Put(key="a", value=b"1")]


async def test_next_address_is_tried_when_one_refuses(
    make_gateway, platform, clock
):
    gone = platform_store.PlatformStore(clock=clock)
    await gone.start()
    port = gone.port
    await gone.close()
    assert port
    gateway = make_gateway(gone, platform)
    committed = await gateway.transact(comparisons=_ABSENT, puts=_PUT)
    assert isinstance(committed, store.Committed)
    await gateway.get("a")
    # From then on the address that answered is tried first.
    assert gateway.calls_by_kind == {"txn": 2, "range": 1}


async def test_write_without_reply_is_not_tried_elsewhere(
    make_gateway, platform, clock
):
    """A write is sent, and the gateway hangs before it replies.

    If it were sent again to another address, it could be applied twice, and its
    own first write would make its comparison false: `Rejected` would be wrong.
    """
    other = platform_store.PlatformStore(clock=clock)
    await other.start()
    platform.control({"outage": "hang"})
    gateway = make_gateway(platform, other, call_timeout_seconds=0.05)
    result = await gateway.transact(comparisons=_ABSENT, puts=_PUT)
    assert isinstance(result, store.Unknown)
    assert other.counters()["total"] == 0
    read = await gateway.get("a")
    assert isinstance(read, store.Item)
    await other.close()


async def test_outage_costs_few_calls_and_ends_without_a_burst(
    gateway, platform, clock
):
    """Guards against two hundred calls that hit the platform when it returns.

    During an outage one call at a time probes the platform; the rest fail
    without being sent.
    """
    platform.control({"outage": "close"})
    for _ in range(100):
        await gateway.get("a")
        clock.advance(0.05)
    tried = platform.counters()["calls_in_outage"]
    assert 2 <= tried <= 8
    platform.control({"outage": "none", "reset_counters": True})
    clock.advance(5.0)
    results = await asyncio.gather(*(gateway.get("a") for _ in range(100)))
    answered = [one for one in results if isinstance(one, store.Item)]
    assert len(answered) == platform.counters()["total"] == 1
    assert isinstance(await gateway.get("a"), store.Item)


async def test_budget_denies_what_would_wait_too_long(make_gateway, platform):
    gateway = make_gateway(
        platform, calls_per_second=1.0, burst=3.0, call_timeout_seconds=0.5
    )
    results = [await gateway.get("a") for _ in range(4)]
    assert [type(one) for one in results] == [
        store.Item,
        store.Item,
        store.Item,
        store.Unreachable,
    ]
    assert "budget" in results[-1].detail
    assert gateway.failures_by_kind == {"range": 1}


async def test_idle_connection_that_was_closed_is_not_used(
    gateway, make_gateway, platform
):
    await gateway.get("a")
    platform.control({"outage": "close"})
    platform.control({"outage": "none"})
    # Another client's round trip lets the event loop see the closed connection.
    await make_gateway(platform).get("a")
    committed = await gateway.transact(comparisons=_ABSENT, puts=_PUT)
    assert isinstance(committed, store.Committed)


async def test_vm_list_is_read(gateway, platform):
    platform.vms.set(
        "runner-1",
        {"domain": "tunis-a", "address": "10.0.1.1", "port": 9000},
    )
    platform.vms.set(
        "tunis-a-1", {"role": "entry", "state": "leaving", "domain": "tunis-a"}
    )
    listing = await gateway.list_vms()
    runner = listing.vms_by_id["runner-1"]
    assert (runner.role, runner.state, runner.port) == (
        vm_list.VmRole.UPSTREAM,
        vm_list.VmState.LIVE,
        9000,
    )
    entry = listing.vms_by_id["tunis-a-1"]
    assert (entry.role, entry.state) == (
        vm_list.VmRole.ENTRY,
        vm_list.VmState.LEAVING,
    )


async def test_compacted_revision_ends_the_watch(gateway, platform):
    for number in range(3):
        puts = [store.Put(key="a", value=b"%d" % number)]
        await gateway.transact(comparisons=[], puts=puts)
    platform.state.compact(platform.state.revision)
    watch = gateway.watch("a", from_revision=store.StoreRevision(2))
    messages = [message async for message in watch]
    assert isinstance(messages[-1], store.WatchCompacted)


@pytest.fixture
async def respond_with(make_gateway):
    """Return a gateway whose calls all get the same response bytes."""
    servers = []

    async def make(reply):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(reply)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        servers.append(server)
        host, port = server.sockets[0].getsockname()
        address = types.SimpleNamespace(host=host, port=port)
        return make_gateway(address)

    yield make
    for server in servers:
        server.close()


def _http_reply(status, body):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@pytest.mark.parametrize(
    ("reply", "write"),
    [
        (b"", store.Unknown),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{", store.Unknown),
        (b"not HTTP at all\r\n\r\n", store.Unknown),
        (_http_reply(200, b"<html>"), store.Unknown),
        (_http_reply(200, b"{}"), store.Unknown),
        (_http_reply(200, b'{"header": {"revision": "x"}}'), store.Unknown),
        (_http_reply(503, b'{"code": 14}'), store.Unknown),
        (_http_reply(504, b"{}"), store.Unknown),
        (_http_reply(400, b'{"code": 3}'), store.Unreachable),
        (_http_reply(429, b'{"code": 8}'), store.Unreachable),
    ],
)
async def test_response_without_a_result_is_not_relied_on(
    respond_with, reply, write
):
    """The gateway, or something in front of it, returns an error or garbage.

    A write whose result cannot be determined is `Unknown`; taken for "rejected"
    or "absent" it could run a request twice. Only a plain refusal means that
    nothing was applied.
    """
    gateway = await respond_with(reply)
    assert isinstance(await gateway.get("a"), store.Unreachable)
    gateway = await respond_with(reply)
    result = await gateway.transact(comparisons=_ABSENT, puts=_PUT)
    assert isinstance(result, write)
    gateway = await respond_with(reply)
    watch = [message async for message in gateway.watch("a")]
    assert isinstance(watch[-1], store.Unreachable)
