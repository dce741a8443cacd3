"""Requests that crash upstreams, among many that run at the same time.

The simulated load: every second a copy of one of a few such requests arrives.
Requests at the same upstream break with it, and their callers resend them until
they are answered, more persistently than most callers do. The result is
compared with a naive version that only counts crashes. The shares are those of
a recorded day, on which a quarter of the broken streams had no part of their
answer yet; pools of five upstreams are the usual small ones.
"""

import collections
import dataclasses
import random

import pytest

from lagoonrun_router import (
    crash_evidence,
    crash_records,
    running_requests,
)

SECONDS = 40
SEEDS = 60
MAX_CONCURRENT = 5
SILENT_SHARE = 0.25
MAX_RETRIES = 3
"""Copies that may still reach an upstream after the third crash."""


class NaiveEvidence:
    """Counts crashes since the last answer."""

    def __init__(self):
        self._count_by_request = collections.Counter()

    def merge(self, record, *, now):
        """Count a crash."""
        del now
        self._count_by_request[record.request] += 1

    def clear(self, request):
        """Reset the count of a request."""
        self._count_by_request.pop(request, None)

    def block_of(self, request, *, now):
        """Return whether a request is blocked."""
        del now
        count = self._count_by_request[request]
        return True if count >= crash_evidence.CRASHES_TO_BLOCK else None


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """Crashes and rejections of one simulation."""

    crashes_by_cause: collections.Counter
    rejected: int = 0


class Simulation:
    """A seeded simulation of a pool."""

    def __init__(self, evidence, *, seed, causes, pool):
        self._evidence = evidence
        self._rng = random.Random(seed)
        self._causes = causes
        self._pool = pool
        self._upstreams = 0
        self._requests = 0
        self._resent = []
        self.outcome = Outcome(crashes_by_cause=collections.Counter())

    def run(self):
        """Run the simulation and return its outcome."""
        for second in range(SECONDS):
            self._second(float(second))
        return self.outcome

    def _second(self, now):
        running_by_upstream = [self._new_requests() for _ in range(self._pool)]
        self._resend(running_by_upstream, now)
        cause = f"cause-{self._rng.randrange(self._causes)}"
        crashed_upstream = None
        if self._evidence.block_of(cause, now=now) is None:
            crashed_upstream = self._rng.randrange(self._pool)
            self.outcome.crashes_by_cause[cause] += 1
        for number, running in enumerate(running_by_upstream):
            if number == crashed_upstream:
                self._crash(cause, running, now)
                continue
            for request in running:
                self._evidence.clear(request)

    def _new_requests(self):
        count = self._rng.randrange(MAX_CONCURRENT + 1)
        self._requests += count
        return [f"r-{self._requests - n}" for n in range(count)]

    def _resend(self, running_by_upstream, now):
        for request in self._resent:
            if self._evidence.block_of(request, now=now) is None:
                self._rng.choice(running_by_upstream).append(request)
            else:
                self.outcome.rejected += 1
        self._resent = []

    def _crash(self, cause, running, now):
        self._upstreams += 1
        instance = running_requests.UpstreamInstance(
            upstream=f"u-{self._upstreams}", start=0
        )
        for request in (cause, *running):
            silent = request == cause or self._rng.random() < SILENT_SHARE
            record = crash_records.CrashRecord(
                request=request,
                instance=instance,
                route="r",
                seen_at=now,
                silent=silent,
            )
            self._evidence.merge(record, now=now)
        self._resent = running


def run_all(make_evidence, *, causes, pool):
    return [
        Simulation(make_evidence(), seed=seed, causes=causes, pool=pool).run()
        for seed in range(SEEDS)
    ]


@pytest.mark.parametrize("pool", [2, 5])
@pytest.mark.parametrize("causes", [1, 3, 8])
def test_fewer_are_rejected_and_every_cause_is_blocked(causes, pool):
    outcomes = run_all(crash_evidence.CrashEvidence, causes=causes, pool=pool)
    naive_outcomes = run_all(NaiveEvidence, causes=causes, pool=pool)
    for outcome in outcomes:
        max_crashes = max(outcome.crashes_by_cause.values())
        assert max_crashes <= crash_evidence.CRASHES_TO_BLOCK + MAX_RETRIES
    rejected = sum(one.rejected for one in outcomes)
    assert rejected < sum(one.rejected for one in naive_outcomes)


def test_one_cause_in_a_pool_of_five_rejects_no_other_request():
    outcomes = run_all(crash_evidence.CrashEvidence, causes=1, pool=5)
    assert sum(one.rejected for one in outcomes) == 0
