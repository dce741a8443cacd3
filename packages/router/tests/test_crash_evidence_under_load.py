"""Requests that end upstreams, among many that run beside them.

Pattern: every second a copy of one of a few such requests comes; what runs at the
same upstream breaks with it, and its callers send it again until it is answered,
more stubbornly than most do. Compared with a naive version, which counts crashes
and nothing else. Grounds: in a recorded day a quarter of the broken streams had
nothing of their answer yet; a pool of five, as small ones are.
"""

import collections
import dataclasses
import random

import pytest

from lagoonrun_router import crash_evidence, running_requests

SECONDS = 40
SEEDS = 60
MOST_BESIDE = 5
SILENT_SHARE = 0.25
MOST_RETRIES = 3
"""Copies that may still reach an upstream after the third crash."""


class NaiveEvidence:
    """Counts crashes since the last answer."""

    def __init__(self):
        self._count_by_request = collections.Counter()

    def take(self, record, *, now):
        """Count a crash."""
        del now
        self._count_by_request[record.request] += 1

    def clear(self, request):
        """Forget the crashes of a request."""
        self._count_by_request.pop(request, None)

    def block_of(self, request, *, now):
        """Return whether a request is blocked."""
        del now
        count = self._count_by_request[request]
        return True if count >= crash_evidence.CRASHES_TO_BLOCK else None


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """What became of all requests of some days."""

    crashes_by_cause: collections.Counter
    turned_away: int = 0


class Day:
    """One seeded day of a pool."""

    def __init__(self, evidence, *, seed, causes, pool):
        self._evidence = evidence
        self._rng = random.Random(seed)
        self._causes = causes
        self._pool = pool
        self._upstreams = 0
        self._requests = 0
        self._again = []
        self.outcome = Outcome(crashes_by_cause=collections.Counter())

    def play(self):
        """Return what happened."""
        for second in range(SECONDS):
            self._second(float(second))
        return self.outcome

    def _second(self, now):
        running_by_place = [self._new_ones() for _ in range(self._pool)]
        self._admit_again(running_by_place, now)
        cause = f"cause-{self._rng.randrange(self._causes)}"
        place = None
        if self._evidence.block_of(cause, now=now) is None:
            place = self._rng.randrange(self._pool)
            self.outcome.crashes_by_cause[cause] += 1
        for number, running in enumerate(running_by_place):
            if number == place:
                self._crash(cause, running, now)
                continue
            for request in running:
                self._evidence.clear(request)

    def _new_ones(self):
        count = self._rng.randrange(MOST_BESIDE + 1)
        self._requests += count
        return [f"r-{self._requests - n}" for n in range(count)]

    def _admit_again(self, running_by_place, now):
        for request in self._again:
            if self._evidence.block_of(request, now=now) is None:
                self._rng.choice(running_by_place).append(request)
            else:
                self.outcome.turned_away += 1
        self._again = []

    def _crash(self, cause, running, now):
        self._upstreams += 1
        at = running_requests.UpstreamInstance(
            upstream=f"u-{self._upstreams}", start=0
        )
        for request in (cause, *running):
            silent = request == cause or self._rng.random() < SILENT_SHARE
            record = crash_evidence.CrashRecord(
                request=request, at=at, route="r", seen_at=now, silent=silent
            )
            self._evidence.take(record, now=now)
        self._again = running


def play_all(make_evidence, *, causes, pool):
    return [
        Day(make_evidence(), seed=seed, causes=causes, pool=pool).play()
        for seed in range(SEEDS)
    ]


@pytest.mark.parametrize("pool", [2, 5])
@pytest.mark.parametrize("causes", [1, 3, 8])
def test_fewer_are_turned_away_and_no_cause_runs_on(causes, pool):
    played = play_all(crash_evidence.CrashEvidence, causes=causes, pool=pool)
    naive = play_all(NaiveEvidence, causes=causes, pool=pool)
    for outcome in played:
        most = max(outcome.crashes_by_cause.values())
        assert most <= crash_evidence.CRASHES_TO_BLOCK + MOST_RETRIES
    turned_away = sum(one.turned_away for one in played)
    assert turned_away < sum(one.turned_away for one in naive)


def test_one_cause_in_a_pool_of_five_turns_nobody_else_away():
    played = play_all(crash_evidence.CrashEvidence, causes=1, pool=5)
    assert sum(one.turned_away for one in played) == 0
