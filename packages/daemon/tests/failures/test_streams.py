"""Streams whose engine crashes or whose caller disconnects."""

import asyncio
import collections
import math

import pytest

from lagoonrun_standins import (
    answer_check,
    deployment,
    http_client,
    load,
    traffic,
)

from .conftest import (
    HOUSE,
    NORTH_1,
    WRITERS,
    callers,
    chat,
    chat_class,
    entry_addresses,
    until,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

_KIND = answer_check.ResultKind
_CHAT_PATH = "/v1/chat/completions"
_LONG_TOKENS = 4000


async def _stream(trial, *, rate: float, tokens: float, during):
    """Send streams, call `during` meanwhile, and return the results."""
    stream = chat_class("stream", rate=rate, streams=True, tokens=tokens)
    arrivals = traffic.arrivals(
        [stream], callers(), duration_seconds=0.5, seed=3
    )
    generator = load.LoadGenerator(addresses=entry_addresses(trial))
    run = asyncio.create_task(generator.run(arrivals))
    try:
        await during()
        return await run
    finally:
        await generator.close()


async def _running(trial, name: str) -> int:
    process = trial.process(name)
    state = await http_client.fetch_json(process.host, process.port, "/state")
    return state["running"]


async def _wait_running(trial, name: str, count: int = 1):
    async def running():
        return await _running(trial, name) >= count

    await until(running)


async def _begin_stream(trial) -> http_client.ClientConnection:
    """Request a long stream; return once its response has started."""
    address = trial.process(NORTH_1).address("caller")
    connection = http_client.ClientConnection(
        host=address.host, port=address.port
    )
    await connection.start()
    key = deployment.organisation_key(HOUSE)
    await connection.send(
        "POST",
        _CHAT_PATH,
        body=chat(tokens=_LONG_TOKENS),
        headers=[("Authorization", f"Bearer {key}")],
    )
    head = await connection.read_head()
    assert head.status == 200
    return connection


@pytest.mark.parametrize("engine", WRITERS)
async def test_crashed_engines_streams_go_on_elsewhere(trial, engine):
    """An engine crashes in the middle of streams.

    Their callers must not get an undetected truncation, or missing or repeated
    tokens. Another engine that can resume must continue exactly at the next
    token.
    """

    async def crash():
        await _wait_running(trial, engine, 3)
        await trial.control(engine, crash=True)

    results = await _stream(trial, rate=60.0, tokens=120.0, during=crash)
    begun = [r for r in results if not math.isnan(r.first_token_seconds)]
    kinds = collections.Counter(result.verdict.kind for result in begun)
    assert set(kinds) == {_KIND.COMPLETE}, [r.verdict for r in results]
    # Requests lost before their first token have a limited retry budget.
    kinds = collections.Counter(result.verdict.kind for result in results)
    assert set(kinds) <= {_KIND.COMPLETE, _KIND.UNKNOWN}
    assert (await trial.counters(engine))["tokens_crashed"] > 0
    await trial.wait_nothing_held()


async def test_stream_that_nobody_resumes_ends_in_an_error_event(trial):
    """An engine crashes and no engine that can resume is left.

    The caller must not mistake the partial response for a complete one: it
    must get an error event and no [DONE].
    """
    ports = {}
    for name in ("writer-1", "writer-2"):
        ports[name] = trial.process(name).port
        await trial.process(name).kill()
    connection = await _begin_stream(trial)
    first = await connection.read_data()
    await trial.control("writer-3", crash=True)
    body = first + await connection.read_body()
    await connection.close()
    for name, port in ports.items():
        await trial.deployment.fleet.start_engine(
            name, port=port, models="catalogue-1", resumes=True, slots=8
        )
    assert b"event: error" in body
    assert b'"outcome": "partial"' in body
    assert b"[DONE]" not in body
    await trial.wait_nothing_held()


@pytest.mark.parametrize("streamed", [True, False])
async def test_callers_leaving_ends_the_engines_work(trial, streamed):
    """A caller closes its connection while an engine generates its response.

    Otherwise the engine would generate thousands of unused tokens in a slot
    for which others wait.
    """
    wasted = await trial.total("tokens_wasted", WRITERS)
    cancelled = await trial.total("requests_cancelled", WRITERS)
    asked = asyncio.create_task(
        trial.ask(
            NORTH_1,
            _CHAT_PATH,
            body=chat(tokens=_LONG_TOKENS, streamed=streamed),
        )
    )

    async def running():
        return sum([await _running(trial, name) for name in WRITERS]) > 0

    async def ended():
        return await trial.total("requests_cancelled", WRITERS) > cancelled

    await until(running)
    asked.cancel()
    await until(ended)
    wasted = await trial.total("tokens_wasted", WRITERS) - wasted
    assert wasted < _LONG_TOKENS / 4
    await trial.wait_nothing_held()
