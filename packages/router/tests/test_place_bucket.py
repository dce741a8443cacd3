"""The token bucket of one limit: its rate, and precedence of higher tiers."""

import hypothesis
import pytest
from hypothesis import strategies

from lagoonrun_router import place_bucket

NOW = 1000.0
WINDOW_SECONDS = 4.0


def bucket_of(per_second, **more):
    return place_bucket.PlaceBucket(per_second=per_second, now=NOW, **more)


def granted(bucket, tier, now):
    return isinstance(bucket.acquire(tier, now=now), place_bucket.Granted)


def test_places_accrue_at_the_rate():
    bucket = bucket_of(2.0)
    granted_at = [
        now
        for now in (NOW + step / 100 for step in range(1000))
        if granted(bucket, 1, now)
    ]
    assert 19 <= len(granted_at) <= 20


def test_refusal_has_the_time_until_the_next_place():
    bucket = bucket_of(0.5)
    refused = bucket.acquire(1, now=NOW)
    assert refused == place_bucket.Refused(wait_seconds=2.0)
    assert granted(bucket, 1, NOW + 2.0)


def test_next_place_is_reserved_for_the_higher_tier():
    """Guards against lower tiers that acquire the places of higher ones."""
    bucket = bucket_of(1.0)
    assert not granted(bucket, 1, NOW + 0.5)
    assert not granted(bucket, 3, NOW + 1.0)
    assert granted(bucket, 1, NOW + 1.1)
    assert granted(bucket, 3, NOW + 2.2)


def test_reservation_ends_if_the_caller_does_not_retry():
    bucket = bucket_of(1.0)
    assert not granted(bucket, 1, NOW + 0.5)
    assert granted(bucket, 3, NOW + 1.6)


def test_every_tier_is_served_while_a_higher_one_takes_all():
    """Guards against a tier that never gets a place at a limited upstream."""
    bucket = bucket_of(1.0)
    lower = 0
    for step in range(3000):
        now = NOW + step / 100
        granted(bucket, 0, now)
        lower += granted(bucket, 4, now)
    assert 2 <= lower <= 3


def test_rate_may_change():
    bucket = bucket_of(1.0)
    bucket.set_rate(10.0, now=NOW + 0.5)
    assert granted(bucket, 1, NOW + 0.6)


@hypothesis.given(
    strategies.floats(0.1, 50.0),
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 0.8), strategies.integers(0, 5)
        ),
        max_size=200,
    ),
)
def test_no_window_exceeds_the_rate_and_the_burst(per_second, requests):
    bucket = bucket_of(per_second)
    now = NOW
    granted_at = []
    for pause, tier in requests:
        now += pause
        if granted(bucket, tier, now):
            granted_at.append(now)
    max_granted = per_second * WINDOW_SECONDS + max(2.0, per_second)
    for begin in granted_at:
        end = begin + WINDOW_SECONDS
        assert (
            sum(begin <= one <= end for one in granted_at) <= max_granted + 1e-6
        )


@pytest.mark.parametrize("per_second", [0.1, 1.4, 30.0])
def test_most_of_the_limit_is_used(per_second):
    bucket = bucket_of(per_second)
    granted_at = sum(
        granted(bucket, 1, NOW + step / 200) for step in range(200 * 60)
    )
    assert granted_at >= 0.95 * per_second * 60 - 1
