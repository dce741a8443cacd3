"""Datagrams of the fleet, of others, and of nobody who makes sense."""

import logging

import pytest

from lagoonrun_core import types
from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import peer_socket, settings
from lagoonrun_standins.router_samples import HOST
from lagoonrun_standins.router_world import free_ports, wait_for

NEWS = router_messages.UsageNews(
    entry_vm=types.EntryVmId("vm-1"), domain=types.FailureDomain("north")
)


@pytest.fixture
async def socket_of():
    """Return a function that opens sockets; they end with the test."""
    opened = []

    async def open_socket(key):
        heard = []
        made = peer_socket.PeerSocket(
            key=key, on_message=lambda message, host: heard.append(message)
        )
        address = settings.Address(host=HOST, port=free_ports(1)[0])
        await made.start(address)
        opened.append(made)
        return made, address, heard

    yield open_socket
    for made in opened:
        made.close()


async def test_message_of_the_fleet_arrives(socket_of):
    first, _, _ = await socket_of(b"key")
    _, address, heard = await socket_of(b"key")
    first.send(NEWS, (address,))
    await wait_for(lambda: heard)
    assert heard == [NEWS]


async def test_datagram_of_another_fleet_is_dropped(socket_of, caplog):
    """Addresses are used again: the other fleet's loads would be taken for ours."""
    first, _, _ = await socket_of(b"key")
    _, address, heard = await socket_of(b"other key")
    with caplog.at_level(logging.WARNING):
        first.send(NEWS, (address,))
        await wait_for(lambda: caplog.records)
    assert not heard
    assert caplog.records[0].detail.endswith("wrong tag")


async def test_bytes_that_are_no_message_are_dropped(socket_of, caplog):
    made, _, heard = await socket_of(b"key")
    body = router_codec.encode(NEWS)[:-3]
    with caplog.at_level(logging.WARNING):
        made.receive(made._tag(body) + body, HOST)
    assert not heard
    assert "no valid message" in caplog.records[0].detail


async def test_nothing_is_sent_after_the_end(socket_of):
    first, _, _ = await socket_of(b"key")
    _, address, heard = await socket_of(b"key")
    first.close()
    first.send(NEWS, (address,))
    assert not heard
