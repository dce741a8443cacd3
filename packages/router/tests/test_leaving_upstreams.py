"""An upstream that says in its answers that it leaves, over real sockets."""

import asyncio
import itertools
import time

from lagoonrun_standins.router_samples import make_route
from lagoonrun_standins.router_upstream import answer_500, answer_whole, marked
from lagoonrun_standins.router_world import wait_for

DRAIN_SECONDS = 2.0
"""Time after which a leaving upstream gets nothing new, as users are promised."""

_NUMBERS = itertools.count(1)


class LeavingUpstream:
    """Answers at once, and may say that it leaves.

    Attributes
    ----------
    leaving
        Whether its answers say so.
    told_at
        When the first such answer was given; None for not yet.
    arrivals
        Times of all requests.
    """

    def __init__(self):
        self.leaving = False
        self.told_at = None
        self.arrivals = []
        self.port = 0

    async def answer(self, exchange):
        """Answer one request."""
        self.arrivals.append(time.monotonic())
        more = {}
        if self.leaving:
            self.told_at = self.told_at or time.monotonic()
            more["Leaving"] = "1"
        await exchange.respond(
            status=200, headers=marked(exchange, **more), body=b"whole"
        )

    def arrived_after(self, seconds):
        """Return the requests later than so long after it said it leaves."""
        return sum(one > self.told_at + seconds for one in self.arrivals)


async def ask(world, **options):
    """Send a request with an id of its own, which decides where it goes."""
    return await world.ask("/lookups/1", id=f"r-{next(_NUMBERS)}", **options)


async def ask_for(worlds, seconds):
    """Send requests to all entry VMs in turn; return their answers."""
    end = time.monotonic() + seconds
    answers = []
    for world in itertools.cycle(worlds):
        if time.monotonic() > end:
            return answers
        answers.append(await ask(world))
        await asyncio.sleep(0.01)


async def start_one(world_of, upstream, **changes):
    """Return an entry VM with one upstream."""
    world = await world_of(**changes)
    await world.declare(make_route(), revision=2)
    made = await world.add_upstream(upstream.answer, "u-0", start=1)
    upstream.port = made.port
    await world.ready()
    return world


async def test_upstream_that_says_it_leaves_gets_nothing_new(world_of):
    """Guards against requests to a leaving upstream while the store is away."""
    upstream = LeavingUpstream()
    world = await start_one(world_of, upstream)
    await world.add_upstream(answer_whole, "u-1")
    world.store.stop()
    upstream.leaving = True
    answers = await ask_for([world], DRAIN_SECONDS + 1.0)
    assert upstream.arrived_after(DRAIN_SECONDS) == 0
    assert {one.status for one in answers} == {200}


async def test_last_upstream_that_leaves_gets_nothing_new_either(world_of):
    """Guards against a leaving upstream that is used for want of another one."""
    upstream = LeavingUpstream()
    world = await start_one(world_of, upstream)
    upstream.leaving = True
    await ask(world)
    refused = await ask(world)
    assert refused.status == 503
    assert refused.headers["lagoonrun-outcome"] == "not-run"
    assert float(refused.headers["retry-after"]) > 0
    assert len(upstream.arrivals) == 1


async def test_store_that_still_says_ready_does_not_bring_it_back(world_of):
    """Guards against an entry that is older than the upstream's own word."""
    upstream = LeavingUpstream()
    world = await start_one(world_of, upstream)
    upstream.leaving = True
    await ask(world)
    await world.register_at("u-0", upstream.port, start=1, slots=9)
    await world.add_upstream(answer_whole, "u-1")
    await ask_for([world], 0.3)
    assert len(upstream.arrivals) == 1


async def test_entry_that_ran_out_and_is_back_does_not_bring_it_back(world_of):
    """Guards against a leaving upstream whose entry lapses in an outage."""
    upstream = LeavingUpstream()
    world = await start_one(world_of, upstream)
    world.router.directory.apply_removal("u-0", now=0.0)
    assert not world.router.directory.usable("portal", now=100.0)
    world.router.directory.mark_leaving("u-0", start=1, source="answer")
    await world.register_at("u-0", upstream.port, start=1, slots=9)
    await world.add_upstream(answer_whole, "u-1")
    await ask_for([world], 0.2)
    assert upstream.arrivals == []


async def test_next_start_of_the_upstream_is_in_use(world_of):
    """Guards against a new process that inherits the leaving of the old one."""
    upstream = LeavingUpstream()
    world = await start_one(world_of, upstream)
    upstream.leaving = True
    await ask(world)
    upstream.leaving = False
    await world.register_at("u-0", upstream.port, start=2)
    await wait_for(lambda: world.router.directory.is_serving("u-0"))
    assert (await ask(world)).status == 200


async def test_neighbours_hear_of_it_without_being_told(world_of):
    """Guards against each entry VM learning it by a request of its own."""
    upstream = LeavingUpstream()
    world = await start_one(world_of, upstream, name="vm-1")
    other = await world_of(name="vm-2")
    await other.ready()
    await wait_for(lambda: world.router.peer_count and other.router.peer_count)
    upstream.leaving = True
    await ask(world)
    await wait_for(lambda: not other.router.directory.is_serving("u-0"))
    assert (await ask(other)).status == 503
    assert len(upstream.arrivals) == 1


async def test_second_send_goes_by_it(world_of):
    """Guards against retries that reach an upstream that has said it leaves."""
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
