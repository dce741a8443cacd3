"""Since when each route has sent its requests to the same pools."""

import dataclasses
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_router import declarations, route_table


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Since:
    route: declarations.Route
    at: float


class RouteHistory:
    """Remembers when the destinations of the present routes last changed."""

    def __init__(self) -> None:
        self._since_by_key: dict[str, _Since] = {}

    def observe(
        self, routes: Iterable[declarations.Route], *, now: float
    ) -> None:
        """Record the routes of a new revision of the declarations."""
        since_by_key = {}
        for route in routes:
            key = key_of(route)
            before = self._since_by_key.get(key)
            at = now
            if before and before.route.destinations == route.destinations:
                at = before.at
            since_by_key[key] = _Since(route=route, at=at)
        self._since_by_key = since_by_key

    def pool_of(
        self,
        key: str,
        request: types.RequestId,
        *,
        seconds: float,
        now: float,
    ) -> types.PoolName | None:
        """Return the pool to which a route sent a request, if that is certain.

        Parameters
        ----------
        key
            Host and path prefix of the route.
        seconds
            Time in which the request may have been sent.
        """
        since = self._since_by_key.get(key)
        if since is None or now - since.at < seconds:
            return None
        return route_table.choose_pool(since.route, request)

    def route_of(self, key: str) -> declarations.Route | None:
        """Return a present route by its host and path prefix."""
        since = self._since_by_key.get(key)
        return since.route if since else None


def key_of(route: declarations.Route) -> str:
    """Return the host and the path prefix of a route."""
    return route.host + route.path_prefix
