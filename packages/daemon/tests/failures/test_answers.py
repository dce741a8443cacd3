"""Callers get only their own responses, and "not-run" is truthful."""

import collections
import dataclasses

import pytest

from lagoonrun_standins import answer_check, load, load_summary, traffic

from .conftest import PORTALS, WRITERS, callers, chat_class, entry_addresses

pytestmark = pytest.mark.asyncio(loop_scope="module")

_KIND = answer_check.ResultKind
_DURATION_SECONDS = 0.8
_ENGINE_FAULTS = {
    "crossed": {"cross_answers": 5},
    "duplicated": {"duplicate_answers": 8},
    "late": {"late_answers": 8, "late_seconds": 0.3},
    "truncated": {"truncate_answers": 8},
    "ended-half-way": {"omit_done_answers": 8},
    "unechoed": {"omit_echoes": 8},
    "all": {
        "cross_answers": 4,
        "duplicate_answers": 4,
        "late_answers": 4,
        "late_seconds": 0.2,
        "truncate_answers": 4,
        "omit_done_answers": 4,
        "omit_echoes": 4,
    },
}
_SERVICE_FAULTS = {
    "refused": {"refuse": 10},
    "unechoed": {"omit_echoes": 10},
    "closed-before": {"close_at_first_byte": 10},
    "closed-after": {"close_before_answer": 10},
}


def _classes() -> list[traffic.TrafficClass]:
    common = {"target_seconds": 5.0, "limit_seconds": 20.0}
    return [
        chat_class("streamed", rate=40.0, streams=True),
        chat_class("whole", rate=40.0, streams=False),
        traffic.TrafficClass(
            name="lookup", target="/lookups/page", rate=40.0, **common
        ),
        traffic.TrafficClass(
            name="warning",
            target="/warnings/spill",
            rate=40.0,
            sends_keys=True,
            **common,
        ),
    ]


async def _load(trial, *, seed: int):
    """Send the load of two organisations through all entry VMs."""
    arrivals = traffic.arrivals(
        _classes(), callers(), duration_seconds=_DURATION_SECONDS, seed=seed
    )
    generator = load.LoadGenerator(addresses=entry_addresses(trial))
    try:
        return await generator.run(arrivals)
    finally:
        await generator.close()


async def _check(trial, results):
    kinds = collections.Counter(result.verdict.kind for result in results)
    summary = load_summary.summarise(
        results, duration_seconds=_DURATION_SECONDS
    )
    assert summary.mismatched == 0, [
        result.verdict for result in results if not result.is_complete
    ]
    assert kinds[_KIND.CUT] == 0
    assert kinds[_KIND.UNREACHED] == 0
    assert kinds[_KIND.COMPLETE] > len(results) // 2
    runs = await trial.runs("by_request_id")
    refused = [r for r in results if r.verdict.kind is _KIND.NOT_RUN]
    assert [r.request_id for r in refused if runs.get(r.request_id)] == []
    by_key = await trial.runs("by_idempotency_key")
    warned = [
        r.arrival.id for r in results if r.arrival.traffic_class.sends_keys
    ]
    assert max(by_key.get(key, 0) for key in warned) == 1


@pytest.mark.parametrize("fault", _ENGINE_FAULTS)
async def test_faulty_engine_answers_reach_no_wrong_caller(trial, fault):
    """Engines mix up, repeat, delay and truncate responses under load.

    Two organisations share the entry VMs' connections to the engines. A caller
    must get its own complete response, an error event or an error status;
    never another caller's response and never an undetected truncation.
    """
    for name in WRITERS:
        await trial.control(name, **_ENGINE_FAULTS[fault])
    results = await _load(trial, seed=list(_ENGINE_FAULTS).index(fault))
    for name in WRITERS:
        await trial.control(name, **dict.fromkeys(_ENGINE_FAULTS[fault], 0))
    await _check(trial, results)
    await trial.wait_nothing_held()


@pytest.mark.parametrize("fault", _SERVICE_FAULTS)
async def test_refusals_of_plain_services_are_told_truthfully(trial, fault):
    """A plain service refuses, mixes up or drops calls under load.

    According to the upstreams' own counts, no request reported as "not-run"
    was run, and no warning was run twice.
    """
    for name in PORTALS:
        await trial.control(name, **_SERVICE_FAULTS[fault])
    results = await _load(trial, seed=100)
    for name in PORTALS:
        await trial.clear(name, **dict.fromkeys(_SERVICE_FAULTS[fault], 0))
    await _check(trial, results)
    await trial.wait_nothing_held()


async def test_overload_refuses_truthfully(trial):
    """The load exceeds what upstreams can serve within the limits.

    Refused requests are reported as "not-run", and no upstream ran any of
    them. All lookups, which have a higher tier, are complete.
    """
    for name in PORTALS:
        await trial.control(name, service_seconds=0.2)
    crowd = traffic.TrafficClass(
        name="hurry",
        target="/hurried/page",
        rate=400.0,
        target_seconds=0.5,
        limit_seconds=1.0,
        patience_seconds=20.0,
    )
    lookup = dataclasses.replace(
        crowd, name="lookup", target="/lookups/page", rate=20.0
    )
    arrivals = traffic.arrivals(
        [crowd, lookup], callers(), duration_seconds=1.0, seed=1
    )
    generator = load.LoadGenerator(addresses=entry_addresses(trial))
    results = await generator.run(arrivals)
    await generator.close()
    kinds = {name: collections.Counter() for name in ("hurry", "lookup")}
    for result in results:
        name = result.arrival.traffic_class.name
        kinds[name][result.verdict.kind] += 1
    assert kinds["hurry"][_KIND.NOT_RUN] > 0
    assert kinds["hurry"][_KIND.MISMATCHED] == 0
    assert set(kinds["lookup"]) == {_KIND.COMPLETE}
    runs = await trial.runs("by_request_id")
    refused = [r for r in results if r.verdict.kind is _KIND.NOT_RUN]
    assert [r.request_id for r in refused if runs.get(r.request_id)] == []
    await trial.wait_nothing_held()
