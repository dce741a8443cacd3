"""The engine stand-in through its HTTP interface, as a router uses it."""

import asyncio
import json

import pytest

from lagoonrun_standins import answers, engine, engine_batch, http_client

CHAT = "/v1/chat/completions"


def chat(content="a page", **fields):
    messages = [{"role": "user", "content": content}]
    return {"model": "scribe", "messages": messages, **fields}


@pytest.fixture
async def runner():
    cost = engine_batch.CostModel(step_seconds=0.0005)
    runner = engine.Engine(cost=cost, resumes=True)
    await runner.start()
    yield runner
    await runner.close()


@pytest.fixture
def post(runner):
    async def post(body, request_id="r1", path=CHAT, **headers):
        pairs = {"X-Request-Id": request_id, **headers}
        return await http_client.fetch(
            runner.host,
            runner.port,
            "POST",
            path,
            body=json.dumps(body).encode(),
            headers=list(pairs.items()),
        )

    return post


def streamed_text(answer):
    events = answer.body.decode().split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""]
    chunks = [json.loads(e.removeprefix("data: ")) for e in events[:-2]]
    assert {c["object"] for c in chunks} == {"chat.completion.chunk"}
    deltas = [c["choices"][0]["delta"] for c in chunks if c["choices"]]
    return "".join(d.get("content", "") for d in deltas)


async def test_answer_without_streaming_is_complete(post):
    body = chat(max_tokens=7)

    answer = await post(body)

    digest = answers.digest("r1", body["messages"])
    content = answer.json()["choices"][0]["message"]["content"]
    assert answers.count_tokens(content, digest) == 7
    assert answer.json()["usage"]["completion_tokens"] == 7
    assert answer.head.headers["x-request-id"] == "r1"


async def test_stream_has_the_same_tokens_when_resumed(post):
    body = chat(stream=True, max_tokens=6)
    digest = answers.digest("r1", body["messages"])

    whole = await post(body)
    rest = await post(body, **{"X-Resume-Offset": "4"})

    assert streamed_text(whole) == answers.text(digest, 0, 6)
    assert streamed_text(rest) == answers.text(digest, 4, 6)


@pytest.mark.parametrize(("offset", "events"), [(6, 2), (7, 1)])
async def test_stream_resumes_when_only_its_end_was_lost(post, offset, events):
    body = chat(stream=True, max_tokens=6)

    rest = await post(body, **{"X-Resume-Offset": str(offset)})

    assert rest.body.count(b"data: ") == events
    assert rest.body.endswith(b"data: [DONE]\n\n")


@pytest.mark.parametrize("path", ["/metrics", "/state", "/nowhere"])
async def test_every_answer_echoes_the_request_id(runner, path):
    answer = await http_client.fetch(
        runner.host,
        runner.port,
        "GET",
        path,
        headers=[("X-Request-Id", "load-report")],
    )

    assert answer.head.headers["x-request-id"] == "load-report"


async def test_random_length_is_reproducible(post):
    body = chat()
    first = (await post(body)).json()["usage"]["completion_tokens"]
    second = (await post(body)).json()["usage"]["completion_tokens"]
    limited = await post(chat(metadata={"answer_tokens": 9}, max_tokens=5))

    assert first == second
    assert limited.json()["usage"]["completion_tokens"] == 5


async def test_tokens_are_wasted_when_the_client_disconnects(runner):
    connection = http_client.ClientConnection(
        host=runner.host, port=runner.port
    )
    await connection.start()
    body = json.dumps(chat(stream=True, max_tokens=100_000)).encode()
    await connection.send("POST", CHAT, body=body)
    await connection.read_head()
    await connection.read_data()

    await connection.close()

    async with asyncio.timeout(5):
        while not runner.batch.is_idle:
            await http_client.fetch_json(runner.host, runner.port, "/state")
    counters = runner.counters()
    assert counters["requests_cancelled"] == 1
    assert counters["tokens_wasted"] == counters["tokens_produced"] > 0


@pytest.mark.parametrize(
    ("fault", "shows"),
    [
        ({"truncate_answers": 1}, "cut"),
        ({"omit_done_answers": 1}, "no end"),
        ({"omit_echoes": 1}, "no echo"),
    ],
)
async def test_faulty_answers(runner, post, fault, shows):
    runner.control(fault)
    body = chat(stream=True, max_tokens=6)

    if shows == "cut":
        with pytest.raises(http_client.ClosedError):
            await post(body)
    elif shows == "no end":
        assert b"[DONE]" not in (await post(body)).body
    else:
        assert "x-request-id" not in (await post(body)).head.headers
    assert (await post(body)).body.endswith(b"data: [DONE]\n\n")


