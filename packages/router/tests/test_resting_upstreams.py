"""An upstream that turns requests away and asks for rest, over real sockets."""

import asyncio
import itertools
import time

from lagoonrun_standins.router_samples import make_route
from lagoonrun_standins.router_upstream import (
    answer_500,
    answer_whole,
    marked,
)
from lagoonrun_standins.router_world import wait_for

REST_SECONDS = 2.0
MOST_MEANWHILE = 2
"""Requests that may reach a resting upstream from one entry VM."""

NOTICED_SECONDS = 0.5
"""Time that an entry VM has to take a rest in."""

_NUMBERS = itertools.count(1)


class RestingUpstream:
    """Turns requests away with a time of rest, or answers.

    Attributes
    ----------
    rest
        What its refusals ask for; None to answer.
    refused
        Times of the requests that were turned away.
    """

    def __init__(self, rest=REST_SECONDS):
        self.rest = rest
        self.refused = []
        self.answered = 0
        self.port = 0

    async def answer(self, exchange):
        """Answer one request, or turn it away."""
        if self.rest is None:
            self.answered += 1
            await answer_whole(exchange)
            return
        self.refused.append(time.monotonic())
        headers = marked(exchange, Not_Run="1", Retry_After=str(self.rest))
        await exchange.respond(status=503, headers=headers, body=b"")

    def most_meanwhile(self):
        """Return the most requests within the rest that any refusal asked for."""
        return max(
            sum(
                at + NOTICED_SECONDS < one < at + self.rest
                for one in self.refused
            )
            for at in self.refused
        )


async def ask(world, **options):
    """Send a request with an id of its own, which decides where it goes."""
    return await world.ask("/lookups/1", id=f"r-{next(_NUMBERS)}", **options)


async def ask_for(world, seconds):
    """Send requests one after the other; return their answers."""
    end = time.monotonic() + seconds
    answers = []
    while time.monotonic() < end:
        answers.append(await ask(world))
        await asyncio.sleep(0.02)
    return answers


async def start_one(world_of, upstream, **changes):
    """Return an entry VM with one upstream."""
    world = await world_of(**changes)
    route = make_route(idempotent=True, maximum_attempts=3)
    await world.declare(route, revision=2)
    made = await world.add_upstream(upstream.answer, "u-0", start=1)
    upstream.port = made.port
    await world.ready()
    return world


async def test_upstream_that_asks_for_rest_is_left_alone(world_of):
    """Guards against requests to an upstream that has just asked for rest."""
    upstream = RestingUpstream()
    world = await start_one(world_of, upstream)
    await world.add_upstream(answer_whole, "u-1")
    answers = await ask_for(world, REST_SECONDS + NOTICED_SECONDS)
    assert upstream.most_meanwhile() <= MOST_MEANWHILE
    assert {one.status for one in answers} == {200}


async def test_pool_whose_only_upstream_rests_refuses_at_once(world_of):
    """Guards against an upstream that is asked again for want of another one."""
    upstream = RestingUpstream()
    world = await start_one(world_of, upstream)
    answers = await ask_for(world, REST_SECONDS + NOTICED_SECONDS)
    assert upstream.most_meanwhile() <= MOST_MEANWHILE
    assert {one.status for one in answers} == {503}


async def test_refused_caller_is_told_when_the_rest_ends(world_of):
    """Guards against callers that come back again and again within a rest."""
    upstream = RestingUpstream(rest=5.0)
    world = await start_one(world_of, upstream)
    await world.declare(make_route(maximum_attempts=1), revision=3)
    await wait_for(lambda: world.router.replica.revision == 3)
    turned_away = await ask(world)
    assert turned_away.headers["lagoonrun-reason"] == "upstream-refused"
    assert 4.0 < float(turned_away.headers["retry-after"]) <= 5.5 * 2
    refused = await ask(world)
    assert refused.headers["lagoonrun-reason"] == "upstreams-resting"
    assert refused.headers["lagoonrun-outcome"] == "not-run"
    assert 4.0 < float(refused.headers["retry-after"]) <= 5.5 * 2


async def test_upstream_is_in_use_after_its_rest(world_of):
    """Guards against an upstream that never gets work again."""
    upstream = RestingUpstream(rest=0.4)
    world = await start_one(world_of, upstream)
    await ask(world)
    upstream.rest = None
    await ask_for(world, 0.8)
    assert upstream.answered > 0


async def test_second_sends_go_by_a_rest(world_of):
    """Guards against retries that reach a resting upstream."""
    upstream = RestingUpstream()
    world = await start_one(world_of, upstream)
    await ask(world)
    await world.add_upstream(answer_500, "u-1")
    for _ in range(20):
        await ask(world)
    assert len(upstream.refused) == 1


async def test_other_entry_vms_prefer_upstreams_that_do_not_rest(world_of):
    """Guards against each entry VM being turned away to learn of a rest."""
    upstream = RestingUpstream()
    world = await start_one(world_of, upstream, name="vm-1")
    other = await world_of(name="vm-2", domain="south")
    await other.ready()
    await world.add_upstream(answer_whole, "u-1")
    await wait_for(lambda: other.knows("u-1") and other.knows("u-0"))
    for _ in range(30):
        await ask(world)
    assert len(upstream.refused) == 1
    await asyncio.sleep(0.1)
    for _ in range(30):
        assert (await ask(other)).status == 200
    assert len(upstream.refused) == 1


async def test_pool_that_has_turned_one_entry_vm_away_serves_the_others(
    world_of,
):
    """Guards against a pool that stands still for what one entry VM was told."""
    upstream = RestingUpstream()
    world = await start_one(world_of, upstream, name="vm-1")
    other = await world_of(name="vm-2")
    await other.ready()
    await ask(world)
    upstream.rest = None
    await asyncio.sleep(0.1)
    assert (await ask(world)).status == 503
    assert (await ask(other)).status == 200


async def test_next_start_of_a_resting_upstream_is_in_use(world_of):
    """Guards against a new process that inherits the rest of the old one."""
    upstream = RestingUpstream(rest=60.0)
    world = await start_one(world_of, upstream)
    await ask(world)
    upstream.rest = None
    await world.register_at("u-0", upstream.port, start=2)
    await wait_for(lambda: world.router.directory.registrations[0].start == 2)
    assert (await ask(world)).status == 200
