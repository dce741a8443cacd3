"""Fixtures: a stand-in of the platform's store, and its client."""

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_users_platform import store_client
from lagoonrun_users_platform.standin_store import StandInStore


@pytest.fixture
async def stand_in():
    """Return a store that implements the platform's calls."""
    made = StandInStore()
    await made.start()
    yield made
    await made.close()


@pytest.fixture
async def other_stand_in():
    """Return a second such store."""
    made = StandInStore()
    await made.start()
    yield made
    await made.close()


@pytest.fixture
async def stand_in_from():
    """Return a function that starts a store with given numbers and a client."""
    opened = []

    async def start(**numbers):
        made = StandInStore(**numbers)
        await made.start()
        connected = store_client.StoreClient(
            address=made.address, clock=clocks.SystemClock()
        )
        opened.extend((connected, made))
        return made, connected

    yield start
    for one in opened:
        await one.close()


@pytest.fixture
async def client(stand_in):
    """Return the client under test, connected to the stand-in."""
    made = store_client.StoreClient(
        address=stand_in.address, clock=clocks.SystemClock()
    )
    yield made
    await made.close()


@pytest.fixture(params=["in-memory", "over-the-wire"])
def any_store(request, stand_in, client):
    """Return the in-memory store, or the client of the stand-in."""
    return stand_in.memory if request.param == "in-memory" else client
