"""Fixtures: routers on loopback that end with the test."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from lagoonrun_platform import memory_store
from lagoonrun_router import retry_budget, router, settings, store_follower
from lagoonrun_standins.router_samples import HOST
from lagoonrun_standins.router_upstream import Upstream, answer_whole
from lagoonrun_standins.router_words import PlainDialect, PlainLayout
from lagoonrun_standins.router_world import World, free_ports


@pytest.fixture
async def upstream_of() -> AsyncIterator[Callable[..., Awaitable[Upstream]]]:
    """Return a function that starts upstreams; they end with the test."""
    started = []

    async def start(answer=answer_whole, id: str = "u-1") -> Upstream:
        made = Upstream(answer, id=id)
        await made.start()
        started.append(made)
        return made

    yield start
    for made in started:
        await made.close()


_SETTLE_SECONDS = 0.05


@pytest.fixture(autouse=True)
def quick_start(monkeypatch):
    """Have routers watch the store soon after their first reading."""
    monkeypatch.setattr(store_follower, "_SETTLE_SECONDS", _SETTLE_SECONDS)


@pytest.fixture
def rng():
    return random.Random(1)


@pytest.fixture
def store():
    return memory_store.MemoryStore()


@pytest.fixture
async def world_of(store, upstream_of):
    """Return a function that starts routers; they end with the test."""
    started = []
    layout = PlainLayout()

    async def start(name="vm-1", domain="north", seeds=(), **changes) -> World:
        ports = free_ports(4)
        platform = changes.pop("platform", None)
        addresses = [settings.Address(host=HOST, port=port) for port in ports]
        values = {
            "entry_vm": name,
            "domain": domain,
            "caller": addresses[0],
            "readiness": addresses[1],
            "peer": addresses[2],
            "metrics": addresses[3],
            "seeds": seeds,
            "store": settings.Address(host=HOST, port=1),
            "stop_seconds": 8.0,
            "retry_allowance": retry_budget.Allowance(
                ratio=0.2, window_seconds=10.0, fixed=50.0
            ),
            "reuse_seconds": 10.0,
        }
        configured = settings.RouterSettings(**{**values, **changes})
        made = router.Router(
            configured=configured,
            store=store,
            layout=layout,
            dialect=PlainDialect(),
            rng=random.Random(1),
            duty_platform=platform,
        )
        await made.start()
        started.append(made)
        return World(
            router=made,
            store=store,
            layout=layout,
            settings=configured,
            make_upstream=upstream_of,
        )

    yield start
    for made in started:
        await made.close()


@pytest.fixture
async def world(world_of) -> World:
    """Return one router with declarations in force and no upstream."""
    made = await world_of()
    await made.declare()
    return made
