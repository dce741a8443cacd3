"""The lowest tier in an overload: who waits behind whom.

The pattern: digests come at 1.4 times the rate at which a runner reads their
prompts, for ten seconds, as in the morning's burst of a maintenance fleet whose
runners read 50,000 tokens a second. A
digest is on time where its first event comes within 1.5 s, and its caller
leaves after 6 s.
"""

import dataclasses
import random

from lagoonrun_router import admission, placement

READ_PER_SECOND = 50_000.0
PROMPT_TOKENS = 5_000.0
ARRIVALS_PER_SECOND = 14.0
TARGET_SECONDS = 1.5
PATIENCE_SECONDS = 6.0
LOWEST = 3
TIERS = (1, 2, 3)


@dataclasses.dataclass(kw_only=True)
class Waiting:
    """A digest in the runner's queue."""

    arrived_at: float
    back: bool


def foreseen_wait_seconds(queue):
    """Return the wait of a new digest, by the speed that placement assumes."""
    before = [one for one in queue if not one.back]
    assumed = placement.DEFAULT_WEIGHTS.prefill_tokens_per_second
    return len(before) * PROMPT_TOKENS / assumed


def in_time_share(seed, *, standing_back):
    """Return the share of digests that come in time."""
    rng = random.Random(seed)
    queue = []
    now = read_at = 0.0
    arrived = in_time = 0
    while now < 10.0 or queue:
        if now < 10.0:
            now += rng.expovariate(ARRIVALS_PER_SECOND)
        else:
            now = read_at + PROMPT_TOKENS / READ_PER_SECOND
        while queue and read_at + PROMPT_TOKENS / READ_PER_SECOND <= now:
            queue.sort(key=lambda one: (one.back, one.arrived_at))
            read = queue.pop(0)
            start = max(read_at, read.arrived_at)
            read_at = start + PROMPT_TOKENS / READ_PER_SECOND
            in_time += read_at - read.arrived_at <= TARGET_SECONDS
        queue = [one for one in queue if now - one.arrived_at < 6.0]
        if now >= 10.0:
            continue
        arrived += 1
        back = standing_back and admission.stands_back(
            LOWEST,
            TIERS,
            wait_seconds=foreseen_wait_seconds(queue),
            target_seconds=TARGET_SECONDS,
        )
        queue.append(Waiting(arrived_at=now, back=back))
    return in_time / arrived


def test_late_requests_let_pass_those_that_can_come_in_time():
    """A burst of digests is more than the runners can read.

    Served in turn, the queue grows beyond the target after some seconds, and
    from then on each digest is late although most could be in time.
    """
    in_turn = [in_time_share(seed, standing_back=False) for seed in range(5)]
    back = [in_time_share(seed, standing_back=True) for seed in range(5)]
    assert sum(back) > sum(in_turn) + 0.2 * len(back)
    assert min(back) > 0.7


def test_only_the_lowest_tier_stands_back():
    """A higher tier behind all others would come after a lower one."""
    for tier in (1, 2):
        assert not admission.stands_back(
            tier, TIERS, wait_seconds=9.0, target_seconds=1.0
        )
    assert admission.stands_back(
        LOWEST, TIERS, wait_seconds=9.0, target_seconds=1.0
    )


def test_request_that_can_come_in_time_waits_in_turn():
    assert not admission.stands_back(
        LOWEST, TIERS, wait_seconds=0.7, target_seconds=1.0
    )
