"""Which parts of prompts are held to crash upstreams."""

import pytest

from lagoonrun_router import (
    crash_evidence,
    crash_records,
    part_evidence,
    running_requests,
)

NOW = 1000.0


class Pool:
    """Crashes of upstreams, one a second, and answers between them."""

    def __init__(self):
        self.evidence = crash_evidence.CrashEvidence()
        self.now = NOW
        self._crashes = 0
        self._requests = 0

    def crash(self, *prompts, version="v1", seconds=1.0, request=None):
        """Crash an upstream that runs a request with each of the prompts."""
        self.now += seconds
        self._crashes += 1
        for prompt in prompts:
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
            )
            self.evidence.merge(record, now=self.now)

    def answer(self, prompt, version="v1"):
        """Have an upstream answer a request."""
        for part in prompt.split():
            self.evidence.record_part_answer(
                part_evidence.PartAnswer(
                    part=part, version=version, at=self.now
                )
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
    for number in range(part_evidence.CRASHES_TO_BLOCK):
        assert not pool.is_blocked("bad")
        pool.crash(f"shared bad own-{number}", "shared manual")
        pool.answer("shared manual")
    assert pool.is_blocked("other bad")
    assert not pool.is_blocked("shared manual")


def test_request_that_crashes_upstreams_as_a_whole_blocks_no_part(pool):
    """Guards against refusing all that have something in common with it."""
    for _ in range(part_evidence.CRASHES_TO_BLOCK_ANSWERED):
        pool.crash("shared manual", request="whole")
    assert pool.evidence.block_of("whole", now=pool.now)
    assert not pool.is_blocked("shared manual")


def test_repeated_request_and_others_with_its_part(pool):
    """Guards against evidence that the first repeated request uses up."""
    for _ in range(3):
        pool.crash("shared bad", request="repeated")
    pool.crash("other bad")
    assert not pool.is_blocked("third bad")
    pool.crash("third bad")
    assert pool.is_blocked("fourth bad")


def test_crashes_at_the_same_moment_count_once(pool):
    """Guards against refusing all callers after a loss of power."""
    for _ in range(20):
        pool.crash("shared one", "shared two", seconds=0.01)
    assert not pool.is_blocked("shared one")


def test_part_that_was_answered_lately_needs_more_crashes(pool):
    """Guards against refusing what many callers share while upstreams crash."""
    pool.answer("shared")
    for number in range(4):
        pool.crash(f"shared own-{number}")
    assert not pool.is_blocked("shared")
    pool.crash("shared own-5")
    assert pool.is_blocked("shared")


def test_answer_clears_a_part(pool):
    for number in range(2):
        pool.crash(f"shared own-{number}")
    pool.answer("shared")
    pool.crash("shared own-3")
    assert pool.evidence.is_suspect_part("shared")
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
    assert pool.evidence.bears(block, "v1", now=pool.now)
    assert not pool.evidence.bears(block, "v2", now=pool.now)
    assert not pool.evidence.bears(block, "v3", now=pool.now)


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


def test_crashes_under_new_parts_do_not_count_against_an_answered_one(pool):
    """Guards against refusing all callers while many new parts crash."""
    pool.answer("shared")
    for number in range(12):
        for _ in range(2):
            pool.crash(f"shared new-{number}")
    assert not pool.is_blocked("shared")


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
    assert not pool.is_blocked("shared")
    assert pool.evidence.block_of("whole-0", now=pool.now)
