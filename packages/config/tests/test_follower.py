"""Daemons follow the accepted configuration, also during outages.

Time is controlled by the tests. Peers announce in rounds: in each round, every
entry VM exchanges announcements with one other, like a heartbeat and its
acknowledgement.
"""

import asyncio
import contextlib
import dataclasses
import logging
import random

import pytest

from lagoonrun_config import (
    configuration_store,
    draft,
    follower,
    follower_interfaces,
    head,
    snapshot,
)
from lagoonrun_platform import memory_store, store

_SPINS = 25


async def _spin():
    for _ in range(_SPINS):
        await asyncio.sleep(0)


class ManualTime:
    """Sleep function whose time the test advances."""

    def __init__(self):
        self._now = 0.0
        self._sleeping = []

    async def sleep(self, seconds):
        """Wait until time has advanced by `seconds`."""
        woken = asyncio.get_running_loop().create_future()
        self._sleeping.append((self._now + seconds, woken))
        await woken

    async def advance(self, seconds):
        """Advance time, waking each sleeper when its time has come."""
        end = self._now + seconds
        while due := [one for one in self._sleeping if one[0] <= end]:
            first = min(due, key=lambda one: one[0])
            self._sleeping.remove(first)
            self._now = first[0]
            if not first[1].done():
                first[1].set_result(None)
                await _spin()
        self._now = end
        await _spin()


class SlowReads:
    """The followers' view of the store; a gate delays reads of snapshots."""

    def __init__(self, memory):
        self._memory = memory
        self.gate = None
        self.mute = False

    async def watch(self, key, **options):
        """Watch the store; while muted, events are discarded."""
        async with contextlib.aclosing(
            self._memory.watch(key, **options)
        ) as messages:
            async for message in messages:
                if not self.mute:
                    yield message

    async def get(self, key):
        """Read one key; snapshots only once the gate is open."""
        if self.gate is not None and key.startswith(head.SNAPSHOT_PREFIX):
            await self.gate.wait()
        return await self._memory.get(key)


class Vm:
    """An entry VM: its follower, watcher choice and peer snapshots."""

    def __init__(self, network, name, *, watcher):
        self.name = name
        self.watcher = watcher
        self.frozen = False
        self.damaged = False
        self.fetches = 0
        self._network = network
        self._queue = asyncio.Queue()
        self.follower = follower.ConfigurationFollower(
            store=network.reads,
            peers=self,
            watchers=self,
            rng=random.Random(name),
            sleep=network.time.sleep,
        )

    @property
    def revision(self):
        """Return the revision in force, 0 for none."""
        in_force = self.follower.in_force
        return in_force.configuration.revision if in_force else 0

    def is_watcher(self):
        """Return the value set by the test."""
        return self.watcher

    def announcements(self):
        """Return the queue of announcements."""
        return self._queue

    def announce(self, *, revision, digest):
        """Do nothing: `Network.round` reads the revision in force."""

    def receive_announcement(self, peer, *, revision=None, digest=None):
        """Receive an announcement of `peer`, by default a correct one."""
        if revision is None:
            revision = peer.revision
            digest = peer.follower.in_force.snapshot.digest
        self._queue.put_nowait(
            follower_interfaces.Announcement(
                peer=peer.name, revision=revision, digest=digest
            )
        )

    async def fetch(self, *, peer, revision, digest):
        """Fetch a snapshot from a peer, if it answers."""
        self.fetches += 1
        other = self._network.vms_by_id[peer]
        if other.frozen:
            await asyncio.get_running_loop().create_future()
        in_force = other.follower.in_force
        if in_force is None or other.revision != revision:
            return None
        if other.damaged:
            return snapshot.Snapshot(digest=digest, content=b"damaged")
        return in_force.snapshot


class Network:
    """Entry VMs, the platform's store and the time."""

    def __init__(self):
        self.store = memory_store.MemoryStore()
        self.reads = SlowReads(self.store)
        self.time = ManualTime()
        self.vms_by_id = {}
        self.configurations = configuration_store.ConfigurationStore(
            store=self.store, rng=random.Random(1), first_delay_seconds=0.0
        )
        self._rng = random.Random(7)

    async def add(self, name, *, watcher=False):
        """Start one entry VM."""
        vm = Vm(self, name, watcher=watcher)
        self.vms_by_id[name] = vm
        await vm.follower.start()
        await _spin()
        return vm

    async def apply(self, content, *, number):
        """Apply `content` as revision `number`."""
        accepted = await self.configurations.apply(
            content, base=number - 1, change_id=f"c{number}", operator="mere"
        )
        assert accepted.revision == number
        await _spin()

    async def round(self):
        """Let each VM exchange announcements with one other VM."""
        vms = list(self.vms_by_id.values())
        exchanged = []
        for vm in vms:
            other = self._rng.choice([one for one in vms if one is not vm])
            exchanged += [(vm, other), (other, vm)]
        for sender, receiver in exchanged:
            if sender.revision and not sender.frozen:
                receiver.receive_announcement(sender)
        await _spin()

    async def rounds_until(self, revision):
        """Return the number of rounds until all VMs have `revision` in force."""
        for rounds in range(100):
            if all(vm.revision == revision for vm in self.vms_by_id.values()):
                return rounds
            await self.round()
        raise AssertionError("not in force everywhere after 100 rounds")


