"""The part of `make demo` that shows adaptive pools.

Two entry VMs on loopback serve two pools. In one of them, an organisation asks
for ten times as much as another while the pool is short of capacity. In the
other, an upstream states in its answers that its work takes longer than usual.
"""

import asyncio
import collections
import contextlib
import hashlib
import io
import itertools
import json
import logging

from lagoonrun_cli import main
from lagoonrun_core import types
from lagoonrun_http import exchange as exchanges
from lagoonrun_platform import memory_store
from lagoonrun_router import declarations
from lagoonrun_standins import (
    router_samples,
    router_upstream,
    router_words,
    router_world,
)

_CONTENDED = types.PoolName("contended")
_UNEVEN = types.PoolName("uneven")

_LARGE = types.OrganisationId("maison-carthage")
_SMALL = types.OrganisationId("maison-zaghouan")
_KEY_BY_ORGANISATION = {_LARGE: "key-of-carthage", _SMALL: "key-of-zaghouan"}

_TARGET_SECONDS = 0.5
_LIMIT_SECONDS = 3.0
_SLOTS = 64

_HELD_TOKENS = 30_000
"""Prompt tokens of the request that makes a pool short: at the default speed
they take 0.75 s, longer than the target."""

_SHORT_PROMPT_TOKENS = 1000
_LONG_PROMPT_TOKENS = 10_000

_ROUNDS = 12
_LARGE_PER_ROUND = 10
_MIN_REFUSED = 10

_REQUESTS_TO_UNEVEN = 40
_MAX_REQUESTS_TO_SLOW = 8

_USUAL_PERCENT = 100
_SLOW_PERCENT = 400
_MIN_SHOWN_SLOWNESS = 2.0
"""The first report from a slow upstream counts half in its mean, 2.5."""


class _Runner:
    """An upstream that states its slowness.

    Attributes
    ----------
    upstream
        The server.
    arrivals
        Number of its requests.
    release
        Ends the requests with the header `Hold`.
    """

    def __init__(self, id: str, *, slowness_percent: int | None = None) -> None:
        self.upstream = router_upstream.Upstream(self._answer, id=id)
        self.arrivals = 0
        self.release = asyncio.Event()
        self._load = {}
        if slowness_percent is not None:
            self._load = {"Load": f"0,0,{_SLOTS},{slowness_percent}"}

    async def _answer(self, exchange: exchanges.Exchange) -> None:
        self.arrivals += 1
        if "Hold" in exchange.head.headers:
            await self.release.wait()
        await exchange.respond(
            status=200,
            headers=router_upstream.marked(exchange, **self._load),
            body=b"whole",
        )


