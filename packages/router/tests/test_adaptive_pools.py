"""Adaptive pools, over real sockets.

Their upstreams state how long work takes, or their callers compete for too
little capacity.
"""

import asyncio
import hashlib
import itertools
import logging

import pytest

from lagoonrun_http import messages as http_messages
from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import (
    adaptive_load,
    declarations,
    peer_socket,
    pool_capacity,
)
from lagoonrun_standins.router_samples import (
    KEY,
    make_route,
    make_stream_route,
)
from lagoonrun_standins.router_upstream import answer_whole, marked
from lagoonrun_standins.router_world import WAIT_SECONDS, wait_for

GARDEN_KEY = "key-of-garden"
POOL = "portal"
TARGET_SECONDS = 0.5
LIMIT_SECONDS = 3.0
MAX_RETRY_SECONDS = 0.3 * LIMIT_SECONDS + 0.001
"""Longest Retry-After, which is rounded to milliseconds."""

DEFAULT_TOKENS_PER_SECOND = 40_000.0

_NUMBERS = itertools.count(1)


class LoadedUpstream:
    """Answers at once, or holds requests with the header `Hold`.

    Attributes
    ----------
    load
        Figures that its answers state; empty for none.
    seconds
        Time after which it answers.
    arrivals
        Number of requests.
    release
        Ends the requests that it holds.
    """

    def __init__(self, load="", seconds=0.0):
        self.load = load
        self.seconds = seconds
        self.arrivals = 0
        self.release = asyncio.Event()

    async def answer(self, exchange):
        """Answer one request."""
        self.arrivals += 1
        if "Hold" in exchange.head.headers:
            await self.release.wait()
        if self.seconds:
            await asyncio.sleep(self.seconds)
        more = {"Load": self.load} if self.load else {}
        await exchange.respond(
            status=200, headers=marked(exchange, **more), body=b"whole"
        )

    async def answer_events(self, exchange):
        """Answer one request with an event stream."""
        self.arrivals += 1
        more = {"Load": self.load} if self.load else {}
        headers = marked(exchange, Content_Type="text/event-stream", **more)
        await exchange.start(
            http_messages.ResponseHead(status=200, headers=headers)
        )
        await exchange.send(b"id: 1\ndata: x\n\n")
        await exchange.finish()


def organisation(id, key):
    """Return an organisation that is identified by a key."""
    return declarations.RankedOrganisation(
        id=id, key_digests=(hashlib.sha256(key.encode()).hexdigest(),)
    )


async def declare(world, route=None, *, engine=True):
    """Declare one pool with two organisations."""
    route = route or make_route(
        target_seconds=TARGET_SECONDS, limit_seconds=LIMIT_SECONDS
    )
    # Late requests of the lowest tier yield to all others, so that they do not
    # occupy an upstream for them.
    lowest = make_route(name="batches", path_prefix="/batches/", tier=2)
    await world.declare(
        route,
        lowest,
        revision=2,
        pools_by_name={
            POOL: declarations.Pool(
                name=POOL,
                maximum_connections=64,
                engine=declarations.Engine(slots=64, cache_tokens=1_000_000)
                if engine
                else None,
            )
        },
        organisations_by_id={
            "house": organisation("house", KEY),
            "garden": organisation("garden", GARDEN_KEY),
        },
    )


async def fleet(
    world_of, upstreams, *, route=None, engine=True, slots=64, **changes
):
    """Return one entry VM for each domain, with the upstreams of one pool."""
    domains = changes.pop("domains", ("north",))
    values = {"contended": True, **changes}
    worlds = [
        await world_of(name=f"vm-{number}", domain=domain, **values)
        for number, domain in enumerate(domains, start=1)
    ]
    await declare(worlds[0], route, engine=engine)
    for id, answer in upstreams.items():
        await worlds[0].add_upstream(answer, id, slots=slots, start=1)
    for world in worlds:
        await world.ready()
        await wait_for(lambda w=world: w.router.replica.revision == 2)
        for id in upstreams:
            await wait_for(lambda w=world, one=id: w.knows(one))
        await wait_for(lambda w=world: w.router.peer_count == len(worlds) - 1)
    return worlds


