"""The software versions that each pool has had, and since when that is known."""

from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_router import stream_origin, upstreams

_MAX_OUTDATED_SECONDS = 5.0
"""Time without news of the upstreams after which versions may have come and gone
unnoticed. Callers begin and lose streams elsewhere meanwhile."""

_CURRENT_SECONDS = 1.5
"""Age of the last news up to which no change can have gone unnoticed for long:
the upstreams are observed once a second."""

_FORGET_SECONDS = 3600.0
"""Age from which a version is forgotten; longer than any stream."""


class VersionHistory:
    """Remembers the versions of upstreams, also of those that have left."""

    def __init__(self) -> None:
        self._seen_at_by_pool: dict[
            types.PoolName, dict[types.UpstreamVersion, float]
        ] = {}
        self._complete_since: float | None = None
        self._current_at = float("-inf")

    def observe(
        self,
        registrations: Iterable[upstreams.Registration],
        *,
        is_current: bool,
        now: float,
    ) -> None:
        """Record the versions of all upstreams.

        Parameters
        ----------
        registrations
            All known upstreams, including leaving and missing ones.
        is_current
            Whether the entry VM hears of changes of the upstreams at present.
        """
        # One of each version: there may be thousands of upstreams.
        samples = {
            (one.pool, one.version or one.id): one for one in registrations
        }
        for one in samples.values():
            origin = stream_origin.origin_at(one)
            seen_at = self._seen_at_by_pool.setdefault(origin.pool, {})
            seen_at[origin.version] = now
        if not is_current:
            return
        if (
            self._complete_since is None
            or now - self._current_at > _MAX_OUTDATED_SECONDS
        ):
            self._complete_since = now
        self._current_at = now
        self._forget(now)

    def is_current(self, *, now: float) -> bool:
        """Return whether the entry VM hears of changes at present."""
        return now - self._current_at <= _CURRENT_SECONDS

    def has_seen(self, origin: stream_origin.StreamOrigin) -> bool:
        """Return whether a version of a pool has been in use."""
        return origin.version in self._seen_at_by_pool.get(origin.pool, {})

    def has_several(
        self, pool: types.PoolName, *, seconds: float, now: float
    ) -> bool:
        """Return whether a pool had several versions in the last `seconds`."""
        return len(self._versions(pool, seconds, now)) > 1

    def sole_version(
        self, pool: types.PoolName, *, seconds: float, now: float
    ) -> types.UpstreamVersion | None:
        """Return the version if a pool had only one in the last `seconds`.

        None if it had several, or may have had.
        """
        if (
            self._complete_since is None
            or now - self._complete_since < seconds
            or now - self._current_at > _MAX_OUTDATED_SECONDS
        ):
            return None
        versions = self._versions(pool, seconds, now)
        return versions[0] if len(versions) == 1 else None

    def _versions(
        self, pool: types.PoolName, seconds: float, now: float
    ) -> list[types.UpstreamVersion]:
        seen_at_by_version = self._seen_at_by_pool.get(pool, {})
        return [
            version
            for version, seen_at in seen_at_by_version.items()
            if now - seen_at <= seconds
        ]

    def _forget(self, now: float) -> None:
        for seen_at_by_version in self._seen_at_by_pool.values():
            for version, seen_at in tuple(seen_at_by_version.items()):
                if now - seen_at > _FORGET_SECONDS:
                    del seen_at_by_version[version]
