"""Merges the changes of two operators entry by entry."""

import dataclasses

from lagoonrun_config import draft as draft_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """Entries that both sides changed to different content."""

    names: tuple[draft_module.EntryName, ...]


def changed_names(
    before: draft_module.Draft, after: draft_module.Draft
) -> tuple[draft_module.EntryName, ...]:
    """Return the sorted names of the added, changed and removed entries."""
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
    """Return `head` with the changes from `base` to `mine` applied.

    An entry that was changed on both sides is a conflict unless its content is
    now the same. The result must be checked as a whole, since two changes that
    are valid alone may contradict each other, for example a removed profile
    and a new service that uses it.
    """
    head_entries = head.entries_by_name()
    mine_entries = mine.entries_by_name()
    changed_in_head = set(changed_names(base, head))
    merged = dict(head_entries)
    conflicts = []
    for name in changed_names(base, mine):
        wanted = mine_entries.get(name)
        if name in changed_in_head and head_entries.get(name) != wanted:
            conflicts.append(name)
        elif wanted is None:
            merged.pop(name, None)
        else:
            merged[name] = wanted
    if conflicts:
        return Conflict(names=tuple(conflicts))
    return draft_module.from_entries(merged)
