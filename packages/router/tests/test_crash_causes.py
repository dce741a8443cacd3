"""Which requests and parts of prompts are held to crash upstreams."""

import random
import time

import pytest

from lagoonrun_router import (
    answer_times,
    crash_causes,
    crash_evidence,
    crash_records,
    running_requests,
)

NOW = 1000.0
ENOUGH = 20
"""Crashes after which a cause would be known for long."""


class SteadyUptime:
    """A pool in which a fixed number of upstreams serves at any time."""

    def __init__(self, upstreams=5):
        self._upstreams = upstreams

    def seconds(self, instances, *, since, until):
        """Return the upstream seconds of the pool."""
        del instances
        return self._upstreams * (until - since)

    def record_end(self, instance, *, now):
        """Ignore a crash: the upstream is replaced."""


class Pool:
    """Crashes of upstreams, one a second, and answers between them.

    Parameters
    ----------
    answered
        Number of requests, with other parts, that were answered before.
    """

    def __init__(self, *, upstreams=5, answered=20):
        self.evidence = crash_evidence.CrashEvidence(
            uptime=SteadyUptime(upstreams)
        )
        for _ in range(answered):
            self.evidence.answer_sample.add(("elsewhere",))
        self.now = NOW
        self._crashes = 0
        self._requests = 0

    def crash(
        self,
        *prompts,
        beside="",
        version="v1",
        seconds=1.0,
        request=None,
        ran_seconds=0.01,
    ):
        """Crash an upstream that runs a request with each of the prompts.

        Parameters
        ----------
        beside
            Prompt of one more request, which has run for longer.
        """
        self.now += seconds
        self._crashes += 1
        for prompt in prompts:
            self._run(prompt, request, version, ran_seconds)
        if beside:
            self._run(beside, None, version, ran_seconds + 0.3)

    def add(self, prompt, *, ran_seconds):
        """Add a request that ran at the upstream that crashed last."""
        self._run(prompt, None, "v1", ran_seconds)

    def _run(self, prompt, request, version, ran_seconds):
        self._requests += 1
        record = crash_records.CrashRecord(
            request=request or f"r-{self._requests}",
            instance=running_requests.UpstreamInstance(
                upstream=f"u-{self._crashes}", start=1
            ),
            route="lookups",
            seen_at=self.now,
            parts=tuple(prompt.split()),
            version=version,
            ran_seconds=ran_seconds,
        )
        self.evidence.merge(record, now=self.now)

    def answer(self, prompt, version="v1", *, ran_seconds=0.0):
        """Have an upstream answer a request."""
        parts = prompt.split()
        self.evidence.answer_sample.add(parts)
        for part in parts:
            self.evidence.record_part_answer(
                answer_times.Answer(
                    suspect=part,
                    version=version,
                    begun_at=self.now - ran_seconds,
                ),
                now=self.now,
            )

    def is_blocked(self, prompt):
        """Return whether a new request with the prompt is refused."""
        return bool(
            self.evidence.block_of("new", parts=prompt.split(), now=self.now)
        )


@pytest.fixture
def pool():
    return Pool()


def test_part_of_different_requests_is_blocked_after_three_crashes(pool):
    """Guards against a part that crashes upstreams in ever new requests."""
    for number in range(crash_causes.MIN_CRASHES):
        assert not pool.is_blocked("bad")
        pool.crash(f"shared bad own-{number}", "shared manual")
        pool.answer("shared manual")
    assert pool.is_blocked("other bad")
    assert not pool.is_blocked("shared manual")


def test_request_that_crashes_upstreams_as_a_whole_blocks_no_part(pool):
    """Guards against refusing all that have something in common with it."""
    for _ in range(ENOUGH):
        pool.crash("shared manual", request="whole")
    assert pool.evidence.block_of("whole", now=pool.now)
    assert not pool.is_blocked("shared manual")


def test_repeated_request_and_others_with_its_part(pool):
    """Guards against evidence that the first repeated request uses up."""
    for _ in range(3):
        pool.crash("shared bad", request="repeated")
    assert not pool.is_blocked("other bad")
    pool.crash("other bad")
    pool.crash("third bad")
    assert pool.is_blocked("fourth bad")


