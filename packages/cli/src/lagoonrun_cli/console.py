"""Writes reports and progress: tables on a terminal, plain text in a pipe."""

import json
from typing import TextIO

from lagoonrun_cli import reports

_COLUMN_GAP = "  "
_CLEAR_LINE = "\r\x1b[K"
_CLEAR_SCREEN = "\x1b[2J\x1b[H"


class Console:
    """Standard output and error of a command.

    Parameters
    ----------
    out
        Stream of the result.
    err
        Stream of progress and errors, so that a pipe gets only the result.
    as_json
        Whether results are written as JSON.
    """

    def __init__(
        self, *, out: TextIO, err: TextIO, as_json: bool = False
    ) -> None:
        self._out = out
        self._err = err
        self._as_json = as_json
        self._last_progress = ""

    @property
    def is_terminal(self) -> bool:
        """Whether the result goes to a terminal."""
        return self._out.isatty()

    def clear(self) -> None:
        """Clear the screen before a result is shown again."""
        if self.is_terminal and not self._as_json:
            self._out.write(_CLEAR_SCREEN)

    def show(self, report: reports.Report) -> None:
        """Write a command's result."""
        self.end_progress()
        if self._as_json:
            self._show_json(report)
        else:
            self._show_text(report)
        self._out.flush()

    def progress(self, text: str) -> None:
        """Write a progress message; a repeated message is written once."""
        if text == self._last_progress:
            return
        self._last_progress = text
        if self._err.isatty():
            self._err.write(f"{_CLEAR_LINE}{text}")
        else:
            self._err.write(f"{text}\n")
        self._err.flush()

    def end_progress(self) -> None:
        """Remove the progress line from a terminal."""
        if self._last_progress and self._err.isatty():
            self._err.write(_CLEAR_LINE)
        self._last_progress = ""

    def _show_json(self, report: reports.Report) -> None:
        fields = {
            "exit_code": int(report.code),
            "result": report.code.name.lower(),
            **report.fields,
        }
        if report.next_command:
            fields["next_command"] = report.next_command
        self._out.write(json.dumps(fields, sort_keys=False) + "\n")

    def _show_text(self, report: reports.Report) -> None:
        for section in report.sections:
            if isinstance(section, reports.Table):
                self._write_table(section)
            else:
                self._out.write(section.text.rstrip("\n") + "\n")
        if report.next_command:
            self._err.write(f"next: {report.next_command}\n")
            self._err.flush()

    def _write_table(self, table: reports.Table) -> None:
        if table.title:
            self._out.write(f"{table.title}\n")
        rows = [tuple(head.upper() for head in table.columns), *table.rows]
        if not self.is_terminal:
            for row in rows:
                self._out.write("\t".join(map(_one_line, row)) + "\n")
            return
        widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
        for row in rows:
            cells = (
                cell.ljust(width)
                for cell, width in zip(row, widths, strict=True)
            )
            self._out.write(_COLUMN_GAP.join(cells).rstrip() + "\n")
        self._out.write("\n")


def _one_line(cell: str) -> str:
    return cell.replace("\t", " ").replace("\n", " ")
