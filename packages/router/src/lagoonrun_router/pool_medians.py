"""Median speed and slowness of the upstreams of each pool."""

import dataclasses
import itertools
import math
import statistics
from collections.abc import Callable, Mapping

from lagoonrun_core import types
from lagoonrun_router import upstream_state

DEFAULT_TOKENS_PER_SECOND = 40_000.0
"""Assumed prefill speed while that of no upstream is known."""

_MEDIAN_SECONDS = 0.5
"""Time after which the median is computed again."""

_MEDIAN_UPSTREAMS = 1024
"""Number of upstreams from which only a part of them is included in a median:
that of 11,000 takes several milliseconds."""

PoolLookup = Callable[[types.UpstreamId], types.PoolName | None]
"""Returns the pool of an upstream; None if it is unknown."""


def single_pool(upstream: types.UpstreamId) -> None:
    """Return the same pool for all upstreams."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PoolMedian:
    """Medians over the upstreams of a pool.

    Parameters
    ----------
    tokens_per_second
        Of the measured speeds, or the default.
    slowness
        Of the mean slowness of the upstreams that state it.
    is_measured
        Whether a speed has been measured.
    """

    tokens_per_second: float = DEFAULT_TOKENS_PER_SECOND
    slowness: float = 1.0
    is_measured: bool = False


_NO_MEDIAN = PoolMedian()


class PoolMedians:
    """Medians over the upstreams of each pool, computed at intervals.

    Parameters
    ----------
    pool_of
        Returns the pool of an upstream; None if it is unknown.
    states
        State by upstream, as it changes. The owner reports with
        `count_measured` and `count_dropped` when the speed of an upstream is
        first measured and when a state is dropped.
    """

    def __init__(
        self,
        *,
        pool_of: PoolLookup,
        states: Mapping[types.UpstreamId, upstream_state.UpstreamState],
    ) -> None:
        self._pool_of = pool_of
        self._state_by_upstream = states
        self._median_by_pool: dict[types.PoolName | None, PoolMedian] = {}
        self._median_count = 0
        self._median_at = -math.inf
        self._measured_count = 0

    def median_of(
        self, upstream: types.UpstreamId, *, now: float
    ) -> PoolMedian:
        """Return the medians of an upstream's pool."""
        self._refresh(now)
        return self._median_by_pool.get(self._pool_of(upstream), _NO_MEDIAN)

    def count_measured(self) -> None:
        """Count an upstream whose speed is measured for the first time."""
        self._measured_count += 1

    def count_dropped(self, state: upstream_state.UpstreamState) -> None:
        """Count a dropped state; without any, the default applies at once."""
        self._measured_count -= bool(state.speed.samples)
        if not self._measured_count:
            self._median_at = -math.inf

    def _refresh(self, now: float) -> None:
        """Compute the medians of all pools if they are half a second old.

        They are also computed when twice as many upstreams are measured as
        before, so that the first ones count at once.
        """
        measured = self._measured_count
        if not measured:
            self._median_count = 0
        if now - self._median_at < _MEDIAN_SECONDS and measured < max(
            1, 2 * self._median_count
        ):
            return
        speeds_by_pool, slowness_by_pool = self._values_by_pool()
        for pool in speeds_by_pool.keys() | slowness_by_pool.keys():
            speeds = speeds_by_pool.get(pool)
            slowness = slowness_by_pool.get(pool)
            # Upstreams state their slowness before a prefill is measured.
            self._median_by_pool[pool] = PoolMedian(
                tokens_per_second=statistics.median(speeds)
                if speeds
                else DEFAULT_TOKENS_PER_SECOND,
                slowness=statistics.median(slowness) if slowness else 1.0,
                is_measured=bool(speeds),
            )
        if not measured:
            # Pools of which no upstream is left must not keep a speed.
            for pool in self._median_by_pool.keys() - slowness_by_pool.keys():
                del self._median_by_pool[pool]
        self._median_count = measured
        self._median_at = now

    def _values_by_pool(
        self,
    ) -> tuple[
        dict[types.PoolName | None, list[float]],
        dict[types.PoolName | None, list[float]],
    ]:
        """Return measured speeds and stated mean slowness by pool.

        In a large fleet, those of a part of the upstreams.
        """
        speeds_by_pool: dict[types.PoolName | None, list[float]] = {}
        slowness_by_pool: dict[types.PoolName | None, list[float]] = {}
        step = max(1, len(self._state_by_upstream) // _MEDIAN_UPSTREAMS)
        items = self._state_by_upstream.items()
        for upstream, state in itertools.islice(items, 0, None, step):
            pool = self._pool_of(upstream)
            if state.speed.samples:
                speeds_by_pool.setdefault(pool, []).append(state.speed.value)
            if state.states_slowness:
                slowness_by_pool.setdefault(pool, []).append(
                    state.slowness.mean
                )
        return speeds_by_pool, slowness_by_pool