def test_runs_that_began_before_the_first_crash_count_once(pool):
    """Guards against refusing all callers after a loss of power."""
    for number in range(ENOUGH):
        pool.crash(
            "shared one",
            "shared two",
            seconds=0.01,
            ran_seconds=0.4 + 0.01 * number,
        )
    assert not pool.is_blocked("shared one")
    assert not pool.evidence.blocks(now=pool.now)


def test_part_that_runs_everywhere_is_not_blocked(pool):
    """Guards against refusing what many callers share while upstreams crash.

    All upstreams of the pool crash, one after the other, and nothing is
    answered meanwhile.
    """
    pool.answer("shared")
    for number in range(ENOUGH):
        pool.crash(f"shared own-{number}", seconds=0.1, ran_seconds=0.5)
    pool.now += crash_causes.LATE_SECONDS
    assert not pool.is_blocked("shared")


def test_part_that_was_answered_until_it_crashes_upstreams_is_blocked(pool):
    """Guards against setting crashes aside for answers before them."""
    for _ in range(12):
        pool.now += 0.5
        pool.answer("shared bad")
    for number in range(4):
        pool.crash(f"shared bad own-{number}", "shared manual")
        pool.answer("shared manual")
    assert pool.is_blocked("bad")
    assert not pool.is_blocked("shared manual")


def test_answer_of_a_run_that_began_before_a_crash_clears_nothing(pool):
    """Guards against an answer that takes back later crashes."""
    for number in range(3):
        pool.crash(f"bad own-{number}")
    pool.now += 1.0
    pool.answer("bad", ran_seconds=10.0)
    assert pool.is_blocked("bad")
    pool.answer("bad", ran_seconds=0.5)
    assert not pool.is_blocked("bad")


def test_part_in_repeated_requests_is_blocked(pool):
    """Guards against a part whose requests are each repeated and blocked."""
    for caller in range(4):
        for _ in range(3):
            pool.crash("shared bad", request=f"of-caller-{caller}")
        pool.answer("shared")
    assert pool.is_blocked("bad")
    assert not pool.is_blocked("shared")


def test_request_that_is_resent_beside_crashes_is_not_blocked():
    """Guards against refusing a caller whose long stream met each crash."""
    pool = Pool(upstreams=2)
    for _ in range(4):
        pool.crash("shared", request="long", seconds=3.0, ran_seconds=2.8)
        pool.answer("shared")
    pool.now += crash_causes.LATE_SECONDS
    assert not pool.evidence.block_of("long", now=pool.now)


def test_slow_cause_is_blocked_when_it_must_be(pool):
    """Guards against waiting longer than three seconds after five crashes."""
    for number in range(5):
        pool.crash(f"bad own-{number}", seconds=0.5, ran_seconds=0.45)
    assert not pool.is_blocked("bad")
    pool.now += crash_causes.LATE_SECONDS
    assert pool.is_blocked("bad")


@pytest.mark.parametrize("seed", range(10))
def test_part_at_all_crashes_is_likelier_than_those_at_most_of_them(seed):
    """Guards against refusing what ran beside the cause at most crashes.

    All upstreams of the pool crash, one after the other, so that nothing is
    answered. Callers repeat their requests with the cause.
    """
    rng = random.Random(seed)
    pool = Pool(upstreams=8)
    manuals = [f"manual-{number}" for number in range(4)]
    for manual in manuals:
        pool.answer(f"shared {manual}")
        pool.answer(f"shared {manual} bad")
    for number in range(20):
        pool.crash(
            f"shared {rng.choice(manuals)} bad",
            request=f"of-caller-{number // 3}",
            seconds=0.16,
            ran_seconds=0.05,
        )
        for manual in manuals:
            if rng.random() < 0.7:
                pool.add(f"shared {manual}", ran_seconds=rng.uniform(0.01, 0.1))
    pool.now += crash_causes.LATE_SECONDS
    assert pool.is_blocked("shared bad")
    for manual in manuals:
        assert not pool.is_blocked(f"shared {manual}")


