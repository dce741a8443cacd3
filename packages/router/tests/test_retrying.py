"""Which failed attempts are retried at another upstream."""

import pytest

from lagoonrun_core import outcomes
from lagoonrun_router import attempt_result, retrying
from lagoonrun_standins.router_samples import (
    make_call,
    make_route,
    make_stream_route,
)

Outcome = outcomes.Outcome
RetryDecision = retrying.RetryDecision

UNREACHED = retrying.SendCounts(unreached=1)
ONCE = retrying.SendCounts(reached=1)
TWICE = retrying.SendCounts(reached=2)


def lost(ran=Outcome.UNKNOWN, **changes):
    values = {
        "reason": outcomes.Reason.UPSTREAM_CLOSED,
        "detail": "",
        "upstream": "u-1",
    }
    return attempt_result.Lost(ran=ran, **{**values, **changes})


SAFE = make_route(idempotent=True, maximum_attempts=2)
ONLY_ONCE = make_route(maximum_attempts=2)
RESUMABLE = make_stream_route(resumable=True, maximum_attempts=2)
STREAM = make_stream_route(maximum_attempts=2)


@pytest.mark.parametrize(
    ("route", "what", "sends", "decision"),
    [
        (
            ONLY_ONCE,
            lost(Outcome.NOT_RUN, sent=False),
            UNREACHED,
            RetryDecision.FREE,
        ),
        (ONLY_ONCE, lost(Outcome.NOT_RUN), ONCE, RetryDecision.PAID),
        (ONLY_ONCE, lost(Outcome.UNKNOWN), ONCE, RetryDecision.END),
        (ONLY_ONCE, lost(Outcome.FAILED), ONCE, RetryDecision.END),
        (SAFE, lost(Outcome.UNKNOWN), ONCE, RetryDecision.PAID),
        (SAFE, lost(Outcome.FAILED), ONCE, RetryDecision.PAID),
        (SAFE, lost(Outcome.UNKNOWN), TWICE, RetryDecision.END),
        (STREAM, lost(Outcome.PARTIAL), ONCE, RetryDecision.END),
        (STREAM, lost(Outcome.UNKNOWN), ONCE, RetryDecision.END),
        (RESUMABLE, lost(Outcome.PARTIAL), ONCE, RetryDecision.PAID),
        (RESUMABLE, lost(Outcome.UNKNOWN), ONCE, RetryDecision.PAID),
        (RESUMABLE, lost(Outcome.PARTIAL), TWICE, RetryDecision.END),
        (
            ONLY_ONCE,
            lost(Outcome.NOT_RUN, misdirected=True),
            UNREACHED,
            RetryDecision.PAID,
        ),
        (
            SAFE,
            lost(Outcome.NOT_RUN, sent=False),
            retrying.SendCounts(unreached=3),
            RetryDecision.END,
        ),
    ],
)
def test_retry_decision(route, what, sends, decision):
    call = make_call(route=route)
    assert retrying.decide(call, what, sends, now=1000.0) is decision


def test_upstreams_that_refuse_connections_are_skipped():
    """Guards against "not run" errors while most of the pool is healthy.

    After a crash of a third of the runners, some requests try three crashed
    ones in a row, a millisecond each, until the store removes them.
    """
    call = make_call(route=ONLY_ONCE)
    refused = lost(Outcome.NOT_RUN, sent=False)
    sends = retrying.SendCounts()
    for _ in range(retrying.MAX_REFUSED):
        assert (
            retrying.decide(call, refused, sends, now=1000.0)
            is RetryDecision.FREE
        )
        sends = sends.with_lost(refused, seconds=0.002)
    assert (
        retrying.decide(call, refused, sends, now=1000.0) is RetryDecision.END
    )


def test_unresponsive_upstreams_are_tried_three_times():
    """Guards against an error that reaches the caller only after seconds."""
    unresponsive = lost(Outcome.NOT_RUN, sent=False)
    sends = retrying.SendCounts()
    for _ in range(retrying.MAX_UNREACHED):
        sends = sends.with_lost(unresponsive, seconds=0.4)
    call = make_call(route=ONLY_ONCE)
    assert (
        retrying.decide(call, unresponsive, sends, now=1000.0)
        is RetryDecision.END
    )


def test_no_retry_without_time_for_it():
    call = make_call(route=SAFE, limit_at=1000.05)
    decision = retrying.decide(call, lost(), ONCE, now=1000.0)
    assert decision is RetryDecision.END


def test_sends_are_counted_by_whether_an_upstream_got_the_request():
    sends = retrying.SendCounts().with_lost(lost(), seconds=0.4)
    sends = sends.with_lost(lost(Outcome.NOT_RUN, sent=False), seconds=0.4)
    sends = sends.with_lost(
        lost(Outcome.NOT_RUN, misdirected=True), seconds=0.4
    )
    assert sends == retrying.SendCounts(reached=1, unreached=2)
