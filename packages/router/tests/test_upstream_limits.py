"""Known limits, from answers of upstreams and reports of peers."""

import pytest

from lagoonrun_router import (
    limit_news,
    running_requests,
    upstream_limits,
    upstream_notice,
)

INSTANCE = running_requests.UpstreamInstance(upstream="u-1", start=7)
NOW = 1000.0
NO_NOTICE = upstream_notice.NO_NOTICE


@pytest.fixture
def limits():
    return upstream_limits.UpstreamLimits()


def apply_answer(
    limits, per_second, *, instance=INSTANCE, sent_at=None, now=NOW
):
    notice = upstream_notice.UpstreamNotice(requests_per_second=per_second)
    return limits.apply_answer(
        instance, notice, sent_at=now if sent_at is None else sent_at, now=now
    )


def apply_report(limits, per_second, *, heard_at, now=NOW):
    statement = upstream_limits.LimitStatement(
        instance=INSTANCE, requests_per_second=per_second, heard_at=heard_at
    )
    return limits.apply_report(statement, source="vm-2", now=now)


def test_limit_holds_until_an_answer_names_none(limits):
    assert apply_answer(limits, 1.5)
    assert limits.limit_of(INSTANCE) == 1.5
    assert apply_answer(limits, 2.0, now=NOW + 1)
    assert limits.limit_of(INSTANCE) == 2.0
    assert apply_answer(limits, None, now=NOW + 2).requests_per_second is None
    assert limits.limit_of(INSTANCE) is None


def test_answer_to_an_older_request_does_not_end_a_limit(limits):
    """Guards against a limit ended by an answer older than it."""
    apply_answer(limits, 1.5)
    assert not apply_answer(limits, None, sent_at=NOW - 1, now=NOW + 1)
    assert limits.limit_of(INSTANCE) == 1.5


def test_answer_to_an_older_request_does_not_bring_a_limit_back(limits):
    """Guards against a limit that a late answer restores."""
    apply_answer(limits, 1.5)
    apply_answer(limits, None, now=NOW + 1)
    assert not apply_answer(limits, 1.5, sent_at=NOW + 0.5, now=NOW + 2)
    assert limits.limit_of(INSTANCE) is None


def test_other_instance_of_an_upstream_has_no_limit(limits):
    """Guards against a limit that outlives the process that announced it."""
    apply_answer(limits, 1.5)
    other = running_requests.UpstreamInstance(upstream="u-1", start=8)
    assert limits.limit_of(other) is None
    limits.forget_instance(INSTANCE)
    assert limits.limit_of(INSTANCE) is None


def test_newer_statement_of_a_peer_counts_and_an_older_one_does_not(limits):
    apply_answer(limits, 1.5)
    assert not apply_report(limits, None, heard_at=NOW - 0.1)
    assert apply_report(limits, None, heard_at=NOW + 0.2)
    assert limits.limit_of(INSTANCE) is None
    assert not apply_report(limits, 3.0, heard_at=NOW)
    assert limits.limit_of(INSTANCE) is None


@pytest.mark.parametrize(
    ("announced", "effective"),
    [
        (0.0, upstream_limits.MIN_PER_SECOND),
        (0.01, upstream_limits.MIN_PER_SECOND),
        (0.5, 0.5),
        (999.0, 999.0),
        (1000.0, None),
        (1e14, None),
    ],
)
def test_extreme_limits_are_bounded(limits, announced, effective):
    """Guards against an upstream idle for ever after a limit of zero."""
    apply_answer(limits, announced)
    assert limits.limit_of(INSTANCE) == effective


def test_number_of_statements_is_bounded(limits, monkeypatch):
    monkeypatch.setattr(upstream_limits, "_MAX_LIMITS", 4)
    for number in range(10):
        instance = running_requests.UpstreamInstance(
            upstream=f"u-{number}", start=1
        )
        apply_answer(limits, 1.0, instance=instance)
    known = {one.instance.upstream for one in limits.in_force()}
    assert known == {"u-6", "u-7", "u-8", "u-9"}


def test_answers_without_a_limit_are_not_remembered(limits):
    assert not apply_answer(limits, None)
    assert limits.statement_of(INSTANCE) is None


def test_limit_with_many_digits_equals_its_report(limits):
    """Guards against a change reported with each answer of an upstream."""
    made = apply_answer(limits, 1.23456789)
    message = limit_news.to_upstream_limit(made, now=NOW + 1)
    again = limit_news.from_upstream_limit(message, now=NOW + 1)
    assert again.requests_per_second == limits.limit_of(INSTANCE)
    assert not apply_answer(limits, 1.23456789, now=NOW + 2)