def test_answer_clears_a_part(pool):
    for number in range(2):
        pool.crash(f"shared own-{number}")
    pool.answer("shared")
    pool.crash("shared own-3")
    assert pool.evidence.is_suspect("shared")
    assert not pool.is_blocked("shared")


def test_parts_that_always_come_together_are_blocked_together(pool):
    """Guards against refusing the innocent one without ever trying it alone."""
    for number in range(3):
        pool.crash(f"one two own-{number}")
    assert pool.is_blocked("one two")
    assert not pool.is_blocked("one")
    assert not pool.is_blocked("two")
    pool.crash("two other")
    assert pool.is_blocked("two")
    assert not pool.is_blocked("one")


def test_part_that_ran_beside_the_cause_at_each_crash(pool):
    """Guards against picking one of two suspects that can't be told apart."""
    for number in range(3):
        pool.crash(f"bad own-{number}", f"beside own-{number}")
    assert not pool.is_blocked("bad")
    assert not pool.is_blocked("beside")
    pool.crash("bad own-4")
    assert pool.is_blocked("bad")
    assert not pool.is_blocked("beside")


def test_two_causes_are_both_blocked(pool):
    """Guards against one cause that explains the crashes of another."""
    for number in range(4):
        pool.crash(f"shared bad own-{number}")
        pool.answer("shared")
        pool.crash(f"shared worse own-{number}")
        pool.answer("shared")
    assert pool.is_blocked("bad")
    assert pool.is_blocked("worse")
    assert not pool.is_blocked("shared")


def test_request_resent_beside_the_cause_is_not_blocked(pool):
    """Guards against refusing a caller whose request met the cause thrice."""
    for number in range(3):
        pool.crash(f"bad own-{number}")
        pool.evidence.merge(
            crash_records.CrashRecord(
                request="resent",
                instance=running_requests.UpstreamInstance(
                    upstream=f"u-{number + 1}", start=1
                ),
                route="lookups",
                seen_at=pool.now,
                parts=("manual",),
                version="v1",
            ),
            now=pool.now,
        )
    pool.crash("bad own-4")
    assert pool.is_blocked("bad")
    assert not pool.evidence.block_of("resent", now=pool.now)


def test_version_that_answers_a_part_goes_on_with_it(pool):
    """Guards against refusing a part where only another version crashes."""
    for number in range(3):
        pool.answer("part", version="v1")
        pool.crash(f"part own-{number}", version="v2")
    block = pool.evidence.block_of("new", parts=("part",), now=pool.now)
    assert pool.evidence.bears(block, "v1")
    assert not pool.evidence.bears(block, "v2")
    assert not pool.evidence.bears(block, "v3")


def test_records_of_made_up_parts_are_bounded(pool):
    """Guards against a caller that fills the memory with parts."""
    for number in range(3):
        pool.crash(f"bad own-{number}")
    for number in range(2000):
        prompt = " ".join(f"made-up-{number}-{n}" for n in range(16))
        pool.crash(prompt, seconds=0.001)
    assert pool.evidence.size <= crash_evidence.MAX_RECORDS
    stored = sum(len(one.parts) for one in pool.evidence.records())
    assert stored <= crash_evidence.MAX_PARTS_OF_RECORDS
    assert pool.is_blocked("bad")


def test_part_that_always_runs_beside_another_cause_is_blocked(pool):
    """Guards against a cause whose crashes another one explains."""
    for number in range(5):
        pool.crash(f"bad own-{number}", f"worse own-{number}")
    pool.crash("bad own-6")
    assert pool.is_blocked("bad")
    assert pool.is_blocked("worse")


def test_entry_vm_that_has_just_started_takes_no_silence_for_guilt():
    """Guards against refusing all parts that ran beside a cause.

    All entry VMs have been killed: no answer is known, and the whole pool
    crashes again.
    """
    pool = Pool(upstreams=8, answered=0)
    for number in range(6):
        pool.crash(f"shared bad own-{number}", ran_seconds=0.01)
        for manual in ("manual-0", "manual-1", "manual-2"):
            pool.add(f"shared {manual}", ran_seconds=0.03)
    pool.now += crash_causes.LATE_SECONDS
    assert pool.is_blocked("shared bad")
    for manual in ("manual-0", "manual-1", "manual-2"):
        assert not pool.is_blocked(f"shared {manual}")


