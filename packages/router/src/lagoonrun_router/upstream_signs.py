"""When each upstream last showed this entry VM that it makes progress.

A sign is the head of a whole answer or an event with data, on any connection.
The head of a stream or of a refusal is none, nor are bytes that complete neither:
an upstream may send them without end and never answer.
"""

from collections.abc import Iterable

from lagoonrun_core import types

_NEVER = float("-inf")


class UpstreamSigns:
    """The time of the last sign by upstream, and by pool.

    All times are readings of the clock without stalls of this process, in which
    no upstream can be heard.
    """

    def __init__(self) -> None:
        self._heard_at_by_upstream: dict[types.UpstreamId, float] = {}
        self._heard_at_by_pool: dict[types.PoolName, float] = {}

    def record(
        self, upstream: types.UpstreamId, pool: types.PoolName, *, now: float
    ) -> None:
        """Record a sign of an upstream."""
        self._heard_at_by_upstream[upstream] = now
        self._heard_at_by_pool[pool] = now

    def heard_at(self, upstream: types.UpstreamId) -> float:
        """Return the time of the last sign; minus infinity without one."""
        return self._heard_at_by_upstream.get(upstream, _NEVER)

    def pool_heard_at(self, pool: types.PoolName) -> float:
        """Return the time of the last sign of any upstream of a pool."""
        return self._heard_at_by_pool.get(pool, _NEVER)

    def heard_since(
        self, upstreams: Iterable[types.UpstreamId], since: float
    ) -> frozenset[types.UpstreamId]:
        """Return those that have shown a sign since a time."""
        return frozenset(one for one in upstreams if self.heard_at(one) > since)

    def forget_upstreams(self, known: Iterable[types.UpstreamId]) -> None:
        """Drop the upstreams that are not in `known`."""
        kept = set(known)
        for upstream in [
            one for one in self._heard_at_by_upstream if one not in kept
        ]:
            del self._heard_at_by_upstream[upstream]
