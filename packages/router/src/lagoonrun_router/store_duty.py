"""Which entry VMs read the store for the others.

Each call to the store is paid for, a waiting watch included, and each change
wakes every watch. In a large fleet two entry VMs of each failure domain watch;
they tell the others what has changed. With 82 entry VMs that all watched, the
store answered 40 calls for each change.

Three things are told apart: whether an entry VM lives, whether it has the duty
to read the store, and whether it is up to date with it. One that reads a large
configuration says nothing for a while and is not lost; one that lives but does
not reach the store brings in the next of the order, and keeps trying. Others
never join all at once: a fleet that did so asked the store for everything from
all sides in the second in which one reader was slow.
"""

from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, standing_task, ticks, types
from lagoonrun_router import peer_table, roster, store_follower

WATCHERS_IN_DOMAIN = 2
"""Entry VMs of a failure domain that watch: one may be lost unnoticed."""

MOST_TRYING = 6
"""Entry VMs of a failure domain that try to read the store at a time while those
before them don't reach it. Where the store turns away a third of all, six in a
row are turned away once in a thousand cases."""

CATCH_UP_SECONDS = 1.5
"""Time that an entry VM has to be up to date with the store after it took up the
duty: two or three calls and the reading of a large configuration."""

_LOOK_SECONDS = 0.25
"""Time between two looks at who watches: a quarter of the silence after which
a watching entry VM does not count any more."""


class FollowsStore(Protocol):
    """What is asked of the beliefs."""

    @property
    def follows_store(self) -> bool:
        """Whether the last own reading of the store succeeded."""


class StoreDuty:
    """Gives the store follower its duty, by what the peers tell.

    Parameters
    ----------
    entry_vm, domain, processor_cores
        This entry VM.
    table
        The other entry VMs.
    known
        Whether this entry VM is up to date with the store.
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
        processor_cores: float,
        table: peer_table.PeerTable,
        known: FollowsStore,
        follower: store_follower.StoreFollower,
        clock: clocks.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._table = table
        self._known = known
        self._follower = follower
        self._clock = clock
        self._readers = roster.Roster(
            duty="store",
            places=WATCHERS_IN_DOMAIN,
            most=MOST_TRYING,
            fills=self._reads_or_may,
            entry_vm=entry_vm,
            processor_cores=processor_cores,
            table=table,
        )
        self._task = standing_task.StandingTask(
            name="store-duty", function=self._run
        )

    async def start(self) -> None:
        """Begin to look."""
        self._task.start()

    def begin_stop(self) -> None:
        """Leave the duty to others: this entry VM is about to end."""
        self._readers.stopping = True

    async def close(self) -> None:
        """Stop looking."""
        await self._task.close()

    async def _run(self) -> None:
        while True:
            self.look()
            await ticks.sleep_to_tick(_LOOK_SECONDS)

    def look(self) -> None:
        """Take up the duty that the present state of the fleet asks for."""
        if not self._table.is_large:
            self._use(store_follower.Duty.ALONE, ())
            return
        on_duty = self._readers.on_duty(now=self._clock.monotonic())
        if self._entry_vm not in on_duty:
            self._use(store_follower.Duty.STAND_BY, on_duty)
        elif self._entry_vm in on_duty[:WATCHERS_IN_DOMAIN]:
            self._use(store_follower.Duty.FOR_OTHERS, on_duty)
        else:
            self._use(store_follower.Duty.SPARE, on_duty)

    def _reads_or_may(self, entry_vm: types.EntryVmId, *, since: float) -> bool:
        """Return whether one with the duty reads, or may be about to."""
        if self._clock.monotonic() - since < CATCH_UP_SECONDS:
            return True
        if entry_vm == self._entry_vm:
            return self._known.follows_store
        return self._table.follows_store(entry_vm)

    def _use(
        self,
        duty: store_follower.Duty,
        on_duty: tuple[types.EntryVmId, ...],
    ) -> None:
        previous = self._follower.duty
        if duty is previous:
            return
        logs.emit(
            events.LogEvent.STORE_DUTY_CHANGED,
            duty=duty.value,
            previous=previous.value,
            on_duty=on_duty,
            following=[
                one for one in on_duty if self._table.follows_store(one)
            ],
            neighbours=len(self._table.near_ids()),
            domain=self._domain,
        )
        self._follower.use(duty)
