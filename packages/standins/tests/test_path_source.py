"""Tests of the source, caller and process usage of `bench_path`."""

import asyncio
import os

import pytest

from lagoonrun_config import settings
from lagoonrun_standins import (
    http_client,
    path_caller,
    path_source,
    process_usage,
)

_FLOOD_EVENTS = 25
_TIMEOUT_SECONDS = 5.0


@pytest.fixture
async def source():
    """Start a source whose steady streams have no interval."""
    started = path_source.PathSource(
        host="127.0.0.1",
        port=0,
        interval_seconds=0.0,
        flood_events=_FLOOD_EVENTS,
    )
    await started.start()
    yield started
    await started.close()


@pytest.fixture
async def caller(source):
    """Connect a caller to the source."""
    address = settings.Address(host=source.host, port=source.port)
    connected = await path_caller.connect(address, key="k", record_delays=True)
    yield connected
    connected.close()


async def test_probe_may_be_repeated_on_one_connection(caller):
    """Latencies are measured on a persistent connection."""
    async with asyncio.timeout(_TIMEOUT_SECONDS):
        for _ in range(3):
            timing = await caller.request("probe")
            assert 0 < timing.first_event_seconds <= timing.total_seconds
    assert caller.events == 3


async def test_flood_waits_until_it_is_asked_for(source, caller):
    """A flood does not end before it is started; each event is counted."""
    async with asyncio.timeout(_TIMEOUT_SECONDS):
        caller.begin("flood")
        await caller.opened
        assert not caller.ended.done()
        await http_client.fetch(
            source.host, source.port, "GET", path_source.FLOOD_PATH
        )
        await caller.ended
    assert caller.events == _FLOOD_EVENTS + 1
    # Both ends read the same clock, so that no event has a negative age.
    assert caller.delays_seconds
    assert all(delay >= 0 for delay in caller.delays_seconds)


def test_usage_of_this_process_grows():
    """Processor time never decreases; resident memory is above zero."""
    before = process_usage.of_process(os.getpid())
    while process_usage.of_process(os.getpid()) == before:
        bytearray(100_000)
    after = process_usage.of_process(os.getpid())
    assert after.processor_seconds >= before.processor_seconds
    assert after.resident_bytes > 0
