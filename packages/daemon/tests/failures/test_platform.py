"""Platform outages, delays and lagging reads, and configuration changes."""

import asyncio
import dataclasses
import time

import pytest

from lagoonrun_config import settings
from lagoonrun_core import types
from lagoonrun_standins import fleet

from .conftest import (
    ENTRY_VMS,
    LOOKUP,
    NORTH_1,
    NORTH_2,
    SOUTH_1,
    reported,
    until,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

_ALONE = types.EntryVmId("alone-1")


async def _look_up(trial, count: int):
    """Send lookups through all entry VMs; each must be served."""
    for number in range(count):
        vm = ENTRY_VMS[number % len(ENTRY_VMS)]
        answer = await trial.ask(vm.id, LOOKUP, method="GET")
        assert reported(answer) == (200, "complete")


async def _wait_reachable(trial, expected: bool):
    async def reachable():
        found = [
            (await trial.status(vm.id))["platform_reachable"]
            for vm in ENTRY_VMS
        ]
        return set(found) == {expected}

    await until(reachable)


async def _change(trial, weight: float) -> types.Revision:
    """Apply a changed weight of an organisation."""
    running = trial.deployment
    organisations = dict(running.declared.organisations_by_id)
    name = types.OrganisationId("house")
    organisations[name] = dataclasses.replace(
        organisations[name], weight=weight
    )
    draft = dataclasses.replace(
        running.declared, organisations_by_id=organisations
    )
    base = max([(await trial.status(vm.id))["revision"] for vm in ENTRY_VMS])
    revision = await running.apply(draft, base=types.Revision(base))
    running.declared = draft
    return revision


async def _wait_in_force(trial, revision, entry_vms=None):
    async def in_force():
        found = [
            (await trial.status(vm))["revision"]
            for vm in entry_vms or [vm.id for vm in ENTRY_VMS]
        ]
        return set(found) == {revision}

    await until(in_force)


@pytest.mark.parametrize("outage", ["close", "hang"])
async def test_new_entry_vm_starts_from_its_peers_in_an_outage(trial, outage):
    """An entry VM is replaced while the platform is down.

    The new one has no state on disk and cannot read the store; it must serve
    with the configuration that its peers have in force.
    """
    await trial.control("platform", outage=outage)
    await trial.process(SOUTH_1).kill()
    await trial.restart_lost()
    answer = await trial.ask(SOUTH_1, LOOKUP, method="GET")
    assert reported(answer) == (200, "complete")
    assert (await trial.status(SOUTH_1))["revision"] >= 1


async def test_entry_vm_alone_in_an_outage_says_that_it_is_not_ready(trial):
    """An entry VM starts without peers while the platform is down.

    It has no configuration: it must not be ready, and must report requests
    that still arrive as "not-run". It needs no restart after the outage.
    """
    await trial.control("platform", outage="close")
    any_port = settings.Address(host="127.0.0.1", port=0)
    process = await trial.deployment.fleet.start_daemon(
        settings.Settings(
            entry_vm=_ALONE,
            domain=types.FailureDomain("alone"),
            caller=any_port,
            admin=any_port,
            peer=fleet.free_peer_address(),
            platform=(trial.process("platform").address(),),
            inner_key=b"k" * 32,
            readiness_grace_seconds=0.0,
        )
    )
    ready = await trial.deployment.ask_admin(_ALONE, "/readyz")
    assert ready.status == 503
    assert (await trial.status(_ALONE))["revision"] == 0
    refused = await trial.ask(_ALONE, LOOKUP, method="GET")
    assert reported(refused) == (503, "not-run")
    assert refused.head.headers["lagoonrun-reason"] == "unconfigured"
    await trial.control("platform", outage="none")
    async with asyncio.timeout(30):
        await trial.deployment.wait_ready(_ALONE)
    assert await process.terminate(timeout_seconds=10) == 0


async def test_traffic_in_an_outage_calls_no_platform(trial):
    """Requests continue during and after a long outage of the platform.

    Calls in proportion to the traffic, or from all entry VMs at the end of the
    outage, would overload the platform. It counts the calls in both phases.
    """
    await trial.control("platform", outage="close")
    await _wait_reachable(trial, False)
    await trial.control("platform", reset_counters=True)
    await _look_up(trial, 300)
    assert (await trial.counters("platform"))["calls_in_outage"] <= 60
    await trial.control("platform", outage="none", reset_counters=True)
    await _wait_reachable(trial, True)
    await _look_up(trial, 300)
    assert (await trial.counters("platform"))["total"] <= 60


async def test_keyed_requests_in_an_outage_are_bounded_at_the_platform(trial):
    """Callers send hundreds of warnings with keys during an outage.

    Each must be refused truthfully, but without one platform call for each.
    """
    await trial.control("platform", outage="close", reset_counters=True)
    warned = [
        trial.warn(ENTRY_VMS[n % len(ENTRY_VMS)].id, f"outage-{n}")
        for n in range(300)
    ]
    answers = await asyncio.gather(*warned)
    assert {reported(answer) for answer in answers} == {(503, "not-run")}
    assert (await trial.counters("platform"))["calls_in_outage"] <= 60
    assert not any(
        key.startswith("outage-")
        for key in await trial.runs("by_idempotency_key")
    )


async def test_slow_platform_slows_no_requests(trial):
    """The platform takes seconds for each reply.

    Requests that do not need it are served as usual. A request with a key
    waits a bounded time for its claim, and its reported outcome is correct.
    """
    await trial.control("platform", delay_seconds=2.0)
    warned = asyncio.create_task(trial.warn(NORTH_1, "slow"))
    await _look_up(trial, 300)
    answer = await warned
    ran = await trial.runs_of_key("slow")
    assert (reported(answer), ran) in (
        ((200, "complete"), 1),
        ((503, "not-run"), 0),
    )


@pytest.mark.parametrize("lost", [NORTH_1, NORTH_2, SOUTH_1])
async def test_change_reaches_all_though_a_watcher_dies(trial, lost):
    """An operator's change is accepted while an entry VM dies.

    It may be a watcher of the platform for its failure domain. The others, and
    its replacement, must still get the change.
    """
    await trial.process(lost).kill()
    rest = [vm.id for vm in ENTRY_VMS if vm.id != lost]
    base = max([(await trial.status(vm))["revision"] for vm in rest])
    running = trial.deployment
    revision = await running.apply(running.declared, base=types.Revision(base))
    await _wait_in_force(trial, revision, rest)
    await trial.restart_lost()
    await _wait_in_force(trial, revision)


async def test_lagging_reads_never_revert_the_configuration(trial):
    """The platform returns old revisions to reads while changes are made.

    An entry VM that applied an old read would revert to a replaced
    configuration. The revisions that each reports must never decrease.
    """
    await trial.control("platform", read_lag_revisions=5)
    shown: dict[str, list[int]] = {vm.id: [] for vm in ENTRY_VMS}
    stop = asyncio.Event()

    async def observe(entry_vm):
        while not stop.is_set():
            status = await trial.status(entry_vm)
            shown[entry_vm].append(status["revision"])

    async def write():
        # The lag is counted in writes: without writes it would not end.
        while not stop.is_set():
            await trial.warn(NORTH_1, f"lag-{time.monotonic_ns()}")

    tasks = [asyncio.create_task(observe(vm.id)) for vm in ENTRY_VMS]
    tasks.append(asyncio.create_task(write()))
    try:
        for weight in (2.0, 3.0, 4.0):
            revision = await _change(trial, weight)
            await _wait_in_force(trial, revision)
    finally:
        stop.set()
        await asyncio.gather(*tasks)
        await trial.control("platform", read_lag_revisions=0)
    for revisions in shown.values():
        assert revisions == sorted(revisions)
        assert revisions[-1] == revision
