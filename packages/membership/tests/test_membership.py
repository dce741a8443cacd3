"""Memberships and hubs on loopback sockets, with short protocol periods."""

import asyncio
import random

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs
from lagoonrun_membership import membership as memberships
from lagoonrun_protocol import datagrams, hub, messages

_KEY = b"shared key of the tests"
_WAIT_SECONDS = 10.0
_TIMING = memberships.Timing(
    period_seconds=0.1,
    direct_timeout_seconds=0.05,
    suspicion_seconds=0.5,
    dispute_seconds=0.4,
    hold_down_seconds=0.1,
)
_DEAD = messages.MemberState.DEAD


class RecordingListener:
    """Records the membership's calls and lets a test wait for them."""

    def __init__(self):
        self._changed = asyncio.Event()
        self.configurations = []
        self.upstreams = []
        self.summaries = []

    def on_member_changed(self, view):
        """Wake the waiting test."""
        self._changed.set()

    def on_upstream_changed(self, upstream, leaving):
        """Record the change."""
        self.upstreams.append((upstream, leaving))
        self._changed.set()

    def on_configuration_announced(self, source, revision, digest):
        """Record the announcement."""
        self.configurations.append((source, revision, digest))
        self._changed.set()

    def on_shard_summary(self, summary):
        """Record the summary."""
        self.summaries.append(summary)
        self._changed.set()

    async def until(self, condition):
        """Wait until `condition()` holds, checked after each change."""
        async with asyncio.timeout(_WAIT_SECONDS):
            while not condition():
                self._changed.clear()
                await self._changed.wait()


class RecordingHandler:
    """Records the hub's messages and lost links."""

    def __init__(self):
        self.received = asyncio.Queue()
        self.lost = asyncio.Queue()

    def on_message(self, sender, message):
        """Record the message."""
        self.received.put_nowait((sender, message))

    def on_link_lost(self, peer):
        """Record the lost link."""
        self.lost.put_nowait(peer)


class Node:
    """A hub and a membership on the same port number."""

    def __init__(self, entry_vm, *, domain, key, seeds, incarnation):
        self.listener = RecordingListener()
        self.handler = RecordingHandler()
        self.clock = clocks.SystemClock()
        self.membership = memberships.Membership(
            self_view=memberships.MemberView(
                entry_vm=entry_vm,
                domain=domain,
                incarnation=incarnation,
                state=messages.MemberState.ALIVE,
                peer_host="127.0.0.1",
                peer_port=0,
                admin_port=0,
                revision=0,
                digest="",
            ),
            host="127.0.0.1",
            port=0,
            seeds=seeds,
            key=key,
            clock=self.clock,
            rng=random.Random(entry_vm),
            listener=self.listener,
            timing=_TIMING,
        )
        self.hub = hub.PeerHub(
            entry_vm=entry_vm,
            incarnation=incarnation,
            domain=domain,
            host="127.0.0.1",
            port=0,
            key=key,
            address_book=self.membership,
            handler=self.handler,
            clock=self.clock,
        )

    async def start(self):
        """Start the hub, then the membership on the same port number."""
        await self.hub.start()
        await self.membership.start(port=self.hub.port)

    async def close(self):
        """Close the membership and the hub."""
        await self.membership.close()
        await self.hub.close()

    @property
    def address(self):
        """Address of the node."""
        return hub.PeerAddress(host="127.0.0.1", port=self.membership.port)

    def sees(self, entry_vm, state=messages.MemberState.ALIVE):
        """Return whether the node has a member in `state`."""
        view = self.membership.members_by_id.get(entry_vm)
        return view is not None and view.state is state


@pytest.fixture
async def start_node():
    """Return a function that starts a node with the first one as a seed."""
    nodes = []

    async def start(entry_vm, *, domain="north", key=_KEY, incarnation=1):
        seeds = [node.address for node in nodes[:1]]
        node = Node(
            entry_vm,
            domain=domain,
            key=key,
            seeds=seeds,
            incarnation=incarnation,
        )
        await node.start()
        nodes.append(node)
        return node

    yield start
    for node in nodes:
        await node.close()


@pytest.fixture
def rejections(monkeypatch):
    """Queue of the fields of each log line 601."""
    queue = asyncio.Queue()

    def emit(event, *, level=0, **fields):
        if event is events.LogEvent.PEER_FRAME_REJECTED:
            queue.put_nowait(fields)

    monkeypatch.setattr(logs, "emit", emit)
    return queue


