"""Select the entry VMs that read the store for the others.

Each call to the store is paid for, a waiting watch included, and each change
wakes every watch. In a large fleet one entry VM in each of two failure domains
watches; the two broadcast what has changed, through the relays of the other
domains. The calls for a change therefore don't grow with the fleet: when all
of 82 entry VMs watched, the store answered 40 calls for each.

Three states are distinguished: whether an entry VM is alive, whether it is
selected to read the store, and whether it is up to date with the store. A
reader that parses a large configuration is silent for a while and not lost; a
reader that is alive but can't reach the store causes the next one in the order
to be selected, and keeps trying. The others never join all at once: a fleet
that did so listed the whole store from every entry VM within the second in
which one reader was slow. A failure domain that is cut off receives no report
of a reader elsewhere and reads the store itself.

In a small fleet every entry VM watches the store. The same selection names
those whose watches wait only briefly: they notice within two seconds that
connections to the store have gone silent, and the others learn it from them.
"""

from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, supervised_task, ticks, types
from lagoonrun_router import peer_table, reach, roster, store_follower

READER_COUNT = 2
"""Entry VMs of the fleet that watch, so that one may be lost unnoticed."""

MAX_READERS = 6
"""Entry VMs of a failure domain that try to read the store at the same time
while one of the first can't reach it, until enough of them can. If a third of
all are cut off from the store, six in a row are cut off in one of a thousand
cases."""

MAX_READING_DOMAINS = 3
"""Failure domains that try at the same time while those before them can't reach
the store."""

CATCH_UP_SECONDS = 1.5
"""Time that an entry VM has to get up to date with the store after it was
selected: two or three calls and the parsing of a large configuration."""

_UPDATE_SECONDS = 0.25
"""Interval of the selection: a quarter of the silence after which a watching
entry VM is no longer counted."""

_MAX_UPDATES_BEHIND = 2
"""Updates for which a reader may know an older revision of the store than a
peer reports, before its watch counts as dead."""


class StoreKnowledge(Protocol):
    """What the selection uses of the store replica."""

    follows_store: bool
    """Whether this entry VM's last call to the store succeeded."""

    read_revision: int
    """Revision of the store up to which all keys are known here."""

    newest_reported_revision: int
    """Newest such revision that any peer has reported."""


class ReaderSelection:
    """Sets the role of the store follower by what the peers report.

    Parameters
    ----------
    entry_vm, domain, processor_cores
        This entry VM.
    table, domains
        The other entry VMs, and the other failure domains.
    replica
        What this entry VM knows of the store.
    follower
        Reads the store, depending on its role.
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
        replica: StoreKnowledge,
        follower: store_follower.StoreFollower,
        clock: clocks.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._table = table
        self._domains = domains
        self._replica = replica
        self._follower = follower
        self._clock = clock
        self._updates_behind = 0
        self._reading_domains = roster.Roster(
            duty="store",
            wanted_count=READER_COUNT,
            max_count=MAX_READING_DOMAINS,
            performs_task=self._domain_reads_or_starts,
            own=domain,
            others=domains,
        )
        self._readers = roster.Roster(
            duty="store",
            wanted_count=READER_COUNT,
            max_count=MAX_READERS,
            performs_task=self._reads_or_starts,
            own=entry_vm,
            own_size=peer_table.rounded_cores(processor_cores),
            others=table,
        )
        self._task = supervised_task.SupervisedTask(
            name="store-duty", function=self._run
        )

    async def start(self) -> None:
        """Start the periodic selection."""
        self._task.start()

    def begin_stop(self) -> None:
        """Withdraw from the selection: this entry VM is about to stop."""
        self._readers.stopping = True

    async def close(self) -> None:
        """Stop the periodic selection."""
        await self._task.close()

    async def _run(self) -> None:
        while True:
            self.update_role()
            await ticks.sleep_to_tick(_UPDATE_SECONDS)

    def update_role(self) -> None:
        """Take the role that follows from the present state of the fleet."""
        now = self._clock.monotonic()
        domains = self._reading_domains.on_duty(now=now)
        # One reader in each of two domains, or two in a fleet of one domain.
        wanted_count = max(1, READER_COUNT + 1 - len(domains))
        readers = self._readers.on_duty(now=now, wanted_count=wanted_count)
        selected = self._domain in domains and self._entry_vm in readers
        if not selected and not self._table.is_large:
            self._set_role(store_follower.ReaderRole.ALONE, readers)
        elif not selected:
            self._set_role(store_follower.ReaderRole.STAND_BY, readers)
        elif self._entry_vm in readers[:wanted_count]:
            self._set_role(store_follower.ReaderRole.FOR_OTHERS, readers)
        else:
            self._set_role(store_follower.ReaderRole.SPARE, readers)
        self._detect_dead_watch()

    def _detect_dead_watch(self) -> None:
        """Restart the watch if peers report newer revisions for a while."""
        behind = (
            self._replica.follows_store
            and self._replica.newest_reported_revision
            > self._replica.read_revision
        )
        self._updates_behind = self._updates_behind + 1 if behind else 0
        if self._updates_behind == _MAX_UPDATES_BEHIND:
            self._follower.restart_watch()

    def _reads_or_starts(
        self, member: roster.Member, *, since: float, first: bool
    ) -> bool:
        """Return whether a selected entry VM reads, or may be starting to."""
        if first and self._clock.monotonic() - since < CATCH_UP_SECONDS:
            return True
        if member == self._entry_vm:
            return self._replica.follows_store
        return self._table.follows_store(member)

    def _domain_reads_or_starts(
        self, member: roster.Member, *, since: float, first: bool
    ) -> bool:
        """Return whether any entry VM of a domain reads or may begin to."""
        now = self._clock.monotonic()
        if first and now - since < CATCH_UP_SECONDS:
            return True
        if member == self._domain:
            neighbours = self._table.store_readers(now=now)
            return self._replica.follows_store or bool(neighbours)
        return self._domains.is_reading(member)

    def _set_role(
        self,
        role: store_follower.ReaderRole,
        on_duty: tuple[roster.Member, ...],
    ) -> None:
        previous = self._follower.role
        if role is previous:
            return
        logs.emit(
            events.LogEvent.STORE_DUTY_CHANGED,
            duty=role.value,
            previous=previous.value,
            on_duty=on_duty,
            following=[
                one for one in on_duty if self._table.follows_store(one)
            ],
            neighbours=len(self._table.neighbour_ids()),
            domain=self._domain,
        )
        self._follower.set_role(role)
