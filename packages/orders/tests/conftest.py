"""Shared fixtures: an in-memory store, a clock and declarations."""

import pytest

from lagoonrun_config import model
from lagoonrun_core import clock as clock_module
from lagoonrun_core import types
from lagoonrun_orders import plan as plan_module
from lagoonrun_orders import upstream_orders
from lagoonrun_platform import memory_store


@pytest.fixture
def clock():
    return clock_module.ManualClock()


@pytest.fixture
def store(clock):
    return memory_store.MemoryStore(clock=clock)


@pytest.fixture
def make_upstream():
    def make(name, *, pool="p", **options):
        return model.Upstream(
            id=types.UpstreamId(name),
            pool=types.PoolName(pool),
            domain=types.FailureDomain("d"),
            address="10.0.0.1",
            port=1,
            **options,
        )

    return make


@pytest.fixture
def make_placement():
    def make(name, count, *, pool="p", **options):
        return model.Placement(
            pool=types.PoolName(pool),
            domain=types.FailureDomain("d"),
            model=name,
            count=count,
            **options,
        )

    return make


@pytest.fixture
def make_view(make_upstream):
    """Return a view of an upstream that holds some models in a role."""

    def make(name, models=(), *, role="serve", leaving=False, **options):
        pool = options.pop("pool", "p")
        return plan_module.View(
            upstream=make_upstream(name, pool=pool),
            state=upstream_orders.UpstreamState(
                version_by_model=dict.fromkeys(models, "")
                if not isinstance(models, dict)
                else models,
                role=role,
                leaving=leaving,
            ),
            **options,
        )

    return make
