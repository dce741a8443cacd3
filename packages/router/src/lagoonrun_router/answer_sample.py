"""Which share of the answered requests has a prompt part."""

import collections
from collections.abc import Collection

from lagoonrun_core import types

_SIZE = 256


class AnswerSample:
    """The prompt parts of the last answered requests of this entry VM."""

    def __init__(self) -> None:
        self._parts: collections.deque[frozenset[types.PromptPartDigest]] = (
            collections.deque(maxlen=_SIZE)
        )

    def add(self, parts: Collection[types.PromptPartDigest]) -> None:
        """Add an answered request that has parts."""
        if parts:
            self._parts.append(frozenset(parts))

    @property
    def size(self) -> int:
        """Number of answered requests."""
        return len(self._parts)

    def count_of(self, part: types.PromptPartDigest) -> int:
        """Return the number of requests with a part."""
        return sum(part in one for one in self._parts)

    def share_of(self, part: types.PromptPartDigest) -> float:
        """Return the share of requests with a part; 0 without any answer."""
        if not self._parts:
            return 0.0
        return self.count_of(part) / len(self._parts)
