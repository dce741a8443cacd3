"""What an entry VM does with crashes it sees and hears of, without a network."""

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    block_record,
    crash_evidence,
    crashing_requests,
    recent_answers,
    running_requests,
)

ONE = running_requests.SuspectRequest(digest="one", route="lookups")
TWO = running_requests.SuspectRequest(digest="two", route="lookups")
LONG_SECONDS = 10.0


class Watch:
    """What ran at crashed upstreams."""

    def __init__(self):
        self.ran_by_upstream = {}

    def suspects_at(self, at):
        """Return what the test put there."""
        return self.ran_by_upstream.get(at, frozenset())


class BlockWriter:
    """Keeps what it was asked for."""

    def __init__(self):
        self.written = []
        self.removed = []

    def write(self, block):
        """Note a block."""
        self.written.append(block.request)

    def remove(self, request):
        """Note a removal."""
        self.removed.append(request)


class News:
    """What was told to the fleet."""

    def __init__(self):
        self.is_relay = False
        self.told = []

    def broadcast(self, records, *, now):
        """Note records."""
        del now
        self.told.extend(records)

    def forward(self, told, new, *, now):
        """Hand on nothing."""


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def watch():
    return Watch()


@pytest.fixture
def block_writer():
    return BlockWriter()


@pytest.fixture
def news():
    return News()


@pytest.fixture
def crashing(watch, block_writer, clock, news):
    made = crashing_requests.CrashingRequests(
        watch=watch, block_writer=block_writer, clock=clock
    )
    made.news = news
    return made


def started(number):
    return running_requests.UpstreamInstance(upstream=f"u-{number}", start=1)


def told(*runs, age_milliseconds=0, void=False):
    return router_messages.CrashNews(
        entry_vm="vm-2",
        domain="north",
        runs=tuple(
            router_messages.CrashedRun(
                request=request,
                route="lookups",
                upstream=f"u-{number}",
                start=1,
                age_milliseconds=age_milliseconds,
                void=void,
            )
            for request, number in runs
        ),
    )


def crash_thrice(crashing):
    for number in range(3):
        crashing.record_crash(started(number), frozenset({ONE}))


def blocked(crashing):
    return [one.request for one in crashing.blocks()]


def test_own_crashes_are_told_and_the_block_is_kept(
    crashing, news, block_writer, clock
):
    crash_thrice(crashing)
    assert blocked(crashing) == ["one"]
    assert len(news.told) == 3
    crashing.tick()
    assert block_writer.written == []
    clock.advance(1.0)
    crashing.tick()
    crashing.tick()
    assert block_writer.written == ["one"]


def test_crashes_at_several_entry_vms_add_up(crashing):
    crashing.record_crash(started(0), frozenset({ONE}))
    crashing.receive_news(told(("one", 1), ("one", 2)))
    assert blocked(crashing) == ["one"]


@pytest.mark.parametrize("is_relay", [True, False])
def test_only_relays_keep_what_they_were_told(
    crashing, news, block_writer, clock, is_relay
):
    """Whoever saw the crash may have ended; all others at once would storm."""
    news.is_relay = is_relay
    crashing.receive_news(told(("one", 0), ("one", 1), ("one", 2)))
    clock.advance(LONG_SECONDS)
    crashing.tick()
    assert block_writer.written == (["one"] if is_relay else [])


def test_relay_does_not_keep_what_the_store_has(
    crashing, news, block_writer, clock
):
    news.is_relay = True
    crashing.receive_news(told(("one", 0), ("one", 1), ("one", 2)))
    (block,) = crashing.blocks()
    crashing.apply_stored("one", block_record.encode(block))
    clock.advance(LONG_SECONDS)
    crashing.tick()
    assert block_writer.written == []


def test_request_whose_caller_left_right_before_the_crash_ran_there(
    crashing, watch, news
):
    """The upstream may have gone on with it; another entry VM saw the crash."""
    watch.ran_by_upstream[started(0)] = frozenset({TWO})
    crashing.receive_news(told(("one", 0)))
    assert {one.request for one in crashing.records()} == {"one", "two"}
    assert [one.request for one in news.told] == ["two"]


