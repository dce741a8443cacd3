"""Find out whether a key is held, and wait until it is not."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable

from lagoonrun_orders import bounded_store
from lagoonrun_platform import store as store_module

_POLL_SECONDS = 15.0
_SPREAD_SECONDS = 0.2
_BROKEN_WATCH_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vacant:
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
class NotKnown:
    """The store did not answer."""


class Vacancy:
    """Looks at the key of a holder.

    Parameters
    ----------
    is_mine
        Whether a value that is found is this process's: an acquisition
        whose reply was lost, or that arrived late.
    """

    def __init__(
        self,
        *,
        store: bounded_store.BoundedStore,
        key: str,
        is_mine: Callable[[store_module.KeyValue], bool],
        random: random.Random,
        sleep: Callable[[float], Awaitable[None]],
    ) -> None:
        self._store = store
        self._key = key
        self._is_mine = is_mine
        self._random = random
        self._sleep = sleep

    async def find(self) -> Vacant | Held | NotKnown:
        """Read the key; never an old value, as a comparison is not."""
        result = await self._store.transact(
            comparisons=[bounded_store.compare(self._key, store_module.ABSENT)]
        )
        match result:
            case store_module.Committed():
                return Vacant()
            case store_module.Rejected():
                holder = result.item(self._key)
                if holder is not None and self._is_mine(holder):
                    return Vacant()
                return Held(
                    watch_from=store_module.StoreRevision(result.revision + 1)
                )
        return NotKnown()

    async def wait(self, held: Held) -> None:
        """Wait until the key may be vacant, by a watch and a slow poll."""
        spread = _SPREAD_SECONDS
        longest = _POLL_SECONDS * self._random.uniform(0.5, 1.0)
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(longest),
                contextlib.aclosing(
                    self._store.watch(self._key, from_revision=held.watch_from)
                ) as messages,
            ):
                async for message in messages:
                    if not isinstance(message, store_module.WatchBatch):
                        spread = _BROKEN_WATCH_SECONDS
                        break
                    if any(event.value is None for event in message.events):
                        break
        # Without it, all entry VMs of the domain ask for a lease at once.
        await self._sleep(self._random.uniform(0.0, spread))
