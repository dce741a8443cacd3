"""Few entry VMs of a large fleet read the store; no change is missed.

The load: a fleet of some dozen entry VMs before a store of which each call is
paid for. What a change costs must not grow with the fleet, and one slow reader
must not bring all others to the store at once.
"""

import asyncio

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_core import standing_task
from lagoonrun_platform import store as store_module
from lagoonrun_router import (
    peer_table,
    reach,
    roster,
    settings,
    store_duty,
    store_follower,
    upstreams,
)
from lagoonrun_router.store_follower import Duty
from lagoonrun_standins.router_world import wait_for

NAMES = tuple(f"vm-{number}" for number in range(14))
"""A fleet in which not everybody tells everybody."""

WATCHING = (Duty.ALONE, Duty.FOR_OTHERS)


class Follower:
    """Notes the duties that it is given."""

    def __init__(self):
        self.duty = Duty.ALONE
        self.duties = []
        self.looked_again = 0

    def look_again(self):
        """Count."""
        self.looked_again += 1

    def use(self, duty):
        """Take up a duty."""
        self.duty = duty
        self.duties.append(duty)


class Vm:
    """One entry VM's view of who reads the store."""

    def __init__(self, name, clock):
        self.name = name
        self.clock = clock
        self.follows_store = False
        self.read_revision = 5
        self.newest_told_revision = 5
        self.sequence = 0
        self.domains = reach.DomainReach()
        self.table = peer_table.PeerTable(entry_vm=name, domain="north")
        for other in NAMES:
            self.table.add(other, address_of(other), "north")
        self.follower = Follower()
        self.duty = store_duty.StoreDuty(
            entry_vm=name,
            domain="north",
            processor_cores=0.0,
            table=self.table,
            domains=self.domains,
            known=self,
            follower=self.follower,
            clock=clock,
        )

    def hear(self, other, *, follows_store):
        """Take in a state of another entry VM."""
        self.sequence += 1
        self.table.record_message(
            other,
            address_of(other),
            start=1,
            sequence=self.sequence,
            now=self.clock.monotonic(),
            domain="north",
            follows_store=follows_store,
        )

    def look(self):
        """Return the duty that it takes up now."""
        self.duty.look()
        return self.follower.duty


def address_of(name):
    return settings.Address(host=f"10.0.0.{NAMES.index(name)}", port=1)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def vms(clock):
    """Return the views of all, the first in the order of readers first."""
    made = [Vm(name, clock) for name in NAMES]
    order = made[0].duty._readers.order_of(dict.fromkeys(NAMES, 0.0))
    return sorted(made, key=lambda vm: order.index(vm.name))


def duties(vms):
    return [vm.look() for vm in vms]


def let_pass(vms, clock, seconds, *, following, silent=()):
    """Let all that are not silent tell all others what they know."""
    passed = 0.0
    while passed < seconds:
        clock.advance(0.25)
        passed += 0.25
        for teller in vms:
            teller.follows_store = teller in following
            if teller in silent:
                continue
            for vm in vms:
                if vm is not teller:
                    vm.hear(teller.name, follows_store=teller in following)
        duties(vms)


def test_two_of_a_domain_read_the_store(vms, clock):
    assert duties(vms)[:2] == [Duty.FOR_OTHERS] * 2
    assert set(duties(vms)[2:]) == {Duty.STAND_BY}
    let_pass(vms, clock, 5.0, following=vms[:2])
    for vm in vms:
        assert len(vm.follower.duties) == 1


def test_few_try_while_nobody_reaches_the_store(vms, clock):
    """The store is away.

    Fourteen that all asked for everything would keep it away for longer; a few
    find out as well that it is back.
    """
    let_pass(vms, clock, 10.0, following=())
    found = duties(vms)
    tried = [one for one in found if one is not Duty.STAND_BY]
    assert len(tried) == store_duty.MOST_TRYING
    let_pass(vms, clock, 1.0, following=vms[:2])
    assert duties(vms)[2:] == [Duty.STAND_BY] * 12


def test_both_readers_are_cut_off_and_four_others_begin_at_once(vms, clock):
    """Both readers lose the store, in silence, as an operator revokes a key.

    They notice after a second and a half. Of the next in order one or two may
    be cut off as well, and three seconds after the operator's word the key must
    be refused everywhere: there is no time to try one after the other.
    """
    let_pass(vms, clock, 2.0, following=vms[:2])
    for teller in vms[:2]:
        teller.follows_store = False
        for vm in vms:
            if vm is not teller:
                vm.hear(teller.name, follows_store=False)
    assert duties(vms)[2:6] == [Duty.SPARE] * 4
    assert duties(vms)[6:] == [Duty.STAND_BY] * 8


