"""Which upstreams have read which shared parts of prompts lately."""

import collections

from lagoonrun_core import types

KEPT_SECONDS = 30.0
"""Age from which a part is taken for evicted.

Runners yield the least recently used parts first; in a busy minute they read
more than fits into their memory.
"""


_MOST_PARTS = 8192
"""Parts that are remembered, the least recently used are forgotten first."""

_TOLD_AT_ONCE = 24
"""Placements in one message to the other entry VMs; fits a datagram."""


_MOST_UNRELAYED = 48
"""Placements of a failure domain that wait to be told to others; several times
those of a tenth of a second, and few enough for a datagram."""


class PromptHomes:
    """Where shared parts were read, by own and by others' placements.

    Parameters
    ----------
    reuse_seconds
        Age from which a part that is read again counts as read for the first
        time, by the operators: what was not used for so long may have been
        evicted anyhow.
    """

    def __init__(self, *, reuse_seconds: float) -> None:
        self._reuse_seconds = reuse_seconds
        self._seen_by_part: collections.OrderedDict[
            str, dict[types.UpstreamId, float]
        ] = collections.OrderedDict()
        self._untold: dict[str, types.UpstreamId] = {}
        self._unrelayed: collections.OrderedDict[str, types.UpstreamId] = (
            collections.OrderedDict()
        )

    def place(
        self, part: str, upstream: types.UpstreamId, *, now: float
    ) -> None:
        """Record an own placement, which others are to be told."""
        self.take_told(part, upstream, now=now)
        self._untold[part] = upstream

    def take_told(
        self, part: str, upstream: types.UpstreamId, *, now: float
    ) -> None:
        """Record a placement of the own failure domain."""
        self.take_far(part, upstream, now=now)
        self._unrelayed[part] = upstream
        if len(self._unrelayed) > _MOST_UNRELAYED:
            self._unrelayed.popitem(last=False)

    def take_far(
        self, part: str, upstream: types.UpstreamId, *, now: float
    ) -> None:
        """Record a placement of another failure domain."""
        seen = self._seen_by_part.setdefault(part, {})
        seen[upstream] = now
        self._seen_by_part.move_to_end(part)
        if len(self._seen_by_part) > _MOST_PARTS:
            self._seen_by_part.popitem(last=False)

    def forget_upstream(self, upstream: types.UpstreamId) -> None:
        """Drop the parts of an upstream whose memory is empty."""
        for seen in self._seen_by_part.values():
            seen.pop(upstream, None)
        for placed in (self._untold, self._unrelayed):
            for part in [one for one in placed if placed[one] == upstream]:
                del placed[part]

    def has(self, part: str, upstream: types.UpstreamId, *, now: float) -> bool:
        """Return whether `upstream` probably has `part` in its memory."""
        seen = self._seen_by_part.get(part, {}).get(upstream)
        return seen is not None and now - seen < KEPT_SECONDS

    def used_lately(self, part: str, *, now: float) -> bool:
        """Return whether a part was read somewhere a moment ago."""
        seen = self._seen_by_part.get(part)
        return bool(seen) and now - max(seen.values()) < self._reuse_seconds

    def take_unrelayed(self) -> dict[str, types.UpstreamId]:
        """Return the domain's placements that others were not told yet."""
        told = dict(self._unrelayed)
        self._unrelayed.clear()
        return told

    def take_untold(self) -> dict[str, types.UpstreamId]:
        """Return placements that others have not been told; they now are."""
        told = {}
        for part in list(self._untold)[:_TOLD_AT_ONCE]:
            told[part] = self._untold.pop(part)
        return told
