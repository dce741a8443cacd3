"""Naive policy."""

import random

from lagoonrun_core import types
from lagoonrun_policy import messages, naive

from .conftest import Driver, class_policy, shard_policy

_POLICY = shard_policy([class_policy("lookup", 1)], runners=2, slots=16)


def test_naive_takes_the_less_loaded_by_report():
    driver = Driver(
        subject=naive.NaiveScheduler(policy=_POLICY, rng=random.Random(1))
    )
    driver.send(
        messages.LoadReported(
            upstream=types.UpstreamId("r0"),
            running=20,
            waiting=0,
            cache_usage=0.0,
            age_seconds=0.5,
        )
    )
    for _ in range(10):
        key = driver.request("lookup")
        assert driver.upstream_by_key[key] == "r1"