async def test_nodes_join_and_exchange_messages(start_node):
    first = await start_node("vm-1")
    second = await start_node("vm-2", domain="south")
    await first.listener.until(lambda: first.sees("vm-2"))
    await second.listener.until(lambda: second.sees("vm-1"))
    await first.listener.until(
        lambda: first.membership.eligible_in("south") == ("vm-2",)
    )
    assert first.membership.address_of("vm-2") == second.address
    request = messages.SnapshotRequest(revision=1)
    assert first.hub.send("vm-2", request)
    received = await asyncio.wait_for(
        second.handler.received.get(), _WAIT_SECONDS
    )
    assert received == ("vm-1", request)


async def test_announcements_reach_the_listener(start_node):
    first = await start_node("vm-1")
    second = await start_node("vm-2", domain="south")
    await first.listener.until(lambda: first.sees("vm-2"))
    first.membership.announce_configuration(5, "digest")
    first.membership.report_upstream("runner-1", 1, True)
    first.membership.announce_shards(
        [
            messages.ShardSummary(
                shard="scans@north/0",
                dispatcher="vm-1",
                free=2,
                lowest_waiting_tier=0,
                lowest_running_tier=0,
                wait_seconds=0.0,
            )
        ]
    )
    received = second.listener
    await received.until(
        lambda: ("vm-1", 5, "digest") in received.configurations
    )
    await received.until(lambda: ("runner-1", True) in received.upstreams)
    await received.until(lambda: received.summaries)
    assert second.membership.upstream_is_leaving("runner-1")
    assert "scans@north/0" in second.membership.summaries_by_shard


async def test_killed_peer_is_lost_then_dead(start_node):
    """A VM with a dispatcher is killed while it is connected.

    The hub reports the lost link at once, the membership the death soon after.
    Then the address is unknown and `send` returns False.
    """
    first = await start_node("vm-1")
    second = await start_node("vm-2")
    await first.listener.until(lambda: first.sees("vm-2"))
    await second.listener.until(lambda: second.sees("vm-1"))
    first.hub.send("vm-2", messages.SnapshotRequest(revision=1))
    await asyncio.wait_for(second.handler.received.get(), _WAIT_SECONDS)
    second.membership._timer.cancel()
    second.membership._transport.abort()
    await second.hub.close()
    lost = await asyncio.wait_for(first.handler.lost.get(), _WAIT_SECONDS)
    assert lost == "vm-2"
    await first.listener.until(lambda: first.sees("vm-2", _DEAD))
    assert first.membership.address_of("vm-2") is None
    assert not first.hub.send("vm-2", messages.SnapshotRequest(revision=1))


async def test_closed_membership_announces_its_shutdown(start_node):
    first = await start_node("vm-1")
    second = await start_node("vm-2")
    await first.listener.until(lambda: first.sees("vm-2"))
    await second.listener.until(lambda: second.sees("vm-1"))
    second.membership.announce_leaving()
    await first.listener.until(
        lambda: first.sees("vm-2", messages.MemberState.LEAVING)
    )
    assert first.membership.eligible_in("north") == ("vm-1",)
    await second.membership.close()
    await first.listener.until(lambda: first.sees("vm-2", _DEAD))


async def test_another_key_is_rejected(start_node, rejections):
    """A VM with an old key tries to join.

    It must stay unknown, and the rejection is logged with number 601.
    """
    first = await start_node("vm-1")
    stranger = await start_node("vm-2", key=b"another key")
    rejected = await asyncio.wait_for(rejections.get(), _WAIT_SECONDS)
    assert "wrong tag" in rejected["detail"]
    assert rejected["peer"]
    assert set(first.membership.members_by_id) == {"vm-1"}
    assert set(stranger.membership.members_by_id) == {"vm-2"}


async def test_replayed_and_arbitrary_datagrams_are_rejected(
    start_node, rejections
):
    """An attacker replays a recorded datagram and sends arbitrary bytes.

    The recorded datagram counts once. Rejected datagrams change nothing, and
    those of peers are still received.
    """
    first = await start_node("vm-1")
    sealer = datagrams.DatagramSealer(key=_KEY, sender="vm-9", incarnation=4)
    recorded = sealer.seal(b"recorded")
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol,
        remote_addr=(first.address.host, first.address.port),
    )
    rng = random.Random(5)
    transport.sendto(recorded)
    transport.sendto(recorded)
    for _ in range(200):
        transport.sendto(rng.randbytes(rng.randrange(1, 600)))
    await asyncio.wait_for(rejections.get(), _WAIT_SECONDS)
    second = await start_node("vm-2")
    await first.listener.until(lambda: first.sees("vm-2"))
    await second.listener.until(lambda: second.sees("vm-1"))
    assert set(first.membership.members_by_id) == {"vm-1", "vm-2"}
    transport.close()
