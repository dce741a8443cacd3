"""Upstreams that refuse requests and ask for a rest, over real sockets."""

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
MAX_REQUESTS_IN_REST = 2
"""Requests that may reach a resting upstream from one entry VM."""

REACTION_SECONDS = 0.5
"""Time within which an entry VM has to react to a rest."""

_NUMBERS = itertools.count(1)


class RestingUpstream:
    """Refuses requests with a Retry-After, or answers.

    Attributes
    ----------
    rest
        Retry-After of its refusals, in seconds; None to answer.
    refused
        Times of the refused requests.
    """

    def __init__(self, rest=REST_SECONDS):
        self.rest = rest
        self.refused = []
        self.answered = 0
        self.port = 0

    async def answer(self, exchange):
        """Answer or refuse one request."""
        if self.rest is None:
            self.answered += 1
            await answer_whole(exchange)
            return
        self.refused.append(time.monotonic())
        headers = marked(exchange, Not_Run="1", Retry_After=str(self.rest))
        await exchange.respond(status=503, headers=headers, body=b"")

    def max_requests_in_rest(self):
        """Return the maximum number of requests within a refusal's rest."""
        return max(
            sum(
                at + REACTION_SECONDS < one < at + self.rest
                for one in self.refused
            )
            for at in self.refused
        )


async def ask(world, **options):
    """Send a request with a unique id, which decides the upstream."""
    return await world.ask("/lookups/1", id=f"r-{next(_NUMBERS)}", **options)


async def ask_repeatedly(world, seconds):
    """Send requests one after the other; return their answers."""
    end = time.monotonic() + seconds
    answers = []
    while time.monotonic() < end:
        answers.append(await ask(world))
        await asyncio.sleep(0.02)
    return answers


async def start_entry_vm(world_of, upstream, **changes):
    """Start an entry VM with one upstream."""
    world = await world_of(**changes)
    route = make_route(idempotent=True, maximum_attempts=3)
    await world.declare(route, revision=2)
    started = await world.add_upstream(upstream.answer, "u-0", start=1)
    upstream.port = started.port
    await world.ready()
    return world


async def test_upstream_that_asks_for_a_rest_gets_no_requests(world_of):
    """Guards against requests to an upstream that has just asked for a rest."""
    upstream = RestingUpstream()
    world = await start_entry_vm(world_of, upstream)
    await world.add_upstream(answer_whole, "u-1")
    answers = await ask_repeatedly(world, REST_SECONDS + REACTION_SECONDS)
    assert upstream.max_requests_in_rest() <= MAX_REQUESTS_IN_REST
    assert {one.status for one in answers} == {200}


async def test_pool_whose_only_upstream_rests_refuses_at_once(world_of):
    """Guards against using a resting upstream because there is no other."""
    upstream = RestingUpstream()
    world = await start_entry_vm(world_of, upstream)
    answers = await ask_repeatedly(world, REST_SECONDS + REACTION_SECONDS)
    assert upstream.max_requests_in_rest() <= MAX_REQUESTS_IN_REST
    assert {one.status for one in answers} == {503}


async def test_retry_after_of_a_refusal_is_the_end_of_the_rest(world_of):
    """Guards against callers that retry repeatedly within a rest."""
    upstream = RestingUpstream(rest=5.0)
    world = await start_entry_vm(world_of, upstream)
    await world.declare(make_route(maximum_attempts=1), revision=3)
    await wait_for(lambda: world.router.replica.revision == 3)
    first_refusal = await ask(world)
    assert first_refusal.headers["lagoonrun-reason"] == "upstream-refused"
    assert 4.0 < float(first_refusal.headers["retry-after"]) <= 5.5 * 2
    refused = await ask(world)
    assert refused.headers["lagoonrun-reason"] == "upstreams-resting"
    assert refused.headers["lagoonrun-outcome"] == "not-run"
    assert 4.0 < float(refused.headers["retry-after"]) <= 5.5 * 2


async def test_upstream_is_used_after_its_rest(world_of):
    """Guards against an upstream that never gets requests again."""
    upstream = RestingUpstream(rest=0.4)
    world = await start_entry_vm(world_of, upstream)
    await ask(world)
    upstream.rest = None
    await ask_repeatedly(world, 0.8)
    assert upstream.answered > 0


async def test_retries_respect_a_rest(world_of):
    """Guards against retries at a resting upstream."""
    upstream = RestingUpstream()
    world = await start_entry_vm(world_of, upstream)
    await ask(world)
    await world.add_upstream(answer_500, "u-1")
    for _ in range(20):
        await ask(world)
    assert len(upstream.refused) == 1


async def test_other_entry_vms_prefer_upstreams_that_do_not_rest(world_of):
    """Guards against each entry VM learning of a rest only by a refusal."""
    upstream = RestingUpstream()
    world = await start_entry_vm(world_of, upstream, name="vm-1")
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


async def test_pool_that_has_refused_one_entry_vm_serves_the_others(
    world_of,
):
    """Guards against a pool that serves nobody after one refused entry VM."""
    upstream = RestingUpstream()
    world = await start_entry_vm(world_of, upstream, name="vm-1")
    other = await world_of(name="vm-2")
    await other.ready()
    await ask(world)
    upstream.rest = None
    await asyncio.sleep(0.1)
    assert (await ask(world)).status == 503
    assert (await ask(other)).status == 200


async def test_next_instance_of_a_resting_upstream_is_used(world_of):
    """Guards against a new process that inherits the rest of the old one."""
    upstream = RestingUpstream(rest=60.0)
    world = await start_entry_vm(world_of, upstream)
    await ask(world)
    upstream.rest = None
    await world.register_at("u-0", upstream.port, start=2)
    await wait_for(lambda: world.router.directory.registrations[0].start == 2)
    assert (await ask(world)).status == 200
