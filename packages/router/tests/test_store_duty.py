"""Few entry VMs of a large fleet read the store; no change is missed."""

import asyncio

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_core import standing_task
from lagoonrun_platform import store as store_module
from lagoonrun_router import store_duty, store_follower, upstreams
from lagoonrun_router.store_follower import Duty
from lagoonrun_standins.router_world import wait_for

NAMES = tuple(f"vm-{number}" for number in range(14))
"""A fleet in which not everybody tells everybody."""

WATCHING = (Duty.ALONE, Duty.FOR_OTHERS)


def others(name):
    return tuple(one for one in NAMES if one != name)


def test_two_of_a_domain_watch_once_all_are_known():
    duties = [
        store_duty.duty_of(name, watching=others(name), alive=others(name))
        for name in NAMES
    ]
    assert duties.count(Duty.FOR_OTHERS) == store_duty.WATCHERS_IN_DOMAIN
    assert duties.count(Duty.STAND_BY) == len(NAMES) - 2


def test_all_read_the_store_while_nobody_is_up_to_date_with_it():
    """The store is away, or turns the two away that watch.

    The two try often; the others seldom, since they will be told.
    """
    duties = [
        store_duty.duty_of(name, watching=(), alive=others(name))
        for name in NAMES
    ]
    assert duties.count(Duty.FOR_OTHERS) == store_duty.WATCHERS_IN_DOMAIN
    assert duties.count(Duty.SPARE) == len(NAMES) - 2


def test_one_watching_neighbour_is_not_relied_on():
    """One may be lost unnoticed, and with it the news of the store."""
    first = min(NAMES, key=store_duty._rank)
    last = max(NAMES, key=store_duty._rank)
    duty = store_duty.duty_of(last, watching=(first,), alive=others(last))
    assert duty is Duty.SPARE


class Reader:
    """Notes what a follower tells."""

    def __init__(self):
        self.told = []

    def take_listing(self, items, revision):
        """Note a reading."""
        self.told.append("listing")

    def take_event(self, event):
        """Note a change."""
        self.told.append(event.key)

    def take_store_lost(self):
        """Note the loss."""
        self.told.append("lost")

    def take_store_regained(self):
        """Note the return."""
        self.told.append("regained")

    def take_store_left(self):
        """Note that others read it."""
        self.told.append("left")


@pytest.fixture
async def follower(store, chance):
    made = store_follower.StoreFollower(
        store=store,
        reader=Reader(),
        chance=chance,
        clock=clocks.SystemClock(),
    )
    await made.start()
    yield made
    await made.close()


async def test_follower_on_stand_by_makes_no_call(follower, store):
    told = follower._reader.told
    await wait_for(lambda: "listing" in told)
    follower.use(Duty.STAND_BY)
    assert told[-1] == "left"
    calls = store.calls_by_kind.total()
    # Nothing is left that could make one.
    others = asyncio.all_tasks() - {asyncio.current_task()}
    async with asyncio.timeout(5):
        await asyncio.gather(*others, return_exceptions=True)
    assert store.calls_by_kind.total() == calls
    follower.use(Duty.FOR_OTHERS)
    await wait_for(lambda: told[-1] == "listing")


async def test_follower_that_lost_the_store_relies_on_peers(follower, store):
    """The store turns this entry VM away; neighbours still reach it.

    Entries that ran out meanwhile get the time to come back, as after any
    outage, although this entry VM never sees the store's return itself.
    """
    told = follower._reader.told
    await wait_for(lambda: "listing" in told)
    store.stop()
    await wait_for(lambda: "lost" in told)
    follower.use(Duty.STAND_BY)
    assert told[-2:] == ["regained", "left"]


async def test_follower_outlives_a_value_that_nobody_foresaw(
    follower, store, monkeypatch
):
    """A reader raises while it takes a change in.

    The follower must not end with it: nothing would ever be heard of the
    store again.
    """
    monkeypatch.setattr(standing_task, "RESTART_SECONDS", 0.01)
    told = follower._reader.told
    await wait_for(lambda: "listing" in told)

    def fail(event):
        del event
        raise ValueError("unforeseen")

    monkeypatch.setattr(follower._reader, "take_event", fail)
    await wait_for(lambda: store.calls_by_kind["watch"] == 1)
    put = store_module.Put(key="a", value=b"")
    await store.transact(comparisons=(), puts=[put])
    await wait_for(lambda: told.count("listing") >= 2)


@pytest.fixture
async def fleet(world_of):
    """Return 14 entry VMs of one domain that have found each other."""
    worlds = [await world_of(name) for name in NAMES]
    await worlds[0].declare()
    await worlds[0].add_upstream()
    for world in worlds:
        await world.ready()
    await wait_for(lambda: len(readers(worlds)) == 2)
    return worlds


def readers(worlds):
    """Return the entry VMs that read the store."""
    return [one for one in worlds if one.router.follower.duty in WATCHING]


def misses_one(world):
    """Return whether an entry VM knows that an upstream's entry is gone."""
    counts = world.router.directory.counts_by_state()
    return counts[upstreams.UpstreamState.MISSING] == 1


async def test_changes_reach_entry_vms_that_do_not_read_the_store(fleet):
    world = fleet[0]
    await world.add_upstream(id="later")
    await world.declare(revision=2)
    for one in fleet:
        await wait_for(lambda one=one: one.knows("later"))
        await wait_for(lambda one=one: one.router.beliefs.revision == 2)
    assert len(readers(fleet)) == 2
    await world.remove("upstreams/later")
    for one in fleet:
        await wait_for(lambda one=one: misses_one(one))


async def test_others_read_the_store_when_those_that_did_are_gone(fleet):
    """Both entry VMs that read the store are lost at once.

    The others hear nothing of a leaving upstream, until two of them take
    over, within little more than a second.
    """
    gone = readers(fleet)
    left = [one for one in fleet if one not in gone]
    for one in gone:
        await one.router.close()
    await left[0].remove("upstreams/u-1")
    await left[0].add_upstream(id="later")
    for one in left:
        await wait_for(lambda one=one: one.knows("later"), seconds=4.0)
        await wait_for(lambda one=one: misses_one(one), seconds=4.0)
    await wait_for(lambda: len(readers(left)) == 2)
