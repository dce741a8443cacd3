"""Which requests are blocked after crashes of upstreams."""

import dataclasses

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from lagoonrun_router import (
    crash_evidence,
    crash_records,
    running_requests,
)

NOW = 1000.0
GUILTY = "guilty"
BESIDE = "beside"


@pytest.fixture
def evidence():
    return crash_evidence.CrashEvidence()


def make_instance(upstream, start=1):
    return running_requests.UpstreamInstance(upstream=upstream, start=start)


def record(request, upstream, *, seen_at=NOW, **more):
    return crash_records.CrashRecord(
        request=request,
        instance=make_instance(upstream),
        route="lookups",
        seen_at=seen_at,
        **more,
    )


def crash(evidence, upstream, *requests, at=NOW, silent=True):
    for request in requests:
        one = record(request, upstream, seen_at=at, silent=silent)
        evidence.merge(one, now=at)


def blocked(evidence, request, *, now=NOW):
    return evidence.block_of(request, now=now) is not None


def test_third_crash_blocks(evidence):
    """Guards against a request that crashed ten upstreams.

    Nothing related its copies to each other.
    """
    for number in range(crash_evidence.CRASHES_TO_BLOCK):
        assert not blocked(evidence, GUILTY)
        crash(evidence, f"u-{number}", GUILTY, at=NOW + number)
    block = evidence.block_of(GUILTY, now=NOW + 2)
    assert [one.upstream for one in block.crashes] == ["u-0", "u-1", "u-2"]
    assert block.until == NOW + 2 + crash_evidence.BLOCK_SECONDS


def test_crash_that_several_entry_vms_saw_counts_once(evidence):
    for _ in range(5):
        crash(evidence, "u-1", GUILTY)
    assert not blocked(evidence, GUILTY)


def test_upstream_that_starts_again_under_its_id_counts_again(evidence):
    for start in range(3):
        evidence.merge(
            dataclasses.replace(
                record(GUILTY, "u-1"), instance=make_instance("u-1", start)
            ),
            now=NOW,
        )
    assert blocked(evidence, GUILTY)


def test_request_that_runs_with_the_cause_is_not_blocked(evidence):
    """Guards against blocking a request that ran with the cause at each crash.

    Its caller sends it again after each crash. The cause has one more crash and
    explains all of them.
    """
    for number in range(3):
        crash(evidence, f"u-{number}", GUILTY, BESIDE)
    crash(evidence, "u-3", GUILTY)
    assert blocked(evidence, GUILTY)
    assert not blocked(evidence, BESIDE)


def test_request_whose_answers_had_begun_is_not_blocked_at_first(evidence):
    """Guards against blocking a stream that ran with three different causes.

    Its answer had begun, so the crash was not caused by starting to run it.
    """
    for number in range(3):
        crash(evidence, f"u-{number}", f"cause-{number}")
        crash(evidence, f"u-{number}", BESIDE, silent=False)
    assert not blocked(evidence, BESIDE)
    # A request that crashes upstreams late in its answer is blocked eventually.
    crash(evidence, "u-3", BESIDE, silent=False)
    assert blocked(evidence, BESIDE)


def test_silent_one_of_two_that_were_always_together_is_blocked(evidence):
    for number in range(3):
        crash(evidence, f"u-{number}", GUILTY)
        crash(evidence, f"u-{number}", BESIDE, silent=number == 0)
    assert blocked(evidence, GUILTY)
    assert not blocked(evidence, BESIDE)


def test_two_that_were_always_together_wait_for_one_more_crash(evidence):
    """With three crashes each, it is unknown which of them is innocent."""
    for number in range(3):
        crash(evidence, f"u-{number}", GUILTY, BESIDE)
    assert not blocked(evidence, GUILTY)
    assert not blocked(evidence, BESIDE)
    crash(evidence, "u-3", GUILTY, BESIDE)
    assert blocked(evidence, GUILTY)
    assert blocked(evidence, BESIDE)


def test_simultaneous_crashes_of_many_upstreams_block_nothing(evidence):
    """A quarter of a pool crashes, and all requests there are resent."""
    requests = [f"r-{number}" for number in range(60)]
    for number, request in enumerate(requests):
        crash(evidence, f"u-{number % 6}", request)
    for number, request in enumerate(requests):
        crash(evidence, f"v-{number % 6}", request, at=NOW + 1)
    assert evidence.blocks(now=NOW + 1) == ()


def test_answer_clears_a_request(evidence):
    for number in range(3):
        crash(evidence, f"u-{number}", GUILTY)
    assert len(evidence.clear(GUILTY)) == 3
    assert not blocked(evidence, GUILTY)
    assert not evidence.is_suspect(GUILTY)
    # A record that is reported again stays void.
    crash(evidence, "u-1", GUILTY)
    assert not evidence.is_suspect(GUILTY)


