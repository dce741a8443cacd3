"""News that travels on datagrams sent anyway, each a bounded number of times."""

import dataclasses
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

MAXIMUM_ENTRIES = 64
"""Most pieces of news in a queue."""

_Item = TypeVar("_Item")


@dataclasses.dataclass(kw_only=True)
class _Entry(Generic[_Item]):
    item: _Item
    sent: int
    order: int


class UpdateQueue(Generic[_Item]):
    """News by key; the newest and least sent goes first.

    Newer news of a key takes the place of the older, so that the queue holds
    at most one entry for each member, upstream or shard. When it is full, what
    was sent most often gives way: a fleet that starts at once would otherwise
    repeat its joins for minutes, which the digests make up for sooner.

    Parameters
    ----------
    size_of
        Bytes that an item takes in a datagram, at most.
    """

    def __init__(self, *, size_of: Callable[[_Item], int]) -> None:
        self._size_of = size_of
        self._entries_by_key: dict[Hashable, _Entry[_Item]] = {}
        self._order = 0

    def __len__(self) -> int:
        """Return the number of pieces of news still to be sent."""
        return len(self._entries_by_key)

    def add(self, key: Hashable, item: _Item) -> None:
        """Send `item` from now on in place of older news of `key`."""
        self._order += 1
        entry = _Entry(item=item, sent=0, order=self._order)
        self._entries_by_key[key] = entry
        if len(self._entries_by_key) > MAXIMUM_ENTRIES:
            last = max(self._entries_by_key, key=self._urgency)
            del self._entries_by_key[last]

    def discard(self, key: Hashable) -> None:
        """Send nothing of `key` any more."""
        self._entries_by_key.pop(key, None)

    def take(self, *, size: int, transmissions: int) -> list[_Item]:
        """Return items for one datagram.

        Parameters
        ----------
        size
            Room in the datagram, in bytes.
        transmissions
            Times that an item is sent in all.
        """
        items = []
        for key in sorted(self._entries_by_key, key=self._urgency):
            entry = self._entries_by_key[key]
            size -= self._size_of(entry.item)
            if size < 0:
                break
            items.append(entry.item)
            entry.sent += 1
            if entry.sent >= transmissions:
                del self._entries_by_key[key]
        return items

    def _urgency(self, key: Hashable) -> tuple[int, int]:
        entry = self._entries_by_key[key]
        return (entry.sent, -entry.order)
