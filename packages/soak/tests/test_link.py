"""Tests the effect of each state of a link on its connections."""

import asyncio
import random

import pytest

from lagoonrun_router import settings
from lagoonrun_soak.link import FaultyLink, LinkState
from lagoonrun_standins.router_world import free_ports

HOST = "127.0.0.1"
SHORT_SECONDS = 0.2


@pytest.fixture
async def faulty_link():
    """Return a link to a server that echoes its input."""

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)

    ports = free_ports(2)
    server = await asyncio.start_server(echo, HOST, ports[1])
    link = FaultyLink(
        listen=settings.Address(host=HOST, port=ports[0]),
        target=settings.Address(host=HOST, port=ports[1]),
        rng=random.Random(1),
    )
    await link.start()
    link.port = ports[0]
    yield link
    await link.close()
    server.close()


async def echo_of(reader, writer):
    writer.write(b"x")
    async with asyncio.timeout(SHORT_SECONDS):
        return await reader.read(1)


async def test_sound_and_delayed_links_pass_everything(faulty_link):
    reader, writer = await asyncio.open_connection(HOST, faulty_link.port)
    assert await echo_of(reader, writer) == b"x"
    faulty_link.set_state(LinkState.DELAYED)
    writer.write(b"y")
    assert await reader.read(1) == b"y"
    writer.close()


async def test_reset_ends_open_connections_and_new_ones(faulty_link):
    reader, writer = await asyncio.open_connection(HOST, faulty_link.port)
    assert await echo_of(reader, writer) == b"x"
    faulty_link.set_state(LinkState.RESET)
    with pytest.raises(ConnectionError):
        await echo_of(reader, writer)
    reader, writer = await asyncio.open_connection(HOST, faulty_link.port)
    with pytest.raises(ConnectionError):
        await reader.readexactly(1)


@pytest.mark.parametrize("state", [LinkState.SILENT, LinkState.ONE_WAY])
async def test_silent_connection_stays_silent_and_new_ones_work(
    faulty_link, state
):
    """A connection goes silent for good, without a reset."""
    reader, writer = await asyncio.open_connection(HOST, faulty_link.port)
    assert await echo_of(reader, writer) == b"x"
    faulty_link.set_state(state)
    faulty_link.set_state(LinkState.SOUND)
    with pytest.raises(TimeoutError):
        await echo_of(reader, writer)
    other_connection = await asyncio.open_connection(HOST, faulty_link.port)
    assert await echo_of(*other_connection) == b"x"
    for open_writer in (writer, other_connection[1]):
        open_writer.close()


@pytest.mark.parametrize(
    ("state", "error"),
    [
        (LinkState.REFUSED, ConnectionRefusedError),
        (LinkState.CLOSED_TO_NEW, ConnectionRefusedError),
        (LinkState.UNREACHABLE, TimeoutError),
    ],
)
async def test_partitioned_link_opens_no_connection_until_it_is_sound(
    faulty_link, state, error
):
    """Guards against a cut that a router in a soak does not notice."""
    reader, writer = await asyncio.open_connection(HOST, faulty_link.port)
    assert await echo_of(reader, writer) == b"x"
    faulty_link.set_state(state)
    with pytest.raises(error):
        async with asyncio.timeout(SHORT_SECONDS):
            await asyncio.open_connection(HOST, faulty_link.port)
    if state is LinkState.CLOSED_TO_NEW:
        assert await echo_of(reader, writer) == b"x"
    faulty_link.set_state(LinkState.SOUND)
    other_connection = await asyncio.open_connection(HOST, faulty_link.port)
    assert await echo_of(*other_connection) == b"x"
    for open_writer in (writer, other_connection[1]):
        open_writer.close()


async def test_link_that_changes_back_at_once_can_be_cut_again(faulty_link):
    """Guards against a listening socket that is left open."""
    for _ in range(3):
        faulty_link.set_state(LinkState.REFUSED)
        faulty_link.set_state(LinkState.SOUND)
        faulty_link.set_state(LinkState.UNREACHABLE)
        faulty_link.set_state(LinkState.SOUND)
    connection = await asyncio.open_connection(HOST, faulty_link.port)
    assert await echo_of(*connection) == b"x"
    connection[1].close()
