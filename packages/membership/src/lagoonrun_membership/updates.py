"""Queue of updates that are piggybacked a limited number of times each."""

import dataclasses
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

MAXIMUM_ENTRIES = 64
"""Maximum number of updates in a queue."""

_Item = TypeVar("_Item")


@dataclasses.dataclass(kw_only=True)
class _Entry(Generic[_Item]):
    item: _Item
    sent_count: int
    order: int


class UpdateQueue(Generic[_Item]):
    """Updates by key, least often sent first, among equals the newest first.

    A newer update of a key replaces the older, so that the queue has at most
    one entry per member, upstream or shard. When it is full, the entry that
    was sent most often is dropped: otherwise a fleet that starts all at once
    would repeat its joins for minutes, although the digests reveal missing
    ones sooner.

    Parameters
    ----------
    size_of
        Returns the maximum bytes of an item in a datagram.
    """

    def __init__(self, *, size_of: Callable[[_Item], int]) -> None:
        self._size_of = size_of
        self._entries_by_key: dict[Hashable, _Entry[_Item]] = {}
        self._order = 0

    def __len__(self) -> int:
        """Return the number of updates still to be sent."""
        return len(self._entries_by_key)

    def add(self, key: Hashable, item: _Item) -> None:
        """Queue `item` in place of an older update of `key`."""
        self._order += 1
        entry = _Entry(item=item, sent_count=0, order=self._order)
        self._entries_by_key[key] = entry
        if len(self._entries_by_key) > MAXIMUM_ENTRIES:
            last = max(self._entries_by_key, key=self._urgency)
            del self._entries_by_key[last]

    def discard(self, key: Hashable) -> None:
        """Remove the update of `key`."""
        self._entries_by_key.pop(key, None)

    def select(self, *, size: int, transmissions: int) -> list[_Item]:
        """Return the items for one datagram and count them as sent.

        Parameters
        ----------
        size
            Bytes left in the datagram.
        transmissions
            Number of times to send an item before it is removed.
        """
        items = []
        for key in sorted(self._entries_by_key, key=self._urgency):
            entry = self._entries_by_key[key]
            size -= self._size_of(entry.item)
            if size < 0:
                break
            items.append(entry.item)
            entry.sent_count += 1
            if entry.sent_count >= transmissions:
                del self._entries_by_key[key]
        return items

    def _urgency(self, key: Hashable) -> tuple[int, int]:
        entry = self._entries_by_key[key]
        return (entry.sent_count, -entry.order)
