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


def refused(detail, id="r", **fields):
    return line(
        "request-refused", id, reason="overloaded", detail=detail, **fields
    )


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
        (
            [ended(outcome="not-run", reason="crashed-upstreams")],
            CAUSE.REFUSED,
        ),
        (
            [ended(outcome="not-run", reason="upstreams-limited")],
            CAUSE.REFUSED,
        ),
        (
            [ended(outcome="not-run", reason="upstreams-resting")],
            CAUSE.REFUSED,
        ),
        ([refused("over-share")], CAUSE.REFUSED_OVER_SHARE),
        ([refused("no-room")], CAUSE.REFUSED_NO_ROOM),
        ([refused("reserved")], CAUSE.REFUSED_RESERVED),
        (
            [
                ended(
                    outcome="not-run", reason="overloaded", detail="higher-tier"
                )
            ],
            CAUSE.REFUSED_HIGHER_TIER,
        ),
        (
            [ended(outcome="not-run", reason="overloaded", detail="too-late")],
            CAUSE.REFUSED_TOO_LATE,
        ),
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


def test_moments_have_the_declared_length(monkeypatch):
    """Guards against a second definition of the length of a moment."""
    monkeypatch.setattr(log_causes, "MOMENT_SECONDS", 30)
    found = count_causes(
        ended(longest_pause=0.3, time="2026-01-01 08:00:29,999"),
        ended("s", longest_pause=0.3, time="2026-01-01 08:00:30,000"),
        ended("t", longest_pause=0.3, time="unreadable"),
    )
    assert list(found.by("moment")) == [
        "",
        "2026-01-01 08:00:00",
        "2026-01-01 08:00:30",
    ]


def test_caller_that_returns_and_is_refused_again():
    """A retry has the same digest, and its own request id or the same one."""
    found = count_causes(
        refused("no-room", "a", digest="d-1"),
        refused("over-share", "b", digest="d-1"),
        refused("no-room", "c", digest="d-2"),
        refused("no-room", "c", digest="d-2"),
        refused("no-room", "d", digest="d-3"),
        # Lines of unconfigured entry VMs have no digest.
        refused("no-room", "e"),
        refused("no-room", "f"),
        refused("no-room", "g", digest=""),
        refused("no-room", "h", digest=""),
    )
    assert found.by_cause() == {
        CAUSE.REFUSED_AGAIN: 2,
        CAUSE.REFUSED_NO_ROOM: 6,
    }


def test_caller_that_returns_and_is_answered_is_not_refused_again():
    found = count_causes(
        refused("over-share", digest="d", organisation="o-1"),
        ended(organisation="o-1"),
    )
    assert found.by_cause() == {}
    assert found.by_organisation == {
        "o-1": log_causes.OrganisationRequests(
            requests=1, refused=1, over_share=1
        )
    }


def test_causes_are_counted_by_organisation_and_upstream():
    found = count_causes(
        line("request-routed", "a", chosen="u-1", organisation="o-1"),
        line("request-routed", "a", chosen="u-2", organisation="o-1"),
        ended("a", upstream="u-3", longest_pause=0.3, organisation="o-1"),
        line("request-routed", "b", chosen="u-1", organisation="o-1"),
        line("request-routed", "b", chosen="u-2", organisation="o-1"),
        line("request-routed", "c", chosen=None, organisation="o-2"),
        refused("over-share", "c", organisation="o-2"),
        ended("d", organisation="o-2"),
        refused("no-room", "e", organisation="o-2"),
    )
    assert found.by("organisation") == {
        "o-1": {CAUSE.PAUSE: 1, CAUSE.ENTRY_VM_LOST: 1},
        "o-2": {CAUSE.REFUSED_OVER_SHARE: 1, CAUSE.REFUSED_NO_ROOM: 1},
    }
    assert found.by("upstream") == {
        "": {CAUSE.REFUSED_OVER_SHARE: 1, CAUSE.REFUSED_NO_ROOM: 1},
        "u-2": {CAUSE.ENTRY_VM_LOST: 1},
        "u-3": {CAUSE.PAUSE: 1},
    }
    assert found.by_organisation == {
        "o-1": log_causes.OrganisationRequests(requests=2, not_in_time=2),
        "o-2": log_causes.OrganisationRequests(
            requests=3, not_in_time=2, refused=2, over_share=1
        ),
    }


async def test_organisations_and_upstreams_beyond_ten_are_one_row(tmp_path):
    """Guards against tables that grow with the fleet."""
    texts = []
    for number in range(12):
        name = f"{number:02}"
        # Organisation 11 has the most late requests, organisation 00 none.
        texts += [
            ended(
                f"r-{name}-{request}",
                longest_pause=0.3 if request < number else 0.1,
                organisation=f"o-{name}",
                upstream=f"u-{name}",
            )
            for request in range(20)
        ]
    path = tmp_path / "captured.log"
    path.write_text("\n".join(texts))
    out, err = io.StringIO(), io.StringIO()
    arguments = ["explain-log", "--causes", "--json", "--log", str(path)]
    assert await main.execute(arguments, out=out, err=err) == 0
    found = json.loads(out.getvalue())
    names = [f"o-{number:02}" for number in range(11, 1, -1)]
    assert list(found["organisations"]) == [*names, log_causes.REST]
    assert found["organisations"][log_causes.REST] == {
        "requests": 40,
        "not_in_time": 1,
        "refused": 0,
        "over_share": 0,
    }
    assert found["causes_by_organisation"][log_causes.REST] == {
        CAUSE.PAUSE.value: 1
    }
    assert len(found["causes_by_upstream"]) == 11
    assert found["causes_by_upstream"]["u-11"] == {CAUSE.PAUSE.value: 11}
    assert (
        await main.execute(arguments[:2] + arguments[3:], out=out, err=err) == 0
    )
    assert "requests of organisations" in out.getvalue()
    assert log_causes.REST in out.getvalue()


async def test_lines_without_organisations_form_no_table_of_them(tmp_path):
    """Lines of earlier versions name no organisation."""
    path = tmp_path / "captured.log"
    path.write_text("\n".join([ended(), ended("s", longest_pause=0.3)]))
    out, err = io.StringIO(), io.StringIO()
    arguments = ["explain-log", "--causes", "--log", str(path)]
    assert await main.execute(arguments, out=out, err=err) == 0
    assert "organisation" not in out.getvalue()
