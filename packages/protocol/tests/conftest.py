"""Fixtures of the protocol's tests: hubs on the loopback interface."""

import asyncio
import random

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_protocol import hub as hubs

KEY = b"shared key of the tests"
WAIT_SECONDS = 10.0


class RecordingHandler:
    """Records the hub's events; a test can wait for the next one."""

    def __init__(self):
        self.received = asyncio.Queue()
        self.lost = asyncio.Queue()

    def on_message(self, sender, message):
        """Record the message."""
        self.received.put_nowait((sender, message))

    def on_link_lost(self, peer):
        """Record the lost connection."""
        self.lost.put_nowait(peer)

    async def next_message(self):
        """Return the next sender and message."""
        return await asyncio.wait_for(self.received.get(), WAIT_SECONDS)

    async def next_loss(self):
        """Return the peer of the next lost connection."""
        return await asyncio.wait_for(self.lost.get(), WAIT_SECONDS)


class DictionaryAddressBook:
    """Address book that a test fills."""

    def __init__(self):
        self.addresses_by_id = {}

    def address_of(self, entry_vm):
        """Return the address, or None."""
        return self.addresses_by_id.get(entry_vm)


@pytest.fixture
def address_book():
    return DictionaryAddressBook()


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
async def start_hub(address_book, clock):
    """Return a function that starts a hub and adds its address."""
    started = []

    async def start(entry_vm, *, key=KEY):
        handler = RecordingHandler()
        hub = hubs.PeerHub(
            entry_vm=entry_vm,
            incarnation=1,
            domain="north",
            host="127.0.0.1",
            port=0,
            key=key,
            address_book=address_book,
            handler=handler,
            clock=clock,
            rng=random.Random(7),
        )
        await hub.start()
        address_book.addresses_by_id[entry_vm] = hubs.PeerAddress(
            host="127.0.0.1", port=hub.port
        )
        started.append(hub)
        return hub, handler

    yield start
    for hub in started:
        await hub.close()
