"""An upstream that announces a limit for all entry VMs, over real sockets."""

import asyncio
import collections
import itertools
import time

from lagoonrun_standins.router_samples import make_route
from lagoonrun_standins.router_upstream import answer_500, answer_whole, marked
from lagoonrun_standins.router_world import wait_for

LIMIT = 1.0
WINDOW_SECONDS = 4.0
GRACE_SECONDS = 0.5
"""Time after which an entry VM must keep to a limit that it has received."""

ENTRY_VMS = 3
UPSTREAMS = 3


class LimitedUpstream:
    """Answers at once, and may announce a limit.

    Attributes
    ----------
    limit
        Limit announced in its answers; None for no limit.
    counted
        Times of requests from entry VMs that received the limit earlier than
        `GRACE_SECONDS` before.
    """

    def __init__(self):
        self.limit = None
        self.counted = []
        self.arrivals = 0
        self._informed_at_by_vm = {}

    async def answer(self, exchange):
        """Answer one request."""
        now = time.monotonic()
        self.arrivals += 1
        vm = exchange.head.headers.get("Sent-To")
        if now - self._informed_at_by_vm.get(vm, now) >= GRACE_SECONDS:
            self.counted.append(now)
        extra_headers = {}
        if self.limit is not None:
            self._informed_at_by_vm.setdefault(vm, now)
            extra_headers["Limit"] = str(self.limit)
        else:
            self._informed_at_by_vm.clear()
        await exchange.respond(
            status=200, headers=marked(exchange, **extra_headers), body=b"whole"
        )

    def max_in_a_window(self):
        """Return the maximum number of counted requests in any window."""
        return max(
            (
                sum(at <= one < at + WINDOW_SECONDS for one in self.counted)
                for at in self.counted
            ),
            default=0,
        )


async def fleet(world_of, limited, route=None, *, domains=("north",) * 3):
    """Return connected entry VMs and a pool with one limited upstream."""
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
        neighbours = domains.count(world.settings.domain) - 1
        await wait_for(lambda w=world, n=neighbours: w.router.peer_count >= n)
    return worlds


async def send(worlds, *, seconds, per_second):
    """Send requests to all entry VMs in turn; return the number by status."""
    statuses = collections.Counter()
    tasks = []
    started_at = time.monotonic()
    number = 0

    async def ask(vm, id):
        got = await worlds[vm].ask(
            "/lookups/1", id=id, headers=(f"Sent-To: {vm}",)
        )
        statuses[got.status] += 1

    while time.monotonic() - started_at < seconds:
        tasks.append(
            asyncio.create_task(ask(number % len(worlds), f"r-{number}"))
        )
        number += 1
        await asyncio.sleep(1.0 / per_second)
    await asyncio.gather(*tasks)
    return statuses


async def test_limit_holds_for_all_entry_vms_together(world_of):
    """Guards against a limit that does not reduce an upstream's requests."""
    limited = LimitedUpstream()
    worlds = await fleet(world_of, limited)
    limited.limit = LIMIT
    statuses = await send(worlds, seconds=6.0, per_second=40)
    allowed = 1.5 * LIMIT * WINDOW_SECONDS + 5
    assert limited.max_in_a_window() <= allowed
    assert set(statuses) == {200}


async def test_limit_holds_across_failure_domains(world_of):
    """Guards against failure domains that each use the whole limit."""
    limited = LimitedUpstream()
    worlds = await fleet(
        world_of, limited, domains=("north", "north", "south", "south")
    )
    limited.limit = LIMIT
    statuses = await send(worlds, seconds=6.0, per_second=40)
    allowed = 1.5 * LIMIT * WINDOW_SECONDS + 5
    assert limited.max_in_a_window() <= allowed
    assert limited.arrivals >= 0.5 * LIMIT * 6.0
    assert set(statuses) == {200}


async def test_limit_is_reported_to_other_entry_vms(world_of):
    """Guards against entry VMs that learn of a limit only by own requests."""
    limited = LimitedUpstream()
    worlds = await fleet(world_of, limited, domains=("north", "north", "south"))
    limited.limit = LIMIT
    for _ in range(30):
        await ask(worlds[0])
    for world in worlds:
        await wait_for(lambda w=world: limits_known(w))


async def test_end_of_a_limit_is_detected_and_reported(world_of):
    """Guards against a limit that outlasts the upstream's overload."""
    limited = LimitedUpstream()
    worlds = await fleet(world_of, limited)
    limited.limit = 5.0
    await send(worlds, seconds=1.0, per_second=40)
    assert all(map(limits_known, worlds))
    limited.limit = None
    await send(worlds, seconds=1.5, per_second=40)
    for world in worlds:
        await wait_for(lambda w=world: not limits_known(w))
    before = limited.arrivals
    sent = (await send(worlds, seconds=1.0, per_second=60)).total()
    # Fewer than 60 on a busy machine.
    assert limited.arrivals - before >= sent // (2 * UPSTREAMS)


async def test_pool_without_unlimited_upstreams_rejects_at_once(world_of):
    """Guards against callers that wait for a place until they disconnect."""
    limited = LimitedUpstream()
    world = await world_of()
    await world.declare(make_route(), revision=2)
    await world.add_upstream(limited.answer, "u-0")
    await world.ready()
    limited.limit = 0.2
    await ask(world)
    started_at = time.monotonic()
    refused = await ask(world)
    assert time.monotonic() - started_at < 0.5
    assert refused.status == 503
    assert refused.headers["lagoonrun-outcome"] == "not-run"
    assert refused.headers["lagoonrun-reason"] == "upstreams-limited"
    assert 1.0 < float(refused.headers["retry-after"]) <= 10.0
    assert limited.arrivals == 1


async def test_retry_acquires_a_place_as_well(world_of):
    """Guards against retries that bypass the limit."""
    limited = LimitedUpstream()
    world = await world_of()
    route = make_route(idempotent=True, maximum_attempts=3)
    await world.declare(route, revision=2)
    await world.add_upstream(limited.answer, "u-0")
    await world.ready()
    limited.limit = LIMIT
    await ask(world)
    await world.add_upstream(answer_500, "u-1")
    answers = await asyncio.gather(*(ask(world) for _ in range(20)))
    assert limited.arrivals <= 3
    assert {one.status for one in answers} <= {200, 500, 503}


async def test_restarted_upstream_has_no_limit(world_of):
    """Guards against a limit that outlives the process that announced it."""
    limited = LimitedUpstream()
    world = await world_of()
    await world.declare(make_route(), revision=2)
    upstream = await world.add_upstream(limited.answer, "u-0", start=1)
    await world.ready()
    limited.limit = 0.1
    await ask(world)
    limited.limit = None
    await world.register(upstream, start=2)
    await wait_for(lambda: not limits_known(world))
    answers = [await ask(world) for _ in range(10)]
    assert {one.status for one in answers} == {200}


_NUMBERS = itertools.count(1)


async def ask(world):
    """Send a request with a new id, which affects its placement."""
    id = f"one-{next(_NUMBERS)}"
    return await world.ask("/lookups/1", id=id, headers=("Sent-To: 0",))


def limits_known(world):
    """Return whether an entry VM knows of any limit."""
    return bool(world.router.exchange.notices.limits.in_force())
