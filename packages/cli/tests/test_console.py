"""How results and progress are written."""

import io
import json

import pytest

from lagoonrun_cli import console, exit_codes, reports


class Terminal(io.StringIO):
    """Standard output that is a terminal."""

    def isatty(self) -> bool:
        """Return True."""
        return True


REPORT = reports.Report(
    code=exit_codes.ExitCode.CLASH,
    fields={"revision": 7},
    sections=(
        reports.Table(
            title="entries",
            columns=("name", "value"),
            rows=(("lookup", "1"), ("x", "a\tb\nc")),
        ),
    ),
    next_command="lagoonrun get",
)


def written(out: io.StringIO, **options) -> tuple[str, str]:
    err = io.StringIO()
    console.Console(out=out, err=err, **options).show(REPORT)
    return out.getvalue(), err.getvalue()


def test_table_is_aligned_on_a_terminal():
    out, _ = written(Terminal())
    assert "NAME    VALUE\nlookup  1\n" in out


def test_table_in_a_pipe_has_one_line_a_row():
    out, err = written(io.StringIO())
    assert out == "entries\nNAME\tVALUE\nlookup\t1\nx\ta b c\n"
    assert err == "next: lagoonrun get\n"


@pytest.mark.parametrize("out", [io.StringIO(), Terminal()])
def test_json_is_one_object(out):
    text, err = written(out, as_json=True)
    assert json.loads(text) == {
        "exit_code": 4,
        "result": "clash",
        "revision": 7,
        "next_command": "lagoonrun get",
    }
    assert err == ""


def test_progress_goes_to_stderr_and_is_not_repeated():
    out, err = io.StringIO(), io.StringIO()
    shown = console.Console(out=out, err=err)
    for text in ("1 of 2", "1 of 2", "2 of 2"):
        shown.progress(text)
    assert (out.getvalue(), err.getvalue()) == ("", "1 of 2\n2 of 2\n")