def test_store_that_turns_two_away_is_read_by_the_next(vms, clock):
    let_pass(vms, clock, 2.0, following=vms[:2])
    let_pass(vms, clock, 1.0, following=vms[2:4])
    assert duties(vms)[2:4] == [Duty.SPARE] * 2
    assert set(duties(vms)[4:]) == {Duty.STAND_BY}
    assert duties(vms)[:2] == [Duty.FOR_OTHERS] * 2


def test_reader_that_is_silent_for_a_while_brings_in_one_other(vms, clock):
    """A reader on a tenth of a core reads a large configuration.

    It says nothing for a second and a half. All its neighbours read the whole
    store then, at once, and once more with each further configuration.
    """
    let_pass(vms, clock, 2.0, following=vms[:2])
    let_pass(vms, clock, 1.5, following=vms[:3], silent=vms[:1])
    let_pass(vms, clock, 2.0, following=vms[:2])
    assert duties(vms)[:2] == [Duty.FOR_OTHERS] * 2
    changes = [len(vm.follower.duties) for vm in vms]
    assert sum(changes) == len(vms) + 2
    assert changes[2] == 3


def test_new_reader_has_time_to_catch_up(vms, clock):
    """It reads the store for a second before it is up to date."""
    let_pass(vms, clock, 2.0, following=vms[:2])
    clock.advance(roster.SILENT_SECONDS)
    for vm in vms[1:]:
        vm.hear(vms[1].name, follows_store=True)
    duties(vms[1:])
    let_pass(
        vms,
        clock,
        store_duty.CATCH_UP_SECONDS - 0.5,
        following=vms[1:2],
        silent=vms[:1],
    )
    assert vms[2].look() is Duty.FOR_OTHERS
    assert vms[3].look() is Duty.STAND_BY


OTHER_DOMAINS = ("south", "east", "west", "centre")


@pytest.fixture
def first(vms):
    """Return the first reader of its failure domain, which is the third."""
    vm = vms[0]
    names = vm.duty._reading_domains.order_of(
        dict.fromkeys(("north", *OTHER_DOMAINS), 1.0)
    )
    before = [name for name in names[:2] if name != "north"]
    # Two domains before this one, whatever the hashes say.
    vm.before = (before + [n for n in OTHER_DOMAINS if n not in before])[:2]
    vm.duty._reading_domains._hash = (*vm.before, "north").index
    for domain in vm.before:
        vm.domains.record_contact(domain, now=vm.clock.monotonic())
        vm.domains.note_reading(domain, True)
    return vm


def test_domain_is_told_by_two_others_that_read(first, clock):
    """Five domains with a reader each would make five calls for a change."""
    for _ in range(20):
        clock.advance(0.25)
        for domain in first.before:
            first.domains.record_contact(domain, now=clock.monotonic())
        assert first.look() is Duty.STAND_BY


def test_domain_that_is_cut_off_reads_the_store_itself(first, clock):
    assert first.look() is Duty.STAND_BY
    clock.advance(roster.SILENT_SECONDS)
    assert first.look() is Duty.FOR_OTHERS


def test_domain_joins_when_another_does_not_reach_the_store(first, clock):
    assert first.look() is Duty.STAND_BY
    first.domains.note_reading(first.before[0], False)
    clock.advance(store_duty.CATCH_UP_SECONDS)
    for domain in first.before:
        first.domains.record_contact(domain, now=clock.monotonic())
    assert first.look() is Duty.FOR_OTHERS


def test_fleet_of_two_domains_has_one_reader_in_each(vms):
    for vm in vms:
        vm.domains.record_contact("south", now=vm.clock.monotonic())
        vm.domains.note_reading("south", True)
    assert duties(vms) == [Duty.FOR_OTHERS] + [Duty.STAND_BY] * 13


def test_reader_whose_watch_has_gone_silent_asks_again(vms, clock):
    """Its connection to the store went silent without a reset.

    The other reader sees a change; this one would see it seconds later, when
    its watch has waited for its time.
    """
    reader = vms[0]
    reader.follows_store = True
    reader.look()
    reader.newest_told_revision = 6
    reader.look()
    assert reader.follower.looked_again == 0
    reader.look()
    assert reader.follower.looked_again == 1
    reader.read_revision = 6
    reader.look()
    reader.newest_told_revision = 7
    reader.look()
    assert reader.follower.looked_again == 1


