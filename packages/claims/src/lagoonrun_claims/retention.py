"""Store leases that delete claims after their retention time.

Claims share leases: an entry VM requests one per period and attaches to it
all claims written in that period. A lease is never renewed, so its claims
expire `retention` to `retention + 2 * period` after their last write, without
a sweep and without a call, also after the entry VM has crashed.
"""

import asyncio
import dataclasses

from lagoonrun_core import clock as clock_module
from lagoonrun_platform import store as store_module

DEFAULT_RETENTION_SECONDS = 24 * 3600.0
DEFAULT_PERIOD_SECONDS = 600.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetentionLease:
    """A lease and the monotonic time just before it was requested."""

    lease: store_module.LeaseId
    requested_at: float


class Retention:
    """Provides the lease to attach new claims to.

    Parameters
    ----------
    retention_seconds
        Minimum time for which a claim is kept after its last write.
    period_seconds
        How long a lease is used for new claims; one that cannot be replaced
        is used for twice as long.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        clock: clock_module.Clock,
        retention_seconds: float = DEFAULT_RETENTION_SECONDS,
        period_seconds: float = DEFAULT_PERIOD_SECONDS,
    ) -> None:
        self._store = store
        self._clock = clock
        self._retention_seconds = retention_seconds
        self._period_seconds = period_seconds
        self._current: RetentionLease | None = None
        self._lock = asyncio.Lock()

    async def lease(self) -> RetentionLease | None:
        """Return a lease that keeps claims for the retention time, or None.

        A lost reply leaves an unused lease in the store, which expires.
        """
        async with self._lock:
            if not self._younger_than(self._period_seconds):
                await self._replace()
            if self._younger_than(2 * self._period_seconds):
                return self._current
            return None

    def discard(self, lease: RetentionLease) -> None:
        """Stop using a lease that may no longer exist in the store."""
        if self._current == lease:
            self._current = None

    def _younger_than(self, seconds: float) -> bool:
        if self._current is None:
            return False
        return self._clock.monotonic() - self._current.requested_at < seconds

    async def _replace(self) -> None:
        requested_at = self._clock.monotonic()
        required_ttl_seconds = (
            self._retention_seconds + 2 * self._period_seconds
        )
        result = await self._store.grant_lease(ttl_seconds=required_ttl_seconds)
        if isinstance(result, store_module.Unknown):
            result = await self._store.grant_lease(
                ttl_seconds=required_ttl_seconds
            )
        if not isinstance(result, store_module.LeaseGranted):
            return
        # With a shorter lease a claim could expire while a caller may still
        # retry, and the request would run twice: it is not used.
        if result.ttl_seconds < required_ttl_seconds:
            return
        self._current = RetentionLease(
            lease=result.lease, requested_at=requested_at
        )
