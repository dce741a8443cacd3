"""Merges two operators' changes entry by entry."""

import dataclasses

from lagoonrun_config import draft as draft_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """Entries that both sides changed, to different content."""

    names: tuple[draft_module.EntryName, ...]


def changed_names(
    before: draft_module.Draft, after: draft_module.Draft
) -> tuple[draft_module.EntryName, ...]:
    """Return the entries that were added, changed or removed, in order."""
    old = before.entries_by_name()
    new = after.entries_by_name()
    changed = [
        name
        for name in old.keys() | new.keys()
        if old.get(name) != new.get(name)
    ]
    return tuple(sorted(changed, key=str))


def rebase(
    *,
    base: draft_module.Draft,
    head: draft_module.Draft,
    mine: draft_module.Draft,
) -> draft_module.Draft | Conflict:
    """Return `head` with the changes that lead from `base` to `mine`.

    An entry that was changed on both sides is a conflict unless both made
    it the same. The result must be checked as a whole: two changes that are
    right alone may contradict each other, like a removed profile and a new
    service that uses it.
    """
    head_entries = head.entries_by_name()
    mine_entries = mine.entries_by_name()
    theirs = set(changed_names(base, head))
    merged = dict(head_entries)
    conflicts = []
    for name in changed_names(base, mine):
        wanted = mine_entries.get(name)
        if name in theirs and head_entries.get(name) != wanted:
            conflicts.append(name)
        elif wanted is None:
            merged.pop(name, None)
        else:
            merged[name] = wanted
    if conflicts:
        return Conflict(names=tuple(conflicts))
    return draft_module.from_entries(merged)
