"""The contract of `KeyValueStore`, for the fake and for the real one."""

import asyncio

import pytest

from lagoonrun_platform import memory_store, store


class MemoryFaults:
    """Injects faults into the in-memory store."""

    def __init__(self, memory):
        self._memory = memory

    def lose_reply(self):
        """Lose the reply of the next write."""
        self._memory.lost_replies = 1

    def lag(self):
        """Have reads show the store as of one write ago."""
        self._memory.stale_revision = self._memory.revision - 1

    def stop(self):
        """Begin an outage."""
        self._memory.stop()


class StandInFaults:
    """Injects faults into the stand-in behind the gateway adapter."""

    def __init__(self, stand_in):
        self._stand_in = stand_in

    def lose_reply(self):
        """Lose the reply of the next write."""
        self._stand_in.control({"lose_replies": 1})

    def lag(self):
        """Have reads show the store as of one write ago."""
        self._stand_in.control({"read_lag_revisions": 1})

    def stop(self):
        """Begin an outage."""
        self._stand_in.control({"outage": "close"})


@pytest.fixture(params=["memory", "gateway"])
def kind(request):
    return request.param


@pytest.fixture
def memory(clock):
    return memory_store.MemoryStore(clock=clock)


@pytest.fixture
def subject(kind, memory, gateway):
    return memory if kind == "memory" else gateway


@pytest.fixture
def faults(kind, memory, platform):
    if kind == "memory":
        return MemoryFaults(memory)
    return StandInFaults(platform)


async def _create(subject, key, value=b"1", lease=None):
    return await subject.transact(
        comparisons=[store.Comparison(key=key, modified=store.ABSENT)],
        puts=[store.Put(key=key, value=value, lease=lease)],
    )


async def _next(watch):
    return await asyncio.wait_for(anext(watch), 5)


async def test_second_create_is_rejected_with_the_first(subject):
    first = await _create(subject, "a", b"\x00\xff")
    second = await _create(subject, "a", b"2")
    assert isinstance(first, store.Committed)
    assert isinstance(second, store.Rejected)
    assert second.item("a").value == b"\x00\xff"
    assert second.item("a").modified == first.revision


async def test_swap_holds_only_at_the_revision_read(subject):
    first = await _create(subject, "a")
    swap = {
        "comparisons": [store.Comparison(key="a", modified=first.revision)],
        "puts": [store.Put(key="a", value=b"2")],
    }
    assert isinstance(await subject.transact(**swap), store.Committed)
    assert isinstance(await subject.transact(**swap), store.Rejected)
    item = await subject.get("a")
    assert (item.found.value, item.found.created) == (b"2", first.revision)


async def test_transaction_without_writes_reads(subject):
    await _create(subject, "a")
    absent = [store.Comparison(key="a", modified=store.ABSENT)]
    found = await subject.transact(comparisons=absent)
    assert found.item("a").value == b"1"
    absent = [store.Comparison(key="b", modified=store.ABSENT)]
    missing = await subject.transact(comparisons=absent)
    assert isinstance(missing, store.Committed)


async def test_prefix_is_listed_in_order_and_without_neighbours(subject):
    for key in ("a/2", "a0", "a/1", "a"):
        await _create(subject, key)
    listing = await subject.list_prefix("a/")
    assert [item.key for item in listing.items] == ["a/1", "a/2"]
    assert [item.value for item in listing.items] == [b"1", b"1"]
    keys = await subject.list_prefix("a/", keys_only=True)
    assert [item.value for item in keys.items] == [b"", b""]


async def test_lost_reply_is_unknown_and_applied(subject, faults):
    """The reply of a write is lost after the write took effect.

    A caller that took it for a failure would write again, and one that took it
    for a success could be wrong as well.
    """
    await subject.get("a")
    faults.lose_reply()
    assert isinstance(await _create(subject, "a"), store.Unknown)
    assert (await subject.get("a")).found.value == b"1"


async def test_outage_breaks_watches_and_writes(subject, faults):
    watch = subject.watch("a")
    assert (await _next(watch)).events == ()
    faults.stop()
    assert isinstance(await _next(watch), store.Unreachable)
    with pytest.raises(StopAsyncIteration):
        await _next(watch)
    assert isinstance(await subject.get("a"), store.Unreachable)


async def test_lagging_read_shows_the_past_but_no_transaction_does(
    subject, faults
):
    await _create(subject, "a")
    await _create(subject, "b")
    faults.lag()
    assert (await subject.get("b")).found is None
    assert isinstance(await _create(subject, "b"), store.Rejected)


async def test_expired_lease_deletes_its_keys(subject, clock):
    granted = await subject.grant_lease(ttl_seconds=2.0)
    await _create(subject, "a", lease=granted.lease)
    clock.advance(1.5)
    kept = await subject.renew_lease(granted.lease)
    assert kept == store.LeaseGranted(lease=granted.lease, ttl_seconds=2.0)
    clock.advance(1.5)
    assert (await subject.get("a")).found.lease == granted.lease
    clock.advance(1.0)
    assert (await subject.get("a")).found is None
    lost = store.LeaseLost(lease=granted.lease)
    assert await subject.renew_lease(granted.lease) == lost
    late = await _create(subject, "b", lease=granted.lease)
    assert isinstance(late, store.Rejected)


async def test_revoked_lease_deletes_its_keys(subject):
    granted = await subject.grant_lease(ttl_seconds=60.0)
    await _create(subject, "a", lease=granted.lease)
    revoked = await subject.revoke_lease(granted.lease)
    assert revoked == store.LeaseRevoked(lease=granted.lease)
    assert (await subject.get("a")).found is None
    again = await subject.revoke_lease(granted.lease)
    assert again == store.LeaseLost(lease=granted.lease)


async def test_watch_replays_then_follows(subject):
    first = await _create(subject, "a/1")
    watch = subject.watch("a/", prefix=True, from_revision=first.revision)
    events = []
    while not events:
        events.extend((await _next(watch)).events)
    assert [one.key for one in events] == ["a/1"]
    await _create(subject, "b")
    await _create(subject, "a/2", b"22")
    await subject.transact(comparisons=[], deletes=["a/1"])
    followed = []
    while len(followed) < 2:
        followed.extend((await _next(watch)).events)
    assert [(one.key, one.value) for one in followed] == [
        ("a/2", b"22"),
        ("a/1", None),
    ]
    await watch.aclose()
