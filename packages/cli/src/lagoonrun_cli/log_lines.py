"""Reads captured log lines of routers, with any prefix before the JSON."""

import dataclasses
import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

Fields = Mapping[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogLine:
    """One event of one process.

    Parameters
    ----------
    time
        Date and time, as logged.
    order
        Position in the captured lines. Lines are ordered by their time, and
        by this if the times are equal.
    fields
        All fields of the event.
    """

    time: str
    order: int
    entry_vm: str
    message: str
    fields: Fields

    def get(self, name: str) -> Any:
        """Return a field; None if the event has no field of that name."""
        return self.fields.get(name)


def read(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events in captured lines; other lines are skipped."""
    for order, text in enumerate(texts):
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            # For example a line that was truncated when the process ended.
            continue
        if isinstance(fields, dict) and "message" in fields:
            yield LogLine(
                time=str(fields.get("asctime", "")),
                order=order,
                entry_vm=str(fields.get("entry_vm", "")),
                message=str(fields["message"]),
                fields=fields,
            )


def in_order(lines: Iterable[LogLine]) -> tuple[LogLine, ...]:
    """Return the lines ordered by time."""
    return tuple(sorted(lines, key=lambda line: (line.time, line.order)))
