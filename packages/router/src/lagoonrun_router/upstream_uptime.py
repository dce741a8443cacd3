"""For how long the upstreams of a pool have served, in any interval.

Compares the time for which a request had run at upstreams that crashed with the
time for which upstreams of their pool ran without a crash.
"""

import bisect
import dataclasses
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_router import running_requests, upstream_changes

_MAX_CHANGES = 4096
"""Stored starts and ends of a pool's upstreams; the older half is dropped."""

_MAX_ENDED = 4096


@dataclasses.dataclass(kw_only=True)
class _Changes:
    """Number of serving upstreams, and its integral, after each change."""

    times: list[float] = dataclasses.field(default_factory=list)
    counts: list[int] = dataclasses.field(default_factory=list)
    totals: list[float] = dataclasses.field(default_factory=list)

    def add(self, step: int, *, at: float) -> None:
        """Add the start or the end of an upstream."""
        count = self.counts[-1] if self.counts else 0
        if self.times:
            at = max(at, self.times[-1])
        self.totals.append(self.total(at))
        self.times.append(at)
        self.counts.append(count + step)
        if len(self.times) > _MAX_CHANGES:
            for values in (self.times, self.counts, self.totals):
                del values[: _MAX_CHANGES // 2]

    def total(self, at: float) -> float:
        """Return the upstream seconds before a time."""
        index = bisect.bisect_right(self.times, at) - 1
        if index < 0:
            return self.totals[0] if self.totals else 0.0
        return self.totals[index] + self.counts[index] * (
            at - self.times[index]
        )


class UpstreamUptime:
    """Starts and ends of upstreams, as this entry VM has seen them."""

    def __init__(self) -> None:
        self._changes_by_pool: dict[types.PoolName, _Changes] = {}
        self._pool_by_serving: dict[
            running_requests.UpstreamInstance, types.PoolName
        ] = {}
        self._pool_by_ended: dict[
            running_requests.UpstreamInstance, types.PoolName
        ] = {}

    def observe(
        self, changes: Iterable[upstream_changes.UpstreamChange], *, now: float
    ) -> None:
        """Record which upstreams have registered or ended."""
        for change in changes:
            before = change.before and running_requests.instance_of(
                change.before
            )
            instance = change.now and running_requests.instance_of(change.now)
            if before is not None and before != instance:
                self.record_end(before, now=now)
            if (
                instance is not None
                and instance not in self._pool_by_serving
                and instance not in self._pool_by_ended
            ):
                self._pool_by_serving[instance] = change.now.pool
                self._changes_of(change.now.pool).add(1, at=now)

    def record_end(
        self, instance: running_requests.UpstreamInstance, *, now: float
    ) -> None:
        """Record that an upstream has crashed or left."""
        pool = self._pool_by_serving.pop(instance, None)
        if pool is None:
            return
        self._changes_of(pool).add(-1, at=now)
        self._pool_by_ended[instance] = pool
        while len(self._pool_by_ended) > _MAX_ENDED:
            del self._pool_by_ended[next(iter(self._pool_by_ended))]

    def seconds(
        self,
        instances: Iterable[running_requests.UpstreamInstance],
        *,
        since: float,
        until: float,
    ) -> float:
        """Return the upstream seconds of the pools of some instances."""
        pools = {
            self._pool_by_serving.get(one) or self._pool_by_ended.get(one)
            for one in instances
        }
        changes = [
            found
            for pool in pools
            if pool is not None and (found := self._changes_by_pool.get(pool))
        ]
        return sum(one.total(until) - one.total(since) for one in changes)

    def _changes_of(self, pool: types.PoolName) -> _Changes:
        return self._changes_by_pool.setdefault(pool, _Changes())
