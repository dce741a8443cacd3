"""Tests of the simulated upstreams against a caller of their own."""

import asyncio
import random

import pytest

from lagoonrun_soak import fleet, layout, record, upstream
from lagoonrun_standins import router_world
from lagoonrun_users_platform import wire


@pytest.fixture(params=[layout.PLAIN, layout.ENGINES])
async def running(request):
    network = layout.Network.of_process()
    started = upstream.SoakUpstream(
        registration=network.registration(0, request.param, "v1"),
        address=network.upstream(0),
        history=record.History(),
        on_crash=lambda id: None,
    )
    await started.start()
    yield started
    await started.close()


async def answer_of(running, *, kind="summary", request_id="r", expected="u-0"):
    address = layout.Network.of_process().upstream(0)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    lines = [
        f"POST /{kind}/x HTTP/1.1",
        f"Host: {layout.HOST}",
        f"{wire.REQUEST_ID}: {request_id}",
        f"{wire.EXPECTED_UPSTREAM}: {expected}",
        "Content-Length: 0",
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    caller = router_world.Caller(reader=reader, writer=writer)
    try:
        return await caller.answer()
    finally:
        writer.transport.abort()


def load_of(response):
    return response.headers[wire.LOAD.lower()]


async def test_load_is_reported_with_slowness_in_the_engine_pool(running):
    """The plain pool must not become adaptive by a fourth figure."""
    running.slowness = 2.5
    slots = running.registration.slots
    slowness = ",250" if running.registration.pool == layout.ENGINES else ""
    response = await answer_of(running)
    assert response.status == 200
    assert load_of(response) == f"1,0,{slots}{slowness}"
    refusal = await answer_of(running, expected="u-9")
    assert refusal.status == 421
    assert load_of(refusal) == f"0,0,{slots}{slowness}"


async def test_requests_beyond_the_slots_are_reported_as_waiting(running):
    slots = running.registration.slots
    responses = await asyncio.gather(
        *(
            answer_of(running, request_id=f"r-{n}", kind="lookup")
            for n in range(slots + 2)
        )
    )
    loads = [load_of(one).split(",")[:3] for one in responses]
    assert [str(slots), "2", str(slots)] in loads


async def test_slow_upstream_takes_proportionally_longer(running):
    clock = asyncio.get_running_loop()
    seconds = []
    for slowness in (1.0, 2.5):
        running.slowness = slowness
        since = clock.time()
        await answer_of(running)
        seconds.append(clock.time() - since)
    usual = layout.EVENTS * upstream._EVENT_SECONDS
    # A busy machine only adds to the times.
    assert 0.95 * usual < seconds[0] < 2.4 * usual
    assert 2.4 * usual < seconds[1]


async def test_upstream_that_is_being_added_is_closed_with_its_deployment(
    tmp_path,
):
    """Guards against addresses that one soak leaves in use for the next."""
    for steps in range(20):
        deployment = fleet.Deployment(
            network=layout.Network.of_process(),
            vms=2,
            folder=tmp_path,
            rng=random.Random(1),
        )
        adding = asyncio.create_task(deployment.add_upstream(layout.PLAIN))
        for _ in range(steps):
            await asyncio.sleep(0)
        adding.cancel()
        (result,) = await asyncio.gather(adding, return_exceptions=True)
        await deployment.close()
        assert not isinstance(result, OSError)
