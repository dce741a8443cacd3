"""Tests of the metrics against the targets of profiles."""

import asyncio

import pytest

from lagoonrun_config import model
from lagoonrun_core import outcomes
from lagoonrun_daemon import metrics

Outcome = outcomes.Outcome
Reason = outcomes.Reason


def profile(kind: model.TargetKind) -> model.Profile:
    return model.Profile(
        name="summary",
        tier=3,
        target_kind=kind,
        target_seconds=1.0,
        limit_seconds=10.0,
    )


def value(counted: metrics.DaemonMetrics, name: str, **labels: str) -> float:
    found = counted.registry.get_sample_value(name, labels)
    return 0.0 if found is None else found


@pytest.mark.parametrize(
    ("kind", "first", "total", "outcome", "reason", "met"),
    [
        ("total", 0.0, 0.9, Outcome.COMPLETE, Reason.NONE, 1),
        ("total", 0.1, 1.1, Outcome.COMPLETE, Reason.NONE, 0),
        ("first-token", 0.9, 8.0, Outcome.COMPLETE, Reason.NONE, 1),
        ("first-token", 1.1, 8.0, Outcome.COMPLETE, Reason.NONE, 0),
        # A response that was not streamed has its first token at its end.
        ("first-token", 0.0, 0.9, Outcome.COMPLETE, Reason.NONE, 1),
        ("first-token", 0.0, 8.0, Outcome.COMPLETE, Reason.NONE, 0),
        ("first-token", 0.1, 0.5, Outcome.PARTIAL, Reason.UPSTREAM_CLOSED, 0),
        ("total", 0.0, 0.0, Outcome.NOT_RUN, Reason.DEADLINE, 0),
        # A repeated request only gets the outcome of the earlier one.
        ("total", 0.0, 0.1, Outcome.COMPLETE, Reason.CLAIM_TAKEN, 0),
    ],
)
def test_attainment_is_counted_on_the_target(
    kind, first, total, outcome, reason, met
):
    counted = metrics.DaemonMetrics()
    counted.count_ending(
        profile=profile(model.TargetKind(kind)),
        ending=outcomes.Ending(outcome=outcome, reason=reason),
        latencies=metrics.Latencies(
            first_token_seconds=first, total_seconds=total
        ),
    )
    name = "lagoonrun_requests_within_target_total"
    assert value(counted, name, profile="summary") == met
    (totals,) = counted.totals()
    assert (totals.ended, totals.within_target) == (1, met)
    assert totals.not_run == int(outcome is Outcome.NOT_RUN)


def test_work_of_attempts_is_counted_by_outcome():
    counted = metrics.DaemonMetrics()
    for outcome, reason in (
        (Outcome.COMPLETE, Reason.NONE),
        (Outcome.PARTIAL, Reason.UPSTREAM_CLOSED),
    ):
        counted.count_attempt(
            profile="summary",
            outcome=outcome,
            reason=reason,
            seconds=2.0,
            tokens=30,
        )
    name = "lagoonrun_upstream_tokens_total"
    for outcome in ("complete", "partial"):
        labels = {"profile": "summary", "outcome": outcome}
        assert value(counted, name, **labels) == 30
    lost = {"profile": "summary", "reason": "upstream-closed"}
    assert value(counted, "lagoonrun_attempts_lost_total", **lost) == 1


async def test_nothing_is_in_flight_after_the_end(small_deployment):
    answer = await small_deployment.ask("/lookups/page/7", method="GET")
    assert answer.status == 200
    counted = small_deployment.daemon.metrics
    in_flight = "lagoonrun_requests_in_flight"
    async with asyncio.timeout(10):
        while True:
            if value(counted, in_flight, profile="lookup") == 0:
                break
            await asyncio.sleep(0)
    waits = "lagoonrun_permit_wait_seconds_count"
    assert value(counted, waits, profile="lookup") == 1
