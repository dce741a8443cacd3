"""Explaining requests by log lines recorded from a whole fleet.

The recorded lines are of one day of a fleet of 8 entry VMs with revoked keys,
crashed upstreams, an outage of the store and restarts.
"""

import io
import json
import pathlib

import pytest

from lagoonrun_cli import (
    exit_codes,
    log_explanation,
    log_lines,
    main,
)

RECORDED = pathlib.Path(__file__).parent / "recorded"
REFUSED = "0d6505f864f92edb"
LOST = "c98a1940e624d1cc"
LATE = "62ac92ce122e3c1e"


async def run(*arguments):
    out, err = io.StringIO(), io.StringIO()
    code = await main.execute(["explain-log", *arguments], out=out, err=err)
    return code, out.getvalue(), err.getvalue()


def explained(name, request_id):
    text = (RECORDED / f"{name}.log").read_text(encoding="utf-8")
    return log_explanation.explain(
        request_id, log_lines.read(text.splitlines())
    )


def test_refused_request_is_explained_by_overload():
    found = explained("refused", REFUSED)
    assert found.verdict is log_explanation.Verdict.REFUSED
    assert "overloaded" in found.causes[0]
    assert any("prompt tokens waiting" in cause for cause in found.causes)


def test_lost_request_is_explained_by_its_upstream():
    found = explained("lost", LOST)
    assert found.verdict is log_explanation.Verdict.LOST
    upstream = found.request_lines[-1].get("upstream")
    assert upstream in found.causes[0]
    assert "it ran: unknown" in found.causes[0]
    assert any(one.get("upstream") == upstream for one in found.state_changes)


def test_late_request_is_explained_by_its_times():
    found = explained("late", LATE)
    assert found.verdict is log_explanation.Verdict.LATE
    assert "first answer after" in found.causes[0]


def line_of(message, **fields):
    return json.dumps({"message": message, "event": 0, **fields})


def test_refused_copy_is_explained_by_the_crashes():
    """A request is refused at an entry VM that saw none of its crashes."""
    lines = [
        line_of(
            "upstream-crashed",
            asctime=f"2026-01-01 00:00:0{number},000",
            entry_vm=f"vm-{number}",
            upstream=f"u-{number}",
            requests=["other", "digest"],
        )
        for number in range(3)
    ]
    refused = line_of(
        "request-refused",
        asctime="2026-01-01 00:00:09,000",
        entry_vm="vm-9",
        request_id="r-9",
        reason="crashed-upstreams",
        detail="3 upstreams ended while they ran it",
        digest="digest",
        upstreams=["u-0", "u-1", "u-2"],
        retry_after=293.0,
    )
    found = log_explanation.explain("r-9", log_lines.read([*lines, refused]))
    assert found.verdict is log_explanation.Verdict.REFUSED
    assert "crashed-upstreams" in found.causes[0]
    assert "u-0, u-1, u-2" in found.causes[1]
    crashes = [one for one in found.causes if "crashed at" in one]
    assert len(crashes) == 3
    assert "vm-1" in crashes[1]


def test_request_refused_for_a_part_is_explained_by_the_crashes_under_it():
    """The requests under which upstreams crashed have other digests."""
    crash = line_of(
        "upstream-crashed",
        asctime="2026-01-01 00:00:01,000",
        entry_vm="vm-1",
        upstream="u-1",
        requests=["other"],
        parts={"part-1": 1, "part-2": 3},
    )
    refused = line_of(
        "request-refused",
        asctime="2026-01-01 00:00:09,000",
        entry_vm="vm-9",
        request_id="r-9",
        reason="crashed-upstreams",
        digest="digest",
        block="part-1+part-3",
        upstreams=["u-1"],
        retry_after=293.0,
    )
    found = log_explanation.explain("r-9", log_lines.read([crash, refused]))
    assert "part-1+part-3" in found.causes[1]
    crashes = [one for one in found.causes if "crashed at" in one]
    assert len(crashes) == 1
    assert "vm-1" in crashes[0]


