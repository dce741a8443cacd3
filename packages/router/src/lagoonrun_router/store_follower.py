"""Follow the platform's store: declarations, upstreams and entry VMs.

One task reads all keys and then waits for changes of any of them: a watch is
a call that is paid for, and three would cost three times as much. A cut
watch, a history that is gone, and a store that is away all end in another
reading of all keys, which shows what was missed; only a reading that fails
as well means that the store is lost.
"""

import asyncio
import enum
import logging
import random
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, standing_task
from lagoonrun_platform import store as store_module

_ALL_KEYS = ""
_FIRST_PAUSE_SECONDS = 0.1
_LONGEST_PAUSE_SECONDS = 1.0
"""Longest pause between two tries while the store is away.

Entries that ran out are back two seconds after its return; the return has to
be noticed well before.
"""

_SPARE_PAUSE_SECONDS = 3.0
"""The same for an entry VM that others will tell of the store's return."""

_SETTLE_SECONDS = 1.0
"""Time between the first reading and the first watch. When a fleet starts,
each entry VM writes its key; watches would be woken by each, and most entry
VMs of a large fleet learn meanwhile that they need not watch."""

_GATHER_SECONDS = 0.1
"""Time between a change and the next watch: changes that come together are
read by one call. A tenth of the time that any of them may take to spread."""

_WAIT_FOR_OTHERS_SECONDS = 1.0
"""How long a watch waits that others rely on: when its connection has gone
silent, they are to know it before what they missed matters, in two to three
seconds."""


class Duty(enum.Enum):
    """Why this entry VM reads the store, or does not."""

    ALONE = "alone"
    """Each entry VM of the fleet reads it."""

    FOR_OTHERS = "for-others"
    """Others of the failure domain rely on this one."""

    SPARE = "spare"
    """Those that the others rely on do not reach it at the moment."""

    STAND_BY = "stand-by"
    """Others read it for this one."""


class StoreReader(Protocol):
    """Receives what the store holds. Methods are called in the store's order."""

    def take_listing(
        self,
        items: tuple[store_module.KeyValue, ...],
        revision: store_module.StoreRevision,
    ) -> None:
        """Take in all keys, as of `revision` at least."""

    def take_event(self, event: store_module.Event) -> None:
        """Take in one change."""

    def take_store_lost(self) -> None:
        """Take in that the store cannot be read."""

    def take_store_regained(self) -> None:
        """Take in that the store can be read again; a listing follows."""

    def take_store_left(self) -> None:
        """Take in that others read the store from now on."""


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
    clock
        Dates the store's answers.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        reader: StoreReader,
        chance: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._reader = reader
        self._chance = chance
        self._lost = False
        self._settled = False
        self._pause_seconds = _FIRST_PAUSE_SECONDS
        self._task = standing_task.StandingTask(
            name="store-follower", function=self._run
        )
        self._clock = clock
        self.duty = Duty.ALONE
        self.heard_at: float | None = None
        """When the store answered last; None for never."""

    async def start(self) -> None:
        """Begin to follow."""
        self._task.start()

    async def close(self) -> None:
        """Stop following."""
        await self._task.close()

    def use(self, duty: Duty) -> None:
        """Begin to read the store, leave it to others, or change the pace."""
        previous, self.duty = self.duty, duty
        if duty is Duty.STAND_BY:
            self._task.cancel()
            self._leave()
        elif previous is Duty.STAND_BY:
            self._task.start()

    def _leave(self) -> None:
        if self._lost:
            # The others that are up to date with it say so.
            self._note_regained()
        self._reader.take_store_left()

    async def _run(self) -> None:
        while True:
            listing = await self._store.list_prefix(_ALL_KEYS)
            if isinstance(listing, store_module.Unreachable):
                self._note_lost(listing.detail)
                await asyncio.sleep(self._next_pause())
                continue
            self._note_regained()
            self.heard_at = self._clock.monotonic()
            self._reader.take_listing(listing.items, listing.revision)
            if not self._settled:
                self._settled = True
                await asyncio.sleep(_SETTLE_SECONDS)
            await self._watch(listing.revision)

    async def _watch(self, revision: store_module.StoreRevision) -> None:
        """Take in changes until the watch ends for whatever reason."""
        alone = self.duty is Duty.ALONE
        wait_seconds = None if alone else _WAIT_FOR_OTHERS_SECONDS
        watch = self._store.watch(
            _ALL_KEYS,
            prefix=True,
            from_revision=store_module.StoreRevision(revision + 1),
            longest_wait_seconds=wait_seconds,
        )
        async for message in watch:
            if not isinstance(message, store_module.WatchBatch):
                return
            self.heard_at = self._clock.monotonic()
            for event in message.events:
                self._reader.take_event(event)
            if message.events:
                await asyncio.sleep(_GATHER_SECONDS)
            if alone is not (self.duty is Duty.ALONE):
                # The next watch waits for another time.
                return

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
        longest = _LONGEST_PAUSE_SECONDS
        if self.duty is Duty.SPARE:
            longest = _SPARE_PAUSE_SECONDS
        pause = self._pause_seconds
        self._pause_seconds = min(longest, 2.0 * pause)
        return pause * (0.5 + self._chance.random())
