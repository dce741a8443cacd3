"""Look up the route and the organisation of a request."""

import hashlib
from collections.abc import Mapping

import xxhash

from lagoonrun_core import types
from lagoonrun_router import declarations

_HASH_RANGE = float(1 << 64)


class RouteTable:
    """Index of one revision of the declarations; each revision has its own.

    Parameters
    ----------
    declared
        The active revision.
    """

    def __init__(self, *, declared: declarations.Declarations) -> None:
        self.declared = declared
        self._routes_by_host_and_prefix = {
            # Unambiguous: a host has no slash, and a prefix begins with one.
            route.host + route.path_prefix: route
            for route in declared.routes
        }
        self._tiers_by_pool = _tiers_by_pool(declared.routes)
        self._tightest_pause_by_pool = _tightest_pause_by_pool(declared.routes)
        self._targets_by_pool = _targets_by_pool(declared.routes)
        self._organisations_by_digest = {
            digest: organisation
            for organisation in declared.organisations_by_id.values()
            for digest in organisation.key_digests
        }

    @property
    def organisation_tiers(self) -> int:
        """Return the lowest tier of any organisation, at least 1."""
        return max(
            (
                organisation.tier or 1
                for organisation in self.declared.organisations_by_id.values()
            ),
            default=1,
        )

    def tiers_of(self, pool: types.PoolName) -> tuple[types.Tier, ...]:
        """Return the distinct tiers of all classes of a pool."""
        return self._tiers_by_pool.get(pool, ())

    def tightest_pause_of(self, pool: types.PoolName) -> float | None:
        """Return the smallest `longest_pause_seconds` of any class of a pool.

        None if no class of the pool has one.
        """
        return self._tightest_pause_by_pool.get(pool)

    def tier_targets_of(
        self, pool: types.PoolName
    ) -> Mapping[types.Tier, float]:
        """Return the smallest target in seconds of each tier of a pool."""
        return self._targets_by_pool.get(pool, {})

    @property
    def requires_keys(self) -> bool:
        """Whether routes that are not public need a key."""
        return bool(self.declared.organisations_by_id)

    def route_of(self, host: str, target: str) -> declarations.Route | None:
        """Return the route with the longest matching path prefix."""
        path = target.partition("?")[0]
        end = path.rfind("/") + 1
        while end > 0:
            route = self._routes_by_host_and_prefix.get(host + path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def organisation_of(
        self, key: str | None
    ) -> declarations.RankedOrganisation | None:
        """Return the organisation of `key`; None for no or an unknown key."""
        if not key:
            return None
        digest = hashlib.sha256(key.encode()).hexdigest()
        return self._organisations_by_digest.get(digest)


def _tiers_by_pool(
    routes: tuple[declarations.Route, ...],
) -> dict[types.PoolName, tuple[types.Tier, ...]]:
    tiers: dict[types.PoolName, set[types.Tier]] = {}
    for route in routes:
        for destination in route.destinations:
            tiers.setdefault(destination.pool, set()).add(route.profile.tier)
    return {
        pool: tuple(sorted(pool_tiers)) for pool, pool_tiers in tiers.items()
    }


def _targets_by_pool(
    routes: tuple[declarations.Route, ...],
) -> dict[types.PoolName, dict[types.Tier, float]]:
    targets: dict[types.PoolName, dict[types.Tier, float]] = {}
    for route in routes:
        profile = route.profile
        for destination in route.destinations:
            by_tier = targets.setdefault(destination.pool, {})
            current = by_tier.get(profile.tier, profile.target_seconds)
            by_tier[profile.tier] = min(current, profile.target_seconds)
    return targets


def _tightest_pause_by_pool(
    routes: tuple[declarations.Route, ...],
) -> dict[types.PoolName, float]:
    tightest: dict[types.PoolName, float] = {}
    for route in routes:
        pause = route.longest_pause_seconds
        if pause is None:
            continue
        for destination in route.destinations:
            current = tightest.get(destination.pool, pause)
            tightest[destination.pool] = min(current, pause)
    return tightest


def choose_pool(
    route: declarations.Route, request_id: types.RequestId
) -> types.PoolName:
    """Return the pool of a request; the same for the same request id.

    A hash of the id splits requests in proportion to the weights without any
    state, and a repeated decision returns the same pool.
    """
    total = sum(one.weight for one in route.destinations)
    position = (
        xxhash.xxh3_64_intdigest(request_id.encode()) / _HASH_RANGE * total
    )
    for destination in route.destinations:
        position -= destination.weight
        if position < 0:
            return destination.pool
    return route.destinations[-1].pool


def may_choose_pool(route: declarations.Route, pool: types.PoolName) -> bool:
    """Return whether a route sends requests to a pool."""
    return any(
        one.pool == pool and one.weight > 0 for one in route.destinations
    )
