"""Entry VMs that are cut from upstreams which other entry VMs reach."""

import asyncio
import dataclasses
import itertools
import random

import pytest

from lagoonrun_router import settings
from lagoonrun_soak.link import FaultyLink, LinkState
from lagoonrun_standins.router_samples import (
    HOST,
    make_route,
)
from lagoonrun_standins.router_upstream import (
    answer_whole,
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

    @property
    def cut(self):
        """The entry VM that is cut from the upstreams."""
        return self.worlds[0]


@pytest.fixture
async def fleet_of(world_of, upstream_of):
    """Return a function that starts a fleet; its links are closed later."""
    layouts = []

    async def start(route=None, answer=answer_whole, vms=3):
        layout = LinkedLayout({})
        layouts.append(layout)
        cut = await world_of("vm-0", layout=layout)
        others = [await world_of(f"vm-{n}") for n in range(1, vms)]
        for one in others:
            one.layout.declared_by_revision = layout.declared_by_revision
        await others[0].declare(route or make_route())
        upstreams = []
        for number in range(UPSTREAMS):
            upstream = await upstream_of(answer, f"u-{number}")
            await layout.add_link(upstream)
            await others[0].register(upstream)
            upstreams.append(upstream)
        worlds = [cut, *others]
        for world in worlds:
            await world.ready()
            for upstream in upstreams:
                await wait_for(lambda w=world, id=upstream.id: w.knows(id))
            await wait_for(lambda w=world: w.router.peer_count == vms - 1)
        return CutFleet(worlds=worlds, upstreams=upstreams, layout=layout)

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
