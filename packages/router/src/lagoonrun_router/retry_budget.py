"""Retry budget of this entry VM.

All entry VMs share one allowance for each pool: a ratio of the requests in a
sliding window, plus a fixed number. Each entry VM uses the ratio of its own
requests and an equal share of the fixed number, so that all together stay
within the allowance without coordination.
"""

import collections
import dataclasses

from lagoonrun_core import types

_RESERVE_FRACTION = 0.2
"""Fraction of the allowance that is left unused.

The windows of the entry VMs and of whoever enforces the allowance are not
aligned, and a change of the number of entry VMs is learned late.
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Allowance:
    """Retries that all entry VMs together may send to one pool.

    Parameters
    ----------
    ratio
        Retries per request.
    window_seconds
        Length of the sliding window.
    fixed
        Retries in any window in addition to the ratio.
    """

    ratio: float
    window_seconds: float
    fixed: float


class RetryBudget:
    """Counts requests and retries by pool against the shared allowance.

    Parameters
    ----------
    allowance
        Allowance shared by all entry VMs.
    """

    def __init__(self, *, allowance: Allowance) -> None:
        self._allowance = allowance
        self._entry_vm_count = 1
        self._requests_by_pool: dict[
            types.PoolName, collections.deque[float]
        ] = collections.defaultdict(collections.deque)
        self._retries_by_pool: dict[
            types.PoolName, collections.deque[float]
        ] = collections.defaultdict(collections.deque)

    def set_allowance(self, allowance: Allowance) -> None:
        """Replace the shared allowance."""
        self._allowance = allowance

    def set_entry_vm_count(self, entry_vms: int) -> None:
        """Set the number of entry VMs, this one included."""
        self._entry_vm_count = max(1, entry_vms)

    def record_request(self, pool: types.PoolName, *, now: float) -> None:
        """Record a request of a caller."""
        requests = self._requests_by_pool[pool]
        requests.append(now)
        self._drop_old(requests, now)

    def left(self, pool: types.PoolName, *, now: float) -> float:
        """Return how many retries may be sent now."""
        requests = self._requests_by_pool[pool]
        retries = self._retries_by_pool[pool]
        self._drop_old(requests, now)
        self._drop_old(retries, now)
        allowance = self._allowance
        allowed = allowance.ratio * len(requests)
        allowed += allowance.fixed / self._entry_vm_count
        return allowed * (1.0 - _RESERVE_FRACTION) - len(retries)

    def spend(self, pool: types.PoolName, *, now: float) -> bool:
        """Record a retry if the budget allows one; return whether it does."""
        if self.left(pool, now=now) < 1.0:
            return False
        self._retries_by_pool[pool].append(now)
        return True

    def give_back(self, pool: types.PoolName) -> None:
        """Take back the newest retry, which was not sent after all."""
        retries = self._retries_by_pool[pool]
        if retries:
            retries.pop()

    def _drop_old(self, times: collections.deque[float], now: float) -> None:
        while times and now - times[0] > self._allowance.window_seconds:
            times.popleft()