@pytest.fixture
async def network():
    made = Network()
    yield made
    for vm in made.vms_by_id.values():
        await vm.follower.close()


@pytest.fixture
def rejected(caplog, monkeypatch):
    logger = logging.getLogger("lagoonrun")
    monkeypatch.setattr(logger, "propagate", True)
    caplog.set_level(logging.INFO, logger="lagoonrun")

    def reasons():
        return [
            record.reason for record in caplog.records if record.event == 501
        ]

    return reasons


def _changed(content, seconds):
    lookup = dataclasses.replace(
        content.profiles_by_name["lookup"], target_seconds=seconds
    )
    profiles = {**content.profiles_by_name, "lookup": lookup}
    return dataclasses.replace(content, profiles_by_name=profiles)


async def test_watcher_has_a_change_in_force_without_time_passing(
    network, small_draft
):
    vm = await network.add("a-1", watcher=True)
    await network.apply(small_draft, number=1)
    assert vm.revision == 1
    await network.apply(_changed(small_draft, 0.4), number=2)
    assert vm.revision == 2
    content = draft.draft_of(vm.follower.in_force.configuration)
    assert content == _changed(small_draft, 0.4)


@pytest.mark.parametrize("count", [8, 16, 32, 64])
async def test_change_is_in_force_everywhere_within_few_rounds(
    network, small_draft, count
):
    await network.apply(small_draft, number=1)
    for index in range(count):
        await network.add(f"vm-{index}", watcher=index < 2)
    await network.rounds_until(1)
    for vm in network.vms_by_id.values():
        vm.fetches = 0
    network.store.calls_by_kind.clear()
    await network.apply(_changed(small_draft, 0.4), number=2)
    reads_by_apply = 2
    assert await network.rounds_until(2) <= 8
    # Only the two watchers read the store, one snapshot each.
    assert network.store.calls_by_kind["get"] <= reads_by_apply
    fetches = [vm.fetches for vm in network.vms_by_id.values()]
    assert sum(fetches) <= 3 * count


async def test_lagging_store_reverts_no_configuration(network, small_draft):
    """Guards against reverting to an old head.

    A watch breaks, and a lagging store answers the next read of the head.
    """
    vm = await network.add("a-1", watcher=True)
    await network.apply(small_draft, number=1)
    old = network.store.revision
    await network.apply(_changed(small_draft, 0.4), number=2)
    network.store.stale_revision = old
    network.store.break_watches()
    await network.time.advance(200.0)
    assert vm.revision == 2


async def test_two_contents_of_one_revision_are_rejected_once(
    network, small_draft, rejected
):
    """A peer of another fleet announces the revision in force.

    Its content differs, and it is unknown which one is right: changing it
    could revert an accepted change. It is logged once, not with each heartbeat.
    """
    vm = await network.add("a-1", watcher=True)
    peer = await network.add("b-1")
    await network.apply(small_draft, number=1)
    kept = vm.follower.in_force
    for _ in range(3):
        vm.receive_announcement(
            peer, revision=1, digest=snapshot.Digest("ff" * 32)
        )
        await _spin()
    assert vm.follower.in_force is kept
    assert rejected() == ["same-revision-differs"]
    assert vm.fetches == 0


async def test_new_vm_starts_from_its_peers_during_an_outage(
    network, small_draft
):
    """A VM is replaced while the platform is unreachable.

    Without peers it is not ready, so that the load balancer does not use it;
    from a peer it receives the configuration in force.
    """
    old = await network.add("a-1", watcher=True)
    await network.apply(small_draft, number=1)
    network.store.stop()
    new = await network.add("a-2")
    await network.time.advance(30.0)
    assert not new.follower.ready
    new.receive_announcement(old)
    await _spin()
    assert new.follower.ready
    assert new.revision == 1
    assert not new.follower.platform_reachable


async def test_vm_without_peers_is_ready_after_the_outage(network, small_draft):
    await network.apply(small_draft, number=1)
    network.store.stop()
    vm = await network.add("a-1")
    await network.time.advance(600.0)
    assert not vm.follower.ready
    # One call at least each 10 s, and no more than the backoff allows.
    assert 60 <= network.store.calls_by_kind["get"] <= 130
    network.store.resume()
    await network.time.advance(10.1)
    assert vm.follower.ready


