"""An upstream that says in its answers that it leaves, over real sockets."""

import asyncio
import itertools
import time

from lagoonrun_standins.router_samples import make_route
from lagoonrun_standins.router_upstream import answer_whole, marked

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
    await world.add_upstream(upstream.answer, "u-0", start=1)
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
