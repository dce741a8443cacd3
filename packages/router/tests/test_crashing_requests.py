"""A request that ends the upstreams that run it, over real sockets.

Entry VMs, upstreams and callers run on loopback; the store is in memory.
"""

import asyncio
import itertools

from lagoonrun_standins.router_samples import make_route, make_stream_route
from lagoonrun_standins.router_upstream import answer_whole
from lagoonrun_standins.router_world import wait_for

BAD = b"prompt that the engine can't bear"
MOST_RETRIES = 3
"""Copies that may still reach an upstream after the third crash."""

CRASHES_BEFORE = 3
POOL_SIZE = 5
REASON = "crashed-upstreams"


class CrashingPool:
    """Upstreams that end when they run `BAD`, each replaced by a new one.

    Attributes
    ----------
    crashed
        Ids of the upstreams that have ended so.
    """

    def __init__(self, worlds, *, size):
        self._world, *_ = self._worlds = worlds
        self._size = size
        self._numbers = itertools.count(1)
        self._started_by_id = {}
        self.crashed = []

    async def start(self):
        """Start all of the pool."""
        for _ in range(self._size):
            await self._start_one()

    async def _start_one(self):
        id = f"u-{next(self._numbers)}"

        async def answer(exchange):
            if self._started_by_id[id].bodies[-1] == BAD:
                await self._crash(id)
            else:
                await answer_whole(exchange)

        self._started_by_id[id] = await self._world.make_upstream(answer, id)
        await self._world.register(self._started_by_id[id])
        for world in self._worlds:
            await wait_for(lambda world=world: world.knows(id))

    async def _crash(self, id):
        """End at once, and have the store learn of it as of a dead process."""
        self.crashed.append(id)
        # Not awaited: the listener waits for this handler.
        closing = asyncio.create_task(self._started_by_id[id].close())
        await asyncio.sleep(0)
        self._world.closing.append(closing)

    async def replace_crashed(self):
        """Start an upstream with a new id for each one that has ended."""
        for id in self.crashed:
            if self._started_by_id.pop(id, None) is not None:
                key = f"{self._world.layout.upstreams_prefix}{id}"
                await self._world.remove(key)
                await self._start_one()


async def fleet(world_of, route):
    """Return three entry VMs that know each other and five upstreams."""
    worlds = [await world_of(name=f"vm-{n}") for n in range(3)]
    await worlds[0].declare(route, revision=2)
    pool = CrashingPool(worlds, size=POOL_SIZE)
    await pool.start()
    for world in worlds:
        await world.ready()
        await wait_for(lambda world=world: world.router.peer_count == 2)
    return worlds, pool


async def send_until_refused_everywhere(worlds, pool, *, most):
    """Send copies in turn until each entry VM refuses one, or `most` times.

    Returns the refusals by the number of the entry VM.
    """
    refusal_by_vm = {}
    for number in range(most):
        vm = number % len(worlds)
        got = await worlds[vm].ask(
            "/lookups/1", method="POST", id=f"r-{number}", body=BAD
        )
        await pool.replace_crashed()
        if got.headers.get("lagoonrun-reason") == REASON:
            refusal_by_vm[vm] = got
        if len(refusal_by_vm) == len(worlds):
            break
    return refusal_by_vm


async def test_request_under_which_three_upstreams_ended_is_refused(world_of):
    """A caller's request ends each upstream that begins to run it.

    It comes again, with another id each time, at any entry VM; ten upstreams
    ended within as many seconds, and with each the answers of up to five other
    callers.
    """
    worlds, pool = await fleet(world_of, make_stream_route())
    refusal_by_vm = await send_until_refused_everywhere(worlds, pool, most=12)
    assert len(pool.crashed) <= CRASHES_BEFORE + MOST_RETRIES
    assert len(refusal_by_vm) == len(worlds)
    for refusal in refusal_by_vm.values():
        assert refusal.status == 503
        assert refusal.headers["lagoonrun-outcome"] == "not-run"
        assert float(refusal.headers["retry-after"]) > 0


async def test_repeatable_request_ends_no_further_upstreams(world_of):
    """The same with a request that an entry VM itself sends a second time."""
    route = make_route(idempotent=True, maximum_attempts=3)
    worlds, pool = await fleet(world_of, route)
    await send_until_refused_everywhere(worlds, pool, most=12)
    assert len(pool.crashed) <= CRASHES_BEFORE + MOST_RETRIES
