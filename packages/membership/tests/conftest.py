"""Shared fixtures: members on an in-memory network with a manual clock."""

import heapq
import itertools
import random

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_membership import gossip
from lagoonrun_membership import timing as timings
from lagoonrun_protocol import codec, datagrams, hub, messages

_LATENCY_SECONDS = 0.002
_STEP_SECONDS = 0.1
_PORT = 9000


def make_update(entry_vm, *, domain="north", incarnation=1, **fields):
    """Return a member's record with its id as host name."""
    values = {
        "state": messages.MemberState.ALIVE,
        "peer_host": entry_vm,
        "peer_port": _PORT,
        "admin_port": 9100,
        "revision": 0,
        "digest": "",
    }
    values.update(fields)
    return messages.MemberUpdate(
        entry_vm=entry_vm, domain=domain, incarnation=incarnation, **values
    )


class Network:
    """Network that delays, drops and blocks datagrams as a test configures.

    Each datagram passes through the codec and must not exceed the maximum
    size.
    """

    def __init__(self, *, seed=1, timing=None, protocol=gossip.GossipProtocol):
        self.clock = clocks.ManualClock()
        self.timing = timing or timings.Timing()
        self.random = random.Random(seed)
        self.protocol = protocol
        self.nodes_by_id = {}
        self.changes_by_id = {}
        self.loss = 0.0
        self.delay_by_receiver = {}
        self.partitioned_pairs = set()
        self.paused = set()
        self.datagram_count = 0
        self._order = itertools.count()
        self._in_flight = []
        self._paused_datagrams = {}

    def start(self, entry_vm, *, domain="north", incarnation=1, seeds=()):
        """Start a member that joins through `seeds`."""
        self.nodes_by_id[entry_vm] = self.protocol(
            own=make_update(entry_vm, domain=domain, incarnation=incarnation),
            seeds=[hub.PeerAddress(host=s, port=_PORT) for s in seeds],
            timing=self.timing,
            rng=random.Random(self.random.random()),
            now=self.clock.monotonic() + self.random.random(),
        )
        self.changes_by_id.setdefault(entry_vm, [])

    def start_fleet(self, *, domains, per_domain):
        """Start members vm-DOMAIN-N that know the first two as seeds."""
        names = [
            (f"vm-{domain}-{n}", domain)
            for n in range(per_domain)
            for domain in domains
        ]
        seeds = [name for name, _ in names[:2]]
        for name, domain in names:
            self.start(name, domain=domain, seeds=seeds)
        return [name for name, _ in names]

    def introduce_all(self):
        """Make all members known to each other, as long after the start."""
        own = [node.members.own for node in self.nodes_by_id.values()]
        for node in self.nodes_by_id.values():
            for update in own:
                node.members.apply(update, direct=True, now=self.now)
            node.members.pop_news()

    def kill(self, entry_vm):
        """Remove a member without any notice."""
        del self.nodes_by_id[entry_vm]

    def pause(self, entry_vm):
        """Pause a process; datagrams to it wait in its socket."""
        self.paused.add(entry_vm)
        self._paused_datagrams[entry_vm] = []

    def resume(self, entry_vm, *, timer_first=True):
        """Resume a process, which runs its timer or its socket first."""
        self.paused.discard(entry_vm)
        if timer_first:
            self.send(entry_vm, self.nodes_by_id[entry_vm].tick(now=self.now))
        for sender, message in self._paused_datagrams.pop(entry_vm):
            self._deliver(sender, entry_vm, message)

    def partition(self, senders, receivers, *, both_ways=True):
        """Drop all datagrams from `senders` to `receivers`."""
        self.partitioned_pairs |= set(itertools.product(senders, receivers))
        if both_ways:
            self.partitioned_pairs |= set(itertools.product(receivers, senders))

    def heal(self):
        """Deliver datagrams between all members again."""
        self.partitioned_pairs.clear()

    @property
    def now(self):
        """The clock's reading."""
        return self.clock.monotonic()

    def send(self, sender, outgoing):
        """Send the datagrams that a member's protocol returned."""
        for item in outgoing:
            body = codec.encode(item.message)
            size = datagrams.OVERHEAD_BYTES + len(sender) + len(body)
            assert size <= datagrams.MAXIMUM_DATAGRAM_BYTES
            self.datagram_count += 1
            receiver = item.address.host
            if (sender, receiver) in self.partitioned_pairs:
                continue
            if self.random.random() < self.loss:
                continue
            heapq.heappush(
                self._in_flight,
                (
                    self.now
                    + _LATENCY_SECONDS
                    + self.delay_by_receiver.get(receiver, 0.0),
                    next(self._order),
                    sender,
                    receiver,
                    codec.decode(body),
                ),
            )

    def run(self, seconds):
        """Advance the clock by `seconds`."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self._step(end)

    def run_until(self, condition, *, within):
        """Run until `condition()` holds; return the seconds it took."""
        start = self.now
        while not condition():
            took = self.now - start
            assert took < within, f"not within {within} s: {self.describe()}"
            self._step(self.now + _STEP_SECONDS)
        return self.now - start

    def states(self, viewer):
        """Return the states in a member's table, by id."""
        views = self.nodes_by_id[viewer].members.views_by_id()
        return {entry_vm: view.state for entry_vm, view in views.items()}

    def everyone_sees(self, state, entry_vms, *, viewers=None):
        """Return whether all viewers have all `entry_vms` in `state`."""
        return all(
            self.states(viewer).get(entry_vm) is state
            for viewer in (viewers or self.nodes_by_id)
            for entry_vm in entry_vms
        )

    def all_alive(self, viewers=None):
        """Return whether all viewers see each other alive."""
        viewers = viewers or tuple(self.nodes_by_id)
        return self.everyone_sees(
            messages.MemberState.ALIVE, viewers, viewers=viewers
        )

    def describe(self):
        """Return who is not seen alive by whom, for failure messages."""
        return [
            (viewer, entry_vm, getattr(states.get(entry_vm), "value", None))
            for viewer in self.nodes_by_id
            for states in [self.states(viewer)]
            for entry_vm in sorted({*self.nodes_by_id, *states})
            if states.get(entry_vm) is not messages.MemberState.ALIVE
        ]

    def _step(self, end):
        next_at = min(
            [
                node.next_wakeup()
                for name, node in self.nodes_by_id.items()
                if name not in self.paused
            ]
            + [self._in_flight[0][0] if self._in_flight else end, end]
        )
        self.clock.advance(max(0.0, next_at - self.now))
        while self._in_flight and self._in_flight[0][0] <= self.now:
            _, _, sender, receiver, message = heapq.heappop(self._in_flight)
            self._deliver(sender, receiver, message)
        for name, node in tuple(self.nodes_by_id.items()):
            if name not in self.paused and node.next_wakeup() <= self.now:
                self.send(name, node.tick(now=self.now))
                self._record_changes(name, node)

    def _deliver(self, sender, receiver, message):
        if receiver in self.paused:
            self._paused_datagrams[receiver].append((sender, message))
            return
        node = self.nodes_by_id.get(receiver)
        if node is not None:
            address = hub.PeerAddress(host=sender, port=_PORT)
            self.send(
                receiver,
                node.receive(
                    message, sender=sender, address=address, now=self.now
                ),
            )
            self._record_changes(receiver, node)

    def _record_changes(self, name, node):
        self.changes_by_id[name] += [
            (self.now, view) for view in node.members.pop_changed()
        ]


@pytest.fixture
def make_network():
    """Return the class Network."""
    return Network


@pytest.fixture
def network():
    """Return a network of nine members in three domains, all joined."""
    network = Network()
    network.start_fleet(domains=("north", "south", "west"), per_domain=3)
    network.run_until(network.all_alive, within=15.0)
    return network


@pytest.fixture
def update():
    """Return `make_update`."""
    return make_update