async def test_damaged_snapshot_is_rejected_and_another_peer_asked(
    network, small_draft, rejected
):
    good = await network.add("a-1", watcher=True)
    bad = await network.add("a-2", watcher=True)
    await network.apply(small_draft, number=1)
    bad.damaged = True
    network.store.stop()
    new = await network.add("a-3")
    for _ in range(3):
        new.receive_announcement(bad)
        await _spin()
    assert not new.follower.ready
    # The peer repeats its announcement; it is fetched and logged only once.
    assert (len(rejected()), new.fetches) == (1, 1)
    new.receive_announcement(good)
    await _spin()
    assert new.follower.ready


async def test_frozen_peers_do_not_delay_other_fetches(network, small_draft):
    """Two peers announce a revision and freeze with open connections.

    Fetching from one source at a time would wait for their timeouts.
    """
    vms = [await network.add(f"a-{n}", watcher=True) for n in range(3)]
    await network.apply(small_draft, number=1)
    network.store.stop()
    new = await network.add("a-9")
    vms[0].frozen = vms[1].frozen = True
    for vm in vms:
        new.receive_announcement(vm)
    await _spin()
    assert new.revision == 1


async def test_change_during_a_fetch_is_not_missed(network, small_draft):
    """A second change is accepted while the first is being fetched.

    The watch reports it once. If it were ignored during the fetch, it would be
    in force only a minute later, after the next poll.
    """
    vm = await network.add("a-1", watcher=True)
    network.reads.gate = asyncio.Event()
    await network.apply(small_draft, number=1)
    await network.apply(_changed(small_draft, 0.4), number=2)
    assert vm.revision == 0
    network.reads.gate.set()
    await _spin()
    assert vm.revision == 2


async def test_broken_watch_is_resumed(network, small_draft):
    vm = await network.add("a-1", watcher=True)
    await network.apply(small_draft, number=1)
    network.store.stop()
    await network.time.advance(5.0)
    assert not vm.follower.platform_reachable
    network.store.resume()
    await network.apply(_changed(small_draft, 0.4), number=2)
    await network.time.advance(10.1)
    assert vm.revision == 2
    assert vm.follower.platform_reachable


async def test_watcher_polls_in_case_its_watch_is_silent(network, small_draft):
    """The connection of a watch stays open, but no more events arrive.

    No error occurs, so the watch is not restarted; without the watchers' poll
    the change would be in force only after the regular poll of a minute.
    """
    vm = await network.add("a-1", watcher=True)
    await network.apply(small_draft, number=1)
    await network.time.advance(10.0)
    network.reads.mute = True
    await network.apply(_changed(small_draft, 0.4), number=2)
    assert vm.revision == 1
    await network.time.advance(7.6)
    assert vm.revision == 2


async def test_only_chosen_watchers_hold_a_watch(network, small_draft):
    await network.apply(small_draft, number=1)
    vm = await network.add("a-1", watcher=False)
    assert network.store.calls_by_kind["watch"] == 0
    vm.watcher = True
    await network.time.advance(1.5)
    assert network.store.calls_by_kind["watch"] == 1
    vm.watcher = False
    await network.time.advance(1.5)
    await network.apply(_changed(small_draft, 0.4), number=2)
    assert vm.revision == 1
    # Without peers and a watch, only the regular poll remains.
    await network.time.advance(90.0)
    assert vm.revision == 2


async def test_busy_subscriber_gets_the_newest_only(network, small_draft):
    vm = await network.add("a-1", watcher=True)
    early = vm.follower.subscribe()
    await network.apply(small_draft, number=1)
    await network.apply(_changed(small_draft, 0.4), number=2)
    late = vm.follower.subscribe()
    for queue in (early, late):
        assert queue.get_nowait().revision == 2
        assert queue.empty()


async def test_snapshot_of_a_large_fleet_is_applied(network, small_draft):
    vm = await network.add("a-1", watcher=True)
    configurations = vm.follower.subscribe()
    rng = random.Random(2)
    upstreams = {}
    for index in range(3_000):
        name = f"runner-{index}-{rng.getrandbits(32):x}"
        upstreams[name] = dataclasses.replace(
            small_draft.upstreams_by_id["portal-1"],
            id=name,
            address=f"10.9.{index // 250}.{index % 250}",
        )
    fleet = {**small_draft.upstreams_by_id, **upstreams}
    large = dataclasses.replace(small_draft, upstreams_by_id=fleet)
    await network.apply(large, number=1)
    configuration = await asyncio.wait_for(configurations.get(), 10)
    assert draft.draft_of(configuration) == large


async def test_unreadable_head_changes_nothing(network, small_draft, rejected):
    vm = await network.add("a-1", watcher=True)
    await network.apply(small_draft, number=1)
    puts = [store.Put(key="config/head", value=b'{"format": 99}')]
    await network.store.transact(comparisons=[], puts=puts)
    await _spin()
    assert vm.revision == 1
    assert rejected() == ["head-unreadable"]
