"""Which requests ran at an upstream when it crashed."""

import pytest

from lagoonrun_router import running_requests

INSTANCE = running_requests.UpstreamInstance(upstream="u-1", start=1)
RESTARTED = running_requests.UpstreamInstance(upstream="u-1", start=2)
NOW = 100.0
LONG_AFTER = NOW + 2 * running_requests.SUSPECT_SECONDS


@pytest.fixture
def running():
    return running_requests.RunningRequests()


def digests(running, now):
    """Return the digests of requests that ran at `INSTANCE` before `now`."""
    return {one.digest for one in running.suspects_at(INSTANCE, now=now)}


def test_running_requests_are_suspects(running):
    running.begin("one", route="r", instance=INSTANCE, now=NOW)
    running.begin("two", route="r", instance=INSTANCE, now=NOW)
    assert digests(running, LONG_AFTER) == {"one", "two"}
    assert running.suspects_at(RESTARTED, now=NOW) == frozenset()


@pytest.mark.parametrize(
    "end", [running_requests.RunEnd.BROKEN, running_requests.RunEnd.ABANDONED]
)
def test_broken_and_abandoned_requests_are_suspects_for_a_while(running, end):
    run = running.begin("one", route="r", instance=INSTANCE, now=NOW)
    running.end(run, end, now=NOW)
    assert digests(running, NOW) == {"one"}
    assert digests(running, LONG_AFTER) == set()


@pytest.mark.parametrize(
    "end", [running_requests.RunEnd.ANSWERED, running_requests.RunEnd.FAILED]
)
def test_answered_requests_are_no_suspects(running, end):
    run = running.begin("one", route="r", instance=INSTANCE, now=NOW)
    running.end(run, end, now=NOW)
    assert digests(running, NOW) == set()


def test_request_whose_answer_has_begun_is_not_silent(running):
    running.begin("one", route="r", instance=INSTANCE, now=NOW)
    running.begin("two", route="r", instance=INSTANCE, now=NOW).silent = False
    silent = {
        one.digest
        for one in running.suspects_at(INSTANCE, now=NOW)
        if one.silent
    }
    assert silent == {"one"}


def test_other_copy_of_an_answered_request_is_kept(running):
    first = running.begin("one", route="r", instance=INSTANCE, now=NOW)
    running.begin("one", route="r", instance=INSTANCE, now=NOW)
    running.end(first, running_requests.RunEnd.ANSWERED, now=NOW)
    assert digests(running, NOW) == {"one"}


def test_runs_that_ended_long_ago_are_removed(running):
    for number in range(100):
        instance = running_requests.UpstreamInstance(
            upstream=f"u-{number}", start=1
        )
        run = running.begin("one", route="r", instance=instance, now=NOW)
        running.end(run, running_requests.RunEnd.ABANDONED, now=NOW)
    running.remove_expired(now=LONG_AFTER)
    assert running.upstreams == 0
