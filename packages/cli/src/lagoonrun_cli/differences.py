"""Differences between two drafts, by entry and field."""

import dataclasses

from lagoonrun_cli import reports
from lagoonrun_config import draft as draft_module
from lagoonrun_config import rebase

_ABSENT = "(none)"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Difference:
    """One field that differs; `field` is empty for a whole entry."""

    entry: str
    change: str
    field: str
    before: str
    after: str


def compare(
    before: draft_module.Draft, after: draft_module.Draft
) -> tuple[Difference, ...]:
    """Return all differences, ordered by the entries' names."""
    old = before.entries_by_name()
    new = after.entries_by_name()
    found: list[Difference] = []
    for name in rebase.changed_names(before, after):
        found += _compare_entry(str(name), old.get(name), new.get(name))
    return tuple(found)


def table(found: tuple[Difference, ...], *, title: str) -> reports.Table:
    """Return the differences as a table."""
    return reports.Table(
        title=title,
        columns=("entry", "change", "field", "before", "after"),
        rows=tuple(
            (one.entry, one.change, one.field, one.before, one.after)
            for one in found
        ),
    )


def _compare_entry(
    entry: str,
    old: draft_module.Entry | None,
    new: draft_module.Entry | None,
) -> list[Difference]:
    if old is None or new is None:
        change = "added" if old is None else "removed"
        return [
            Difference(
                entry=entry, change=change, field="", before="", after=""
            )
        ]
    return [
        Difference(
            entry=entry,
            change="changed",
            field=field.name,
            before=_format_value(getattr(old, field.name)),
            after=_format_value(getattr(new, field.name)),
        )
        for field in dataclasses.fields(old)
        if getattr(old, field.name) != getattr(new, field.name)
    ]


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or _ABSENT
    text = str(getattr(value, "value", value))
    return text or _ABSENT
