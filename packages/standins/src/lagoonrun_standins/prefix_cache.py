"""A bounded cache of prompt prefixes with LRU eviction."""

import collections

import xxhash


class PrefixCache:
    """Tracks which prompt prefixes were prefilled recently.

    Parameters
    ----------
    prefix_bytes
        Length of the prompt prefix that is one entry.
    capacity
        Maximum number of entries; 0 disables the cache.
    """

    def __init__(self, *, prefix_bytes: int, capacity: int) -> None:
        self.hits = 0
        self.misses = 0
        self._prefix_bytes = prefix_bytes
        self._capacity = capacity
        self._entries: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def cached_bytes(self, prompt: bytes) -> int:
        """Return the number of cached bytes of `prompt`; cache its prefix."""
        prefix = prompt[: self._prefix_bytes]
        key = xxhash.xxh64_intdigest(prefix)
        hit = key in self._entries
        self._entries[key] = None
        self._entries.move_to_end(key)
        while len(self._entries) > self._capacity:
            self._entries.popitem(last=False)
        if hit:
            self.hits += 1
            return len(prefix)
        self.misses += 1
        return 0

    def clear(self) -> None:
        """Remove every entry, as a restart does."""
        self._entries.clear()
