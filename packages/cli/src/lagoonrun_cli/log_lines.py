"""Read captured log lines of routers, whatever stands before each object."""

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
        Time of day, as written.
    order
        Place in the captured lines: the lines of several files are ordered
        by their time, and by this where the times are equal.
    fields
        All fields of the event.
    """

    time: str
    order: int
    entry_vm: str
    message: str
    fields: Fields

    def get(self, name: str) -> Any:
        """Return a field; None where the event has none of that name."""
        return self.fields.get(name)


def read(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events in captured lines; other lines are passed over."""
    for order, text in enumerate(texts):
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            # A line that was cut when the process ended.
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
    """Return lines by time."""
    return tuple(sorted(lines, key=lambda line: (line.time, line.order)))
