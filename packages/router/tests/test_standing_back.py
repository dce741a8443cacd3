"""Yielding of late requests of the lowest tier in an overload.

The simulated load: digests arrive for ten seconds at 1.4 times the rate at
which a runner prefills their prompts, as in the morning burst of a maintenance
fleet whose runners prefill 50,000 tokens per second. A digest is on time if its
first event arrives within 1.5 s, and its caller disconnects after 6 s.
"""

import dataclasses
import random

from lagoonrun_router import admission, placement

PREFILL_TOKENS_PER_SECOND = 50_000.0
PROMPT_TOKENS = 5_000.0
ARRIVALS_PER_SECOND = 14.0
TARGET_SECONDS = 1.5
PATIENCE_SECONDS = 6.0
LOWEST_TIER = 3
TIERS = (1, 2, 3)


@dataclasses.dataclass(kw_only=True)
class QueuedRequest:
    """A digest in the runner's queue."""

    arrived_at: float
    yields: bool


def expected_wait_seconds(queue):
    """Return a new digest's wait at the prefill rate placement assumes."""
    ahead = [one for one in queue if not one.yields]
    assumed = placement.DEFAULT_WEIGHTS.prefill_tokens_per_second
    return len(ahead) * PROMPT_TOKENS / assumed


def on_time_share(seed, *, yielding):
    """Return the share of digests that are on time."""
    rng = random.Random(seed)
    queue = []
    now = prefilled_at = 0.0
    arrived = on_time = 0
    while now < 10.0 or queue:
        if now < 10.0:
            now += rng.expovariate(ARRIVALS_PER_SECOND)
        else:
            now = prefilled_at + PROMPT_TOKENS / PREFILL_TOKENS_PER_SECOND
        while (
            queue
            and prefilled_at + PROMPT_TOKENS / PREFILL_TOKENS_PER_SECOND <= now
        ):
            queue.sort(key=lambda one: (one.yields, one.arrived_at))
            prefilled = queue.pop(0)
            start = max(prefilled_at, prefilled.arrived_at)
            prefilled_at = start + PROMPT_TOKENS / PREFILL_TOKENS_PER_SECOND
            on_time += prefilled_at - prefilled.arrived_at <= TARGET_SECONDS
        queue = [one for one in queue if now - one.arrived_at < 6.0]
        if now >= 10.0:
            continue
        arrived += 1
        yields = yielding and admission.stands_back(
            LOWEST_TIER,
            TIERS,
            wait_seconds=expected_wait_seconds(queue),
            target_seconds=TARGET_SECONDS,
        )
        queue.append(QueuedRequest(arrived_at=now, yields=yields))
    return on_time / arrived


def test_late_requests_yield_to_those_that_can_be_on_time():
    """Guards against a burst that makes all digests of an overload late.

    In FIFO order, the queue exceeds the target after some seconds, and from
    then on each digest is late although most could be on time.
    """
    fifo = [on_time_share(seed, yielding=False) for seed in range(5)]
    yielding = [on_time_share(seed, yielding=True) for seed in range(5)]
    assert sum(yielding) > sum(fifo) + 0.2 * len(yielding)
    assert min(yielding) > 0.7


def test_only_the_lowest_tier_yields():
    """A request of a higher tier would end up behind a lower tier."""
    for tier in (1, 2):
        assert not admission.stands_back(
            tier, TIERS, wait_seconds=9.0, target_seconds=1.0
        )
    assert admission.stands_back(
        LOWEST_TIER, TIERS, wait_seconds=9.0, target_seconds=1.0
    )


def test_request_that_can_be_on_time_does_not_yield():
    assert not admission.stands_back(
        LOWEST_TIER, TIERS, wait_seconds=0.7, target_seconds=1.0
    )
