"""Split a long list of entries or changes into short steps of work."""

from collections.abc import Iterator, Sequence
from typing import TypeVar

from lagoonrun_platform import store as store_module

MAX_STEP_ITEMS = 50
"""Entries or changes that are applied without a turn for other tasks: about five
milliseconds."""

_Item = TypeVar("_Item")


def steps(items: Sequence[_Item]) -> Iterator[Sequence[_Item]]:
    """Yield the items in steps of limited length."""
    for start in range(0, len(items), MAX_STEP_ITEMS):
        yield items[start : start + MAX_STEP_ITEMS]


def batch_slices(
    batch: store_module.WatchBatch,
) -> Iterator[store_module.WatchBatch]:
    """Yield a batch of changes in slices, each complete up to its revision.

    Changes of one revision stay together, and so do changes that are not in the
    order of their revisions. There is at least one slice.
    """
    earliest_after = _earliest_revisions(batch.events)
    start = 0
    newest = store_module.ABSENT
    for end, change in enumerate(batch.events[:-1], start=1):
        newest = max(newest, change.modified)
        if end - start >= MAX_STEP_ITEMS and newest < earliest_after[end]:
            yield store_module.WatchBatch(
                events=batch.events[start:end], revision=newest
            )
            start = end
    yield store_module.WatchBatch(
        events=batch.events[start:], revision=batch.revision
    )


def _earliest_revisions(
    changes: Sequence[store_module.Event],
) -> list[store_module.StoreRevision]:
    """Return for each position the lowest revision from there on."""
    earliest = [change.modified for change in changes]
    for position in range(len(changes) - 2, -1, -1):
        earliest[position] = min(earliest[position], earliest[position + 1])
    return earliest
