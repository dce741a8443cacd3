"""What is believed of the limits that upstreams name in their answers."""

import pytest

from lagoonrun_router import (
    limit_news,
    running_requests,
    upstream_limits,
    upstream_notice,
)

AT = running_requests.UpstreamInstance(upstream="u-1", start=7)
NOW = 1000.0
NO_NOTICE = upstream_notice.NO_NOTICE


@pytest.fixture
def limits():
    return upstream_limits.UpstreamLimits()


def answer(limits, per_second, *, at=AT, sent_at=None, now=NOW):
    notice = upstream_notice.UpstreamNotice(requests_per_second=per_second)
    return limits.apply_answer(
        at, notice, sent_at=now if sent_at is None else sent_at, now=now
    )


def told(limits, per_second, *, heard_at, now=NOW):
    statement = upstream_limits.LimitStatement(
        at=AT, requests_per_second=per_second, heard_at=heard_at
    )
    return limits.apply_report(statement, source="vm-2", now=now)


def test_limit_holds_until_an_answer_names_none(limits):
    assert answer(limits, 1.5)
    assert limits.limit_of(AT) == 1.5
    assert answer(limits, 2.0, now=NOW + 1)
    assert limits.limit_of(AT) == 2.0
    assert answer(limits, None, now=NOW + 2).requests_per_second is None
    assert limits.limit_of(AT) is None


def test_answer_to_an_older_request_does_not_end_a_limit(limits):
    """Guards against a limit lost to an answer made before it was named."""
    answer(limits, 1.5)
    assert not answer(limits, None, sent_at=NOW - 1, now=NOW + 1)
    assert limits.limit_of(AT) == 1.5


def test_answer_to_an_older_request_does_not_bring_a_limit_back(limits):
    """Guards against a limit that a late answer begins again."""
    answer(limits, 1.5)
    answer(limits, None, now=NOW + 1)
    assert not answer(limits, 1.5, sent_at=NOW + 0.5, now=NOW + 2)
    assert limits.limit_of(AT) is None


def test_other_start_of_an_upstream_owes_nothing(limits):
    """Guards against a limit that outlives the process that named it."""
    answer(limits, 1.5)
    other = running_requests.UpstreamInstance(upstream="u-1", start=8)
    assert limits.limit_of(other) is None
    limits.forget_instance(AT)
    assert limits.limit_of(AT) is None


def test_newer_statement_of_a_peer_counts_and_an_older_one_does_not(limits):
    answer(limits, 1.5)
    assert not told(limits, None, heard_at=NOW - 0.1)
    assert told(limits, None, heard_at=NOW + 0.2)
    assert limits.limit_of(AT) is None
    assert not told(limits, 3.0, heard_at=NOW)
    assert limits.limit_of(AT) is None


@pytest.mark.parametrize(
    ("named", "taken"),
    [
        (0.0, upstream_limits.MIN_PER_SECOND),
        (0.01, upstream_limits.MIN_PER_SECOND),
        (0.5, 0.5),
        (999.0, 999.0),
        (1000.0, None),
        (1e14, None),
    ],
)
def test_strange_limits_have_defined_effects(limits, named, taken):
    """Guards against an upstream that talks itself out of work for ever."""
    answer(limits, named)
    assert limits.limit_of(AT) == taken


def test_what_is_remembered_is_bounded(limits, monkeypatch):
    monkeypatch.setattr(upstream_limits, "_MOST_LIMITS", 4)
    for number in range(10):
        at = running_requests.UpstreamInstance(upstream=f"u-{number}", start=1)
        answer(limits, 1.0, at=at)
    known = {one.at.upstream for one in limits.in_force()}
    assert known == {"u-6", "u-7", "u-8", "u-9"}


def test_answers_without_a_limit_are_not_remembered(limits):
    assert not answer(limits, None)
    assert limits.statement_of(AT) is None


def test_limit_with_many_digits_is_the_same_when_a_peer_tells_it(limits):
    """Guards against news with each answer of an upstream."""
    made = answer(limits, 1.23456789)
    message = limit_news.told(made, now=NOW + 1)
    again = limit_news.statement_of(message, now=NOW + 1)
    assert again.requests_per_second == limits.limit_of(AT)
    assert not answer(limits, 1.23456789, now=NOW + 2)
