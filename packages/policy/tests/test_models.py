"""Requests are granted only runners that have their model loaded."""

import pytest

from lagoonrun_core import outcomes, types
from lagoonrun_policy import messages

from .conftest import class_policy

_CLASS = class_policy("answer", 1)


def report(runner: str, models: tuple[str, ...] | None):
    return messages.LoadReported(
        upstream=types.UpstreamId(runner),
        running=0,
        waiting=0,
        cache_usage=0.0,
        age_seconds=0.0,
        models=models,
    )


def test_only_the_runner_with_the_model_is_granted(drive):
    driver = drive(_CLASS, runners=2, slots=4)
    driver.send(report("r0", ("small",)))
    driver.send(report("r1", ("small", "large")))
    keys = [driver.request("answer", model="large") for _ in range(3)]
    assert {driver.upstream_by_key[key] for key in keys} == {"r1"}


@pytest.mark.parametrize("models", [(), ("small",)])
def test_model_that_no_runner_has_is_refused_at_once(drive, models):
    """A model is unloaded everywhere while callers still request it.

    Waiting would only end in a refusal at the limit, so the request is
    refused at once, with the reason and a time to retry.
    """
    driver = drive(_CLASS, runners=2)
    for runner in ("r0", "r1"):
        driver.send(report(runner, models))
    driver.request("answer", model="large")
    refusal = driver.actions[-1]
    assert isinstance(refusal, messages.Refuse)
    assert refusal.reason is outcomes.Reason.NO_UPSTREAM
    assert refusal.retry_after_seconds > 0
    exclusions = {c.exclusion for c in refusal.record.candidates}
    assert exclusions == {"model-not-loaded"}


def test_runner_that_has_not_reported_is_tried(drive):
    driver = drive(_CLASS, runners=1)
    key = driver.request("answer", model="large")
    assert driver.granted() == [key]


def test_loading_the_model_grants_waiting_requests(drive):
    driver = drive(_CLASS, runners=2, slots=1)
    driver.send(report("r0", ("large",)))
    driver.send(report("r1", ()))
    first = driver.request("answer", model="large")
    second = driver.request("answer", model="large")
    assert driver.granted() == [first]
    driver.send(report("r1", ("large",)))
    assert driver.granted() == [first, second]
    assert driver.upstream_by_key[second] == "r1"


def test_request_without_a_model_ignores_loaded_models(drive):
    driver = drive(_CLASS, runners=1)
    driver.send(report("r0", ()))
    key = driver.request("answer")
    assert driver.granted() == [key]
