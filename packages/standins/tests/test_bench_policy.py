"""Tests of the parts of `bench_policy` that do not measure."""

import math

import pytest

from lagoonrun_config import model, settings
from lagoonrun_standins import (
    answer_check,
    bench_policy,
    load_summary,
    policy_figures,
    policy_users,
    traffic,
)


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        (
            "naive",
            settings.Experiment(policy=settings.ExperimentPolicy.NAIVE),
        ),
        ("dispatcher", settings.Experiment()),
        (
            "dispatcher-affinity",
            settings.Experiment(switched_off=("affinity",)),
        ),
        ("dispatcher+cutting", settings.Experiment(switched_on=("cutting",))),
    ],
)
def test_a_policy_is_named_by_what_it_switches(name, expected):
    """A name of `--policies` selects its policy and switched parts."""
    assert bench_policy.experiment_of(name) == expected


@pytest.mark.parametrize("user", policy_users.USERS_BY_NAME.values())
def test_users_have_the_sizes_of_the_brief(user):
    """A user has 8 entry VMs, 10 organisations and a service per class."""
    draft = user.declare()
    runners = sum(len(d) for d in user.runners_by_pool.values())
    assert len(user.entry_vms) == 8
    assert len(draft.organisations_by_id) == 10
    assert len(draft.upstreams_by_id) == runners
    assert set(draft.services_by_name) == {c.name for c in user.classes}


@pytest.fixture
def make_figures():
    lookup = traffic.TrafficClass(
        name="lookup",
        target="lookup",
        rate=1.0,
        target_seconds=1.0,
        limit_seconds=2.0,
        target_kind=model.TargetKind.TOTAL,
    )
    caller = traffic.Caller(organisation="house", key="k")

    def make(latencies: list[float], *, produced: int):
        results = [
            load_summary.Result(
                arrival=traffic.Arrival(
                    at_seconds=0.0,
                    id="1",
                    traffic_class=lookup,
                    caller=caller,
                    path="/",
                    messages=(),
                    body=b"",
                    answer_tokens=10,
                ),
                verdict=answer_check.Verdict(
                    kind=answer_check.ResultKind.COMPLETE, tokens=10
                ),
                first_token_seconds=latency,
                total_seconds=latency,
            )
            for latency in latencies
        ]
        return policy_figures.figures_of(
            load_summary.summarise(results, duration_seconds=1.0),
            results=results,
            policy="p",
            counters=[
                {
                    "tokens_produced": produced,
                    "tokens_wasted": 0,
                    "tokens_crashed": 0,
                    "runs": len(latencies),
                }
            ],
            runs_by_key={"a": 1, "b": 2},
            entry_vm_processor_seconds=0.0,
        )

    return make


def test_an_answer_after_its_limit_is_waste(make_figures):
    """Tokens of an answer that exceeds its limit count as wasted."""
    figures = make_figures([0.5, 3.0], produced=20)
    assert figures.wasted_share == pytest.approx(0.5)
    assert figures.repeated_keys == 1
    assert figures.attainment_by_size["lookup"].small == pytest.approx(0.5)


def test_ratios_stay_finite_without_misses(make_figures):
    """A class without misses counts as having one."""
    base = make_figures([0.5, 1.5, 1.5, 1.5], produced=40)
    other = make_figures([0.5] * 4, produced=40)
    found = policy_figures.ratios(base, other)
    assert found["fewer_misses_times"] == {"lookup": 3.0}
    assert math.isclose(found["goodput"], 1.0)
