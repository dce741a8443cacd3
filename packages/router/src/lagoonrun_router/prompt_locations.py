"""Which upstreams probably have which shared prompt parts cached."""

import collections

from lagoonrun_core import types

CACHE_LIFETIME_SECONDS = 30.0
"""Age from which a part is assumed to be evicted.

Prefix caches evict the least recently used parts, and under load a runner
prefills more than its cache holds within a minute.
"""


_MAX_PARTS = 8192
"""Maximum number of parts; the least recently used are dropped first."""

_MAX_OWN_PER_MESSAGE = 24
"""Placements in one message of an entry VM; fits into a datagram."""

_MAX_RELAYED_PER_MESSAGE = 48
"""Placements in one message of a relay: several times those of a failure domain
in 0.1 s, and few enough for a datagram."""

_MAX_PENDING = 192
"""Maximum number of placements to be reported. If there are more, as after a
pause of the process, the oldest are dropped; a part whose placement is not
reported is prefilled again."""


class _PendingReports:
    """Queue of placements to be reported to one group of entry VMs."""

    def __init__(self) -> None:
        self._by_part: collections.OrderedDict[str, types.UpstreamId] = (
            collections.OrderedDict()
        )

    def add(self, part: str, upstream: types.UpstreamId) -> None:
        """Queue a placement."""
        self._by_part[part] = upstream
        if len(self._by_part) > _MAX_PENDING:
            self._by_part.popitem(last=False)

    def pop(self, max_count: int) -> dict[str, types.UpstreamId]:
        """Remove and return the oldest placements."""
        count = min(max_count, len(self._by_part))
        return dict(self._by_part.popitem(last=False) for _ in range(count))

    def forget(self, upstream: types.UpstreamId) -> None:
        """Drop the placements at one upstream."""
        for part, placed in tuple(self._by_part.items()):
            if placed == upstream:
                del self._by_part[part]


class PromptLocations:
    """Placements of shared parts, by this entry VM and as reported by others.

    Parameters
    ----------
    reuse_seconds
        Age from which a part counts as new, as operators define it: a part
        that was not used for so long may have been evicted anyway.
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
        """Record an own placement and queue it for all other entry VMs."""
        self.apply_report(part, upstream, now=now)
        self._own.add(part, upstream)

    def apply_report(
        self, part: str, upstream: types.UpstreamId, *, now: float
    ) -> None:
        """Apply a placement of the own failure domain."""
        self.apply_remote_report(part, upstream, now=now)
        self._for_other_domains.add(part, upstream)

    def apply_remote_report(
        self, part: str, upstream: types.UpstreamId, *, now: float
    ) -> None:
        """Apply a placement of another failure domain."""
        self.apply_relayed_report(part, upstream, now=now)
        self._for_neighbours.add(part, upstream)

    def apply_relayed_report(
        self, part: str, upstream: types.UpstreamId, *, now: float
    ) -> None:
        """Apply a placement that was reported to all neighbours as well."""
        seen = self._seen_by_part.setdefault(part, {})
        seen[upstream] = now
        self._seen_by_part.move_to_end(part)
        if len(self._seen_by_part) > _MAX_PARTS:
            self._seen_by_part.popitem(last=False)

    def forget_upstream(self, upstream: types.UpstreamId) -> None:
        """Drop the parts of an upstream whose prefix cache is empty."""
        for seen in self._seen_by_part.values():
            seen.pop(upstream, None)
        for pending in (
            self._own,
            self._for_other_domains,
            self._for_neighbours,
        ):
            pending.forget(upstream)

    def has(self, part: str, upstream: types.UpstreamId, *, now: float) -> bool:
        """Return whether `upstream` probably has `part` in its prefix cache."""
        seen = self._seen_by_part.get(part, {}).get(upstream)
        return seen is not None and now - seen < CACHE_LIFETIME_SECONDS

    def holders(self, part: str, *, now: float) -> tuple[types.UpstreamId, ...]:
        """Return the upstreams whose prefix cache probably has `part`."""
        seen = self._seen_by_part.get(part, {})
        return tuple(
            id for id, at in seen.items() if now - at < CACHE_LIFETIME_SECONDS
        )

    def used_recently(self, part: str, *, now: float) -> bool:
        """Return whether a part was placed anywhere within `reuse_seconds`."""
        seen = self._seen_by_part.get(part)
        return bool(seen) and now - max(seen.values()) < self._reuse_seconds

    def pop_for_other_domains(self) -> dict[str, types.UpstreamId]:
        """Return and clear the domain's placements for other domains."""
        return self._for_other_domains.pop(_MAX_RELAYED_PER_MESSAGE)

    def pop_for_neighbours(self) -> dict[str, types.UpstreamId]:
        """Return and clear the fleet's placements for the neighbours."""
        return self._for_neighbours.pop(_MAX_RELAYED_PER_MESSAGE)

    def pop_own(self) -> dict[str, types.UpstreamId]:
        """Return and clear own placements to be reported."""
        return self._own.pop(_MAX_OWN_PER_MESSAGE)
