"""Follow the platform's store: declarations, upstreams and entry VMs.

One task reads all keys and then waits for changes of any of them: a watch is
a call that is paid for, and three would cost three times as much. A cut
watch, a history that is gone, and a store that is away all end in another
reading of all keys, which shows what was missed; only a reading that fails
as well means that the store is lost.
"""

import asyncio
import logging
import random
from typing import Protocol

from lagoonrun_core import events, logs
from lagoonrun_platform import store as store_module

_ALL_KEYS = ""
_FIRST_PAUSE_SECONDS = 0.1
_LONGEST_PAUSE_SECONDS = 1.0
"""Longest pause between two tries while the store is away.

Entries that ran out are back two seconds after its return; the return has to
be noticed well before.
"""


class StoreReader(Protocol):
    """Receives what the store holds. Methods are called in the store's order."""

    def take_listing(self, items: tuple[store_module.KeyValue, ...]) -> None:
        """Take in all keys."""

    def take_event(self, event: store_module.Event) -> None:
        """Take in one change."""

    def take_store_lost(self) -> None:
        """Take in that the store cannot be read."""

    def take_store_regained(self) -> None:
        """Take in that the store can be read again; a listing follows."""


class StoreFollower:
    """Keeps a reader up to date with the store.

    Parameters
    ----------
    store
        The platform's store.
    reader
        Receives it.
    chance
        Source of the jitter.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        reader: StoreReader,
        chance: random.Random,
    ) -> None:
        self._store = store
        self._reader = reader
        self._chance = chance
        self._lost = False
        self._pause_seconds = _FIRST_PAUSE_SECONDS
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            listing = await self._store.list_prefix(_ALL_KEYS)
            if isinstance(listing, store_module.Unreachable):
                self._note_lost(listing.detail)
                await asyncio.sleep(self._next_pause())
                continue
            self._note_regained()
            self._reader.take_listing(listing.items)
            await self._watch(listing.revision)

    async def _watch(self, revision: store_module.StoreRevision) -> None:
        """Take in changes until the watch ends for whatever reason."""
        watch = self._store.watch(
            _ALL_KEYS,
            prefix=True,
            from_revision=store_module.StoreRevision(revision + 1),
        )
        async for message in watch:
            if not isinstance(message, store_module.WatchBatch):
                return
            for event in message.events:
                self._reader.take_event(event)

    def _note_lost(self, detail: str) -> None:
        if self._lost:
            return
        self._lost = True
        logs.emit(
            events.LogEvent.PLATFORM_UNREACHABLE,
            level=logging.WARNING,
            detail=detail,
        )
        self._reader.take_store_lost()

    def _note_regained(self) -> None:
        self._pause_seconds = _FIRST_PAUSE_SECONDS
        if not self._lost:
            return
        self._lost = False
        logs.emit(events.LogEvent.PLATFORM_REACHABLE)
        self._reader.take_store_regained()

    def _next_pause(self) -> float:
        pause = self._pause_seconds
        self._pause_seconds = min(_LONGEST_PAUSE_SECONDS, 2.0 * pause)
        return pause * (0.5 + self._chance.random())
