"""Orders over real sockets to the engine stand-in."""

import pytest
import pytest_asyncio

from lagoonrun_config import model
from lagoonrun_core import clock as clock_module
from lagoonrun_core import types
from lagoonrun_http import limits, upstream
from lagoonrun_orders import http_orders, upstream_orders
from lagoonrun_standins import engine


@pytest_asyncio.fixture
async def make_runner():
    """Return a function that starts an engine and declares it."""
    engines = []

    async def make(**options):
        runner = engine.Engine(models=["a"], **options)
        await runner.start()
        engines.append(runner)
        declared = model.Upstream(
            id=types.UpstreamId("u"),
            pool=types.PoolName("p"),
            domain=types.FailureDomain("d"),
            address=runner.host,
            port=runner.port,
        )
        return runner, declared

    yield make
    for runner in engines:
        await runner.close()


@pytest_asyncio.fixture
async def orders():
    client = upstream.UpstreamClient(
        limits=limits.ClientLimits(), clock=clock_module.SystemClock()
    )
    yield http_orders.HttpUpstreamOrders(
        client=client, entry_vm=types.EntryVmId("vm")
    )
    await client.close()


def _load(name="b"):
    return upstream_orders.Order(
        upstream=types.UpstreamId("u"),
        kind=upstream_orders.OrderKind.LOAD,
        model=name,
        version="2",
        role="embed",
    )


async def _send(orders, declared, *, fencing, may_send=True, seconds=5.0):
    return await orders.send(
        declared,
        _load(),
        fencing=types.FencingNumber(fencing),
        timeout_seconds=seconds,
        may_send=lambda: may_send,
    )


async def test_an_order_is_executed_and_its_state_read_back(
    orders, make_runner
):
    _, declared = await make_runner()
    sent = await _send(orders, declared, fencing=3)
    assert sent == upstream_orders.Done()
    state = await orders.state(declared)
    assert state == upstream_orders.UpstreamState(
        version_by_model={"a": "", "b": "2"}, role="embed"
    )


@pytest.mark.parametrize("checks", [True, False])
async def test_an_old_fencing_number_is_reported(orders, make_runner, checks):
    runner, declared = await make_runner(checks_fencing=checks)
    await _send(orders, declared, fencing=3)
    result = await _send(orders, declared, fencing=2)
    refused = isinstance(result, upstream_orders.RefusedOldFencing)
    assert refused == checks
    assert len(runner.orders.applied) == (1 if checks else 2)


async def test_an_order_without_permission_is_not_sent(orders, make_runner):
    runner, declared = await make_runner()
    result = await _send(orders, declared, fencing=3, may_send=False)
    assert isinstance(result, upstream_orders.NotSent)
    assert runner.orders.applied == []


async def test_an_unanswered_order_is_unknown(orders, make_runner):
    _, declared = await make_runner(load_seconds=60.0)
    result = await _send(orders, declared, fencing=3, seconds=0.05)
    assert isinstance(result, upstream_orders.OrderUnknown)


async def test_an_order_to_a_closed_upstream_is_not_sent(orders, make_runner):
    runner, declared = await make_runner()
    await runner.close()
    result = await _send(orders, declared, fencing=3)
    assert isinstance(result, upstream_orders.NotSent)
    state = await orders.state(declared)
    assert isinstance(state, upstream_orders.StateUnknown)