async def test_command_prints_result_causes_and_lines():
    path = str(RECORDED / "lost.log")
    code, out, _ = await run(LOST, "--log", path)
    assert code is exit_codes.ExitCode.DONE
    assert out.startswith(f"{LOST}: lost with its upstream")
    assert "upstream-attempt-lost" in out


async def test_lines_of_two_entry_vms_are_joined(tmp_path):
    """A caller retries with the same id and reaches another entry VM."""
    text = (RECORDED / "lost.log").read_text(encoding="utf-8")
    lines = [one for one in text.splitlines() if LOST in one]
    entry_vm = json.loads(lines[0])["entry_vm"]
    again = [
        one.replace(entry_vm, "entry-9").replace("2026-", "2027-")
        for one in lines
    ]
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text("\n".join(again), encoding="utf-8")
    second.write_text("\n".join(lines), encoding="utf-8")
    _, out, _ = await run(
        LOST, "--log", str(first), "--log", str(second), "--json"
    )
    entry_vms = [line["entry_vm"] for line in json.loads(out)["lines"]]
    assert entry_vms == [entry_vm] * len(lines) + ["entry-9"] * len(lines)


async def test_unknown_id_and_unreadable_file_are_reported(tmp_path):
    path = str(RECORDED / "late.log")
    code, _, _ = await run("nothing", "--log", path)
    assert code is exit_codes.ExitCode.NOT_FOUND
    code, _, err = await run("x", "--log", str(tmp_path / "missing"))
    assert code is exit_codes.ExitCode.USAGE
    assert "missing" in err


@pytest.mark.parametrize(
    "text", ["", "no json", "{", '{"message"', "[1]", '{"a": 1}']
)
def test_other_lines_are_skipped(text):
    assert list(log_lines.read([text])) == []


def test_prefix_of_a_line_is_ignored():
    (line,) = log_lines.read(['  1.2 vm-1 {"message": "x", "event": 1}'])
    assert line.message == "x"


def line(message, **fields):
    return json.dumps(
        {"message": message, "entry_vm": "vm-1", "request_id": "r-1", **fields}
    )


def test_request_without_a_place_is_explained_by_the_limit():
    found = log_explanation.explain(
        "r-1",
        log_lines.read(
            [
                json.dumps(
                    {
                        "asctime": "2026-12-03 10:00:00,000",
                        "message": "upstream-limited",
                        "entry_vm": "vm-1",
                        "upstream": "u-1",
                        "per_second": 1.4,
                        "source": "vm-2",
                    }
                ),
                line(
                    "request-routed",
                    asctime="2026-12-03 10:00:01,000",
                    closed={"u-2": "resting"},
                    candidates=[],
                ),
                line(
                    "place-decided",
                    asctime="2026-12-03 10:00:01,001",
                    upstream="u-1",
                    per_second=1.4,
                    granted=False,
                    wait_seconds=0.5,
                ),
                line(
                    "request-refused",
                    asctime="2026-12-03 10:00:01,002",
                    reason="upstreams-limited",
                    closed={"u-1": "limited"},
                    upstreams=[],
                    tier=2,
                ),
            ]
        ),
    )
    assert found.verdict is log_explanation.Verdict.REFUSED
    causes = "; ".join(found.causes)
    assert "upstreams-limited" in causes
    assert "no place at u-1, which takes 1.4 requests a second" in causes
    assert "u-2 was passed by, since it was resting" in causes
    assert "u-1 took 1.4 requests a second for vm-1" in causes


def refused_for_share(**changes):
    fields = {
        "asctime": "2026-12-03 10:00:01,002",
        "reason": "overloaded",
        "detail": "over-share",
        "tier": 3,
        "organisation": "o-1",
        "fraction": 0.25,
        "asked": 8000.0,
        "fair_rate": 2000.0,
        "from_fleet": True,
        "retry_after": 1.2,
        "arrival": "new",
    }
    return line("request-refused", **{**fields, **changes})


