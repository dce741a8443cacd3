"""Dispatchers and ingresses that die, freeze and return under load."""

import asyncio

import pytest

from .conftest import (
    ENTRY_VMS,
    LOOKUP,
    NORTH_1,
    NORTH_2,
    PORTALS,
    SOUTH_1,
    reported,
    until,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

_SLOTS = 8
_SHARD = "portal@north/0"


async def _roles(trial):
    """Return the dispatcher of the portal in north, and the other VM there."""
    dispatcher = await trial.dispatcher_of("portal")
    other = NORTH_1 if dispatcher == NORTH_2 else NORTH_2
    return dispatcher, other


async def _held_at(trial, entry_vm, kind: str) -> int:
    shards = (await trial.status(entry_vm))["shards"]
    return next(shard[kind] for shard in shards if shard["shard"] == _SHARD)


async def _fill(trial, ingress, dispatcher, *, requests: int, ask):
    """Send `requests` requests and wait until all are running or queued."""
    await _wait_asked(trial, ingress, dispatcher)
    for name in PORTALS:
        await trial.control(name, service_seconds=0.7)
    callers = [asyncio.create_task(ask(number)) for number in range(requests)]

    async def filled():
        running = await _held_at(trial, dispatcher, "running")
        queued = await _held_at(trial, dispatcher, "waiting")
        return running + queued == requests and (
            queued > 0 or requests <= _SLOTS
        )

    await until(filled)
    return callers


async def _wait_asked(trial, ingress, dispatcher):
    """Wait until the ingress asks the dispatcher rather than skipping it."""

    async def asked():
        answer = await trial.ask(ingress, LOOKUP, method="GET")
        request_id = answer.head.headers["lagoonrun-request-id"]
        explained = await trial.deployment.ask_admin(
            dispatcher, f"/explain/{request_id}"
        )
        return explained.status == 200

    await until(asked)
    await trial.wait_nothing_held()


async def _most_runs(trial, answers) -> int:
    runs = await trial.runs("by_request_id")
    ids = [answer.head.headers["lagoonrun-request-id"] for answer in answers]
    return max(runs[request_id] for request_id in ids)


async def _wait_state(trial, seen_by, entry_vm, states):
    async def in_state():
        members = (await trial.status(seen_by))["members"]
        return any(
            member["entry_vm"] == entry_vm and member["state"] in states
            for member in members
        )

    await until(in_state)


@pytest.mark.parametrize("loss", ["kill", "freeze"])
async def test_waiting_requests_move_to_the_next_dispatcher(trial, loss):
    """The dispatcher of a shard dies or freezes with requests in its queue.

    They were acknowledged, so only missing replies reveal the loss. The ingress
    asks the next-ranked entry VM and registers its running requests there. A
    dispatcher that resumes must not hold slots of requests that have ended.
    """
    dispatcher, ingress = await _roles(trial)

    async def ask(number):
        return await trial.ask(ingress, LOOKUP, method="GET")

    callers = await _fill(
        trial, ingress, dispatcher, requests=_SLOTS + 4, ask=ask
    )
    if loss == "kill":
        await trial.process(dispatcher).kill()
    else:
        trial.process(dispatcher).freeze()
    answers = await asyncio.gather(*callers)
    assert {reported(answer) for answer in answers} == {(200, "complete")}
    assert await _most_runs(trial, answers) == 1
    if loss == "freeze":
        await _wait_state(trial, ingress, dispatcher, {"dead"})
        trial.process(dispatcher).resume()
        await _wait_state(trial, ingress, dispatcher, {"alive"})
    await trial.restart_lost()
    await trial.wait_nothing_held()


async def test_slots_of_a_paused_ingress_are_freed(trial):
    """An entry VM freezes while its warnings occupy all slots of a runner.

    Once it is considered dead, its slots serve others. When it resumes, it
    finishes the requests that it had sent and sends none twice.
    """
    dispatcher, ingress = await _roles(trial)

    async def ask(number):
        return await trial.warn(ingress, f"paused-{number}")

    callers = await _fill(trial, ingress, dispatcher, requests=_SLOTS, ask=ask)

    async def sent():
        return await trial.total("running") == _SLOTS

    await until(sent)
    trial.process(ingress).freeze()

    async def freed():
        return await _held_at(trial, dispatcher, "running") == 0

    await until(freed)
    served = await trial.ask(dispatcher, LOOKUP, method="GET")
    assert reported(served) == (200, "complete")
    trial.process(ingress).resume()
    answers = await asyncio.gather(*callers)
    assert {reported(answer) for answer in answers} == {(200, "complete")}
    runs = await trial.runs("by_idempotency_key")
    assert [runs[f"paused-{n}"] for n in range(_SLOTS)] == [1] * _SLOTS
    await trial.wait_nothing_held()


async def test_quickly_replaced_ingress_leaves_no_slots_held(trial):
    """An entry VM dies with permits and is replaced under its name at once.

    The others may never consider it dead, and the new process does not know
    the old permits; without traffic nothing else would free their slots.
    """
    dispatcher, ingress = await _roles(trial)

    async def ask(number):
        return await trial.ask(ingress, LOOKUP, method="GET")

    callers = await _fill(trial, ingress, dispatcher, requests=4, ask=ask)
    await trial.process(ingress).kill()
    await asyncio.gather(*callers, return_exceptions=True)
    await trial.restart_lost()
    await trial.wait_nothing_held()


async def test_callers_that_leave_while_waiting_hold_nothing(trial):
    """Callers disconnect while their requests wait for a slot.

    Grants that are in transit meanwhile must be returned.
    """
    dispatcher, ingress = await _roles(trial)

    async def ask(number):
        return await trial.ask(ingress, LOOKUP, method="GET")

    callers = await _fill(
        trial, ingress, dispatcher, requests=_SLOTS + 8, ask=ask
    )
    for caller in callers[::2]:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    await trial.wait_nothing_held()


async def test_every_entry_vm_pauses_in_turn_under_load(trial):
    """Each entry VM freezes briefly while lookups continue at the others.

    No request that another VM could serve is lost, none runs twice, and all
    slots are free at the end.
    """
    stop = asyncio.Event()
    awake_by_vm = {vm.id: asyncio.Event() for vm in ENTRY_VMS}
    for awake in awake_by_vm.values():
        awake.set()
    answers = []

    async def send_forever(entry_vm):
        while not stop.is_set():
            await awake_by_vm[entry_vm].wait()
            answers.append(await trial.ask(entry_vm, LOOKUP, method="GET"))

    for name in PORTALS:
        await trial.control(name, service_seconds=0.02)
    senders = [
        asyncio.create_task(send_forever(vm.id))
        for vm in ENTRY_VMS
        for _ in range(4)
    ]
    for vm in (NORTH_1, NORTH_2, SOUTH_1):
        awake_by_vm[vm].clear()
        trial.process(vm).freeze()
        seen = len(answers)
        await until(lambda seen=seen: _later(len(answers) > seen + 50))
        trial.process(vm).resume()
        awake_by_vm[vm].set()
    stop.set()
    await asyncio.gather(*senders)
    assert {reported(answer) for answer in answers} == {(200, "complete")}
    assert await _most_runs(trial, answers) == 1
    await trial.wait_nothing_held()


async def _later(value):
    return value
