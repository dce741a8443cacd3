"""Fixtures: routers and upstreams on loopback, closed after each test."""

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
    """Return a function that starts upstreams, closed after the test."""
    started = []

    async def start(answer=answer_whole, id: str = "u-1") -> Upstream:
        upstream = Upstream(answer, id=id)
        await upstream.start()
        started.append(upstream)
        return upstream

    yield start
    for upstream in started:
        await upstream.close()


_SETTLE_SECONDS = 0.05


@pytest.fixture(autouse=True)
def quick_start(monkeypatch):
    """Make routers watch the store soon after their first listing."""
    monkeypatch.setattr(store_follower, "_SETTLE_SECONDS", _SETTLE_SECONDS)


@pytest.fixture
def rng():
    return random.Random(1)


@pytest.fixture
def store():
    return memory_store.MemoryStore()


@pytest.fixture
async def world_of(store, upstream_of):
    """Return a function that starts routers; they are closed after the test."""
    started = []
    layout = PlainLayout()

    async def start(name="vm-1", domain="north", seeds=(), **changes) -> World:
        ports = free_ports(4)
        platform = changes.pop("platform", None)
        own_layout = changes.pop("layout", layout)
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
        router_settings = settings.RouterSettings(**{**values, **changes})
        new_router = router.Router(
            configured=router_settings,
            store=store,
            layout=own_layout,
            dialect=PlainDialect(),
            rng=random.Random(1),
            duty_platform=platform,
        )
        await new_router.start()
        started.append(new_router)
        return World(
            router=new_router,
            store=store,
            layout=layout,
            settings=router_settings,
            make_upstream=upstream_of,
        )

    yield start
    for new_router in started:
        await new_router.close()


@pytest.fixture
async def world(world_of) -> World:
    """Return a router with active declarations and without upstreams."""
    new_world = await world_of()
    await new_world.declare()
    return new_world
