"""Blocks are written to an available store and expire with their lease."""

import random

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_platform import memory_store
from lagoonrun_router import (
    block_record,
    block_writer,
    crash_evidence,
    crash_records,
    running_requests,
)
from lagoonrun_standins.router_world import wait_for

PREFIX = "blocked/"
BLOCK = crash_records.Block(
    request="one",
    records=tuple(
        crash_records.CrashRecord(
            request="one",
            instance=running_requests.UpstreamInstance(
                upstream=f"u-{n}", start=n
            ),
            route="lookups",
            seen_at=0.0,
        )
        for n in range(3)
    ),
    until=100.0,
)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def store(clock):
    return memory_store.MemoryStore(clock=clock)


@pytest.fixture
async def writer(store, monkeypatch):
    monkeypatch.setattr(block_writer, "_PAUSE_SECONDS", 0.01)
    made = block_writer.BlockWriter(
        store=store, prefix=PREFIX, rng=random.Random(1)
    )
    await made.start()
    yield made
    await made.close()


async def stored(store):
    return (await store.get(PREFIX + "one")).found


async def test_block_is_stored_until_its_crashes_expire(writer, store, clock):
    before = store.revision
    writer.write(BLOCK)
    await wait_for(lambda: store.revision > before)
    stored_value = await stored(store)
    records = block_record.decode("one", stored_value.value, now=5.0)
    assert tuple(one.instance for one in records) == BLOCK.crashes
    clock.advance(crash_evidence.EXPIRY_SECONDS + 1.0)
    # The memory store removes an expired lease during its next call.
    await store.grant_lease(ttl_seconds=1.0)
    assert await stored(store) is None


async def test_block_is_written_after_the_store_has_come_back(writer, store):
    store.reachable = False
    before = store.revision
    writer.write(BLOCK)
    calls = store.calls_by_kind["lease"]
    await wait_for(lambda: store.calls_by_kind["lease"] > calls + 1)
    store.reachable = True
    await wait_for(lambda: store.revision > before)
    assert await stored(store) is not None


async def test_block_is_written_again_after_a_lost_reply(writer, store):
    store.lost_replies = 1
    before = store.revision
    writer.write(BLOCK)
    await wait_for(lambda: store.revision > before)
    assert await stored(store) is not None


LIFTED = frozenset(("one", instance) for instance in BLOCK.crashes)


async def test_lifted_block_is_stored_as_lifted(writer, store):
    before = store.revision
    writer.write(BLOCK)
    await wait_for(lambda: store.revision > before)
    before = store.revision
    writer.write_lift("one", LIFTED)
    await wait_for(lambda: store.revision > before)
    found = await stored(store)
    assert block_record.decode_lift("one", found.value) == LIFTED


async def test_lifted_block_that_was_not_written_yet_never_is(writer, store):
    store.reachable = False
    writer.write(BLOCK)
    writer.write_lift("one", LIFTED)
    before = store.revision
    store.reachable = True
    await wait_for(lambda: store.revision > before)
    found = await stored(store)
    assert block_record.decode_lift("one", found.value) == LIFTED
    assert store.revision == before + 1


def test_block_is_no_lift():
    value = block_record.encode(BLOCK)
    assert block_record.decode_lift("one", value) is None
