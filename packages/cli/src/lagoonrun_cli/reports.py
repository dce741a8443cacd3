"""Result of a command, before it is written as text or JSON."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from lagoonrun_cli import exit_codes

JsonObject = Mapping[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Table:
    """Rows with column headings.

    Parameters
    ----------
    title
        Line above the table; empty for none.
    """

    title: str = ""
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Text:
    """Lines that are written unchanged."""

    text: str


Section = Table | Text


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """The result of one command.

    Parameters
    ----------
    code
        Exit code.
    fields
        The result as JSON values, for `--json`.
    sections
        The result as text.
    next_command
        Suggested next command; empty for none.
    """

    code: exit_codes.ExitCode
    fields: JsonObject
    sections: tuple[Section, ...] = ()
    next_command: str = ""
