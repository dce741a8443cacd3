"""An upstream that names a limit for all entry VMs together, over real sockets."""

import asyncio
import collections
import time

from lagoonrun_standins.router_samples import make_route
from lagoonrun_standins.router_upstream import answer_whole, marked
from lagoonrun_standins.router_world import wait_for

LIMIT = 1.0
WINDOW_SECONDS = 4.0
TOLD_SECONDS = 0.5
"""Time from which an entry VM that was told has to keep to a limit."""

ENTRY_VMS = 3
UPSTREAMS = 3


class LimitedUpstream:
    """Answers at once, and may name a limit.

    Attributes
    ----------
    limit
        What its answers name; None for nothing.
    counted
        Times of the requests from entry VMs that had been told for a while.
    """

    def __init__(self):
        self.limit = None
        self.counted = []
        self.arrivals = 0
        self._told_at_by_vm = {}

    async def answer(self, exchange):
        """Answer one request."""
        now = time.monotonic()
        self.arrivals += 1
        vm = exchange.head.headers.get("Sent-To")
        if now - self._told_at_by_vm.get(vm, now) >= TOLD_SECONDS:
            self.counted.append(now)
        more = {}
        if self.limit is not None:
            self._told_at_by_vm.setdefault(vm, now)
            more["Limit"] = str(self.limit)
        else:
            self._told_at_by_vm.clear()
        await exchange.respond(
            status=200, headers=marked(exchange, **more), body=b"whole"
        )

    def most_in_a_window(self):
        """Return the most counted requests in any window."""
        return max(
            (
                sum(at <= one < at + WINDOW_SECONDS for one in self.counted)
                for at in self.counted
            ),
            default=0,
        )


async def fleet(world_of, limited, route=None, *, domains=("north",) * 3):
    """Return entry VMs that know each other and a pool with one limited."""
    worlds = [
        await world_of(name=f"vm-{number}", domain=domain)
        for number, domain in enumerate(domains)
    ]
    await worlds[0].declare(route or make_route(), revision=2)
    await worlds[0].add_upstream(limited.answer, "u-0")
    for number in range(1, UPSTREAMS):
        await worlds[0].add_upstream(answer_whole, f"u-{number}")
    for world in worlds:
        await world.ready()
        for number in range(UPSTREAMS):
            await wait_for(lambda w=world, n=number: w.knows(f"u-{n}"))
        near = domains.count(world.settings.domain) - 1
        await wait_for(lambda w=world, n=near: w.router.peer_count >= n)
    return worlds


async def send(worlds, *, seconds, per_second):
    """Send requests to all entry VMs in turn; return how many got each status."""
    statuses = collections.Counter()
    asking = []
    began = time.monotonic()
    number = 0

    async def ask(vm, id):
        got = await worlds[vm].ask(
            "/lookups/1", id=id, headers=(f"Sent-To: {vm}",)
        )
        statuses[got.status] += 1

    while time.monotonic() - began < seconds:
        asking.append(
            asyncio.create_task(ask(number % len(worlds), f"r-{number}"))
        )
        number += 1
        await asyncio.sleep(1.0 / per_second)
    await asyncio.gather(*asking)
    return statuses


async def test_limit_holds_for_all_entry_vms_together(world_of):
    """Guards against an upstream in need that gets as much as before."""
    limited = LimitedUpstream()
    worlds = await fleet(world_of, limited)
    limited.limit = LIMIT
    statuses = await send(worlds, seconds=6.0, per_second=40)
    allowed = 1.5 * LIMIT * WINDOW_SECONDS + 5
    assert limited.most_in_a_window() <= allowed
    assert set(statuses) == {200}
