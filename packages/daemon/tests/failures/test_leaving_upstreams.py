"""A leaving upstream gets no new work after a few seconds."""

import asyncio
import contextlib

import pytest
import pytest_asyncio

from lagoonrun_standins import http_client

from .conftest import (
    ENTRY_VMS,
    LOOKUP,
    PORTALS,
    SOUTH_1,
    chat,
    told,
    until,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

_LONGEST_SECONDS = 3.0
_LEAVING = "portal-1"


@contextlib.asynccontextmanager
async def _lookups(trial):
    """Send lookups by all entry VMs, one after the other, until the end."""

    async def send_forever(entry_vm):
        while True:
            answer = await trial.ask(entry_vm, LOOKUP, method="GET")
            assert told(answer) == (200, "complete")

    tasks = [asyncio.create_task(send_forever(vm.id)) for vm in ENTRY_VMS]
    try:
        yield
        assert not any(task.done() for task in tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _runs(trial, upstream: str) -> int:
    return (await trial.counters(upstream))["runs"]


async def _wait_known(trial, *, leaving: bool):
    async def known():
        found = [
            _LEAVING in (await trial.status(vm.id))["leaving_upstreams"]
            for vm in ENTRY_VMS
        ]
        return set(found) == {leaving}

    await until(known)


async def _wait_more_runs(trial, upstream: str, count: int):
    before = await _runs(trial, upstream)

    async def more():
        return await _runs(trial, upstream) >= before + count

    await until(more)


async def _list(trial, state: str):
    platform = trial.process("platform")
    await http_client.fetch_json(
        platform.host,
        platform.port,
        f"/vms/{_LEAVING}",
        {"state": state, "role": "upstream", "domain": "north"},
    )


async def _restart(trial):
    """Put a new process in the place of the one that left."""
    process = trial.process(_LEAVING)
    port = process.port
    await process.kill()
    await trial.deployment.fleet.start_plain_service(_LEAVING, port=port)


@pytest_asyncio.fixture(loop_scope="module")
async def leaver(trial):
    """Give the trial; the upstream is replaced at the end, if it left."""
    yield trial
    await trial.control("platform", outage="none")
    await _list(trial, "live")
    await _restart(trial)
    await _wait_known(trial, leaving=False)


@pytest.mark.parametrize("outage", ["none", "close"])
async def test_own_report_ends_new_work(leaver, outage):
    """An upstream tells in its load report that it is leaving.

    It would lose what is sent to it when it goes. Entry VMs that don't read
    its report hear of it from their peers, also with the platform down.
    """
    await leaver.control("platform", outage=outage)
    async with _lookups(leaver):
        await _wait_more_runs(leaver, _LEAVING, 20)
        await leaver.control(_LEAVING, leaving=True)
        await _wait_known(leaver, leaving=True)
        await _wait_more_runs(leaver, "portal-2", 50)
    counters = await leaver.counters(_LEAVING)
    assert counters["last_run_while_leaving_seconds"] < _LONGEST_SECONDS


async def test_first_request_after_a_quiet_time_avoids_the_leaving(leaver):
    """An upstream says that it is leaving while no requests come.

    Were reports read only for shards that are in use, the first request
    long after would still be sent to it. The entry VMs are new, so that no
    shard has been in use.
    """
    for vm in ENTRY_VMS:
        await leaver.process(vm.id).kill()
    await leaver.restart_lost()
    await leaver.control(_LEAVING, leaving=True)
    await _wait_known(leaver, leaving=True)
    for vm in ENTRY_VMS:
        answer = await leaver.ask(vm.id, LOOKUP, method="GET")
        assert told(answer) == (200, "complete")
    assert (await leaver.counters(_LEAVING))["runs_while_leaving"] == 0


async def test_platform_list_ends_new_work_for_that_process(leaver):
    """The platform lists an upstream as leaving; its report says nothing.

    The list wins over the report of the process that is to go. The process
    that takes its place gets work, although the list lags.
    """
    reads = await leaver.platform_calls("vms")
    await _list(leaver, "leaving")
    await _wait_known(leaver, leaving=True)
    before = await _runs(leaver, _LEAVING)
    async with _lookups(leaver):
        await _wait_more_runs(leaver, "portal-2", 50)
    assert await _runs(leaver, _LEAVING) == before
    # Each of the three watchers has seen the list.
    await leaver.wait_calls("vms", reads + 6)
    await _restart(leaver)
    await _wait_known(leaver, leaving=False)
    async with _lookups(leaver):
        await _wait_more_runs(leaver, _LEAVING, 10)


async def test_streams_of_a_leaving_engine_go_on(trial):
    """An engine begins to leave with a stream half way.

    Connections to it are forgotten so that nothing new goes there; the one
    that carries the stream must not be among them.
    """
    tokens = 700
    asked = asyncio.create_task(
        trial.ask(SOUTH_1, "/v1/chat/completions", body=chat(tokens=tokens))
    )

    async def running():
        return (await _runs(trial, "writer-2")) > 0

    await until(running)
    await trial.control("writer-2", leaving=True)

    async def known():
        status = await trial.status(SOUTH_1)
        return "writer-2" in status["leaving_upstreams"]

    await until(known)
    assert not asked.done()
    answer = await asked
    assert answer.body.count(b'"content"') == tokens
    assert answer.body.endswith(b"data: [DONE]\n\n")
    counters = await trial.counters("writer-2")
    assert counters["requests_cancelled"] == 0


@pytest.mark.parametrize("upstream", PORTALS)
async def test_each_upstream_tells_its_start(trial, upstream):
    """A restarted upstream is told from the one that left by its start."""
    process = trial.process(upstream)
    answer = await http_client.fetch(
        process.host, process.port, "GET", "/metrics"
    )
    assert b"process_start_time_seconds 1." in answer.body
