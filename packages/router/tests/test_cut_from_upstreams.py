"""Entry VMs that are cut from upstreams which other entry VMs reach."""

import asyncio
import dataclasses
import itertools
import random

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_http import (
    held_bytes,
    parse_queue,
    read_buffer,
    upstream_connection,
)
from lagoonrun_http import limits as http_limits
from lagoonrun_http import messages as http_messages
from lagoonrun_router import forwarded_connection, settings
from lagoonrun_soak.link import FaultyLink, LinkState
from lagoonrun_standins.router_samples import (
    HOST,
    make_route,
    make_stream_route,
)
from lagoonrun_standins.router_upstream import (
    answer_never,
    answer_whole,
    marked,
)
from lagoonrun_standins.router_words import PlainLayout
from lagoonrun_standins.router_world import free_ports, wait_for

CONTACT_SECONDS = 3.0
"""Time after the beginning of a cut from which callers have to be served."""

MEASURED_SECONDS = 2.0
BETWEEN_REQUESTS_SECONDS = 0.04
MIN_SERVED_RATIO = 2.0 / 3.0
UPSTREAMS = 3
PARTITIONS = (
    LinkState.UNREACHABLE,
    LinkState.REFUSED,
    LinkState.CLOSED_TO_NEW,
)


class LinkedLayout(PlainLayout):
    """Layout of an entry VM that reaches each upstream over a link."""

    def __init__(self, declared_by_revision):
        super().__init__()
        self.declared_by_revision = declared_by_revision
        self.links_by_upstream = {}
        self.ports_by_upstream = {}

    def decode_upstream(self, key, value):
        """Return the registration with the port of the link."""
        registration = super().decode_upstream(key, value)
        return dataclasses.replace(
            registration, port=self.ports_by_upstream[registration.id]
        )

    async def add_link(self, upstream):
        """Start a link to an upstream, before it is registered."""
        (port,) = free_ports(1)
        link = FaultyLink(
            listen=settings.Address(host=HOST, port=port),
            target=settings.Address(host=HOST, port=upstream.port),
            rng=random.Random(1),
        )
        await link.start()
        self.links_by_upstream[upstream.id] = link
        self.ports_by_upstream[upstream.id] = port

    def set_state(self, state):
        """Change the state of all links."""
        for link in self.links_by_upstream.values():
            link.set_state(state)

    async def close(self):
        """Close all links."""
        for link in self.links_by_upstream.values():
            await link.close()


@dataclasses.dataclass
class CutFleet:
    """Entry VMs of which the first reaches the upstreams over links."""

    worlds: list
    upstreams: list
    layout: LinkedLayout
    others_layout: LinkedLayout

    @property
    def cut(self):
        """The entry VM that is cut from the upstreams."""
        return self.worlds[0]


@pytest.fixture
async def fleet_of(world_of, upstream_of):
    """Return a function that starts a fleet; its links are closed later."""
    layouts = []

    async def start(
        route=None,
        answer=answer_whole,
        vms=3,
        *,
        cut_domain=False,
        linked_others=False,
    ):
        layout = LinkedLayout({})
        layouts.append(layout)
        cut = [await world_of("vm-0", layout=layout)]
        if cut_domain:
            cut.append(await world_of("vm-0b", layout=layout))
        domain = "south" if cut_domain else "north"
        others_layout = LinkedLayout(layout.declared_by_revision)
        layouts.append(others_layout)
        options = {"layout": others_layout} if linked_others else {}
        others = [
            await world_of(f"vm-{n}", domain, **options) for n in range(1, vms)
        ]
        for one in others:
            one.layout.declared_by_revision = layout.declared_by_revision
        await others[0].declare(route or make_route())
        upstreams = []
        for number in range(UPSTREAMS):
            upstream = await upstream_of(answer, f"u-{number}")
            await layout.add_link(upstream)
            await others_layout.add_link(upstream)
            await others[0].register(upstream)
            upstreams.append(upstream)
        worlds = [*cut, *others]
        for world in worlds:
            await world.ready()
            for upstream in upstreams:
                await wait_for(lambda w=world, id=upstream.id: w.knows(id))
            await wait_for(
                lambda w=world: w.router.peer_count == len(worlds) - 1
            )
        return CutFleet(
            worlds=worlds,
            upstreams=upstreams,
            layout=layout,
            others_layout=others_layout,
        )

    yield start
    for layout in layouts:
        await layout.close()


