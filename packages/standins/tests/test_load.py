"""The load generator against stand-ins, without a router in between."""

import math

import pytest

from lagoonrun_config import model, settings
from lagoonrun_standins import (
    answer_check,
    engine,
    engine_batch,
    load,
    load_summary,
    plain_service,
    traffic,
)

CALLERS = (
    traffic.Caller(organisation="large", key="key-1", weight=9.0),
    traffic.Caller(organisation="small", key="key-2", weight=1.0),
)


def digests(**changes):
    fields = {
        "name": "digests",
        "target": "scribe",
        "rate": 200.0,
        "target_seconds": 30.0,
        "limit_seconds": 60.0,
        "median_tokens": 5.0,
        "longest_tokens": 10,
    }
    return traffic.TrafficClass(**fields | changes)


def some_arrivals(traffic_class, seed=1):
    return traffic.arrivals(
        [traffic_class], CALLERS, duration_seconds=0.1, seed=seed
    )


@pytest.fixture
async def runner():
    cost = engine_batch.CostModel(step_seconds=0.0001)
    runner = engine.Engine(cost=cost)
    await runner.start()
    yield runner
    await runner.close()


@pytest.fixture
async def service():
    service = plain_service.PlainService()
    await service.start()
    yield service
    await service.close()


@pytest.fixture
async def generate():
    generators = []

    async def generate(*servers, arrivals, **options):
        addresses = [
            settings.Address(host=s.host, port=s.port) for s in servers
        ]
        generator = load.LoadGenerator(addresses=addresses, **options)
        generators.append(generator)
        return await generator.run(arrivals)

    yield generate
    for generator in generators:
        await generator.close()


def kinds(results):
    return {result.verdict.kind for result in results}


def test_arrivals_are_seeded_and_burst():
    burst = traffic.Burst(start_seconds=10, end_seconds=20, factor=5)
    bursting = digests(rate=20.0, bursts=(burst,))
    drawn = [
        traffic.arrivals([bursting], CALLERS, duration_seconds=30, seed=seed)
        for seed in (1, 1, 2)
    ]

    within = [10 <= a.at_seconds < 20 for a in drawn[0]]
    large = [a.caller.organisation == "large" for a in drawn[0]]
    assert drawn[0] == drawn[1]
    assert drawn[0] != drawn[2]
    assert 0.6 < sum(within) / len(within) < 0.82
    assert 0.85 < sum(large) / len(large) < 0.95
    assert len({a.id for a in drawn[0]}) == len(drawn[0])


@pytest.mark.parametrize("streams", [True, False])
async def test_answers_of_an_engine_are_complete(runner, generate, streams):
    arrivals = some_arrivals(digests(streams=streams))

    results = await generate(runner, arrivals=arrivals)

    summary = load_summary.summarise(results, duration_seconds=0.1)
    assert summary.classes_by_name["digests"].attainment == 1.0
    assert summary.mismatched == 0
    assert summary.delivered_tokens == runner.counters()["tokens_produced"]
    assert summary.delivered_tokens == sum(a.answer_tokens for a in arrivals)


async def test_prompts_of_a_group_share_their_prefill(runner, generate):
    arrivals = some_arrivals(digests(prefix_groups=1))

    await generate(runner, arrivals=arrivals)

    organisations = {a.caller.organisation for a in arrivals}
    assert runner.cache.misses == len(organisations)
    assert runner.cache.hits == len(arrivals) - len(organisations)


async def test_answers_of_a_plain_service_are_checked(service, generate):
    arrivals = some_arrivals(digests(target="/lookups", sends_keys=True))

    results = await generate(service, arrivals=arrivals)

    assert kinds(results) == {answer_check.ResultKind.COMPLETE}
    assert len(service.runs.by_idempotency_key) == len(arrivals)


@pytest.mark.parametrize(
    ("fault", "kind"),
    [
        ({"cross_answers": 1}, answer_check.ResultKind.MISMATCHED),
        ({"truncate_answers": 2}, answer_check.ResultKind.CUT),
        ({"omit_done_answers": 2}, answer_check.ResultKind.CUT),
        ({"omit_echoes": 2}, answer_check.ResultKind.MISMATCHED),
    ],
)
async def test_faulty_answers_are_detected(runner, generate, fault, kind):
    runner.control(fault)

    results = await generate(runner, arrivals=some_arrivals(digests()))

    assert sum(r.verdict.kind is kind for r in results) == 2
    assert kinds(results) == {answer_check.ResultKind.COMPLETE, kind}


async def test_crossed_answer_with_correct_echo_is_detected():
    """A router corrects the header, but the text belongs to another caller."""
    mine, other = some_arrivals(digests())[:2]
    body = b'{"id": "chatcmpl-r1", "content": "0badf00d-0 "}'
    head = answer_check.http_client.Head(
        status=200, headers={"lagoonrun-request-id": "r1"}
    )

    verdict = answer_check.check(mine, head, body)

    assert verdict.kind is answer_check.ResultKind.MISMATCHED
    assert other.id != mine.id


@pytest.mark.parametrize("mode", list(load.RetryMode))
async def test_unreachable_server_and_expired_patience(runner, generate, mode):
    impatient = digests(patience_seconds=0.01)
    runner.control({"frozen": True})
    left = await generate(
        runner, arrivals=some_arrivals(impatient), retry_mode=mode
    )
    await runner.close()
    unreached = await generate(
        runner, arrivals=some_arrivals(digests()), retry_mode=mode
    )

    assert kinds(left) == {answer_check.ResultKind.CALLER_LEFT}
    assert kinds(unreached) == {answer_check.ResultKind.UNREACHED}


@pytest.mark.parametrize(
    ("mode", "refused"), [(load.RetryMode.NEVER, 1), (load.RetryMode.ONCE, 0)]
)
async def test_callers_retry_by_retry_mode(service, generate, mode, refused):
    service.control({"refuse": 1, "retry_after_seconds": 0.01})
    arrivals = some_arrivals(digests(target="/lookups"))

    results = await generate(service, arrivals=arrivals, retry_mode=mode)

    (summary,) = load_summary.summarise(
        results, duration_seconds=0.1
    ).classes_by_name.values()
    assert summary.count_by_kind.get("not-run", 0) == refused
    assert summary.refusals_by_reason.get("status 503", 0) == refused
    assert sorted({result.attempts for result in results}) == (
        [1] if refused else [1, 2]
    )


@pytest.mark.parametrize(
    ("kind", "first", "total", "attains"),
    [
        (model.TargetKind.FIRST_TOKEN, 1.0, 9.0, True),
        (model.TargetKind.TOTAL, 1.0, 9.0, False),
        (model.TargetKind.TOTAL, 1.0, 2.0, True),
        (model.TargetKind.FIRST_TOKEN, math.nan, 1.0, False),
    ],
)
def test_attainment_measures_the_target_kind(kind, first, total, attains):
    (arrival, *_) = some_arrivals(
        digests(target_kind=kind, target_seconds=2.0, limit_seconds=5.0)
    )
    complete = answer_check.Verdict(kind=answer_check.ResultKind.COMPLETE)

    result = load_summary.Result(
        arrival=arrival,
        verdict=complete,
        first_token_seconds=first,
        total_seconds=total,
    )

    assert result.attains is attains
    assert result.is_good is (total <= 5.0)


def test_quantiles_by_nearest_rank():
    quantiles = load_summary.Quantiles.of([math.nan, *range(1, 101)])

    assert (quantiles.p50, quantiles.p95, quantiles.p99) == (50, 95, 99)
