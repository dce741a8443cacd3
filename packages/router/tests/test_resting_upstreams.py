"""An upstream that turns requests away and asks for rest, over real sockets."""

import asyncio
import itertools
import time

from lagoonrun_standins.router_samples import make_route
from lagoonrun_standins.router_upstream import answer_whole, marked

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
    await world.add_upstream(upstream.answer, "u-0", start=1)
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
