"""A request that crashes the upstreams that run it, over real sockets.

Entry VMs, upstreams and callers run on loopback; the store is in memory.
"""

import asyncio

from lagoonrun_http import messages
from lagoonrun_router import block_record, request_digest
from lagoonrun_standins import crashing_pool
from lagoonrun_standins.router_samples import make_route, make_stream_route
from lagoonrun_standins.router_upstream import answer_whole
from lagoonrun_standins.router_world import wait_for

BAD = b"prompt that the engine can't bear"
LONG = b"prompt whose answer takes longer than anybody waits"
MAX_RETRIES = 3
"""Copies that may still reach an upstream after the third crash."""

CRASHES_BEFORE = 3
REASON = "crashed-upstreams"


def digest_of(body):
    """Return the digest of a request as `ask` sends it."""
    return request_digest.digest_of(
        messages.RequestHead(method="POST", target="/lookups/1"),
        host="portal.test",
        organisation="house",
        body=body,
    )


def is_bad(head, body):
    """Return whether a request crashes upstreams."""
    del head
    return body == BAD


async def answer_by_length(exchange, body):
    """Answer, but for requests that take longer than anybody waits."""
    if body == LONG:
        await exchange.caller_left.wait()
    else:
        await answer_whole(exchange)


async def fleet(world_of, route, **options):
    """Return entry VMs that know each other, and five upstreams."""
    return await crashing_pool.start_fleet(
        world_of, route, crashes_on=is_bad, answer=answer_by_length, **options
    )


async def send_until_refused_everywhere(worlds, pool, *, max_requests):
    """Send copies in turn until each entry VM refuses one.

    At most `max_requests` are sent. Returns the refusals by the number of the
    entry VM.
    """
    refusal_by_vm = {}
    for number in range(max_requests):
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


async def test_request_that_crashed_three_upstreams_is_rejected(world_of):
    """Guards against a request that crashes each upstream that runs it.

    It is resent with a new id each time, to any entry VM. Ten upstreams crashed
    within ten seconds, each with the answers of up to five other callers. A
    crash was recorded against the upstream, which no longer existed, and its
    idle replacement got the next copy. The request digest, once it was logged,
    showed the same request at each crash of a recorded day.
    """
    worlds, pool = await fleet(world_of, make_stream_route())
    refusal_by_vm = await send_until_refused_everywhere(
        worlds, pool, max_requests=12
    )
    assert len(pool.crashed) <= CRASHES_BEFORE + MAX_RETRIES
    assert len(refusal_by_vm) == len(worlds)
    for refusal in refusal_by_vm.values():
        assert refusal.status == 503
        assert refusal.headers["lagoonrun-outcome"] == "not-run"
        assert float(refusal.headers["retry-after"]) > 0


async def test_request_that_begins_to_crash_upstreams_is_rejected(world_of):
    """Guards against setting crashes aside for an answer before them."""
    worlds, pool = await fleet(world_of, make_stream_route())
    pool.repaired = True
    for world in worlds:
        assert (await ask(world)).status == 200
    pool.repaired = False
    refusal_by_vm = await send_until_refused_everywhere(
        worlds, pool, max_requests=12
    )
    assert len(pool.crashed) <= CRASHES_BEFORE + MAX_RETRIES
    assert len(refusal_by_vm) == len(worlds)


async def test_idempotent_request_crashes_no_further_upstreams(world_of):
    """The same for a request that the entry VM itself retries."""
    route = make_route(idempotent=True, maximum_attempts=3)
    worlds, pool = await fleet(world_of, route)
    await send_until_refused_everywhere(worlds, pool, max_requests=12)
    assert len(pool.crashed) <= CRASHES_BEFORE + MAX_RETRIES


async def test_resumed_stream_crashes_no_further_upstreams(world_of):
    """The same for a stream that is resumed at another upstream.

    It breaks after its first event and crashes the second upstream as well,
    within one request of the caller.
    """
    route = make_stream_route(resumable=True, maximum_attempts=3)
    worlds, pool = await fleet(world_of, route)
    pool.moment = crashing_pool.CrashMoment.AFTER_AN_EVENT
    await send_until_refused_everywhere(worlds, pool, max_requests=12)
    assert len(pool.crashed) <= CRASHES_BEFORE + MAX_RETRIES
    for world in worlds:
        assert world.router.crashing_requests.block_of(digest_of(BAD))


async def block_everywhere(worlds, pool):
    """Make the fleet block `BAD`, and wait until the store has the block."""
    refusals = await send_until_refused_everywhere(
        worlds, pool, max_requests=12
    )
    assert len(refusals) == len(worlds)
    await wait_for_stored(worlds[0], [digest_of(BAD)])


async def wait_for_stored(world, requests):
    """Wait until the store has the blocks of exactly these requests."""
    prefix = world.layout.blocked_requests_prefix
    wanted = tuple(f"{prefix}{one}" for one in requests)
    while await world.keys(prefix) != wanted:
        seen = world.store.revision
        await wait_for(lambda seen=seen: world.store.revision > seen)