_REQUEST_IDS = itertools.count()


async def served_shares(worlds, *, seconds):
    """Return the share of requests served at the first attempt, by entry VM."""
    statuses = [[] for _ in worlds]
    tasks = []

    async def ask(number):
        got = await worlds[number].ask(
            "/lookups/1", id=f"r-{next(_REQUEST_IDS)}"
        )
        statuses[number].append(got.status)

    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while loop.time() < ends_at:
        tasks += [
            asyncio.create_task(ask(number)) for number in range(len(worlds))
        ]
        await asyncio.sleep(BETWEEN_REQUESTS_SECONDS)
    await asyncio.gather(*tasks)
    return [one.count(200) / len(one) for one in statuses]


@pytest.mark.parametrize("state", PARTITIONS)
async def test_callers_of_an_entry_vm_cut_from_all_upstreams_are_served(
    fleet_of, state
):
    """Guards against callers who are refused where only links are lost."""
    fleet = await fleet_of()
    await served_shares(fleet.worlds, seconds=0.5)
    fleet.layout.set_state(state)
    await served_shares(fleet.worlds, seconds=CONTACT_SECONDS)
    cut, *others = await served_shares(fleet.worlds, seconds=MEASURED_SECONDS)
    assert min(others) == 1.0
    assert cut >= MIN_SERVED_RATIO * min(others)


def unconnected():
    """Return a connection to an upstream that is not open yet."""
    return upstream_connection.UpstreamConnection(
        client_limits=http_limits.ClientLimits(),
        clock=clocks.SystemClock(),
        pool=None,
        buffer=read_buffer.ReadBuffer(),
        address=HOST,
        port=1,
        held=held_bytes.HeldBytes(limit_bytes=1 << 20, small_bytes=1 << 10),
        parse_queue=parse_queue.ParseQueue(),
    )


async def test_callers_are_served_if_a_whole_failure_domain_is_cut(fleet_of):
    """Guards against cut entry VMs that ask only each other."""
    fleet = await fleet_of(cut_domain=True)
    fleet.layout.set_state(LinkState.UNREACHABLE)
    await served_shares(fleet.worlds, seconds=CONTACT_SECONDS)
    *cut, one, other = await served_shares(
        fleet.worlds, seconds=MEASURED_SECONDS
    )
    assert min(one, other) == 1.0
    assert min(cut) >= MIN_SERVED_RATIO


@pytest.mark.parametrize("state", PARTITIONS)
async def test_callers_are_served_once_the_others_reach_the_upstreams(
    fleet_of, state
):
    """Guards against failed attempts that rule out all later ones."""
    fleet = await fleet_of(linked_others=True)
    fleet.layout.set_state(LinkState.REFUSED)
    fleet.others_layout.set_state(state)
    await served_shares(fleet.worlds, seconds=CONTACT_SECONDS)
    fleet.others_layout.set_state(LinkState.SOUND)
    await served_shares(fleet.worlds, seconds=CONTACT_SECONDS)
    cut, *others = await served_shares(fleet.worlds, seconds=MEASURED_SECONDS)
    assert min(others) == 1.0
    assert cut >= MIN_SERVED_RATIO


async def test_one_cut_link_is_the_only_one_that_is_avoided(fleet_of):
    """Guards against detours to upstreams that are within reach."""
    fleet = await fleet_of()
    (link, *_) = fleet.layout.links_by_upstream.values()
    link.set_state(LinkState.REFUSED)
    shares = await served_shares(fleet.worlds, seconds=MEASURED_SECONDS)
    assert min(shares) == 1.0
    assert fleet.cut.router._links.cut == (fleet.upstreams[0].id,)


@pytest.mark.parametrize("state", PARTITIONS)
async def test_links_are_used_again_within_a_second(fleet_of, state):
    """Guards against detours that outlast the cut."""
    fleet = await fleet_of()
    fleet.layout.set_state(state)
    await served_shares(fleet.worlds[:1], seconds=1.5)
    links = fleet.cut.router._links
    assert links.cut
    fleet.layout.set_state(LinkState.SOUND)
    await wait_for(lambda: not links.cut, seconds=1.2)


