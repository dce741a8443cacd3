"""Which upstreams have read which shared parts of prompts lately."""

import collections

from lagoonrun_core import types

CACHE_LIFETIME_SECONDS = 30.0
"""Age from which a part is taken for evicted.

Runners yield the least recently used parts first; in a busy minute they read
more than fits into their memory.
"""


_MAX_PARTS = 8192
"""Parts that are remembered, the least recently used are forgotten first."""

_MAX_OWN_PER_MESSAGE = 24
"""Placements in one message of an entry VM; fits a datagram."""

_MAX_RELAYED_PER_MESSAGE = 48
"""Placements in one message of a relay: several times those of a failure domain
in a tenth of a second, and few enough for a datagram."""

_MAX_PENDING = 192
"""Placements that wait to be told; where more come, as after a pause, the oldest
are left out: whoever does not hear of one reads the part again."""


class _PendingReports:
    """Placements that wait to be told to somebody."""

    def __init__(self) -> None:
        self._by_part: collections.OrderedDict[str, types.UpstreamId] = (
            collections.OrderedDict()
        )

    def add(self, part: str, upstream: types.UpstreamId) -> None:
        """Have a placement told."""
        self._by_part[part] = upstream
        if len(self._by_part) > _MAX_PENDING:
            self._by_part.popitem(last=False)

    def pop(self, max_count: int) -> dict[str, types.UpstreamId]:
        """Return the oldest placements, which are told now."""
        count = min(max_count, len(self._by_part))
        return dict(self._by_part.popitem(last=False) for _ in range(count))

    def forget(self, upstream: types.UpstreamId) -> None:
        """Leave out the placements at one upstream."""
        for part, placed in tuple(self._by_part.items()):
            if placed == upstream:
                del self._by_part[part]


class PromptLocations:
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
        self._own = _PendingReports()
        self._for_other_domains = _PendingReports()
        self._for_neighbours = _PendingReports()

    def record_placement(
        self, part: str, upstream: types.UpstreamId, *, now: float
    ) -> None:
        """Record an own placement, which others are to be told."""
        self.apply_report(part, upstream, now=now)
        self._own.add(part, upstream)

    def apply_report(
        self, part: str, upstream: types.UpstreamId, *, now: float
    ) -> None:
        """Record a placement of the own failure domain."""
        self.apply_remote_report(part, upstream, now=now)
        self._for_other_domains.add(part, upstream)

    def apply_remote_report(
        self, part: str, upstream: types.UpstreamId, *, now: float
    ) -> None:
        """Record a placement of another failure domain."""
        self.apply_relayed_report(part, upstream, now=now)
        self._for_neighbours.add(part, upstream)

    def apply_relayed_report(
        self, part: str, upstream: types.UpstreamId, *, now: float
    ) -> None:
        """Record a placement that all neighbours hear of as well."""
        seen = self._seen_by_part.setdefault(part, {})
        seen[upstream] = now
        self._seen_by_part.move_to_end(part)
        if len(self._seen_by_part) > _MAX_PARTS:
            self._seen_by_part.popitem(last=False)

    def forget_upstream(self, upstream: types.UpstreamId) -> None:
        """Drop the parts of an upstream whose memory is empty."""
        for seen in self._seen_by_part.values():
            seen.pop(upstream, None)
        for pending in (
            self._own,
            self._for_other_domains,
            self._for_neighbours,
        ):
            pending.forget(upstream)

    def has(self, part: str, upstream: types.UpstreamId, *, now: float) -> bool:
        """Return whether `upstream` probably has `part` in its memory."""
        seen = self._seen_by_part.get(part, {}).get(upstream)
        return seen is not None and now - seen < CACHE_LIFETIME_SECONDS

    def holders(self, part: str, *, now: float) -> tuple[types.UpstreamId, ...]:
        """Return the upstreams that probably have `part` in their memory."""
        seen = self._seen_by_part.get(part, {})
        return tuple(
            id for id, at in seen.items() if now - at < CACHE_LIFETIME_SECONDS
        )

    def used_recently(self, part: str, *, now: float) -> bool:
        """Return whether a part was read somewhere a moment ago."""
        seen = self._seen_by_part.get(part)
        return bool(seen) and now - max(seen.values()) < self._reuse_seconds

    def pop_for_other_domains(self) -> dict[str, types.UpstreamId]:
        """Return the domain's placements that other domains don't know yet."""
        return self._for_other_domains.pop(_MAX_RELAYED_PER_MESSAGE)

    def pop_for_neighbours(self) -> dict[str, types.UpstreamId]:
        """Return placements of the fleet that neighbours don't know yet."""
        return self._for_neighbours.pop(_MAX_RELAYED_PER_MESSAGE)

    def pop_own(self) -> dict[str, types.UpstreamId]:
        """Return own placements that nobody was told of yet."""
        return self._own.pop(_MAX_OWN_PER_MESSAGE)