def causes_of(*texts):
    return log_explanation.explain("r-1", log_lines.read(texts)).causes


@pytest.mark.parametrize(
    ("from_fleet", "figures"),
    [
        (True, "by the figures of the whole fleet"),
        (False, "by the own figures of vm-1 alone"),
    ],
)
def test_request_refused_for_its_share_is_explained(from_fleet, figures):
    causes = causes_of(refused_for_share(from_fleet=from_fleet))
    assert causes[0] == "vm-1 refused it: overloaded over-share, tier 3"
    assert causes[1] == (
        "its organisation o-1 exceeded its share: it asked for 8000.0 tokens "
        "a second, its fair rate was 2000.0, so a fraction of 0.25 of its "
        f"requests was admitted, {figures}"
    )
    assert causes[3] == (
        "vm-1 told it at 2026-12-03 10:00:01,002 to return 1.2 s later"
    )


@pytest.mark.parametrize(
    ("arrival", "sentence"),
    [
        ("new", "the entry VM knew of no earlier refusal"),
        ("early", "it returned before the time"),
        ("invited", "it returned in time"),
        ("expired", "it returned too late"),
        ("other", "its arrival was other"),
    ],
)
def test_return_of_a_refused_caller_is_explained(arrival, sentence):
    causes = causes_of(refused_for_share(arrival=arrival))
    assert any(one.startswith(sentence) for one in causes)


def test_refusal_of_a_known_arrival_may_name_no_time_to_return():
    causes = causes_of(refused_for_share(retry_after=None))
    assert not any("to return None" in one for one in causes)


def routed_in_adaptive_pool(**beliefs):
    candidates = [
        {
            "upstream": f"u-{number}",
            "waiting_tokens": 9000,
            "running": 4,
            "has_shared": False,
            **beliefs,
        }
        for number in (1, 2)
    ]
    return line("request-routed", candidates=candidates)


def test_beliefs_about_the_speed_of_candidates_are_shown():
    causes = causes_of(
        routed_in_adaptive_pool(
            tokens_per_second=22000.0, slowness=2.5, wait_seconds=0.4
        )
    )
    assert [one for one in causes if "was believed" in one] == [
        f"{upstream} was believed to process 22000.0 prompt tokens a second "
        "at its usual speed, to take 2.5 times as long as usual, to have it "
        "wait 0.4 s"
        for upstream in ("u-1", "u-2")
    ]
    (only_slowness,) = causes_of(routed_in_adaptive_pool(slowness=1.0))[-1:]
    assert (
        only_slowness == "u-2 was believed to take 1.0 times as long as usual"
    )


def test_old_lines_have_no_sentences_about_speed_share_or_return():
    """Lines of earlier versions lack the fields."""
    old = line(
        "request-refused",
        asctime="2026-12-03 10:00:01,002",
        reason="overloaded",
        detail="no-room",
        tier=3,
        retry_after=None,
    )
    causes = causes_of(routed_in_adaptive_pool(), old)
    assert len(causes) == 2
    assert "no-room" in causes[0]
    assert causes[1].startswith("cheapest of 2 candidates")


def test_stream_is_explained_by_the_version_that_began_it():
    """Guards against lines that don't show why a stream went on where it did."""
    times = {"entry_vm": "vm-2", "asctime": "2026-01-01 00:00:09,000"}
    request = {"request_id": "r-2", "resumes": "r-1", **times}
    taken_up = line_of(
        "stream-taken-up",
        evidence="record",
        pool="readers",
        version="v1",
        source="vm-3",
        age_seconds=0.4,
        answered=2,
        unanswered=1,
        seconds=0.05,
        **request,
    )
    routed = line_of("request-routed", chosen="u-7", version="v1", **request)
    ended = line_of(
        "request-ended", outcome="complete", reason="none", **request
    )
    found = log_explanation.explain(
        "r-2", log_lines.read([taken_up, routed, ended])
    )
    assert any("record of vm-3, 0.4 s old" in one for one in found.causes)
    assert any("u-7, version v1" in one for one in found.causes)
