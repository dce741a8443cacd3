"""Which entry VMs read the store for the others.

Each call to the store is paid for, a waiting watch included, and each change
wakes every watch. In a large fleet one entry VM of each of two failure domains
watches; they tell all others what has changed, through the relays of the other
domains. So the calls for a change don't grow with the fleet: with 82 entry VMs
that all watched, the store answered 40 calls for each.

Three things are told apart: whether an entry VM lives, whether it has the duty
to read the store, and whether it is up to date with it. One that reads a large
configuration says nothing for a while and is not lost; one that lives but does
not reach the store brings in the next of the order, and keeps trying. Others
never join all at once: a fleet that did so asked the store for everything from
all sides in the second in which one reader was slow. A domain that is cut off
hears of no reader elsewhere and reads the store itself.
"""

from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, standing_task, ticks, types
from lagoonrun_router import peer_table, reach, roster, store_follower

WATCHERS = 2
"""Entry VMs of the fleet that watch: one may be lost unnoticed."""

MOST_TRYING = 6
"""Entry VMs of a failure domain that try to read the store at once while one of
the first does not reach it, until enough of them do. Where a third of all are
cut off from the store, six in a row are once in a thousand cases."""

MOST_TRYING_DOMAINS = 3
"""Failure domains that try at a time, while those before them don't reach it."""

CATCH_UP_SECONDS = 1.5
"""Time that an entry VM has to be up to date with the store after it took up the
duty: two or three calls and the reading of a large configuration."""

_LOOK_SECONDS = 0.25
"""Time between two looks at who watches: a quarter of the silence after which
a watching entry VM does not count any more."""

_LOOKS_BEHIND = 2
"""Looks for which a reader may know less of the store than others say they do,
before it takes its watch for dead."""


class KnowsStore(Protocol):
    """What is asked of the beliefs."""

    follows_store: bool
    """Whether the last own reading of the store succeeded."""

    read_revision: int
    """Revision of the store up to which this entry VM knows it."""

    newest_told_revision: int
    """The same of whichever peer knows most."""


class StoreDuty:
    """Gives the store follower its duty, by what the peers tell.

    Parameters
    ----------
    entry_vm, domain, processor_cores
        This entry VM.
    table, domains
        The other entry VMs, and the other failure domains.
    known
        What this entry VM knows of the store.
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
        domains: reach.DomainReach,
        known: KnowsStore,
        follower: store_follower.StoreFollower,
        clock: clocks.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._table = table
        self._domains = domains
        self._known = known
        self._follower = follower
        self._clock = clock
        self._looks_behind = 0
        self._reading_domains = roster.Roster(
            duty="store",
            wanted_count=WATCHERS,
            max_count=MOST_TRYING_DOMAINS,
            performs_task=self._domain_reads_or_may,
            own=domain,
            others=domains,
        )
        self._readers = roster.Roster(
            duty="store",
            wanted_count=WATCHERS,
            max_count=MOST_TRYING,
            performs_task=self._reads_or_may,
            own=entry_vm,
            own_size=peer_table.rounded_cores(processor_cores),
            others=table,
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
        now = self._clock.monotonic()
        domains = self._reading_domains.on_duty(now=now)
        # Two domains with one each; a fleet of one domain has two there.
        places = max(1, WATCHERS + 1 - len(domains))
        readers = self._readers.on_duty(now=now, wanted_count=places)
        if self._domain not in domains or self._entry_vm not in readers:
            self._use(store_follower.Duty.STAND_BY, readers)
        elif self._entry_vm in readers[:places]:
            self._use(store_follower.Duty.FOR_OTHERS, readers)
        else:
            self._use(store_follower.Duty.SPARE, readers)
        self._look_for_dead_watch()

    def _look_for_dead_watch(self) -> None:
        """Have the follower ask again where others know more for a while."""
        behind = (
            self._known.follows_store
            and self._known.newest_told_revision > self._known.read_revision
        )
        self._looks_behind = self._looks_behind + 1 if behind else 0
        if self._looks_behind == _LOOKS_BEHIND:
            self._follower.look_again()

    def _reads_or_may(
        self, member: roster.Member, *, since: float, first: bool
    ) -> bool:
        """Return whether one with the duty reads, or may be about to."""
        if first and self._clock.monotonic() - since < CATCH_UP_SECONDS:
            return True
        if member == self._entry_vm:
            return self._known.follows_store
        return self._table.follows_store(member)

    def _domain_reads_or_may(
        self, member: roster.Member, *, since: float, first: bool
    ) -> bool:
        """Return whether some entry VM of a domain reads, or may be about to."""
        now = self._clock.monotonic()
        if first and now - since < CATCH_UP_SECONDS:
            return True
        if member == self._domain:
            near = self._table.store_readers(now=now)
            return self._known.follows_store or bool(near)
        return self._domains.is_reading(member)

    def _use(
        self,
        duty: store_follower.Duty,
        on_duty: tuple[roster.Member, ...],
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
            neighbours=len(self._table.neighbour_ids()),
            domain=self._domain,
        )
        self._follower.use(duty)