def test_crashes_under_new_parts_do_not_count_against_an_answered_one(pool):
    """Guards against refusing all callers while many new parts crash."""
    pool.answer("shared")
    for number in range(12):
        for _ in range(2):
            pool.crash(f"shared new-{number}", beside="shared manual")
    assert not pool.is_blocked("shared")


@pytest.mark.parametrize("seed", range(5))
def test_answered_part_beside_several_causes_is_not_blocked(seed):
    """Guards against refusing sound requests while several parts crash a pool.

    Upstreams live for a moment, in which sound requests arrive after the cause.
    """
    rng = random.Random(seed)
    pool = Pool(upstreams=3)
    for _ in range(4):
        pool.answer("shared manual")
    for number in range(40):
        pool.crash(
            *(f"shared bad-{n}" for n in rng.sample(range(6), 2)),
            seconds=0.12,
            ran_seconds=0.05,
        )
        if number % 10:
            pool.add("shared manual", ran_seconds=rng.uniform(0.005, 0.04))
        assert not pool.is_blocked("shared manual")
    pool.now += crash_causes.LATE_SECONDS
    assert not pool.is_blocked("shared manual")


def test_request_stays_blocked_beside_a_part_of_some_of_its_copies(pool):
    """Guards against a request that runs again once a part is a cause."""
    for number in range(4):
        pool.crash(f"copy-{number}", request="whole")
    assert pool.evidence.block_of("whole", now=pool.now)
    for number in range(3):
        pool.crash(f"copy-0 own-{number}")
    assert pool.is_blocked("copy-0")
    assert pool.evidence.block_of("whole", now=pool.now)


def test_several_requests_that_crash_upstreams_block_no_answered_part(pool):
    """Guards against refusing all callers for what a few requests share."""
    pool.answer("shared")
    for _ in range(4):
        for number in range(5):
            pool.crash("shared", request=f"whole-{number}")
        pool.answer("shared")
    assert not pool.is_blocked("shared")
    for number in range(5):
        assert pool.evidence.block_of(f"whole-{number}", now=pool.now)


def test_version_that_answered_before_the_crashes_is_not_spared(pool):
    """Guards against sparing a version for what it answered before."""
    pool.answer("part", version="v1")
    pool.answer("part", version="v2")
    for number in range(4):
        pool.crash(f"part own-{number}", version="v2")
    block = pool.evidence.block_of("new", parts=("part",), now=pool.now)
    assert not pool.evidence.bears(block, "v1")
    pool.answer("part", version="v1")
    assert pool.evidence.bears(block, "v1")
    pool.crash("part own-5", version="v1")
    assert not pool.evidence.bears(block, "v1")


MAX_DECISION_SECONDS = 0.5


@pytest.mark.parametrize(("crashes", "requests"), [(2048, 1), (100, 20)])
def test_time_of_a_decision_on_many_records(crashes, requests):
    """Guards against decisions that hold up all other requests for seconds.

    Nothing is answered, and callers make parts up.
    """
    rng = random.Random(1)
    pool = Pool(upstreams=50)
    for _ in range(crashes):
        made_up = " ".join(f"part-{rng.randrange(8000)}" for _ in range(2))
        pool.crash(f"shared bad {made_up}", seconds=0.05, ran_seconds=0.05)
        for _ in range(requests - 1):
            made_up = " ".join(f"part-{rng.randrange(40)}" for _ in range(3))
            pool.add(f"shared {made_up}", ran_seconds=rng.uniform(0.05, 0.3))
    begin = time.process_time()
    pool.is_blocked("shared bad")
    assert time.process_time() - begin < MAX_DECISION_SECONDS


def test_cause_stays_blocked_after_many_crashes_of_others(pool):
    """Guards against a block that ends because decisions are bounded."""
    for number in range(5):
        pool.crash(f"bad own-{number}")
    assert pool.is_blocked("bad")
    for number in range(1000):
        pool.crash(f"other-{number}", seconds=0.05)
        assert pool.is_blocked("bad")
