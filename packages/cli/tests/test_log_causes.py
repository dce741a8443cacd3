"""Causes of missing and late responses, counted from captured log lines."""

import io
import json

import pytest

from lagoonrun_cli import log_causes, log_lines, main

CAUSE = log_causes.Cause


def line(message, id="r", time="2026-01-01 08:00:03,000", **fields):
    fields = {
        "asctime": time,
        "message": message,
        "entry_vm": "vm-1",
        "request_id": id,
        **fields,
    }
    return json.dumps(fields)


def ended(id="r", **changes):
    fields = {
        "profile": "asks",
        "outcome": "complete",
        "reason": "none",
        "first_seconds": 0.1,
        "target_seconds": 1.0,
        "longest_pause": 0.1,
        "pause_target_seconds": 0.2,
        "pause_waiting_tokens": 0,
    }
    return line("request-ended", id, **{**fields, **changes})


def routed(waiting=0.0):
    candidates = [{"upstream": "u-1", "waiting_tokens": waiting}]
    return line("request-routed", candidates=candidates, reread_tokens=700)


def count_causes(*texts):
    return log_causes.count(log_lines.read(texts))


@pytest.mark.parametrize(
    ("texts", "cause"),
    [
        ([ended()], None),
        ([line("request-rejected")], None),
        ([line("request-routed")], CAUSE.ENTRY_VM_LOST),
        ([line("request-refused")], CAUSE.REFUSED),
        ([ended(outcome="not-run", reason="overloaded")], CAUSE.REFUSED),
        ([ended(outcome="not-run", reason="no-upstream")], CAUSE.NOT_KNOWN),
        (
            [ended(outcome="failed", reason="upstream-failed")],
            CAUSE.UPSTREAM_ERROR,
        ),
        (
            [ended(outcome="unknown", reason="upstream-closed")],
            CAUSE.UPSTREAM_LOST,
        ),
        (
            [line("upstream-attempt-lost"), ended(longest_pause=0.3)],
            CAUSE.UPSTREAM_LOST,
        ),
        ([routed(9000.0), ended(first_seconds=1.1)], CAUSE.PROMPTS),
        ([routed(), ended(first_seconds=1.1)], CAUSE.WAITED),
        (
            [ended(longest_pause=0.21, pause_waiting_tokens=9000)],
            CAUSE.PAUSE_PROMPT,
        ),
        ([ended(longest_pause=0.21)], CAUSE.PAUSE),
        (
            [ended(first_seconds=1.1, pause_target_seconds=None)],
            CAUSE.PLAIN_LATE,
        ),
    ],
)
def test_request_has_one_cause(texts, cause):
    found = count_causes(*texts)
    assert found.requests == 1
    assert found.by_cause() == ({cause: 1} if cause else {})


def test_causes_are_counted_by_class_domain_and_interval():
    found = count_causes(
        line("process-started", id=None, domain="north"),
        routed(),
        ended(longest_pause=0.3),
        ended("s", longest_pause=0.3, time="2026-01-01 08:00:13,500"),
        ended("t"),
    )
    assert (found.requests, found.not_in_time) == (3, 2)
    assert found.reread_tokens == 700
    assert found.by("profile") == {"asks": {CAUSE.PAUSE: 2}}
    assert found.by("domain") == {"north": {CAUSE.PAUSE: 2}}
    assert found.by("moment") == {
        "2026-01-01 08:00:00": {CAUSE.PAUSE: 1},
        "2026-01-01 08:00:10": {CAUSE.PAUSE: 1},
    }


async def test_table_of_causes_is_written(tmp_path):
    path = tmp_path / "captured.log"
    path.write_text("\n".join([ended(), ended("s", longest_pause=0.3)]))
    out, err = io.StringIO(), io.StringIO()
    arguments = ["explain-log", "--causes", "--log", str(path)]
    assert await main.execute(arguments, out=out, err=err) == 0
    assert "1 of 2 requests had no answer in time" in out.getvalue()
    assert CAUSE.PAUSE.value in out.getvalue()
    assert await main.execute(["explain-log"], out=out, err=err) != 0
    assert "one id, or --causes" in err.getvalue()
