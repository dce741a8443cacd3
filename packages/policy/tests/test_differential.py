"""Differential test of the scheduler against the reference scheduler."""

import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies

from lagoonrun_core import outcomes, types
from lagoonrun_policy import features, messages, scheduler

from .conftest import class_policy, shard_policy
from .oracle import OracleScheduler

_CLASSES = [
    class_policy("lookup", 1, queue_capacity=3, floor_share=0.0),
    class_policy("answer", 2, queue_capacity=3, floor_share=0.3),
    class_policy("digest", 4, queue_capacity=4, floor_share=0.2),
]
# Features that depend on observed times are switched off; they have their own
# tests.
_SWITCHES = features.Features(
    deadline_refusal=False, adaptive_room=False, straggler_penalty=False
)
_REQUEST = strategies.tuples(
    strategies.just("request"),
    strategies.sampled_from([c.name for c in _CLASSES]),
    strategies.sampled_from(["large", "small", "heavy"]),
    strategies.sampled_from([0.0, 1.0, 3.0, 10.0]),
    strategies.sampled_from([-1.0, 0.5, 2.0]),
)
_END = strategies.tuples(
    strategies.just("end"),
    strategies.integers(0, 30),
    strategies.integers(0, 50),
)
_TICK = strategies.tuples(strategies.just("tick"))


def _events(steps):
    """Yield events; ends refer to earlier requests."""
    keys = []
    for step in steps:
        if step[0] == "request":
            _, profile, organisation, remaining, target = step
            keys.append(
                messages.PermitKey(
                    request_id=types.RequestId(f"q{len(keys)}"),
                    attempt_id=types.AttemptId(1),
                )
            )
            yield messages.PermitRequested(
                key=keys[-1],
                ingress=types.EntryVmId("vm0"),
                profile=types.ProfileName(profile),
                organisation=types.OrganisationId(organisation),
                remaining_seconds=remaining,
                remaining_target_seconds=target,
            )
        elif step[0] == "end" and step[1] < len(keys):
            yield messages.PermitEnded(
                key=keys[step[1]],
                upstream=types.UpstreamId("r0"),
                # A failed answer is charged, but its times are not observed.
                outcome=outcomes.Outcome.FAILED,
                reason=outcomes.Reason.NONE,
                first_token_seconds=0.0,
                total_seconds=0.0,
                tokens=step[2],
            )
        else:
            yield messages.Ticked()


def _summary(actions):
    return [
        ("grant", a.key, a.upstream)
        if isinstance(a, messages.Grant)
        else ("refuse", a.key, a.reason)
        for a in actions
    ]


def _compare(steps, switches):
    policy = shard_policy(_CLASSES, runners=2, slots=2, weights={"heavy": 2.0})
    subject = scheduler.ShardScheduler(policy=policy, switches=switches)
    oracle = OracleScheduler(policy=policy)
    now = 100.0
    for event in _events(steps):
        now += 0.125
        got = _summary(subject.handle(event, now=now))
        assert got == oracle.handle(event, now=now), event


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    steps=strategies.lists(
        strategies.one_of(_REQUEST, _REQUEST, _END, _TICK), max_size=60
    )
)
def test_same_as_reference(steps):
    _compare(steps, _SWITCHES)


def _random_steps(seed):
    rng = random.Random(seed)
    for number in range(300):
        if rng.random() < 0.6:
            yield (
                "request",
                rng.choice(["lookup"] * 4 + ["answer", "answer", "digest"]),
                rng.choice(["large", "large", "small", "heavy"]),
                rng.choice([3.0, 10.0, 60.0]),
                rng.choice([-1.0, 0.5, 2.0]),
            )
        else:
            yield ("end", rng.randint(0, number), rng.randint(0, 50))


@pytest.mark.parametrize("seed", range(5))
def test_same_as_reference_in_a_long_overload(seed):
    _compare(_random_steps(seed), _SWITCHES)


@pytest.mark.parametrize("part", ["fair_sharing", "target_first", "floors"])
def test_comparison_detects_a_missing_feature(part):
    without = dataclasses.replace(_SWITCHES, **{part: False})
    with pytest.raises(AssertionError):
        _compare(_random_steps(0), without)