async def test_request_through_another_entry_vm_is_unchanged(fleet_of):
    """Guards against a detour that changes what the upstream receives."""
    fleet = await fleet_of(vms=2)
    fleet.layout.set_state(LinkState.REFUSED)
    got = await fleet.cut.ask(
        "/lookups/1?a=b",
        method="POST",
        body=b"x" * 20_000,
        id="r-detour",
        headers=("Patience: 1.5",),
    )
    assert (got.status, got.body) == (200, b"whole")
    (upstream,) = [one for one in fleet.upstreams if one.heads]
    (head,) = upstream.heads
    assert (head.method, head.target) == ("POST", "/lookups/1?a=b")
    assert head.headers.get("X-Request-Id") == "r-detour"
    assert head.headers.get("Expected") == upstream.id
    assert 0.5 < float(head.headers.get("Left")) <= 1.5
    assert upstream.bodies == [b"x" * 20_000]


async def test_events_arrive_through_another_entry_vm_as_they_are_sent(
    fleet_of,
):
    """Guards against a detour that holds back the events of a stream."""
    sent_second = asyncio.Event()

    async def answer(exchange):
        await exchange.start(
            http_messages.ResponseHead(
                status=200,
                headers=marked(exchange, Content_Type="text/event-stream"),
            )
        )
        await exchange.send(b"id: 1\ndata: x\n\n")
        await sent_second.wait()
        await exchange.send(b"id: 2\ndata: y\n\n")
        await exchange.finish()

    fleet = await fleet_of(make_stream_route(), answer)
    fleet.layout.set_state(LinkState.REFUSED)
    caller = await fleet.cut.caller()
    caller.send("/lookups/1")
    async with asyncio.timeout(2.0):
        head = await caller.reader.readuntil(b"\r\n\r\n")
        await caller.reader.readuntil(b"data: x\n\n")
    assert b" 200 " in head
    sent_second.set()
    async with asyncio.timeout(2.0):
        await caller.reader.readuntil(b"data: y\n\n")
        assert b"0\r\n\r\n" in await caller.reader.readuntil(b"0\r\n\r\n")


@pytest.mark.parametrize("streamed", [True, False])
async def test_caller_that_leaves_ends_the_work_behind_a_detour(
    fleet_of, streamed
):
    """Guards against upstreams that work for nobody behind a detour."""
    route = make_stream_route() if streamed else make_route(idempotent=True)
    fleet = await fleet_of(route, answer_never)
    fleet.layout.set_state(LinkState.REFUSED)
    caller = await fleet.cut.caller()
    caller.send("/lookups/1")
    await wait_for(lambda: any(one.heads for one in fleet.upstreams))
    (upstream,) = [one for one in fleet.upstreams if one.heads]
    caller.writer.close()
    async with asyncio.timeout(0.5):
        await upstream.cancelled.wait()


async def test_request_that_may_run_once_runs_once_behind_a_detour(fleet_of):
    """Guards against a second run when the forwarding entry VM is lost."""
    fleet = await fleet_of(answer=answer_never, vms=3)
    fleet.layout.set_state(LinkState.REFUSED)
    asked = asyncio.create_task(fleet.cut.ask("/lookups/1"))
    await wait_for(lambda: any(one.heads for one in fleet.upstreams))
    for world in fleet.worlds[1:]:
        for forwarded in tuple(world.router._forwarder._open):
            forwarded.reset()
    got = await asked
    assert got.status == 502
    assert sum(len(one.heads) for one in fleet.upstreams) == 1


async def test_answer_without_length_is_broken_if_its_forwarder_is_killed(
    fleet_of,
):
    """Guards against a killed process that ends an answer as complete."""

    async def answer(exchange):
        transport = exchange._channel._transport
        transport.write(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nMark: genuine\r\n"
            b"X-Request-Id: "
            + exchange.head.headers.get("X-Request-Id").encode()
            + b"\r\n\r\npart of the answer"
        )
        await exchange.caller_left.wait()

    fleet = await fleet_of(answer=answer)
    fleet.layout.set_state(LinkState.REFUSED)
    asked = asyncio.create_task(fleet.cut.ask("/lookups/1"))
    forwarders = [world.router._forwarder for world in fleet.worlds[1:]]
    await wait_for(
        lambda: any(
            one.received_bytes
            for one_forwarder in forwarders
            for one in one_forwarder._open
        )
    )
    for one_forwarder in forwarders:
        for forwarded in tuple(one_forwarder._open):
            # As the system closes the sockets of a killed process.
            forwarded._peer.close()
    got = await asked
    assert got.status == 502


