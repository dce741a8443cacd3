"""Follow the platform's store: declarations, upstreams and entry VMs.

One task waits for changes of any key: a watch is a call that is paid for, and
three would cost three times as much. It goes on from the revision up to which
the reader knows the store, from earlier watches or from peers: all keys are
read only where nothing is known, where the store has forgotten what came since,
or where versions of a large value come faster than the link carries them. A
cut watch means nothing yet; only another call that fails as well means that
the store is lost.
"""

import asyncio
import contextlib
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
"""How long a watch waits that others rely on. Both readers of a fleet may be cut
off from the store in silence, in the moment in which something changes: this
bounds when they notice, and that it is in force everywhere within three
seconds. It costs two calls a second for the whole fleet."""

_CATCH_UP_WAIT_SECONDS = 0.05
"""How long the first watch of a series waits: it shows that the store answers, and
what came since, and others wait to hear so."""

_MOST_OVERTAKEN_BYTES = 256 * 1024
"""Bytes of values in one answer that later ones of the same key replace. Where
there are more, the versions come faster than the link carries them, and each
answer would be longer than the one before; reading all keys skips them."""


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


class _WatchEnd(enum.Enum):
    """Why a watch has ended."""

    ENOUGH = "enough"
    FAILED = "failed"
    BEHIND = "behind"
    """All keys have to be read."""


class StoreReader(Protocol):
    """Receives what the store holds. Methods are called in the store's order."""

    @property
    def read_revision(self) -> store_module.StoreRevision:
        """Revision up to which all keys are known; `ABSENT` for none."""

    def apply_listing(
        self,
        items: tuple[store_module.KeyValue, ...],
        revision: store_module.StoreRevision,
    ) -> None:
        """Take in all keys, as of `revision` at least."""

    def apply_changes(
        self,
        changes: tuple[store_module.Event, ...],
        revision: store_module.StoreRevision,
    ) -> None:
        """Take in all changes up to `revision`; there may be none."""

    def on_store_call_failed(self) -> None:
        """Take in that a call has failed; the next will tell."""

    def on_store_unreachable(self) -> None:
        """Take in that the store cannot be read."""

    def on_store_reachable(self) -> None:
        """Take in that the store can be read again; a listing follows."""

    def on_reading_delegated(self) -> None:
        """Take in that others read the store from now on."""