class _Demo:
    """Sends requests to two entry VMs and collects the differences."""

    def __init__(self) -> None:
        self.differences: list[str] = []
        self._numbers = itertools.count(1)
        self._contended = _Runner("contended-1")
        self._usual = _Runner("usual-1", slowness_percent=_USUAL_PERCENT)
        self._slow = _Runner("slow-1", slowness_percent=_SLOW_PERCENT)
        store = memory_store.MemoryStore()
        layout = router_words.PlainLayout()
        self._worlds = [
            router_world.make_world(
                f"entry-{number}", store=store, layout=layout, contended=True
            )
            for number in (1, 2)
        ]

    async def run(self) -> None:
        """Start all processes, show shares and speeds, and stop."""
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            await self._show_shares()
            await self._show_speeds()

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        first = self._worlds[0]
        # Written before the entry VMs start, which read it once at their start
        # and watch for changes only a second later.
        await _declare(first)
        pools = {
            self._contended: _CONTENDED,
            self._usual: _UNEVEN,
            self._slow: _UNEVEN,
        }
        for runner, pool in pools.items():
            await runner.upstream.start()
            stack.push_async_callback(runner.upstream.close)
            await first.register(
                runner.upstream, pool=pool, slots=_SLOTS, start=1
            )
        for world in self._worlds:
            await world.router.start()
            stack.push_async_callback(world.router.close)
        for world in self._worlds:
            await world.ready()
            await router_world.wait_for(
                lambda one=world: one.router.peer_count == 1
            )

    # Shares.

    async def _show_shares(self) -> None:
        """Let one organisation ask for ten times as much as another."""
        held = asyncio.create_task(
            self._ask(
                _CONTENDED, _LARGE, tokens=_HELD_TOKENS, headers=["Hold: 1"]
            )
        )
        upstream = self._contended.upstream
        for world in self._worlds:
            await router_world.wait_for(
                lambda one=world: one.router.known_running(upstream.id) == 1
            )
        statuses = {one: collections.Counter() for one in (_LARGE, _SMALL)}
        refused = []
        for number in range(_ROUNDS):
            world = self._worlds[number % len(self._worlds)]
            for organisation in (*(_LARGE,) * _LARGE_PER_ROUND, _SMALL):
                answer = await self._ask(
                    _CONTENDED,
                    organisation,
                    tokens=_SHORT_PROMPT_TOKENS,
                    world=world,
                )
                statuses[organisation][answer.status] += 1
                if answer.status != 200:
                    refused.append(answer)
        self._contended.release.set()
        self._check((await held).status == 200, "the held request failed")
        self._report_shares(statuses, refused)

    def _report_shares(
        self,
        statuses: dict[types.OrganisationId, collections.Counter[int]],
        refused: list[router_world.Answer],
    ) -> None:
        print(f"pool {_CONTENDED}, short of capacity:")
        for organisation, counts in statuses.items():
            print(
                f"    {organisation} asked {counts.total()} times:"
                f" {counts[200]} served, {counts[503]} refused"
            )
        large, small = statuses[_LARGE], statuses[_SMALL]
        self._check(
            small == {200: _ROUNDS}, f"statuses of {_SMALL}: {dict(small)}"
        )
        self._check(
            set(large) == {200, 503} and large[503] >= _MIN_REFUSED,
            f"statuses of {_LARGE}: {dict(large)}",
        )
        over_share = [one for one in refused if b"over-share" in one.body]
        self._check(
            len(over_share) >= _MIN_REFUSED,
            f"{len(over_share)} of {len(refused)} refused as over-share",
        )
        for answer in refused:
            retry_after = float(answer.headers.get("retry-after", 0.0))
            # Refused callers are told to return, and don't. Where the demo
            # takes longer than that, room is kept for them.
            is_reserved = b"reserved" in answer.body
            self._check(
                (answer in over_share or is_reserved)
                and 0.0 < retry_after < _LIMIT_SECONDS / 3,
                f"refusal {answer.body!r}, Retry-After {retry_after}",
            )
        if refused:
            answer = refused[-1]
            text = answer.body.decode(errors="replace").strip()
            print(
                f"a refused request: {answer.status},"
                f" Retry-After {answer.headers.get('retry-after')}"
            )
            print(f"    {text!r}")

    # Speeds.

    async def _show_speeds(self) -> None:
        """Let an upstream state that its work takes four times as long."""
        runners = (self._usual, self._slow)
        async with asyncio.timeout(router_world.WAIT_SECONDS):
            while not all(one.arrivals for one in runners):
                await self._ask(_UNEVEN, _SMALL, tokens=_LONG_PROMPT_TOKENS)
        for runner in runners:
            runner.arrivals = 0
        for _ in range(_REQUESTS_TO_UNEVEN):
            answer = await self._ask(
                _UNEVEN, _SMALL, tokens=_LONG_PROMPT_TOKENS
            )
            self._check(answer.status == 200, f"uneven: {answer.status}")
        await self._show_load()
        print(
            f"pool {_UNEVEN}, {_REQUESTS_TO_UNEVEN} requests after the first"
            " reports:"
        )
        for runner in runners:
            print(f"    {runner.upstream.id} got {runner.arrivals}")
        self._check(
            self._slow.arrivals <= _MAX_REQUESTS_TO_SLOW,
            f"slow-1 got {self._slow.arrivals} requests",
        )

    async def _show_load(self) -> None:
        """Run `lagoonrun load` for the first entry VM and check its output."""
        metrics = self._worlds[0].settings.metrics
        words = ["load", f"--entry_vms={metrics.host}:{metrics.port}"]
        print(f"$ lagoonrun {' '.join(words)}")
        out = io.StringIO()
        code = await main.execute([*words, "--json"], out=out, err=out)
        self._check(code == 0, f"lagoonrun load ended with {code}")
        if code == 0:
            shown = json.loads(out.getvalue())
            slowness = {
                one["upstream"]: one["slowness"] for one in shown["upstreams"]
            }
            self._check(
                slowness.get("usual-1") == 1.0
                and slowness.get("slow-1", 0.0) > _MIN_SHOWN_SLOWNESS,
                f"lagoonrun load shows the slowness {slowness}",
            )
        out = io.StringIO()
        await main.execute(words, out=out, err=out)
        print(out.getvalue(), end="")

    # Helpers.

    async def _ask(
        self,
        pool: types.PoolName,
        organisation: types.OrganisationId,
        *,
        tokens: int,
        world: router_world.World | None = None,
        headers: list[str] | None = None,
    ) -> router_world.Answer:
        """Send a request, to the first entry VM unless stated otherwise."""
        id = f"r-{next(self._numbers)}"
        return await (world or self._worlds[0]).ask(
            f"/{pool}/{id}",
            id=id,
            key=_KEY_BY_ORGANISATION[organisation],
            headers=[f"Tokens: {tokens}", *(headers or ())],
        )

    def _check(self, condition: bool, difference: str) -> None:
        if not condition:
            self.differences.append(difference)


async def _declare(world: router_world.World) -> None:
    """Declare both pools with their routes, and both organisations."""
    pools = (_CONTENDED, _UNEVEN)
    routes = []
    for pool in pools:
        destinations = (declarations.Destination(pool=pool),)
        routes += [
            router_samples.make_route(
                name=pool,
                path_prefix=f"/{pool}/",
                destinations=destinations,
                target_seconds=_TARGET_SECONDS,
                limit_seconds=_LIMIT_SECONDS,
            ),
            # Late requests of the lowest tier yield to all others. Without a
            # lower one, the held request would not make its pool short.
            router_samples.make_route(
                name=f"{pool}-batches",
                path_prefix=f"/batches/{pool}/",
                destinations=destinations,
                tier=2,
            ),
        ]
    await world.declare(
        *routes,
        pools_by_name={
            pool: declarations.Pool(
                name=pool,
                maximum_connections=64,
                engine=declarations.Engine(
                    slots=_SLOTS, cache_tokens=1_000_000
                ),
            )
            for pool in pools
        },
        organisations_by_id={
            id: declarations.RankedOrganisation(
                id=id, key_digests=(hashlib.sha256(key.encode()).hexdigest(),)
            )
            for id, key in _KEY_BY_ORGANISATION.items()
        },
    )


async def run() -> list[str]:
    """Show adaptive pools; return what was not as expected."""
    # The entry VMs run in this process. Their warnings of refused requests
    # would be written to its error stream without a handler.
    logger = logging.getLogger("lagoonrun")
    handler = logging.NullHandler()
    logger.addHandler(handler)
    try:
        demo = _Demo()
        await demo.run()
    finally:
        logger.removeHandler(handler)
    return demo.differences
