"""Requests that are rejected, wait for declarations, or are cut short."""

import asyncio

from lagoonrun_router import declarations
from lagoonrun_standins.router_samples import make_route
from lagoonrun_standins.router_upstream import answer_whole
from lagoonrun_standins.router_world import WAIT_SECONDS, wait_for


async def test_unknown_key_is_a_401_and_unknown_path_a_404(world):
    await world.add_upstream()
    await world.ready()
    caller = await world.caller()
    caller.writer.write(
        b"GET /lookups/1 HTTP/1.1\r\nHost: portal.test\r\n"
        b"X-Request-Id: r\r\nAuthorization: Bearer wrong\r\n\r\n"
    )
    assert (await caller.answer()).status == 401
    assert (await world.ask("/nothing/1")).status == 404


async def test_public_route_needs_no_key(world):
    await world.declare(make_route(public=True), revision=2)
    await world.add_upstream()
    await world.ready()
    await wait_for(lambda: world.router.replica.revision == 2)
    caller = await world.caller()
    caller.writer.write(
        b"GET /lookups/1 HTTP/1.1\r\nHost: portal.test\r\n"
        b"X-Request-Id: r\r\n\r\n"
    )
    assert (await caller.answer()).status == 200


async def test_request_without_an_id_is_a_400(world):
    await world.add_upstream()
    await world.ready()
    caller = await world.caller()
    caller.writer.write(b"GET /lookups/1 HTTP/1.1\r\nHost: portal.test\r\n\r\n")
    assert (await caller.answer()).status == 400


async def test_requests_wait_a_moment_for_the_first_declarations(world_of):
    """All entry VMs restart at once and callers come back before them.

    The declarations are read some milliseconds later; a refusal would use up
    one of the callers' few retries.
    """
    world = await world_of()
    caller = await world.caller()
    caller.send("/lookups/1")
    await world.add_upstream()
    await world.declare()
    async with asyncio.timeout(WAIT_SECONDS):
        assert (await caller.answer()).status == 200


async def test_without_declarations_the_answer_is_a_truthful_503(world_of):
    world = await world_of()
    got = await world.ask("/lookups/1")
    assert got.status == 503
    assert got.headers["lagoonrun-outcome"] == "not-run"
    assert float(got.headers["retry-after"]) > 0
    assert not world.router.ready


async def test_no_upstream_is_a_truthful_503(world):
    await world.add_upstream(pool="other")
    await world.ready()
    got = await world.ask("/lookups/1")
    assert got.status == 503
    assert got.headers["lagoonrun-reason"] == "no-upstream"


async def test_key_taken_away_is_refused_on_an_open_connection(world):
    """Operators take a key away while its bearer is connected.

    Later requests on that connection must not get through.
    """
    await world.add_upstream()
    await world.ready()
    caller = await world.caller()
    assert (await caller.ask("/lookups/1")).status == 200
    await world.declare(revision=2, organisations_by_id={"x": _other()})
    await wait_for(lambda: world.router.replica.revision == 2)
    assert (await caller.ask("/lookups/1", id="r-2")).status == 401


async def test_declared_limits_bound_new_connections(world):
    await world.add_upstream(answer_whole)
    await world.ready()
    got = await world.ask("/lookups/1", method="POST", body=b"x" * 200_000)
    assert got.status == 413
    got = await world.ask("/lookups/1", headers=["Long: " + "x" * 20_000])
    assert got.status == 431


def _other():
    return declarations.RankedOrganisation(id="x", key_digests=("00",))


async def test_requests_wait_a_moment_for_the_first_upstreams(world_of):
    """All entry VMs restart; a peer tells the declarations before the store.

    The upstreams are read some milliseconds later; until then each request
    was refused, and its tier kept all lower ones out for seconds.
    """
    world = await world_of()
    await world.declare()
    await wait_for(lambda: world.router.replica.revision == 1)
    caller = await world.caller()
    caller.send("/lookups/1")
    await world.add_upstream()
    async with asyncio.timeout(WAIT_SECONDS):
        assert (await caller.answer()).status == 200


async def test_missing_upstreams_keep_no_lower_tier_out(world):
    """The engines of a pool are all gone for a moment.

    That is no overload: when they are back, lower tiers are let in at once.
    """
    pool = declarations.Pool(
        name="portal",
        maximum_connections=64,
        engine=declarations.Engine(slots=8, cache_tokens=100_000),
    )
    await world.declare(revision=2, pools_by_name={"portal": pool})
    await wait_for(lambda: world.router.replica.revision == 2)
    for number in range(5):
        refused = await world.ask("/lookups/1", id=f"r-{number}")
        assert refused.status == 503
    assert world.router._pressure.recent(now=0.0) == ()
