"""Which requests are blocked for the upstreams that ended under them."""

import dataclasses

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from lagoonrun_router import crash_evidence, running_requests

NOW = 1000.0
GUILTY = "guilty"
BESIDE = "beside"


@pytest.fixture
def evidence():
    return crash_evidence.CrashEvidence()


def started(upstream, start=1):
    return running_requests.UpstreamInstance(upstream=upstream, start=start)


def record(request, upstream, *, seen_at=NOW, **more):
    return crash_evidence.CrashRecord(
        request=request,
        at=started(upstream),
        route="lookups",
        seen_at=seen_at,
        **more,
    )


def crash(evidence, upstream, *requests, at=NOW, silent=True):
    for request in requests:
        one = record(request, upstream, seen_at=at, silent=silent)
        evidence.take(one, now=at)


def blocked(evidence, request, *, now=NOW):
    return evidence.block_of(request, now=now) is not None


def test_third_crash_blocks(evidence):
    """A request ended ten upstreams, since nothing related its copies."""
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
        evidence.take(
            dataclasses.replace(
                record(GUILTY, "u-1"), at=started("u-1", start)
            ),
            now=NOW,
        )
    assert blocked(evidence, GUILTY)


def test_request_beside_the_cause_is_not_blocked(evidence):
    """A stream breaks with its upstream, and its caller sends it again.

    It meets the request that ends upstreams each time. The cause was there at
    one more crash, and explains them all.
    """
    for number in range(3):
        crash(evidence, f"u-{number}", GUILTY, BESIDE)
    crash(evidence, "u-3", GUILTY)
    assert blocked(evidence, GUILTY)
    assert not blocked(evidence, BESIDE)


def test_request_whose_answers_had_begun_is_not_blocked_at_first(evidence):
    """A stream beside the cause; the cause is another request each time.

    The engine had run it for a while, so it did not end by beginning to.
    """
    for number in range(3):
        crash(evidence, f"u-{number}", f"cause-{number}")
        crash(evidence, f"u-{number}", BESIDE, silent=False)
    assert not blocked(evidence, BESIDE)
    # One that ends upstreams late in its answer is not sent for ever.
    crash(evidence, "u-3", BESIDE, silent=False)
    assert blocked(evidence, BESIDE)


def test_silent_one_of_two_that_were_always_together_is_blocked(evidence):
    for number in range(3):
        crash(evidence, f"u-{number}", GUILTY)
        crash(evidence, f"u-{number}", BESIDE, silent=number == 0)
    assert blocked(evidence, GUILTY)
    assert not blocked(evidence, BESIDE)


def test_two_that_were_always_together_wait_for_one_more_crash(evidence):
    """At three crashes each, one of them is innocent, and nobody knows which."""
    for number in range(3):
        crash(evidence, f"u-{number}", GUILTY, BESIDE)
    assert not blocked(evidence, GUILTY)
    assert not blocked(evidence, BESIDE)
    crash(evidence, "u-3", GUILTY, BESIDE)
    assert blocked(evidence, GUILTY)
    assert blocked(evidence, BESIDE)


def test_many_upstreams_that_end_at_once_block_nothing(evidence):
    """A quarter of a pool crashes; all that ran there comes again."""
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
    # What is told again later stays void.
    crash(evidence, "u-1", GUILTY)
    assert not evidence.is_suspect(GUILTY)


def test_block_ends_and_one_more_crash_renews_it(evidence):
    """A mended upstream serves the request again; one that isn't crashes."""
    for number in range(3):
        crash(evidence, f"u-{number}", GUILTY)
    later = NOW + crash_evidence.BLOCK_SECONDS
    assert not blocked(evidence, GUILTY, now=later)
    crash(evidence, "u-3", GUILTY, at=later)
    assert blocked(evidence, GUILTY, now=later)


def test_old_crashes_are_forgotten(evidence):
    crash(evidence, "u-1", GUILTY)
    later = NOW + crash_evidence.EXPIRY_SECONDS
    evidence.forget_old(now=later)
    assert evidence.records() == ()
    # Peers that have not forgotten yet don't bring them back.
    assert not evidence.take(record(GUILTY, "u-1"), now=later)


def test_flood_of_suspects_keeps_the_weightiest(evidence):
    """Crashes of a large pool leave thousands of suspects, once each.

    What is kept stays bounded, and a request that is blocked stays blocked.
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
    assert [(one.request, one.at.upstream) for one in found] == [
        (GUILTY, "u-2")
    ]


class Exchange(RuleBasedStateMachine):
    """Crashes seen at any entry VM, news lost, late, repeated and in any order."""

    VMS = 3

    @initialize()
    def begin(self):
        """Start all entry VMs, without any crash."""
        self.vms = [crash_evidence.CrashEvidence() for _ in range(self.VMS)]
        self.upstreams = 0
        self.told = []
        self.now = NOW

    @rule(
        vm=st.integers(0, VMS - 1),
        requests=st.sets(
            st.sampled_from(("a", "b", "c")), min_size=1, max_size=3
        ),
        silent=st.booleans(),
    )
    def crash(self, vm, requests, silent):
        """Have an upstream end under some requests."""
        self.upstreams += 1
        self.now += 0.1
        for request in requests:
            one = record(
                request,
                f"u-{self.upstreams}",
                seen_at=self.now,
                silent=silent,
            )
            assert self.vms[vm].take(one, now=self.now)
            self.told.append(one)

    @rule(vm=st.integers(0, VMS - 1), request=st.sampled_from(("a", "b", "c")))
    def answer(self, vm, request):
        """Have an upstream answer a request at one entry VM."""
        cleared = self.vms[vm].clear(request)
        assert not self.vms[vm].is_suspect(request)
        self.told.extend(cleared)

    @rule(data=st.data())
    def hear(self, data):
        """Have an entry VM hear some of what was told, now or before."""
        if not self.told:
            return
        vm = data.draw(st.sampled_from(self.vms))
        for one in data.draw(st.lists(st.sampled_from(self.told), max_size=6)):
            vm.take(one, now=self.now)

    @rule()
    def all_hear_all(self):
        """Exchange everything: all judge the same, and judge right."""
        for vm in self.vms:
            for one in self.told:
                vm.take(one, now=self.now)
        blocks = [vm.blocks(now=self.now) for vm in self.vms]
        assert all(
            {one.request for one in some} == {one.request for one in blocks[0]}
            for some in blocks
        )
        self._check_against_counts({one.request for one in blocks[0]})

    def _check_against_counts(self, blocked):
        """Check with plain counts of what was told."""
        void = {(one.request, one.at) for one in self.told if one.void}
        held = {(one.request, one.at) for one in self.told} - void
        counts = {
            request: sum(one == request for one, _ in held)
            for request in ("a", "b", "c")
        }
        for request in blocked:
            assert counts[request] >= crash_evidence.CRASHES_TO_BLOCK
        for request, count in counts.items():
            # Whatever ran beside it, so many crashes are enough.
            if count >= crash_evidence.CRASHES_TO_BLOCK_ANY:
                assert request in blocked

    @invariant()
    def no_block_without_crashes(self):
        """Check that no entry VM blocks by less than it has heard."""
        for vm in self.vms:
            for block in vm.blocks(now=self.now):
                assert len(block.crashes) >= crash_evidence.CRASHES_TO_BLOCK
                assert len(set(block.crashes)) == len(block.crashes)


TestExchange = Exchange.TestCase