class StoreFollower:
    """Keeps a reader up to date with the store.

    Parameters
    ----------
    store
        The platform's store.
    reader
        Receives it.
    rng
        Source of the jitter.
    clock
        Dates the store's answers.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        reader: StoreReader,
        rng: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._reader = reader
        self._rng = rng
        self._lost = False
        self._settled = False
        self._known = store_module.ABSENT
        """Revision up to which all keys are known; `ABSENT` for none."""
        self._failure = ""
        self._taking_in = False
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

    def look_again(self) -> None:
        """Ask at once what came since, on another connection.

        Others know more of the store: the connection of the watch that waits
        may have gone silent without a reset.
        """
        if self.duty is not Duty.STAND_BY:
            self._task.cancel()
            self._task.start()

    def _leave(self) -> None:
        if self._lost:
            # The others that are up to date with it say so.
            self._note_regained()
        self._reader.on_reading_delegated()

    async def _run(self) -> None:
        # A change that the reader could not take in would come again and again.
        self._known = store_module.ABSENT
        if not self._taking_in:
            self._known = self._reader.read_revision
        while True:
            if self._known != store_module.ABSENT:
                await self._catch_up()
            elif not await self._list():
                continue
            await self._follow()

    async def _list(self) -> bool:
        """Read all keys; return whether the store gave them."""
        listing = await self._store.list_prefix(_ALL_KEYS)
        if isinstance(listing, store_module.Unreachable):
            await self._pause_after(listing.detail)
            return False
        self._note_answer()
        self._reader.apply_listing(listing.items, listing.revision)
        self._taking_in = False
        self._known = listing.revision
        if not self._settled:
            self._settled = True
            await asyncio.sleep(_SETTLE_SECONDS)
        return True

    async def _catch_up(self) -> None:
        """Ask for what came since, until the store answers."""
        while True:
            end = await self._watch(
                wait_seconds=_CATCH_UP_WAIT_SECONDS, most_answers=1
            )
            if end is not _WatchEnd.FAILED:
                return
            await self._pause_after(self._failure)

    async def _follow(self) -> None:
        """Take in changes until a call fails or all keys have to be read."""
        while self._known != store_module.ABSENT:
            alone = self.duty is Duty.ALONE
            wait_seconds = None if alone else _WAIT_FOR_OTHERS_SECONDS
            end = await self._watch(wait_seconds=wait_seconds)
            if end is _WatchEnd.FAILED:
                # The next call may take as long to fail; others begin now.
                self._reader.on_store_call_failed()
                return
            if end is _WatchEnd.BEHIND:
                # All keys again and again, if the store forgets at once.
                await asyncio.sleep(_FIRST_PAUSE_SECONDS)

    async def _watch(
        self, *, wait_seconds: float | None, most_answers: int | None = None
    ) -> _WatchEnd:
        """Take in changes until the watch ends for whatever reason."""
        alone = self.duty is Duty.ALONE
        watch = self._store.watch(
            _ALL_KEYS,
            prefix=True,
            from_revision=store_module.StoreRevision(self._known + 1),
            max_wait_seconds=wait_seconds,
        )
        answers = 0
        async with contextlib.aclosing(watch):
            async for message in watch:
                if isinstance(message, store_module.WatchCompacted):
                    self._known = store_module.ABSENT
                    return _WatchEnd.BEHIND
                if isinstance(message, store_module.Unreachable):
                    self._failure = message.detail
                    return _WatchEnd.FAILED
                await self._take_batch(message)
                answers += 1
                if self._known == store_module.ABSENT:
                    return _WatchEnd.BEHIND
                if answers == most_answers:
                    break
                if alone is not (self.duty is Duty.ALONE):
                    # The next watch waits for another time.
                    break
        return _WatchEnd.ENOUGH

    async def _take_batch(self, batch: store_module.WatchBatch) -> None:
        self._note_answer()
        self._taking_in = True
        self._reader.apply_changes(batch.events, batch.revision)
        self._taking_in = False
        self._known = batch.revision
        if _overtaken_bytes(batch.events) > _MOST_OVERTAKEN_BYTES:
            self._known = store_module.ABSENT
        elif batch.events:
            await asyncio.sleep(_GATHER_SECONDS)

    def _note_answer(self) -> None:
        self._note_regained()
        self.heard_at = self._clock.monotonic()

    async def _pause_after(self, failure: str) -> None:
        self._note_lost(failure)
        await asyncio.sleep(self._next_pause())

    def _note_lost(self, detail: str) -> None:
        if self._lost:
            return
        self._lost = True
        logs.emit(
            events.LogEvent.PLATFORM_UNREACHABLE,
            level=logging.WARNING,
            detail=detail,
        )
        self._reader.on_store_unreachable()

    def _note_regained(self) -> None:
        self._pause_seconds = _FIRST_PAUSE_SECONDS
        if not self._lost:
            return
        self._lost = False
        logs.emit(events.LogEvent.PLATFORM_REACHABLE)
        self._reader.on_store_reachable()

    def _next_pause(self) -> float:
        longest = _LONGEST_PAUSE_SECONDS
        if self.duty is Duty.SPARE:
            longest = _SPARE_PAUSE_SECONDS
        pause = self._pause_seconds
        self._pause_seconds = min(longest, 2.0 * pause)
        return pause * (0.5 + self._rng.random())


def _overtaken_bytes(changes: tuple[store_module.Event, ...]) -> int:
    """Return the size of values that later changes of the same key replace."""
    sizes_by_key: dict[str, int] = {}
    overtaken = 0
    for change in changes:
        overtaken += sizes_by_key.get(change.key, 0)
        sizes_by_key[change.key] = len(change.value or b"")
    return overtaken
