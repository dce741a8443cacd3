"""The in-memory store follows the rules that the real one has."""

import asyncio

import pytest

from lagoonrun_core import clock as clock_module
from lagoonrun_platform import memory_store, store


@pytest.fixture
def clock():
    return clock_module.ManualClock()


@pytest.fixture
def memory(clock):
    return memory_store.MemoryStore(clock=clock)


async def _create(memory, key, value=b"1", lease=None):
    return await memory.transact(
        comparisons=[store.Comparison(key=key, modified=store.ABSENT)],
        puts=[store.Put(key=key, value=value, lease=lease)],
    )


async def test_second_create_is_rejected_with_the_first(memory):
    first = await _create(memory, "a")
    second = await _create(memory, "a", b"2")
    assert isinstance(first, store.Committed)
    assert isinstance(second, store.Rejected)
    assert second.item("a").value == b"1"
    assert second.item("a").modified == first.revision


async def test_lost_reply_is_unknown_and_applied(memory):
    memory.lost_replies = 1
    assert isinstance(await _create(memory, "a"), store.Unknown)
    assert (await memory.get("a")).found.value == b"1"


async def test_lost_request_is_unknown_and_not_applied(memory):
    memory.lost_requests = 1
    assert isinstance(await _create(memory, "a"), store.Unknown)
    assert (await memory.get("a")).found is None


async def test_outage_is_unreachable_and_not_applied(memory):
    memory.stop()
    assert isinstance(await _create(memory, "a"), store.Unreachable)
    memory.resume()
    assert (await memory.get("a")).found is None


async def test_stale_read_shows_the_past(memory):
    await _create(memory, "a")
    memory.stale_revision = memory.revision
    await memory.transact(comparisons=[], puts=[], deletes=["a"])
    assert (await memory.get("a")).found.value == b"1"
    memory.stale_revision = None
    assert (await memory.get("a")).found is None


async def test_lapsed_lease_takes_its_keys(memory, clock):
    granted = await memory.grant_lease(ttl_seconds=2.0)
    await _create(memory, "a", lease=granted.lease)
    clock.advance(1.5)
    await memory.keep_lease(granted.lease)
    clock.advance(1.5)
    assert (await memory.get("a")).found is not None
    clock.advance(1.0)
    assert (await memory.get("a")).found is None
    lost = await memory.keep_lease(granted.lease)
    assert lost == store.LeaseLost(lease=granted.lease)


async def test_watch_replays_then_follows_until_it_breaks(memory):
    first = await _create(memory, "a/1")
    watch = memory.watch("a/", prefix=True, from_revision=first.revision)
    replayed = await asyncio.wait_for(anext(watch), 5)
    assert [one.key for one in replayed.events] == ["a/1"]
    await _create(memory, "b")
    await _create(memory, "a/2")
    followed = await asyncio.wait_for(anext(watch), 5)
    assert [one.key for one in followed.events] == ["a/2"]
    memory.stop()
    broken = await asyncio.wait_for(anext(watch), 5)
    assert isinstance(broken, store.Unreachable)
    with pytest.raises(StopAsyncIteration):
        await asyncio.wait_for(anext(watch), 5)
