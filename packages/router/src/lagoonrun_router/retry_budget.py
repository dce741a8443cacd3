"""The share of repeated sends that this entry VM may use.

All entry VMs share one allowance for each pool: a part of the requests of a
sliding window, and a fixed number. Each takes the part of the requests that
came to it, and an equal share of the fixed number, so that all together stay
below the allowance without asking each other.
"""

import collections
import dataclasses

from lagoonrun_core import types

_RESERVE_FRACTION = 0.2
"""Part of the allowance that is left unused.

Windows of the entry VMs and of whoever counts don't begin at the same time,
and the number of entry VMs may be known late.
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Allowance:
    """What all entry VMs together may repeat for one pool.

    Parameters
    ----------
    ratio
        Repeats for each request.
    window_seconds
        Length of the sliding window.
    fixed
        Repeats in any window beside the ratio.
    """

    ratio: float
    window_seconds: float
    fixed: float


class RetryBudget:
    """Repeats that may still be sent, by pool.

    Parameters
    ----------
    allowance
        What all entry VMs share.
    """

    def __init__(self, *, allowance: Allowance) -> None:
        self._allowance = allowance
        self._entry_vm_count = 1
        self._requests_by_pool: dict[
            types.PoolName, collections.deque[float]
        ] = collections.defaultdict(collections.deque)
        self._repeats_by_pool: dict[
            types.PoolName, collections.deque[float]
        ] = collections.defaultdict(collections.deque)

    def set_allowance(self, allowance: Allowance) -> None:
        """Replace what all entry VMs share."""
        self._allowance = allowance

    def set_entry_vm_count(self, entry_vms: int) -> None:
        """Set the number of entry VMs, this one included."""
        self._entry_vm_count = max(1, entry_vms)

    def record_request(self, pool: types.PoolName, *, now: float) -> None:
        """Count a request of a caller."""
        requests = self._requests_by_pool[pool]
        requests.append(now)
        self._drop_old(requests, now)

    def left(self, pool: types.PoolName, *, now: float) -> float:
        """Return how many repeats may still be sent now."""
        requests = self._requests_by_pool[pool]
        repeats = self._repeats_by_pool[pool]
        self._drop_old(requests, now)
        self._drop_old(repeats, now)
        allowance = self._allowance
        allowed = allowance.ratio * len(requests)
        allowed += allowance.fixed / self._entry_vm_count
        return allowed * (1.0 - _RESERVE_FRACTION) - len(repeats)

    def spend(self, pool: types.PoolName, *, now: float) -> bool:
        """Count a repeat if one is left; return whether it may be sent."""
        if self.left(pool, now=now) < 1.0:
            return False
        self._repeats_by_pool[pool].append(now)
        return True

    def _drop_old(self, times: collections.deque[float], now: float) -> None:
        while times and now - times[0] > self._allowance.window_seconds:
            times.popleft()
