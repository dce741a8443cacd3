"""A part of a prompt that crashes the upstreams that answer on it.

Entry VMs, upstreams and callers run on loopback; the store is in memory.
"""

import asyncio
import itertools

import pytest

from lagoonrun_router import prompt_part_digests
from lagoonrun_router.call import PromptPart
from lagoonrun_standins import crashing_pool
from lagoonrun_standins.router_samples import make_stream_route
from lagoonrun_standins.router_world import wait_for

BAD_PART = "bad"
CRASHES_BEFORE = 5
MAX_LATER = 3
"""Requests with the part that may still reach an upstream after the fifth
crash."""

REASON = "crashed-upstreams"
REQUESTS = 24
ORDERS = ("instructions,bad,{}", "bad,instructions,{}")

_numbers = itertools.count(1)


def has_bad_part(head, body):
    """Return whether the prompt of a request has the part."""
    del body
    return BAD_PART in (head.headers.get("Prompt") or "").split(",")


async def fleet(world_of, **options):
    """Return three entry VMs and five upstreams that crash on the part."""
    return await crashing_pool.start_fleet(
        world_of, make_stream_route(), crashes_on=has_bad_part, **options
    )


async def ask(world, prompt, **options):
    """Send a request that has its id, its body and its last part to itself."""
    number = next(_numbers)
    return await world.ask(
        "/lookups/1",
        method="POST",
        id=f"r-{number}",
        body=f"question {number}".encode(),
        headers=(f"Prompt: {prompt.format(f'last-{number}')}",),
        **options,
    )


async def send_mixed(worlds, pool, prompt, *, requests=REQUESTS):
    """Send requests with the part and sound ones, at all entry VMs in turn.

    Returns the responses to those with the part.
    """
    responses = []
    for number in range(requests):
        world = worlds[number % len(worlds)]
        responses.append(await ask(world, prompt))
        await pool.replace_crashed()
        sound = await asyncio.gather(
            *(ask(one, "instructions,manual,{}") for one in worlds)
        )
        assert [one.status for one in sound] == [200] * len(worlds)
    return responses


def is_refused(response):
    """Return whether a request was refused for the crashes."""
    return response.headers.get("lagoonrun-reason") == REASON


def digest_of(part, *, model=""):
    """Return the digest of a part in the pool of the tests."""
    (digest,) = prompt_part_digests.digests_of(
        (PromptPart(id=part, tokens=1), PromptPart(id="last", tokens=1)),
        pool="portal",
        model=model,
    )
    return digest


@pytest.mark.parametrize("moment", crashing_pool.CrashMoment)
@pytest.mark.parametrize("prompt", ORDERS)
async def test_requests_with_a_part_that_crashed_upstreams_are_rejected(
    world_of, moment, prompt
):
    """Guards against a prompt part that crashed 18 upstreams, one after another.

    No two of its requests were alike, so that none was blocked.
    """
    worlds, pool = await fleet(world_of)
    pool.moment = moment
    responses = await send_mixed(worlds, pool, prompt)
    assert len(pool.crashed) <= CRASHES_BEFORE + MAX_LATER
    for response in responses[-len(worlds) :]:
        assert is_refused(response)
        assert response.status == 503
        assert response.headers["lagoonrun-outcome"] == "not-run"
        assert float(response.headers["retry-after"]) > 0


async def test_callers_that_repeat_their_requests_crash_no_more_upstreams(
    world_of,
):
    """Guards against evidence that is used up by the first request blocked."""
    worlds, pool = await fleet(world_of)
    for number in range(REQUESTS):
        body = f"question of caller {number // 3}".encode()
        await worlds[number % 3].ask(
            "/lookups/1",
            method="POST",
            id=f"again-{number}",
            body=body,
            headers=(f"Prompt: instructions,bad,last-{number // 3}",),
        )
        await pool.replace_crashed()
        assert (await ask(worlds[0], "instructions,{}")).status == 200
    assert len(pool.crashed) <= CRASHES_BEFORE + MAX_LATER


async def answer_sound(worlds, prompt="instructions,bad,{}"):
    """Have requests with the part answered while it crashes nothing."""
    for number in range(12):
        got = await ask(worlds[number % len(worlds)], prompt)
        assert got.status == 200


async def send_repeated(worlds, pool, *, requests=REQUESTS):
    """Send each request with the part three times, and sound ones between."""
    for number in range(requests):
        await worlds[number % len(worlds)].ask(
            "/lookups/1",
            method="POST",
            id=f"turned-{number}",
            body=f"question of caller {number // 3}".encode(),
            headers=(f"Prompt: instructions,bad,last-{number // 3}",),
        )
        await pool.replace_crashed()
        assert (await ask(worlds[0], "instructions,manual,{}")).status == 200


async def test_part_that_begins_to_crash_upstreams_is_rejected(world_of):
    """Guards against setting crashes aside for what was answered before them.

    Each caller repeats its request, and no repetition counted against the part.
    """
    worlds, pool = await fleet(world_of)
    pool.repaired = True
    await answer_sound(worlds)
    pool.repaired = False
    await send_repeated(worlds, pool)
    assert len(pool.crashed) <= CRASHES_BEFORE + MAX_LATER
    assert is_refused(await ask(worlds[0], "instructions,bad,{}"))


