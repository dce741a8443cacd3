"""What ran at an upstream when it ended."""

import pytest

from lagoonrun_router import running_requests

AT = running_requests.StartedUpstream(upstream="u-1", start=1)
RESTARTED = running_requests.StartedUpstream(upstream="u-1", start=2)
NOW = 100.0
LONG_AFTER = NOW + 2 * running_requests.SUSPECT_SECONDS


@pytest.fixture
def running():
    return running_requests.RunningRequests()


def test_requests_under_way_ran_there(running):
    running.begin("one", AT)
    running.begin("two", AT)
    assert running.ran_at(AT, now=LONG_AFTER) == {"one", "two"}
    assert running.ran_at(RESTARTED, now=NOW) == frozenset()


@pytest.mark.parametrize(
    "end", [running_requests.RunEnd.BROKEN, running_requests.RunEnd.ABANDONED]
)
def test_broken_and_abandoned_requests_ran_there_for_a_moment(running, end):
    run = running.begin("one", AT)
    running.end(run, end, now=NOW)
    assert running.ran_at(AT, now=NOW) == {"one"}
    assert running.ran_at(AT, now=LONG_AFTER) == frozenset()


@pytest.mark.parametrize(
    "end", [running_requests.RunEnd.ANSWERED, running_requests.RunEnd.FAILED]
)
def test_answered_requests_did_not_run_there_any_more(running, end):
    run = running.begin("one", AT)
    running.end(run, end, now=NOW)
    assert running.ran_at(AT, now=NOW) == frozenset()


def test_one_of_two_copies_stays(running):
    first = running.begin("one", AT)
    running.begin("one", AT)
    running.end(first, running_requests.RunEnd.ANSWERED, now=NOW)
    assert running.ran_at(AT, now=NOW) == {"one"}


def test_nothing_is_kept_of_what_ended_long_ago(running):
    for number in range(100):
        at = running_requests.StartedUpstream(upstream=f"u-{number}", start=1)
        run = running.begin("one", at)
        running.end(run, running_requests.RunEnd.ABANDONED, now=NOW)
    running.forget_old(now=LONG_AFTER)
    assert running.upstreams == 0