def test_block_ends_and_one_more_crash_renews_it(evidence):
    """A repaired upstream serves the request again; any other crashes."""
    for number in range(3):
        crash(evidence, f"u-{number}", GUILTY)
    later = NOW + crash_evidence.BLOCK_SECONDS
    assert not blocked(evidence, GUILTY, now=later)
    crash(evidence, "u-3", GUILTY, at=later)
    assert blocked(evidence, GUILTY, now=later)


def test_old_crashes_are_forgotten(evidence):
    crash(evidence, "u-1", GUILTY)
    later = NOW + crash_evidence.EXPIRY_SECONDS
    evidence.remove_expired(now=later)
    assert evidence.records() == ()
    # Reports of peers that still have the record don't restore it.
    assert not evidence.merge(record(GUILTY, "u-1"), now=later)


def test_eviction_keeps_requests_with_the_most_crashes(evidence):
    """Crashes of a large pool leave thousands of suspects with one crash each.

    The number of records stays bounded, and a blocked request stays blocked.
    """
    for number in range(3):
        crash(evidence, f"u-{number}", GUILTY)
    for number in range(3 * crash_evidence.MAX_RECORDS):
        crash(evidence, f"u-{number // 60}", f"r-{number}", at=NOW + 1)
        assert evidence.size <= crash_evidence.MAX_RECORDS
        if number % 1000 == 0:
            assert blocked(evidence, GUILTY, now=NOW + 1)
    assert blocked(evidence, GUILTY, now=NOW + 1)
    assert len(evidence.records()) == evidence.size


def test_records_since_a_time_are_those_of_later_crashes(evidence):
    crash(evidence, "u-1", "old", GUILTY)
    crash(evidence, "u-2", GUILTY, at=NOW + 5)
    found = evidence.records(since=NOW + 1)
    assert [(one.request, one.instance.upstream) for one in found] == [
        (GUILTY, "u-2")
    ]


class Exchange(RuleBasedStateMachine):
    """Crashes at any entry VM; reports are lost, repeated and reordered."""

    VMS = 3

    @initialize()
    def begin(self):
        """Start all entry VMs, without any crash."""
        self.vms = [crash_evidence.CrashEvidence() for _ in range(self.VMS)]
        self.upstreams = 0
        self.reports = []
        self.now = NOW

    @rule(
        vm=st.integers(0, VMS - 1),
        requests=st.sets(
            st.sampled_from(("a", "b", "c")), min_size=1, max_size=3
        ),
        silent=st.booleans(),
    )
    def crash(self, vm, requests, silent):
        """Crash an upstream that runs some requests."""
        self.upstreams += 1
        self.now += 0.1
        for request in requests:
            one = record(
                request,
                f"u-{self.upstreams}",
                seen_at=self.now,
                silent=silent,
            )
            assert self.vms[vm].merge(one, now=self.now)
            self.reports.append(one)

    @rule(vm=st.integers(0, VMS - 1), request=st.sampled_from(("a", "b", "c")))
    def answer(self, vm, request):
        """Have an upstream answer a request at one entry VM."""
        cleared = self.vms[vm].clear(request)
        assert not self.vms[vm].is_suspect(request)
        self.reports.extend(cleared)

    @rule(data=st.data())
    def receive(self, data):
        """Have an entry VM receive some of the reports, in any order."""
        if not self.reports:
            return
        vm = data.draw(st.sampled_from(self.vms))
        for one in data.draw(
            st.lists(st.sampled_from(self.reports), max_size=6)
        ):
            vm.merge(one, now=self.now)

    @rule()
    def exchange_all(self):
        """Exchange all reports: all entry VMs then block the same requests."""
        for vm in self.vms:
            for one in self.reports:
                vm.merge(one, now=self.now)
        blocks = [vm.blocks(now=self.now) for vm in self.vms]
        assert all(
            {one.request for one in some} == {one.request for one in blocks[0]}
            for some in blocks
        )
        self._check_against_counts({one.request for one in blocks[0]})

    def _check_against_counts(self, blocked):
        """Check the blocks against plain counts of the reports."""
        void = {(one.request, one.instance) for one in self.reports if one.void}
        valid = {(one.request, one.instance) for one in self.reports} - void
        counts = {
            request: sum(one == request for one, _ in valid)
            for request in ("a", "b", "c")
        }
        for request in blocked:
            assert counts[request] >= crash_evidence.CRASHES_TO_BLOCK
        for request, count in counts.items():
            # This many crashes block a request whatever ran at the same time.
            if count >= crash_evidence.CRASHES_TO_BLOCK_ANY:
                assert request in blocked

    @invariant()
    def no_block_without_crashes(self):
        """Check that each block has enough distinct crashes."""
        for vm in self.vms:
            for block in vm.blocks(now=self.now):
                assert len(block.crashes) >= crash_evidence.CRASHES_TO_BLOCK
                assert len(set(block.crashes)) == len(block.crashes)


TestExchange = Exchange.TestCase
