"""Read whether a duty's key is held, and wait until it is free."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable

from lagoonrun_orders import bounded_store
from lagoonrun_platform import store as store_module

_POLL_SECONDS = 15.0
_JITTER_SECONDS = 0.2
_BROKEN_WATCH_JITTER_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Free:
    """Nobody holds the key, or this process does."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Held:
    """Another process holds the key.

    Parameters
    ----------
    watch_from
        Store revision from which a watch misses no change.
    """

    watch_from: store_module.StoreRevision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Undetermined:
    """The store did not answer."""


class HolderKeyWatch:
    """Observes the key of a duty's holder.

    Parameters
    ----------
    is_own
        Whether a value was written by this process: an acquisition whose reply
        was lost or late.
    """

    def __init__(
        self,
        *,
        store: bounded_store.BoundedStore,
        key: str,
        is_own: Callable[[store_module.KeyValue], bool],
        random: random.Random,
        sleep: Callable[[float], Awaitable[None]],
    ) -> None:
        self._store = store
        self._key = key
        self._is_own = is_own
        self._random = random
        self._sleep = sleep

    async def read(self) -> Free | Held | Undetermined:
        """Read the key by a comparison, which never sees an old value."""
        result = await self._store.transact(
            comparisons=[bounded_store.compare(self._key, store_module.ABSENT)]
        )
        match result:
            case store_module.Committed():
                return Free()
            case store_module.Rejected():
                holder = result.item(self._key)
                if holder is not None and self._is_own(holder):
                    return Free()
                return Held(
                    watch_from=store_module.StoreRevision(result.revision + 1)
                )
        return Undetermined()

    async def wait_until_free(self, held: Held) -> None:
        """Wait until the key may be free, with a watch and a slow poll."""
        jitter = _JITTER_SECONDS
        timeout_seconds = _POLL_SECONDS * self._random.uniform(0.5, 1.0)
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(timeout_seconds),
                contextlib.aclosing(
                    self._store.watch(self._key, from_revision=held.watch_from)
                ) as messages,
            ):
                async for message in messages:
                    if not isinstance(message, store_module.WatchBatch):
                        jitter = _BROKEN_WATCH_JITTER_SECONDS
                        break
                    if any(event.value is None for event in message.events):
                        break
        # Without jitter, all entry VMs of the domain would request a lease at
        # once.
        await self._sleep(self._random.uniform(0.0, jitter))