def test_stopping_reader_leaves_the_duty_to_the_next(vms, clock):
    let_pass(vms, clock, 1.0, following=vms[:2])
    vms[0].duty.begin_stop()
    assert vms[0].look() is Duty.STAND_BY


class Reader:
    """Notes what a follower tells."""

    def __init__(self):
        self.told = []
        self.read_revision = store_module.ABSENT

    def apply_listing(self, items, revision):
        """Note a reading."""
        self.told.append("listing")
        self.read_revision = revision

    def apply_changes(self, changes, revision):
        """Note changes."""
        self.told.extend(change.key for change in changes)
        self.read_revision = revision

    def on_store_call_failed(self):
        """Note the doubt."""
        self.told.append("doubtful")

    def on_store_unreachable(self):
        """Note the loss."""
        self.told.append("lost")

    def on_store_reachable(self):
        """Note the return."""
        self.told.append("regained")

    def on_reading_delegated(self):
        """Note that others read it."""
        self.told.append("left")


@pytest.fixture
async def follower(store, rng):
    made = store_follower.StoreFollower(
        store=store,
        reader=Reader(),
        rng=rng,
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
    put = store_module.Put(key="a", value=b"")
    await store.transact(comparisons=(), puts=[put])
    await wait_for(lambda: told[-1] == "a")


async def test_follower_goes_on_from_what_it_knows(follower, store):
    """One takes up the duty that has heard all changes from its neighbours.

    Reading all keys would cost it, and the store, half a megabyte.
    """
    reader = follower._reader
    await wait_for(lambda: "listing" in reader.told)
    follower.use(Duty.STAND_BY)
    for key in ("a", "b"):
        put = store_module.Put(key=key, value=b"")
        await store.transact(comparisons=(), puts=[put])
    reader.read_revision += 1
    follower.use(Duty.SPARE)
    await wait_for(lambda: reader.told[-1] == "b")
    assert reader.told.count("listing") == 1
    assert "a" not in reader.told


async def test_follower_reads_all_where_the_store_forgot_what_came(
    follower, store, monkeypatch
):
    told = follower._reader.told
    await wait_for(lambda: "listing" in told)
    follower.use(Duty.STAND_BY)

    async def compacted(*args, **kwargs):
        del args, kwargs
        yield store_module.WatchCompacted(oldest=store_module.ABSENT)

    monkeypatch.setattr(store, "watch", compacted)
    follower.use(Duty.FOR_OTHERS)
    await wait_for(lambda: told.count("listing") >= 2)


async def test_cut_watch_is_followed_by_another_and_not_by_a_reading(
    follower, store
):
    """Connections to the store are reset now and then."""
    told = follower._reader.told
    await wait_for(lambda: store.calls_by_kind["watch"] == 1)
    store.break_watches()
    await wait_for(lambda: store.calls_by_kind["watch"] >= 2)
    put = store_module.Put(key="a", value=b"")
    await store.transact(comparisons=(), puts=[put])
    await wait_for(lambda: told[-1] == "a")
    assert told.count("listing") == 1
    assert "lost" not in told
    assert "doubtful" in told


async def test_versions_that_come_faster_than_the_link_are_skipped(
    follower, store, monkeypatch
):
    """Operators change a large configuration ten times a second.

    On a thin link each answer takes longer than the one before, and brings
    more versions that nobody needs: the newest came ten seconds late.
    """
    told = follower._reader.told
    await wait_for(lambda: "listing" in told)
    follower.use(Duty.STAND_BY)
    monkeypatch.setattr(store_follower, "_MOST_OVERTAKEN_BYTES", 100)
    for _ in range(3):
        put = store_module.Put(key="large", value=b"x" * 90)
        await store.transact(comparisons=(), puts=[put])
    follower.use(Duty.FOR_OTHERS)
    await wait_for(lambda: told.count("listing") >= 2)


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

    def fail(changes, revision):
        if changes:
            raise ValueError("unforeseen")
        del revision

    monkeypatch.setattr(follower._reader, "apply_changes", fail)
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
        await wait_for(lambda one=one: one.router.replica.revision == 2)
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