def test_old_news_says_nothing_of_what_runs_here(crashing, watch):
    watch.ran_by_upstream[started(0)] = frozenset({TWO})
    crashing.receive_news(told(("one", 0), age_milliseconds=60_000))
    assert {one.request for one in crashing.records()} == {"one"}


def test_answer_unblocks_everywhere(crashing, news, block_writer):
    crash_thrice(crashing)
    (block,) = crashing.blocks()
    crashing.apply_stored("one", block_record.encode(block))
    news.told.clear()
    crashing.record_answer("one")
    assert blocked(crashing) == []
    assert [one.void for one in news.told] == [True] * 3
    assert block_writer.removed == ["one"]


def test_answer_of_a_request_beside_one_crash_is_not_told(crashing, news):
    crashing.record_crash(started(0), frozenset({ONE, TWO}))
    news.told.clear()
    crashing.record_answer("two")
    crashing.record_answer("never-suspect")
    assert news.told == []


def test_request_that_was_answered_lately_is_not_blocked_here_or_elsewhere(
    crashing, news, clock
):
    """Many callers send the same lookup; several upstreams end within a second."""
    crashing.record_answer("one")
    clock.advance(1.0)
    crashing.receive_news(told(("one", 0), ("one", 1), ("one", 2)))
    assert blocked(crashing) == []
    assert [one.void for one in news.told] == [True] * 3


def test_request_that_was_answered_long_ago_is_blocked(crashing, clock):
    """A new version of an engine ends by what the one before could bear."""
    crashing.record_answer("one")
    clock.advance(recent_answers.ANSWERED_SECONDS)
    crash_thrice(crashing)
    assert blocked(crashing) == ["one"]


def test_lifted_block_is_void_for_peers_that_tell_it_again(crashing):
    crash_thrice(crashing)
    assert crashing.lift("one")
    assert not crashing.lift("one")
    crashing.receive_news(told(("one", 0), ("one", 1), ("one", 2)))
    assert blocked(crashing) == []


def test_stored_block_is_in_force_at_an_entry_vm_that_starts(crashing):
    crashing.apply_stored("one", _stored_block())
    assert blocked(crashing) == ["one"]


def test_block_that_the_store_drops_has_ended(crashing):
    crashing.apply_stored("one", _stored_block())
    crashing.apply_removed("one")
    assert blocked(crashing) == []


@pytest.mark.parametrize("is_relay", [True, False])
def test_relay_writes_a_block_again_that_a_restored_store_may_lack(
    crashing, news, block_writer, clock, is_relay
):
    news.is_relay = is_relay
    crashing.apply_stored("one", _stored_block())
    crashing.on_store_restored()
    clock.advance(LONG_SECONDS)
    crashing.tick()
    assert block_writer.written == (["one"] if is_relay else [])
    assert blocked(crashing) == ["one"]


def test_block_that_a_restored_store_has_is_not_written_again(
    crashing, news, block_writer, clock
):
    news.is_relay = True
    crashing.apply_stored("one", _stored_block())
    crashing.on_store_restored()
    crashing.apply_stored("one", _stored_block())
    clock.advance(LONG_SECONDS)
    crashing.tick()
    assert block_writer.written == []


def test_block_of_ones_own_does_not_end_by_a_key_that_was_not_seen(crashing):
    crash_thrice(crashing)
    crashing.apply_removed("one")
    assert blocked(crashing) == ["one"]


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"route":"r"}'])
def test_unreadable_record_of_the_store_blocks_nothing(crashing, value):
    crashing.apply_stored("one", value)
    assert blocked(crashing) == []


def test_block_ends_with_time_and_one_crash_renews_and_keeps_it(
    crashing, block_writer, clock
):
    crash_thrice(crashing)
    clock.advance(crash_evidence.BLOCK_SECONDS)
    crashing.tick()
    assert blocked(crashing) == []
    block_writer.written.clear()
    crashing.record_crash(started(3), frozenset({ONE}))
    clock.advance(1.0)
    crashing.tick()
    assert blocked(crashing) == ["one"]
    assert block_writer.written == ["one"]


def _stored_block():
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        record = crash_evidence.CrashRecord(
            request="one", at=started(number), route="lookups", seen_at=0.0
        )
        evidence.take(record, now=0.0)
    return block_record.encode(evidence.block_of("one", now=0.0))