async def wait_for_lift(world):
    """Wait until the store says that the block was lifted."""
    id = digest_of(BAD)
    key = f"{world.layout.blocked_requests_prefix}{id}"
    while True:
        seen = world.store.revision
        found = (await world.store.get(key)).found
        if block_record.decode_lift(id, found.value) is not None:
            return
        await wait_for(lambda seen=seen: world.store.revision > seen)


async def ask(world, body=BAD, **options):
    """Send a request to one entry VM."""
    return await world.ask("/lookups/1", method="POST", body=body, **options)


async def test_block_outlives_all_entry_vms(world_of):
    """Guards against blocks lost when the whole fleet is killed at once.

    The request would then crash three more upstreams.
    """
    worlds, pool = await fleet(world_of, make_stream_route())
    await block_everywhere(worlds, pool)
    for world in worlds:
        await world.router.close()
    crashed = len(pool.crashed)
    again = await world_of(name="vm-0")
    await again.declare(make_stream_route(), revision=3)
    await again.ready()
    got = await ask(again)
    assert got.headers["lagoonrun-reason"] == REASON
    assert len(pool.crashed) == crashed


async def test_block_outlives_the_entry_vm_that_saw_the_crashes(world_of):
    """The entry VM that sent all copies is killed after the third crash."""
    worlds, pool = await fleet(world_of, make_stream_route())
    for number in range(CRASHES_BEFORE):
        assert (await ask(worlds[0], id=f"r-{number}")).status == 502
        await pool.replace_crashed()
    await worlds[0].router.close()
    await send_until_refused_everywhere(worlds[1:], pool, max_requests=12)
    assert len(pool.crashed) <= CRASHES_BEFORE + MAX_RETRIES
    for world in worlds[1:]:
        got = await ask(world)
        assert got.headers["lagoonrun-reason"] == REASON


async def test_block_reaches_a_large_fleet(world_of):
    """Neighbours report only to a relay, and most don't read the store."""
    domains = ("north",) * 14 + ("south",) * 2
    worlds, pool = await fleet(world_of, make_stream_route(), domains=domains)
    for number in range(CRASHES_BEFORE):
        assert (await ask(worlds[number], id=f"r-{number}")).status == 502
        await pool.replace_crashed()
    for world in worlds:
        await wait_for(
            lambda world=world: world.router.crashing_requests.block_of(
                digest_of(BAD)
            )
        )
    await wait_for_stored(worlds[0], [digest_of(BAD)])
    late = await world_of(name="vm-late", domain="north")
    await late.ready()
    await wait_for(
        lambda: late.router.crashing_requests.block_of(digest_of(BAD))
    )
    assert len(pool.crashed) == CRASHES_BEFORE


async def test_requests_that_ran_with_the_cause_are_served_when_resent(
    world_of,
):
    """A crash breaks all requests there, and their callers resend them."""
    worlds, pool = await fleet(world_of, make_stream_route())
    concurrent = [f"other prompt {number}".encode() for number in range(6)]
    for number in range(CRASHES_BEFORE):
        broken = [
            asyncio.create_task(ask(world, LONG, id=f"long-{number}-{n}"))
            for n, world in enumerate(worlds)
        ]
        await wait_for(lambda: pool.running(LONG) == len(worlds))
        await ask(worlds[number], id=f"bad-{number}")
        await pool.replace_crashed()
        for one in broken:
            one.cancel()
        await asyncio.gather(*broken, return_exceptions=True)
    await block_everywhere(worlds, pool)
    for world in worlds:
        for body in concurrent:
            assert (await ask(world, body)).status == 200
        assert world.router.crashing_requests.block_of(digest_of(LONG)) is None


async def test_replacements_of_crashed_upstreams_have_no_failures(world_of):
    """Their replacements are usable at once and have no recorded failures."""
    worlds, pool = await fleet(world_of, make_stream_route())
    await block_everywhere(worlds, pool)
    for world in worlds:
        usable = world.router.directory.usable("portal", now=0.0)
        assert {one.id for one in usable} == pool.living
        text = world.router.metrics_text().decode()
        for id in pool.living:
            name = (
                f'lagoonrun_upstream_failures{{pool="portal",upstream="{id}"}}'
            )
            assert f"{name} 0.0" in text


async def test_lifted_request_runs_again(world_of):
    """An operator has repaired the engine and unblocks the request."""
    worlds, pool = await fleet(world_of, make_stream_route())
    await block_everywhere(worlds, pool)
    pool.repaired = True
    assert worlds[1].router.crashing_requests.lift(digest_of(BAD))
    assert (await ask(worlds[1])).status == 200
    for world in worlds:
        await wait_for(
            lambda world=world: not world.router.crashing_requests.blocks()
        )
        assert (await ask(world)).status == 200
    await wait_for_lift(worlds[0])
