"""Which entry VMs read the store for the others.

Each call to the store is paid for, a waiting watch included, and each change
wakes every watch. In a large fleet a few entry VMs of each failure domain
watch; the others hear from them that something has changed and fetch it
there. Whoever hears of too few that watch does so itself, so that a cut or a
crash costs a second and no more. With 82 entry VMs that all watched, the
calls of a calm day cost 0.059 of its worth.
"""

import asyncio
from collections.abc import Iterable

import xxhash

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, standing_task, types
from lagoonrun_router import peer_table, store_follower

WATCHERS_IN_DOMAIN = 2
"""Entry VMs of a failure domain that watch: one may be lost unnoticed."""

_LOOK_SECONDS = 0.25
"""Time between two looks at who watches: a quarter of the silence after which
a watching entry VM does not count any more."""


def duty_of(
    own: types.EntryVmId,
    *,
    watching: Iterable[types.EntryVmId],
    alive: Iterable[types.EntryVmId],
) -> store_follower.Duty:
    """Return the duty of one entry VM of a large fleet.

    Parameters
    ----------
    watching
        Others of the failure domain that are up to date with the store.
    alive
        All others of the failure domain that were heard lately.
    """
    rank = _rank(own)
    before = sum(_rank(one) < rank for one in watching)
    if before >= WATCHERS_IN_DOMAIN:
        return store_follower.Duty.STAND_BY
    if sum(_rank(one) < rank for one in alive) >= WATCHERS_IN_DOMAIN:
        return store_follower.Duty.SPARE
    return store_follower.Duty.FOR_OTHERS


def _rank(entry_vm: types.EntryVmId) -> int:
    return xxhash.xxh3_64_intdigest(entry_vm.encode())


class StoreDuty:
    """Gives the store follower its duty, by what the peers tell.

    Parameters
    ----------
    entry_vm, domain
        This entry VM.
    table
        The other entry VMs.
    follower
        Reads the store, or does not.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        domain: types.FailureDomain,
        table: peer_table.PeerTable,
        follower: store_follower.StoreFollower,
        clock: clocks.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._table = table
        self._follower = follower
        self._clock = clock
        self._task = standing_task.StandingTask(
            name="store-duty", function=self._run
        )

    async def start(self) -> None:
        """Begin to look."""
        self._task.start()

    async def close(self) -> None:
        """Stop looking."""
        await self._task.close()

    async def _run(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(_LOOK_SECONDS)

    def look(self) -> None:
        """Take up the duty that the present state of the fleet asks for."""
        if not self._table.is_large:
            self._use(store_follower.Duty.ALONE, watching=(), alive=())
            return
        now = self._clock.monotonic()
        watching = self._table.watching(now=now)
        alive = self._table.neighbours()
        duty = duty_of(self._entry_vm, watching=watching, alive=alive)
        self._use(duty, watching=watching, alive=alive)

    def _use(
        self,
        duty: store_follower.Duty,
        *,
        watching: tuple[types.EntryVmId, ...],
        alive: tuple[types.EntryVmId, ...],
    ) -> None:
        previous = self._follower.duty
        if duty is previous:
            return
        logs.emit(
            events.LogEvent.STORE_DUTY_CHANGED,
            duty=duty.value,
            previous=previous.value,
            watching=len(watching),
            alive=len(alive),
            domain=self._domain,
        )
        self._follower.use(duty)
