"""The plain service stand-in through its HTTP interface."""

import asyncio

import pytest

from lagoonrun_standins import http_client, plain_service


@pytest.fixture
async def service(clock):
    service = plain_service.PlainService(clock=clock)
    await service.start()
    yield service
    await service.close()


@pytest.fixture
def call(service):
    async def call(method="POST", path="/lookups/7?page=2", body=b"scan"):
        headers = [("X-Request-Id", "r1"), ("Idempotency-Key", "k1")]
        return await http_client.fetch(
            service.host,
            service.port,
            method,
            path,
            body=body,
            headers=headers,
        )

    return call


@pytest.mark.parametrize("method", ["GET", "POST", "DELETE", "PATCH"])
async def test_answer_echoes_its_request(call, method):
    answer = await call(method)

    assert answer.head.headers["x-request-id"] == "r1"
    assert answer.json() == {
        "method": method,
        "path": "/lookups/7",
        "query": "page=2",
        "request_id": "r1",
        "body_digest": plain_service.body_digest(b"scan"),
    }


@pytest.mark.parametrize(
    ("fault", "runs"),
    [("close_at_first_byte", 0), ("close_before_answer", 1)],
)
async def test_connection_closes_before_the_answer(service, call, fault, runs):
    """A caller can't tell whether a request was run.

    Both faults close the connection, but only `close_before_answer` after the
    run; only the counters of the service show the difference.
    """
    service.control({fault: 1})

    with pytest.raises(ConnectionError):
        await call()

    assert service.counters()["runs"] == runs
    assert (await call()).status == 200
    assert service.counters()["runs"] == runs + 1


@pytest.mark.parametrize(
    "fault", [{"refuse": 1}, {"leaving": True, "refuses_when_leaving": True}]
)
async def test_refused_request_is_not_run(service, call, fault):
    service.control(fault)

    answer = await call()

    assert answer.status == 503
    assert answer.head.headers["x-not-run"] == "true"
    assert service.counters()["runs"] == 0


async def test_load_report_lags(service, clock):
    service.control({"leaving": True, "metrics_lag_seconds": 2})
    reports = []
    for _ in range(2):
        report = await http_client.fetch(
            service.host, service.port, "GET", "/metrics"
        )
        reports.append(b"engine_leaving 1.0" in report.body)
        clock.advance(2)

    assert reports == [False, True]


async def test_repeated_keys_and_runs_while_leaving_count(service, call, clock):
    await call()
    service.control({"leaving": True})
    clock.advance(2)
    await call()

    counters = service.counters()
    assert counters["repeated_idempotency_keys"] == 1
    assert counters["runs_while_leaving"] == 1
    assert counters["last_run_while_leaving_seconds"] == 2


async def test_request_completes_when_its_client_disconnects(service, call):
    service.control({"service_seconds": 0.05})
    waiting = asyncio.create_task(call())
    await until(service, lambda counters: counters["running"] == 1)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)

    await until(service, lambda counters: counters["completed"] == 1)


async def until(service, condition):
    async with asyncio.timeout(5):
        while not condition(service.counters()):
            await http_client.fetch(service.host, service.port, "GET", "/state")