async def test_part_that_begins_to_crash_all_versions_is_rejected(world_of):
    """Guards against sparing a version for what it answered before."""
    worlds, pool = await fleet(world_of, versions=("v1", "v2"))
    pool.repaired = True
    await answer_sound(worlds)
    pool.repaired = False
    await send_repeated(worlds, pool)
    assert len(pool.crashed) <= CRASHES_BEFORE + MAX_LATER
    assert is_refused(await ask(worlds[0], "instructions,bad,{}"))


@pytest.mark.parametrize("keeps_id", [False, True])
async def test_crash_of_an_upstream_that_is_back_at_once_is_noticed(
    world_of, keeps_id
):
    """Guards against a crash that the probe of the next process hides."""
    worlds, pool = await fleet(world_of)
    pool.back_at_once = True
    pool.keeps_id = keeps_id
    for number in range(REQUESTS):
        await ask(worlds[number % len(worlds)], "instructions,bad,{}")
        for world in worlds:
            await wait_for(lambda world=world: world.knows(pool.newest_id))
            await wait_for(
                lambda world=world: (
                    world.router.replica.store_revision
                    >= worlds[0].store.revision
                )
            )
    assert len(pool.crashed) <= CRASHES_BEFORE + MAX_LATER


async def test_block_outlives_the_loss_of_its_key(world_of):
    """Guards against taking a lapsed lease for an operator's word."""
    worlds, pool = await fleet(world_of)
    await block_everywhere(worlds, pool)
    prefix = worlds[0].layout.blocked_requests_prefix
    key = f"{prefix}{digest_of(BAD_PART)}"
    while key not in await worlds[0].keys(prefix):
        seen = worlds[0].store.revision
        await wait_for(lambda seen=seen: worlds[0].store.revision > seen)
    await worlds[0].remove(key)
    removed_at = worlds[0].store.revision
    for world in worlds:
        await wait_for(
            lambda world=world: (
                world.router.replica.store_revision >= removed_at
            )
        )
        assert is_refused(await ask(world, "instructions,bad,{}"))


async def test_two_parts_that_crash_upstreams_are_both_rejected(world_of):
    """Guards against crashes under one part that hide those under another."""
    worlds, pool = await crashing_pool.start_fleet(
        world_of,
        make_stream_route(),
        crashes_on=lambda head, body: (
            has_bad_part(head, body)
            or "worse" in (head.headers.get("Prompt") or "")
        ),
    )
    for number in range(REQUESTS):
        world = worlds[number % 3]
        part = ("bad", "worse")[number // 3 % 2]
        await ask(world, f"instructions,{part},{{}}")
        await pool.replace_crashed()
        assert (await ask(world, "instructions,{}")).status == 200
    assert len(pool.crashed) <= 2 * (CRASHES_BEFORE + MAX_LATER)
    for part in ("bad", "worse"):
        assert is_refused(await ask(worlds[0], f"instructions,{part},{{}}"))


async def block_everywhere(worlds, pool, prompt="instructions,bad,{}"):
    """Send requests with the part until all entry VMs refuse them."""
    await send_mixed(worlds, pool, prompt, requests=9)
    for world in worlds:
        assert is_refused(await ask(world, prompt))


async def test_block_of_a_part_outlives_all_entry_vms(world_of):
    """Guards against a part that runs again after the whole fleet is killed."""
    worlds, pool = await fleet(world_of)
    await block_everywhere(worlds, pool)
    prefix = worlds[0].layout.blocked_requests_prefix
    while not await worlds[0].keys(prefix):
        seen = worlds[0].store.revision
        await wait_for(lambda seen=seen: worlds[0].store.revision > seen)
    for world in worlds:
        await world.router.close()
    again = await world_of(name="vm-0")
    await again.declare(make_stream_route(), revision=3)
    await again.ready()
    assert is_refused(await ask(again, "manual,bad,{}"))
    assert (await ask(again, "instructions,manual,{}")).status == 200


async def test_part_is_blocked_for_its_model_only(world_of):
    """Guards against refusing a part to models that answer on it."""
    worlds, pool = await fleet(world_of)
    await block_everywhere(worlds, pool)
    pool.repaired = True
    got = await worlds[0].ask(
        "/lookups/1",
        id="r-model",
        headers=("Prompt: instructions,bad,last", "Model: other"),
    )
    assert got.status == 200


async def test_lifted_part_runs_again(world_of):
    """An operator has repaired the engine and unblocks the part."""
    worlds, pool = await fleet(world_of)
    await block_everywhere(worlds, pool)
    pool.repaired = True
    assert worlds[1].router.crashing_requests.lift(digest_of(BAD_PART))
    for world in worlds:
        await wait_for(
            lambda world=world: not world.router.crashing_requests.blocks()
        )
        assert (await ask(world, "instructions,bad,{}")).status == 200


async def test_upstreams_that_crash_by_themselves_block_no_part(world_of):
    """Guards against refusing callers because of crashes they didn't cause."""
    worlds, pool = await fleet(world_of)
    for number in range(2 * crashing_pool.POOL_SIZE):
        running = asyncio.gather(
            *(ask(one, "instructions,manual,{}") for one in worlds)
        )
        await pool.crash(sorted(pool.living)[0])
        await running
        await pool.replace_crashed()
        for world in worlds:
            got = await ask(world, f"instructions,part-{number % 2},{{}}")
            assert got.status == 200
    for world in worlds:
        assert not world.router.crashing_requests.blocks()
