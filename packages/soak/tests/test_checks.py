"""Each check on small records: what breaks a promise, and what does not."""

import pytest

from lagoonrun_soak import checks, record, upstream
from lagoonrun_soak.checks import Promise

EVENTS = [upstream.event("r", number) for number in range(1, 9)]


def ask(**changes):
    values = {
        "id": "r",
        "kind": "lookup",
        "vm": "vm-0",
        "boot": 1,
        "key_revision": 0,
        "sent_at": 100.0,
        "ended_at": 100.1,
        "status": 200,
        "body": upstream.whole_body("r"),
        "whole": True,
        "genuine": True,
    }
    return record.Ask(**{**values, **changes})


def run(at=100.0, **changes):
    values = {"id": "r", "upstream": "u-1", "kind": "lookup"}
    return record.Run(at=at, **{**values, **changes})


def broken(*asks, runs=(), **changes):
    """Return the promises that a record breaks."""
    seen = record.Record(**changes)
    for one in asks:
        seen.asks_by_id[one.id] = one
    for one in runs:
        seen.runs_by_id[one.id].append(one)
    return {one.promise for one in checks.check(seen)}


def test_one_run_and_its_answer_break_nothing():
    assert broken(ask(), runs=[run()]) == set()


def test_second_run_breaks_once_unless_it_may_be_repeated():
    assert broken(ask(), runs=[run(), run()]) == {Promise.ONCE}
    assert broken(ask(kind="check"), runs=[run(), run()]) == set()


def test_run_that_nobody_asked_for():
    assert broken(runs=[run()]) == {Promise.ONCE}


@pytest.mark.parametrize(
    "changes", [{"body": b"answer to s"}, {"genuine": False}]
)
def test_answer_of_another_or_of_nobody(changes):
    assert broken(ask(**changes)) == {Promise.OWN_ANSWER}


def test_stream_that_misses_an_event_or_looks_whole():
    cut = b"".join(EVENTS[:3])
    stream = {"kind": "ask", "whole": False}
    assert broken(ask(body=cut, **stream)) == set()
    gap = b"".join([EVENTS[0], EVENTS[2]])
    assert broken(ask(body=gap, **stream)) == {Promise.OWN_ANSWER}
    looks_whole = ask(kind="ask", body=cut)
    assert broken(looks_whole) == {Promise.OWN_ANSWER}


def test_refused_and_run():
    refused = ask(status=503, body=b"")
    assert broken(refused) == set()
    assert broken(refused, runs=[run()]) == {Promise.NOT_RUN}


def test_late_run_at_a_leaving_upstream():
    left = {"left_at_by_upstream": {"u-1": 100.0}}
    assert broken(ask(), runs=[run(101.9)], **left) == set()
    assert broken(ask(), runs=[run(103.0)], **left) == {Promise.LEAVING}
    seen_late = {"vm-0": [record.Span(start=99.0, end=101.0)]}
    assert (
        broken(
            ask(), runs=[run(103.0)], spans_by_subject=spans(seen_late), **left
        )
        == set()
    )


def spans(by_subject):
    made = record.Record().spans_by_subject
    made.update(by_subject)
    return made


def test_request_cut_by_a_planned_stop():
    stops = record.Record().stops_by_vm
    stops["vm-0"] = [100.5]
    cut = ask(ended_at=101.0, status=0, whole=False, body=b"")
    assert broken(cut, runs=[run()], stops_by_vm=stops) == {
        Promise.PLANNED_STOP
    }
    crossed = ask(sent_at=100.9, ended_at=101.0, status=0, whole=False)
    assert broken(crossed, stops_by_vm=stops) == set()
    excused = spans({"u-1": [record.Span(start=100.0, end=101.0)]})
    assert (
        broken(cut, runs=[run()], stops_by_vm=stops, spans_by_subject=excused)
        == set()
    )


def test_key_that_is_not_known_in_time():
    declared = {"declared_at_by_revision": {2: 100.0}}
    early = ask(status=401, key_revision=2, sent_at=101.0)
    late = ask(status=401, key_revision=2, sent_at=103.0)
    assert broken(early, **declared) == set()
    assert broken(late, **declared) == {Promise.IN_FORCE}


def test_key_that_was_known_and_is_not_any_more():
    declared = {"declared_at_by_revision": {2: 100.0}}
    known = ask(id="a", key_revision=2, body=upstream.whole_body("a"))
    denied = ask(status=401, key_revision=2, sent_at=101.0)
    assert broken(known, denied, **declared) == {Promise.NO_REVERT}
    restarted = ask(status=401, key_revision=2, sent_at=101.0, boot=2)
    assert broken(known, restarted, **declared) == set()


def test_urgent_requests_refused_while_others_begin():
    count = checks._TIER_REQUESTS
    refused = [ask(id=f"a-{n}", kind="ask", status=503) for n in range(count)]
    others = [ask(id=f"s-{n}", kind="summary", status=0) for n in range(count)]
    begun = [run(id=one.id, kind="summary") for one in others]
    assert broken(*refused, *others, runs=begun) == {Promise.TIERS}
    assert broken(*refused[1:], *others, runs=begun) == set()
