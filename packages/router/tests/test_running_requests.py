"""What ran at an upstream when it ended."""

import pytest

from lagoonrun_router import running_requests

AT = running_requests.UpstreamInstance(upstream="u-1", start=1)
RESTARTED = running_requests.UpstreamInstance(upstream="u-1", start=2)
NOW = 100.0
LONG_AFTER = NOW + 2 * running_requests.SUSPECT_SECONDS


@pytest.fixture
def running():
    return running_requests.RunningRequests()


def ran(running, now):
    """Return the digests of what ran at `AT` a moment before `now`."""
    return {one.digest for one in running.suspects_at(AT, now=now)}


def test_requests_under_way_ran_there(running):
    running.begin("one", route="r", at=AT)
    running.begin("two", route="r", at=AT)
    assert ran(running, LONG_AFTER) == {"one", "two"}
    assert running.suspects_at(RESTARTED, now=NOW) == frozenset()


@pytest.mark.parametrize(
    "end", [running_requests.RunEnd.BROKEN, running_requests.RunEnd.ABANDONED]
)
def test_broken_and_abandoned_requests_ran_there_for_a_moment(running, end):
    run = running.begin("one", route="r", at=AT)
    running.end(run, end, now=NOW)
    assert ran(running, NOW) == {"one"}
    assert ran(running, LONG_AFTER) == set()


@pytest.mark.parametrize(
    "end", [running_requests.RunEnd.ANSWERED, running_requests.RunEnd.FAILED]
)
def test_answered_requests_did_not_run_there_any_more(running, end):
    run = running.begin("one", route="r", at=AT)
    running.end(run, end, now=NOW)
    assert ran(running, NOW) == set()


def test_request_whose_answer_has_begun_is_told_apart(running):
    running.begin("one", route="r", at=AT)
    running.begin("two", route="r", at=AT).silent = False
    silent = {
        one.digest for one in running.suspects_at(AT, now=NOW) if one.silent
    }
    assert silent == {"one"}


def test_one_of_two_copies_stays(running):
    first = running.begin("one", route="r", at=AT)
    running.begin("one", route="r", at=AT)
    running.end(first, running_requests.RunEnd.ANSWERED, now=NOW)
    assert ran(running, NOW) == {"one"}


def test_nothing_is_kept_of_what_ended_long_ago(running):
    for number in range(100):
        at = running_requests.UpstreamInstance(upstream=f"u-{number}", start=1)
        run = running.begin("one", route="r", at=at)
        running.end(run, running_requests.RunEnd.ABANDONED, now=NOW)
    running.forget_old(now=LONG_AFTER)
    assert running.upstreams == 0