async def ask(world, *, tokens=1000, id="", key=KEY, headers=(), **options):
    """Send a request, by default with an id and a digest of its own."""
    id = id or f"r-{next(_NUMBERS)}"
    return await world.ask(
        f"/lookups/{id}",
        id=id,
        key=key,
        headers=[f"Tokens: {tokens}", *headers],
        **options,
    )


async def ask_until(world, condition, **options):
    """Send requests, one after the other, until `condition` holds."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await ask(world, **options)


async def occupy(world, upstream, *, tokens):
    """Send a request that its upstream holds; return its task.

    Requests that other entry VMs sent before must have ended as far as this one
    knows: their report may be older, and the request would be refused.
    """
    await wait_for(lambda: world.router.known_running("u-1") == 0)
    before = upstream.arrivals
    task = asyncio.create_task(ask(world, tokens=tokens, headers=["Hold: 1"]))
    await wait_for(lambda: upstream.arrivals > before)
    return task


def sample(world, name, **labels):
    """Return the value of a metric; None if it has no such series."""
    world.router.metrics_text()
    return world.router.metrics.registry.get_sample_value(
        f"lagoonrun_{name}", labels
    )


def slowness(world, upstream="u-1"):
    """Return the slowness that an entry VM expects of an upstream."""
    return sample(world, "upstream_slowness", pool=POOL, upstream=upstream)


def speed(world, upstream="u-1"):
    """Return the lasting speed that an entry VM expects of an upstream."""
    return sample(
        world, "upstream_tokens_per_second", pool=POOL, upstream=upstream
    )


def asked(world, organisation):
    """Return the demand of an organisation as an entry VM knows it."""
    return sample(
        world,
        "organisation_asked_tokens_per_second",
        pool=POOL,
        organisation=organisation,
    )


def returns(world, arrival):
    """Return the number of requests that arrived in relation to a time."""
    return sample(world, "returns_total", pool=POOL, arrival=arrival) or 0


# Speeds.


async def test_slow_upstream_of_an_engine_pool_gets_fewer_requests(world_of):
    """Guards against prompts that wait at a slow upstream beside a fast one."""
    fast = LoadedUpstream("0,0,64,100")
    slow = LoadedUpstream("0,0,64,400")
    (world,) = await fleet(
        world_of, {"u-fast": fast.answer, "u-slow": slow.answer}
    )
    await ask_until(world, lambda: fast.arrivals and slow.arrivals)
    fast.arrivals = slow.arrivals = 0
    for _ in range(40):
        await ask(world, tokens=10_000)
    assert slow.arrivals <= 8


async def test_slow_plain_upstream_gets_fewer_requests(world_of):
    """Guards against requests that wait for a slow plain service."""
    fast = LoadedUpstream("0,0,8,100", seconds=0.002)
    slow = LoadedUpstream("0,0,8,400", seconds=0.04)
    (world,) = await fleet(
        world_of,
        {"u-fast": fast.answer, "u-slow": slow.answer},
        # The slow one uses up most of the target.
        route=make_route(target_seconds=0.05),
        engine=False,
        contended=False,
    )
    await ask_until(world, lambda: fast.arrivals and slow.arrivals, tokens=0)
    fast.arrivals = slow.arrivals = 0
    for _ in range(40):
        await ask(world, tokens=0)
    assert slow.arrivals <= 8


@pytest.mark.parametrize("domains", [("north", "north"), ("north", "south")])
async def test_speeds_reach_other_entry_vms(world_of, domains):
    """Guards against entry VMs that each have to meet a slow upstream."""
    upstream = LoadedUpstream("0,0,64,100")
    first, second = await fleet(
        world_of,
        {"u-1": upstream.answer_events},
        route=make_stream_route(target_seconds=TARGET_SECONDS),
        domains=domains,
    )
    await ask(second, tokens=1)
    assert speed(second) == DEFAULT_TOKENS_PER_SECOND
    upstream.load = "0,0,64,400"
    await ask_until(
        first,
        lambda: (
            slowness(second) > 2.0
            and speed(second) != DEFAULT_TOKENS_PER_SECOND
        ),
        tokens=5000,
    )
    assert upstream.arrivals > 1


async def test_upstream_that_restarts_under_its_id_is_forgotten(world_of):
    """Guards against the speed of a process that has ended."""
    upstream = LoadedUpstream("0,0,64,400")
    (world,) = await fleet(
        world_of,
        {"u-1": upstream.answer_events},
        route=make_stream_route(target_seconds=TARGET_SECONDS),
    )
    await ask_until(
        world,
        lambda: (
            slowness(world) is not None
            and slowness(world) > 2.0
            and speed(world) != DEFAULT_TOKENS_PER_SECOND
        ),
        tokens=5000,
    )
    (before,) = world.router.directory.registrations
    await world.register_at("u-1", before.port, slots=64, start=2)
    await wait_for(lambda: slowness(world) == 1.0)
    assert speed(world) == DEFAULT_TOKENS_PER_SECOND


# Demand and shares.


@pytest.mark.parametrize("domains", [("north", "north"), ("north", "south")])
async def test_demand_reaches_other_entry_vms_and_ends_with_its_sender(
    world_of, domains
):
    """Guards against shares of local demand, and against that of a lost VM."""
    upstream = LoadedUpstream()
    first, second = await fleet(
        world_of, {"u-1": upstream.answer}, domains=domains
    )
    await ask(second, key=GARDEN_KEY)
    await ask_until(first, lambda: (asked(second, "house") or 0.0) > 5000.0)
    await first.router.close()
    await wait_for(lambda: not asked(second, "house"))


async def test_organisation_above_its_share_is_refused_for_the_others(
    world_of, caplog
):
    """Guards against one organisation that takes the capacity of all."""
    upstream = LoadedUpstream()
    (world,) = await fleet(world_of, {"u-1": upstream.answer})
    # Its prompt takes 0.75 s, so the pool is short for a target of 0.5 s.
    held = await occupy(world, upstream, tokens=30_000)
    answers = {"house": [], "garden": []}
    with caplog.at_level(logging.WARNING, logger="lagoonrun"):
        for number in range(132):
            garden = number % 11 == 0
            got = await ask(world, key=GARDEN_KEY if garden else KEY)
            answers["garden" if garden else "house"].append(got)
    assert {one.status for one in answers["garden"]} == {200}
    refused = [one for one in answers["house"] if one.status != 200]
    assert len(refused) >= 10
    assert len(refused) < len(answers["house"])
    for one in refused:
        assert one.status == 503
        assert b"over-share" in one.body or b"reserved" in one.body
        assert 0.0 < float(one.headers["retry-after"]) <= MAX_RETRY_SECONDS
    records = [
        one for one in caplog.records if one.message == "request-refused"
    ]
    assert len(records) == len(refused)
    for one in records:
        # What its other callers were promised is reserved for them.
        assert one.detail in {"over-share", "reserved"}
        assert one.organisation == "house"
        assert one.arrival == "new"
        assert one.asked > one.fair_rate > 0
        assert 0.0 < one.fraction < 1.0
        assert one.from_fleet is False
        assert 0.0 < one.retry_after <= MAX_RETRY_SECONDS
    refusals = {
        reason: sample(
            world, "refusals_total", pool=POOL, tier="1", reason=reason
        )
        for reason in ("over-share", "reserved")
    }
    assert refusals["over-share"] > 0
    assert sum(one or 0 for one in refusals.values()) == len(refused)
    upstream.release.set()
    assert (await held).status == 200


# Returning callers.


@pytest.fixture
def current_rooms(monkeypatch):
    """Compute the room of a pool for each request."""
    monkeypatch.setattr(adaptive_load, "ROOM_SECONDS", 0.0)


@pytest.mark.usefixtures("current_rooms")
async def test_refused_caller_returns_in_time_at_another_entry_vm(world_of):
    """Guards against callers that return as told and count as new."""
    upstream = LoadedUpstream()
    first, second = await fleet(
        world_of,
        {"u-1": upstream.answer},
        domains=("north", "north"),
        slots=1,
    )
    await ask(second)
    # It takes the only slot, and its prompt half a second above the target.
    held = await occupy(first, upstream, tokens=40_000)
    refused = await ask(first, id="again")
    assert (refused.status, b"no-room" in refused.body) == (503, True)
    retry_after = float(refused.headers["retry-after"])
    assert 0.5 <= retry_after <= MAX_RETRY_SECONDS
    upstream.release.set()
    assert (await held).status == 200
    # The caller honours the time that it was told.
    await asyncio.sleep(retry_after)
    got = await ask(second, id="again")
    assert got.status == 200
    assert returns(second, "invited") == 1
    assert returns(first, "new") == 2


async def test_caller_that_returns_early_keeps_its_time(world_of):
    """Guards against callers that gain a new time by each repetition."""
    upstream = LoadedUpstream()
    (world,) = await fleet(world_of, {"u-1": upstream.answer}, slots=1)
    held = await occupy(world, upstream, tokens=40_000)
    first = await ask(world, id="again")
    second = await ask(world, id="again")
    assert returns(world, "early") == 1
    assert float(second.headers["retry-after"]) < float(
        first.headers["retry-after"]
    )
    upstream.release.set()
    await held


async def test_invitation_arrives_before_the_caller(world_of):
    """Guards against callers that return sooner than their invitation.

    It is due after 0.25 s, while an unchanged state is sent after 0.4 s.
    """
    upstream = LoadedUpstream()
    first, second = await fleet(
        world_of,
        {"u-1": upstream.answer},
        domains=("north", "north"),
        slots=1,
    )
    await ask(second)
    held = await occupy(first, upstream, tokens=1000)
    known = []
    for number in range(4):
        id = f"again-{number}"
        refused = await ask(first, id=id)
        assert refused.status == 503
        await asyncio.sleep(float(refused.headers["retry-after"]))
        before = returns(second, "invited")
        await ask(second, id=id)
        known.append(returns(second, "invited") > before)
        # Until the next state without changes has been sent.
        await asyncio.sleep(0.5)
    upstream.release.set()
    await held
    assert all(known)


# Pools that are not adaptive.


async def test_room_is_that_of_all_upstreams_of_the_pool(world_of, monkeypatch):
    """Guards against room without the upstreams that are closed for a request.

    Other requests use the same room for 0.05 s.
    """
    seen = []
    original = pool_capacity.PoolCapacity.admit

    def admit(self, call, base, pool_upstreams, **options):
        seen.append({one.id for one in pool_upstreams})
        return original(self, call, base, pool_upstreams, **options)

    monkeypatch.setattr(pool_capacity.PoolCapacity, "admit", admit)

    async def rest(exchange):
        await exchange.respond(
            status=503,
            headers=marked(exchange, Not_Run="1", Retry_After="5"),
            body=b"",
        )

    world = await world_of(contended=True)
    await declare(world)
    await world.add_upstream(rest, id="u-1")
    await ask(world)
    await world.add_upstream(LoadedUpstream().answer, id="u-2")
    await ask(world)
    assert seen[-1] == {"u-1", "u-2"}


async def test_admitted_request_is_not_refused_when_it_is_sent_again(
    world_of, monkeypatch
):
    """Guards against admitted callers that lose their place by a lost upstream.

    Its invitation is redeemed by the first attempt, and its share is counted.
    """
    decided = []
    original = pool_capacity.PoolCapacity.admit

    def admit(self, call, base, pool_upstreams, **options):
        decided.append(call.request_id)
        return original(self, call, base, pool_upstreams, **options)

    monkeypatch.setattr(pool_capacity.PoolCapacity, "admit", admit)

    async def not_run(exchange):
        await exchange.respond(
            status=503, headers=marked(exchange, Not_Run="1"), body=b""
        )

    world = await world_of(contended=True)
    await declare(world, make_stream_route(maximum_attempts=2))
    await world.add_upstream(not_run, id="u-1")
    await world.add_upstream(not_run, id="u-2")
    await ask(world, id="r-again")
    assert decided == ["r-again"]


@pytest.fixture
def sent_messages(monkeypatch):
    """Return the list of all messages that entry VMs send to each other."""
    messages = []
    send = peer_socket.PeerSocket.send

    def recorded(self, message, addresses):
        messages.append(message)
        send(self, message, addresses)

    monkeypatch.setattr(peer_socket.PeerSocket, "send", recorded)
    return messages


def without_adaptive_fields(message):
    """Return a message of the fields that it had before adaptive pools."""
    names = set(type(message).__dataclass_fields__)
    names -= {"observations", "demands", "invitations"}
    return type(message)(**{name: getattr(message, name) for name in names})


async def test_messages_without_adaptive_pools_are_as_before(
    world_of, sent_messages
):
    """Guards against larger messages in deployments without adaptive pools."""
    upstream = LoadedUpstream("1,0,64")
    worlds = await fleet(
        world_of,
        {"u-1": upstream.answer},
        domains=("north", "north", "south"),
        slots=1,
        contended=False,
    )
    held = await occupy(worlds[0], upstream, tokens=40_000)
    for world in worlds:
        await ask(world)
    upstream.release.set()
    await held
    for world in worlds:
        await ask(world)
    sent_messages.clear()
    await wait_for(lambda: len(sent_messages) >= 20)
    states = [
        one
        for one in sent_messages
        if isinstance(
            one, (router_messages.RouterState, router_messages.DomainNews)
        )
    ]
    assert {type(one) for one in states} == {
        router_messages.RouterState,
        router_messages.DomainNews,
    }
    for one in states:
        assert router_codec.encode(one) == router_codec.encode(
            without_adaptive_fields(one)
        )


async def test_retry_after_without_adaptive_pools_is_as_before(world_of):
    """Guards against changed times in deployments without adaptive pools."""
    upstream = LoadedUpstream("1,0,64")
    (world,) = await fleet(
        world_of, {"u-1": upstream.answer}, slots=1, contended=False
    )
    held = await occupy(world, upstream, tokens=40_000)
    for _ in range(10):
        refused = await ask(world)
        assert (refused.status, b"no-room" in refused.body) == (503, True)
        assert 0.25 <= float(refused.headers["retry-after"]) <= 0.375
    assert returns(world, "new") == 0
    assert slowness(world) is None
    upstream.release.set()
    await held


async def test_contended_deployment_leaves_plain_pools_as_before(world_of):
    """Guards against shares in pools that reject excess requests themselves."""
    (world,) = await fleet(world_of, {"u-1": answer_whole}, engine=False)
    assert (await ask(world, tokens=0)).status == 200
    assert returns(world, "new") == 0
    assert slowness(world) is None


# Answers of which nothing is learnt.


async def test_quick_errors_do_not_make_a_plain_upstream_fast(world_of):
    """Guards against a failing upstream that attracts the requests.

    Its errors are answered sooner than requests are served.
    """

    async def fail(exchange):
        headers = marked(exchange, Load="0,0,8,100")
        await exchange.respond(status=500, headers=headers, body=b"oops")

    (world,) = await fleet(
        world_of, {"u-1": fail}, engine=False, contended=False
    )
    for _ in range(3):
        await ask(world, tokens=0)
    estimate = world.router._adaptive.speeds.estimate("u-1", now=0.0)
    assert estimate.service_seconds is None


async def test_upstream_without_a_service_time_is_taken_for_a_usual_one(
    world_of,
):
    """Guards against requests that all go to a failing upstream.

    Only errors are known of it, which do not show a service time.
    """
    served = LoadedUpstream("0,0,8,100", seconds=0.04)
    failures = 0

    async def fail(exchange):
        nonlocal failures
        failures += 1
        headers = marked(exchange, Load="0,0,8,100")
        await exchange.respond(status=404, headers=headers, body=b"none")

    (world,) = await fleet(
        world_of,
        {"u-1": served.answer, "u-2": fail},
        # The service time is most of the target.
        route=make_route(target_seconds=0.05),
        engine=False,
        contended=False,
    )
    await ask_until(world, lambda: served.arrivals and failures, tokens=0)
    served.arrivals = failures = 0
    for _ in range(30):
        await ask(world, tokens=0)
    assert served.arrivals >= 8


async def test_answer_without_a_load_counts_at_the_usual_slowness(
    world_of, monkeypatch
):
    """Guards against speeds of a slow upstream that look like lasting ones.

    Some of its answers do not state the load.
    """
    upstream = LoadedUpstream("0,0,64,400")
    (world,) = await fleet(
        world_of,
        {"u-1": upstream.answer_events},
        route=make_stream_route(target_seconds=TARGET_SECONDS),
    )
    recorded = []
    monkeypatch.setattr(
        world.router._adaptive.speeds,
        "record_prefill",
        lambda *_, slowness, **__: recorded.append(slowness),
    )
    await ask(world)
    upstream.load = ""
    await ask(world)
    assert recorded == [4.0, None]