async def test_crossed_answers_have_exchanged_request_ids(runner, post):
    """A caller gets another organisation's answer.

    Two requests run concurrently, and the engine gives each the other's
    answer; request ids and digests reveal it.
    """
    runner.control({"cross_answers": 1})
    first, second = await asyncio.gather(
        post(chat("page one"), "r1"), post(chat("page two"), "r2")
    )

    assert first.head.headers["x-request-id"] == "r2"
    assert second.head.headers["x-request-id"] == "r1"


async def test_duplicate_answer_follows_on_the_connection(runner):
    runner.control({"duplicate_answers": 1})
    connection = http_client.ClientConnection(
        host=runner.host, port=runner.port
    )
    await connection.start()
    body = json.dumps(chat(max_tokens=2)).encode()
    headers = [("X-Request-Id", "r1")]
    await connection.send("POST", CHAT, body=body, headers=headers)
    await connection.read_head()
    await connection.read_body()
    connection.start_next()

    await connection.send("POST", CHAT, body=body, headers=[])
    head = await asyncio.wait_for(connection.read_head(), 5)
    await connection.close()

    assert head.headers["x-request-id"] == "r1"


async def test_crash_closes_connections_and_loses_the_batch(runner, post):
    endless = chat(stream=True, max_tokens=100_000)
    running = asyncio.create_task(post(endless))
    async with asyncio.timeout(5):
        while not runner.batch.tokens_produced:
            await http_client.fetch_json(runner.host, runner.port, "/state")

    await http_client.fetch_json(
        runner.host, runner.port, "/control", {"crash": True}
    )

    with pytest.raises(ConnectionError):
        await running
    assert runner.batch.is_idle
    assert runner.counters()["tokens_crashed"] > 0


async def test_frozen_engine_answers_only_after_unfreezing(runner, post):
    runner.control({"frozen": True})
    waiting = asyncio.create_task(post(chat(max_tokens=1)))
    done, _ = await asyncio.wait({waiting}, timeout=0.02)
    runner.control({"frozen": False})

    assert not done
    assert (await asyncio.wait_for(waiting, 5)).status == 200


@pytest.mark.parametrize(
    ("checks", "status", "model"), [(True, 409, "new"), (False, 200, "old")]
)
async def test_old_fencing_number(runner, post, checks, status, model):
    runner.orders.checks_fencing = checks
    load = {"kind": "load", "model": "new", "role": "serve", "fencing": 8}
    await post(load, path="/orders")

    late = await post(load | {"model": "old", "fencing": 7}, path="/orders")

    assert late.status == status
    assert model in runner.orders.version_by_model
    assert runner.orders.fencing_seen == 8


async def test_refused_request_is_not_run(runner, post):
    unload = {"kind": "unload", "model": "scribe", "fencing": 1}
    await post(unload, path="/orders")

    refused = await post(chat())

    assert refused.status == 503
    assert refused.head.headers["x-not-run"] == "true"
    assert refused.head.headers["x-request-id"] == "r1"
    assert runner.counters()["runs"] == 0


async def test_repeated_runs_and_runs_while_leaving_are_counted(runner, post):
    key = {"Idempotency-Key": "k"}
    await post(chat(max_tokens=1), "r1", **key)
    runner.control({"leaving": True})
    await post(chat(max_tokens=1), "r2", **key)
    runner.control({"refuses_when_leaving": True})
    refused = await post(chat(max_tokens=1), "r3")

    counters = runner.counters()
    assert refused.status == 503
    assert counters["runs"] == 2
    assert counters["repeated_request_ids"] == 0
    assert counters["repeated_idempotency_keys"] == 1
    assert counters["runs_while_leaving"] == 1


async def test_load_report_lags(clock):
    runner = engine.Engine(metrics_lag_seconds=2, clock=clock)
    await runner.start()
    runner.control({"leaving": True})

    async def leaving():
        answer = await http_client.fetch(
            runner.host, runner.port, "GET", "/metrics"
        )
        return b"engine_leaving 1.0" in answer.body

    before = await leaving()
    clock.advance(2)
    after = await leaving()
    await runner.close()

    assert (before, after) == (False, True)
