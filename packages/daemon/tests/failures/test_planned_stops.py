"""A planned stop cuts no request and refuses none that others can serve."""

import asyncio

import pytest

from .conftest import (
    ENTRY_VMS,
    LOOKUP,
    NORTH_1,
    NORTH_2,
    PORTALS,
    SOUTH_1,
    Balancer,
    chat,
    reported,
    until,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

_CHAT_PATH = "/v1/chat/completions"
_STREAM_TOKENS = 250
_STOP_SECONDS = 20.0


def _is_whole(answer) -> bool:
    """Return whether a stream is complete with every token."""
    tokens = answer.body.count(b'"content"')
    ended = answer.body.rstrip().endswith(b"data: [DONE]")
    return answer.status == 200 and ended and tokens == _STREAM_TOKENS


async def _streams(trial, entry_vm, count: int):
    asked = [
        asyncio.create_task(
            trial.ask(
                entry_vm,
                _CHAT_PATH,
                body=chat(tokens=_STREAM_TOKENS, content=f"{entry_vm} {n}"),
            )
        )
        for n in range(count)
    ]

    async def open_requests():
        return (await trial.status(entry_vm))["open_requests"] >= count

    await until(open_requests)
    return asked


async def _wait_waiting(trial):
    async def waiting():
        return any("waiting" in name for name in await trial.held())

    await until(waiting)


@pytest.mark.parametrize("entry_vm", [NORTH_1, NORTH_2, SOUTH_1])
async def test_stop_finishes_streams_and_waiting_requests(trial, entry_vm):
    """An entry VM is stopped while it has long streams and a queue exists.

    It may or may not be the dispatcher of the queue, and the last entry VM of
    its failure domain. An immediate exit would cut the streams and refuse the
    queue; instead, waiting requests must move to the next dispatcher.
    """
    for name in PORTALS:
        await trial.control(name, service_seconds=0.3)
    streams = await _streams(trial, entry_vm, 6)
    lookups = [
        asyncio.create_task(trial.ask(vm.id, LOOKUP, method="GET"))
        for vm in ENTRY_VMS
        for _ in range(16)
    ]
    await _wait_waiting(trial)
    process = trial.process(entry_vm)
    assert await process.terminate(timeout_seconds=_STOP_SECONDS) == 0
    answers = await asyncio.gather(*lookups)
    assert {reported(answer) for answer in answers} == {(200, "complete")}
    assert all(_is_whole(answer) for answer in await asyncio.gather(*streams))
    await trial.restart_lost()
    await trial.wait_nothing_held()


@pytest.mark.parametrize("outage", ["close", "hang"])
async def test_stop_in_an_outage_ends(trial, outage):
    """An entry VM is stopped while the platform is down.

    The outcome of a warning that it has just run cannot be recorded. It still
    responds to the caller and exits; the claim remains, so that nothing runs
    twice.
    """
    key = f"stop-{outage}"
    for name in PORTALS:
        await trial.control(name, service_seconds=0.5)
    before = await trial.total("runs")
    asked = asyncio.create_task(trial.warn(NORTH_1, key))

    async def runs():
        return await trial.total("runs") > before

    await until(runs)
    await trial.control("platform", outage=outage)
    process = trial.process(NORTH_1)
    assert await process.terminate(timeout_seconds=_STOP_SECONDS) == 0
    assert reported(await asked) == (200, "complete")
    await trial.control("platform", outage="none")
    await trial.restart_lost()

    async def retried():
        # Refused until the others detect that the platform is available.
        return (await trial.warn(NORTH_2, key)).status == 409

    await until(retried)
    assert await trial.runs_of_key(key) == 1


async def test_rolling_replacement_cuts_nothing(trial):
    """All entry VMs are replaced one after another under load.

    Callers use a load balancer that sends new connections only to ready VMs
    but detects changes with a delay. No request may be cut, refused or left
    without a response.
    """
    for name in PORTALS:
        await trial.control(name, service_seconds=0.02)
    balancer = Balancer(trial=trial)
    await balancer.start()
    answers = []
    streams = []
    stop = asyncio.Event()

    async def look_up():
        while not stop.is_set():
            answers.append(await balancer.ask(LOOKUP, method="GET"))

    async def write():
        while not stop.is_set():
            body = chat(tokens=_STREAM_TOKENS)
            streams.append(await balancer.ask(_CHAT_PATH, body=body))

    senders = [asyncio.create_task(look_up()) for _ in range(6)]
    senders += [asyncio.create_task(write()) for _ in range(4)]
    try:
        for vm in ENTRY_VMS:
            process = trial.process(vm.id)
            code = await process.terminate(timeout_seconds=_STOP_SECONDS)
            assert code == 0, vm.id
            await trial.restart_lost()
    finally:
        stop.set()
        await asyncio.gather(*senders)
        await balancer.close()
    assert {reported(answer) for answer in answers} == {(200, "complete")}
    assert all(_is_whole(answer) for answer in streams)
    assert len(answers) > 100
    await trial.wait_nothing_held()
