"""Upstreams whose answers state that they shut down, over real sockets."""

import asyncio
import itertools
import time

from lagoonrun_standins.router_samples import make_route
from lagoonrun_standins.router_upstream import answer_500, answer_whole, marked
from lagoonrun_standins.router_world import wait_for

DRAIN_SECONDS = 2.0
"""Time after which a leaving upstream gets no new requests, as users are
promised."""

_NUMBERS = itertools.count(1)


class LeavingUpstream:
    """Answers at once; its answers may state that it is leaving.

    Attributes
    ----------
    leaving
        Whether its answers state that it is leaving.
    stated_at
        Time of the first such answer; None before it.
    arrivals
        Arrival times of all requests.
    """

    def __init__(self):
        self.leaving = False
        self.stated_at = None
        self.arrivals = []
        self.port = 0

    async def answer(self, exchange):
        """Answer one request."""
        self.arrivals.append(time.monotonic())
        more = {}
        if self.leaving:
            self.stated_at = self.stated_at or time.monotonic()
            more["Leaving"] = "1"
        await exchange.respond(
            status=200, headers=marked(exchange, **more), body=b"whole"
        )

    def arrived_after(self, seconds):
        """Return the number of requests over `seconds` after `stated_at`."""
        return sum(one > self.stated_at + seconds for one in self.arrivals)


async def ask(world, **options):
    """Send a request with a unique id, which decides the upstream."""
    return await world.ask("/lookups/1", id=f"r-{next(_NUMBERS)}", **options)


async def ask_repeatedly(worlds, seconds):
    """Send requests to all entry VMs in turn; return their answers."""
    end = time.monotonic() + seconds
    answers = []
    for world in itertools.cycle(worlds):
        if time.monotonic() > end:
            return answers
        answers.append(await ask(world))
        await asyncio.sleep(0.01)


async def start_entry_vm(world_of, upstream, **changes):
    """Start an entry VM with one upstream."""
    world = await world_of(**changes)
    await world.declare(make_route(), revision=2)
    started = await world.add_upstream(upstream.answer, "u-0", start=1)
    upstream.port = started.port
    await world.ready()
    return world


async def test_leaving_upstream_gets_no_new_requests(world_of):
    """Guards against requests to a leaving upstream while the store is down."""
    upstream = LeavingUpstream()
    world = await start_entry_vm(world_of, upstream)
    await world.add_upstream(answer_whole, "u-1")
    world.store.stop()
    upstream.leaving = True
    answers = await ask_repeatedly([world], DRAIN_SECONDS + 1.0)
    assert upstream.arrived_after(DRAIN_SECONDS) == 0
    assert {one.status for one in answers} == {200}


async def test_last_leaving_upstream_gets_no_new_requests_either(world_of):
    """Guards against using a leaving upstream because there is no other."""
    upstream = LeavingUpstream()
    world = await start_entry_vm(world_of, upstream)
    upstream.leaving = True
    await ask(world)
    refused = await ask(world)
    assert refused.status == 503
    assert refused.headers["lagoonrun-outcome"] == "not-run"
    assert float(refused.headers["retry-after"]) > 0
    assert len(upstream.arrivals) == 1


async def test_older_entry_in_the_store_does_not_restore_it(world_of):
    """Guards against an entry older than the upstream's own statement."""
    upstream = LeavingUpstream()
    world = await start_entry_vm(world_of, upstream)
    upstream.leaving = True
    await ask(world)
    await world.register_at("u-0", upstream.port, start=1, slots=9)
    await world.add_upstream(answer_whole, "u-1")
    await ask_repeatedly([world], 0.3)
    assert len(upstream.arrivals) == 1


async def test_expired_entry_that_is_back_does_not_restore_it(world_of):
    """Guards against a leaving upstream whose entry expires in an outage."""
    upstream = LeavingUpstream()
    world = await start_entry_vm(world_of, upstream)
    world.router.directory.apply_removal("u-0", now=0.0)
    assert not world.router.directory.usable("portal", now=100.0)
    world.router.directory.mark_leaving(
        "u-0", start=1, source="answer", now=time.monotonic()
    )
    await world.register_at("u-0", upstream.port, start=1, slots=9)
    await world.add_upstream(answer_whole, "u-1")
    await ask_repeatedly([world], 0.2)
    assert upstream.arrivals == []


async def test_next_instance_of_the_upstream_is_used(world_of):
    """Guards against a new process that inherits the state of the old one."""
    upstream = LeavingUpstream()
    world = await start_entry_vm(world_of, upstream)
    upstream.leaving = True
    await ask(world)
    upstream.leaving = False
    await world.register_at("u-0", upstream.port, start=2)
    await wait_for(lambda: world.router.directory.is_serving("u-0"))
    assert (await ask(world)).status == 200


async def test_neighbours_learn_of_it_from_peers(world_of):
    """Guards against each entry VM learning it only by a request of its own."""
    upstream = LeavingUpstream()
    world = await start_entry_vm(world_of, upstream, name="vm-1")
    other = await world_of(name="vm-2")
    await other.ready()
    await wait_for(lambda: world.router.peer_count and other.router.peer_count)
    upstream.leaving = True
    await ask(world)
    await wait_for(lambda: not other.router.directory.is_serving("u-0"))
    assert (await ask(other)).status == 503
    assert len(upstream.arrivals) == 1


async def test_retries_avoid_it(world_of):
    """Guards against retries at an upstream that has stated it is leaving."""
    upstream = LeavingUpstream()
    world = await world_of()
    route = make_route(idempotent=True, maximum_attempts=3)
    await world.declare(route, revision=2)
    await world.add_upstream(upstream.answer, "u-0", start=1)
    await world.ready()
    upstream.leaving = True
    await ask(world)
    await world.add_upstream(answer_500, "u-1")
    answers = [await ask(world) for _ in range(10)]
    assert len(upstream.arrivals) == 1
    assert {one.status for one in answers} == {500}
