"""Look up the route and the organisation of a request."""

import hashlib

import xxhash

from lagoonrun_core import types
from lagoonrun_router import declarations

_HASH_RANGE = float(1 << 64)


class RouteTable:
    """Index of one revision of the declarations; a new one gets a new table.

    Parameters
    ----------
    declared
        The revision in force.
    """

    def __init__(self, *, declared: declarations.Declarations) -> None:
        self.declared = declared
        self._routes_by_place = {
            # A host has no slash, a prefix begins with one.
            route.host + route.path_prefix: route
            for route in declared.routes
        }
        self._tiers_by_pool = _tiers_by_pool(declared.routes)
        self._tightest_pause_by_pool = _tightest_pause_by_pool(declared.routes)
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
        """Return the tiers of all classes of a pool, without repeats."""
        return self._tiers_by_pool.get(pool, ())

    def tightest_pause_of(self, pool: types.PoolName) -> float | None:
        """Return the shortest longest pause of any class of a pool.

        In seconds; None where no class of the pool has one.
        """
        return self._tightest_pause_by_pool.get(pool)

    @property
    def asks_for_keys(self) -> bool:
        """Whether routes that are not public need a key."""
        return bool(self.declared.organisations_by_id)

    def route_of(self, host: str, target: str) -> declarations.Route | None:
        """Return the route with the longest prefix that begins the path."""
        path = target.partition("?")[0]
        end = path.rfind("/") + 1
        while end > 0:
            route = self._routes_by_place.get(host + path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def organisation_of(
        self, key: str | None
    ) -> declarations.RankedOrganisation | None:
        """Return who bears `key`; None for no key and an unknown one."""
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
    return {pool: tuple(sorted(found)) for pool, found in tiers.items()}


def _tightest_pause_by_pool(
    routes: tuple[declarations.Route, ...],
) -> dict[types.PoolName, float]:
    tightest: dict[types.PoolName, float] = {}
    for route in routes:
        pause = route.longest_pause_seconds
        if pause is None:
            continue
        for destination in route.destinations:
            known = tightest.get(destination.pool, pause)
            tightest[destination.pool] = min(known, pause)
    return tightest


def choose_pool(
    route: declarations.Route, request_id: types.RequestId
) -> types.PoolName:
    """Return the pool of one request: the same for the same id.

    A hash of the id divides requests in proportion to the weights without
    any state, and a repeated decision gives the same pool.
    """
    total = sum(one.weight for one in route.destinations)
    point = xxhash.xxh3_64_intdigest(request_id.encode()) / _HASH_RANGE * total
    for destination in route.destinations:
        point -= destination.weight
        if point < 0:
            return destination.pool
    return route.destinations[-1].pool
