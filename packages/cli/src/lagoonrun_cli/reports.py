"""What a command has to say, before it is written as text or JSON."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from lagoonrun_cli import exit_codes

JsonObject = Mapping[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Table:
    """Rows under column heads.

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
    """Lines that are written as they stand."""

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
        The same for people.
    next_command
        What to run next; empty for nothing.
    """

    code: exit_codes.ExitCode
    fields: JsonObject
    sections: tuple[Section, ...] = ()
    next_command: str = ""
