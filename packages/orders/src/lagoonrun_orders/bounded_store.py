"""A key-value store with a time limit on each call, and no exceptions."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Sequence
from typing import TypeVar

from lagoonrun_platform import store as store_module

_R = TypeVar("_R")
DEFAULT_TIMEOUT_SECONDS = 3.0


class BoundedStore:
    """Calls of a `KeyValueStore` with a time limit.

    A call that exceeds it, or fails by a fault of the adapter, returns
    `Unknown`. Otherwise the caller's task would hang or end, and its entry VM
    would never again try to acquire a lease.

    Parameters
    ----------
    timeout_seconds
        Time limit of one call; a watch has none.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        self._store = store
        self._timeout_seconds = timeout_seconds

    async def transact(
        self,
        *,
        comparisons: Sequence[store_module.Comparison],
        puts: Sequence[store_module.Put] = (),
        deletes: Sequence[str] = (),
    ) -> store_module.TransactionResult:
        """Compare and write; see `KeyValueStore`."""
        return await self._bound(
            self._store.transact(
                comparisons=comparisons, puts=puts, deletes=deletes
            )
        )

    async def grant_lease(
        self, *, ttl_seconds: float
    ) -> store_module.LeaseResult:
        """Request a lease; see `KeyValueStore`."""
        return await self._bound(
            self._store.grant_lease(ttl_seconds=ttl_seconds)
        )

    async def renew_lease(
        self, lease: store_module.LeaseId
    ) -> store_module.LeaseResult:
        """Renew a lease; see `KeyValueStore`."""
        return await self._bound(self._store.renew_lease(lease))

    async def watch(
        self, key: str, *, from_revision: store_module.StoreRevision
    ) -> AsyncIterator[store_module.WatchMessage]:
        """Yield changes of a key; see `KeyValueStore`."""
        watching = self._store.watch(key, from_revision=from_revision)
        async with contextlib.aclosing(watching) as messages:
            try:
                async for message in messages:
                    yield message
            except Exception as error:
                yield store_module.Unreachable(detail=f"watch: {error!r}")

    async def _bound(self, call: Awaitable[_R]) -> _R | store_module.Unknown:
        try:
            async with asyncio.timeout(self._timeout_seconds):
                return await call
        except TimeoutError:
            return store_module.Unknown(detail="no response in time")
        except Exception as error:
            return store_module.Unknown(detail=f"store failed: {error!r}")


def compare(
    key: str, modified: store_module.StoreRevision
) -> store_module.Comparison:
    """Return the comparison that `key` was last written at `modified`."""
    return store_module.Comparison(key=key, modified=modified)