async def test_planned_stop_of_a_forwarder_cuts_no_request(fleet_of):
    """Guards against a stop that ends the requests of other entry VMs."""
    release = asyncio.Event()

    async def answer(exchange):
        await release.wait()
        await answer_whole(exchange)

    fleet = await fleet_of(answer=answer, vms=3)
    fleet.layout.set_state(LinkState.REFUSED)
    asked = [
        asyncio.create_task(fleet.cut.ask("/lookups/1", id=f"r-{number}"))
        for number in range(4)
    ]
    await wait_for(
        lambda: sum(len(one.heads) for one in fleet.upstreams) == len(asked)
    )
    forwarder = next(
        world.router
        for world in fleet.worlds[1:]
        if world.router._forwarder.open_connections
    )
    stopping = asyncio.create_task(forwarder.stop())
    await wait_for(lambda: forwarder._forwarder._stopping)
    later = asyncio.create_task(fleet.cut.ask("/lookups/1", id="r-later"))
    await wait_for(
        lambda: sum(len(one.heads) for one in fleet.upstreams) == len(asked) + 1
    )
    release.set()
    for one in [*asked, later]:
        assert (await one).status == 200
    assert await stopping == 0


async def test_no_entry_vm_reaches_an_upstream_and_callers_get_an_answer(
    fleet_of,
):
    """Guards against detours in a circle if nobody reaches the upstreams."""
    fleet = await fleet_of(vms=3)
    fleet.layout.set_state(LinkState.REFUSED)
    for upstream in fleet.upstreams:
        await upstream.close()
    started = asyncio.get_running_loop().time()
    got = await fleet.cut.ask("/lookups/1")
    assert got.status == 503
    assert got.headers["lagoonrun-outcome"] == "not-run"
    assert asyncio.get_running_loop().time() - started < 1.5


async def test_only_registered_upstreams_are_connected_to(fleet_of):
    """Guards against an open proxy on the peer address."""
    fleet = await fleet_of(vms=2)
    address = fleet.worlds[1].settings.peer
    with pytest.raises(ConnectionResetError):
        await forwarded_connection.open_forwarded(
            unconnected, upstream="unknown", forwarder=address
        )


async def test_links_that_are_reset_are_no_crashes_of_upstreams(fleet_of):
    """Guards against requests that are blocked for crashes that never were."""
    fleet = await fleet_of(answer=answer_never, vms=3)
    asked = [
        asyncio.create_task(fleet.cut.ask("/lookups/1", id=f"r-{number}"))
        for number in range(6)
    ]
    await wait_for(
        lambda: sum(len(one.heads) for one in fleet.upstreams) == len(asked)
    )
    fleet.layout.set_state(LinkState.REFUSED)
    await asyncio.gather(*asked)
    watch = fleet.cut.router._crash_guard.watch
    await wait_for(lambda: not watch.probed_instances)
    crashes = fleet.cut.router.metrics.upstream_crashes.labels("portal")
    assert crashes._value.get() == 0


async def test_crash_is_detected_if_no_other_entry_vm_reaches_it(fleet_of):
    """Guards against crashes that are taken for cut links."""
    fleet = await fleet_of(answer=answer_never, vms=3)
    fleet.layout.set_state(LinkState.SOUND)
    asked = asyncio.create_task(fleet.worlds[1].ask("/lookups/1"))
    await wait_for(lambda: any(one.heads for one in fleet.upstreams))
    (crashed,) = [one for one in fleet.upstreams if one.heads]
    fleet.layout.links_by_upstream[crashed.id].set_state(LinkState.REFUSED)
    await crashed.close()
    await asked
    crashes = fleet.worlds[1].router.metrics.upstream_crashes.labels("portal")
    await wait_for(lambda: crashes._value.get() == 1)
