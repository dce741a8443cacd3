"""A leaving upstream gets no new requests after a few seconds."""

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
    reported,
    until,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

_MAX_SECONDS = 3.0
_LEAVING = "portal-1"


@contextlib.asynccontextmanager
async def _lookups(trial):
    """Send lookups through each entry VM sequentially until the end."""

    async def send_forever(entry_vm):
        while True:
            answer = await trial.ask(entry_vm, LOOKUP, method="GET")
            assert reported(answer) == (200, "complete")

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
    """Replace the process of the leaving upstream."""
    process = trial.process(_LEAVING)
    port = process.port
    await process.kill()
    await trial.deployment.fleet.start_plain_service(_LEAVING, port=port)


@pytest_asyncio.fixture(loop_scope="module")
async def leaving_trial(trial):
    """Provide the deployment; afterwards replace the leaving upstream."""
    yield trial
    await trial.control("platform", outage="none")
    await _list(trial, "live")
    await _restart(trial)
    await _wait_known(trial, leaving=False)


@pytest.mark.parametrize("outage", ["none", "close"])
async def test_own_report_ends_new_work(leaving_trial, outage):
    """An upstream reports in its load report that it is leaving.

    Requests sent to it would be lost when it exits. Entry VMs that do not read
    its report are informed by their peers, even while the platform is down.
    """
    await leaving_trial.control("platform", outage=outage)
    async with _lookups(leaving_trial):
        await _wait_more_runs(leaving_trial, _LEAVING, 20)
        await leaving_trial.control(_LEAVING, leaving=True)
        await _wait_known(leaving_trial, leaving=True)
        await _wait_more_runs(leaving_trial, "portal-2", 50)
    counters = await leaving_trial.counters(_LEAVING)
    assert counters["last_run_while_leaving_seconds"] < _MAX_SECONDS


async def test_first_request_after_a_quiet_time_avoids_the_leaving(
    leaving_trial,
):
    """An upstream reports that it is leaving while there are no requests.

    If reports were read only for shards in use, the first later request would
    still be sent to it. The entry VMs are new, so no shard has been in use.
    """
    for vm in ENTRY_VMS:
        await leaving_trial.process(vm.id).kill()
    await leaving_trial.restart_lost()
    await leaving_trial.control(_LEAVING, leaving=True)
    await _wait_known(leaving_trial, leaving=True)
    for vm in ENTRY_VMS:
        answer = await leaving_trial.ask(vm.id, LOOKUP, method="GET")
        assert reported(answer) == (200, "complete")
    assert (await leaving_trial.counters(_LEAVING))["runs_while_leaving"] == 0


async def test_platform_list_ends_new_work_for_that_process(leaving_trial):
    """The platform lists an upstream as leaving, but its report does not.

    The list overrides the report of the leaving process. The process that
    replaces it gets requests, although the list lags.
    """
    reads = await leaving_trial.platform_calls("vms")
    await _list(leaving_trial, "leaving")
    await _wait_known(leaving_trial, leaving=True)
    before = await _runs(leaving_trial, _LEAVING)
    async with _lookups(leaving_trial):
        await _wait_more_runs(leaving_trial, "portal-2", 50)
    assert await _runs(leaving_trial, _LEAVING) == before
    # Each of the three watchers has read the list.
    await leaving_trial.wait_calls("vms", reads + 6)
    await _restart(leaving_trial)
    await _wait_known(leaving_trial, leaving=False)
    async with _lookups(leaving_trial):
        await _wait_more_runs(leaving_trial, _LEAVING, 10)


async def test_streams_of_a_leaving_engine_go_on(trial):
    """An engine starts to leave in the middle of a stream.

    Connections to it are dropped so that no new request is sent there; the one
    that carries the stream must not be closed.
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
    """A restarted upstream is distinguished from the old one by start time."""
    process = trial.process(upstream)
    answer = await http_client.fetch(
        process.host, process.port, "GET", "/metrics"
    )
    assert b"process_start_time_seconds 1." in answer.body
