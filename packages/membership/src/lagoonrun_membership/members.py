"""What this process believes of each entry VM. Pure: no I/O, no clock.

One incarnation of a member only ever moves from alive to leaving or suspect
and to dead. Only the member itself starts a higher incarnation, by which it
refutes a suspicion. Hence news may arrive late, twice or in any order and
everyone ends with the same belief, and old news brings no dead member back.
"""

import dataclasses

from lagoonrun_core import types
from lagoonrun_membership import damping, records
from lagoonrun_membership import timing as timings
from lagoonrun_protocol import messages

MemberView = messages.MemberUpdate
"""A member as the owner sees it: its record with the state believed now.

The digest is empty where the member's revision is known from others only.
"""

_MEMBER_STATES_OF_SELF = (
    messages.MemberState.ALIVE,
    messages.MemberState.LEAVING,
)


class MemberTable:
    """Beliefs of all members, this process included.

    Parameters
    ----------
    own
        The record of this process.
    timing
        Suspicion, holds and forgetting.

    Attributes
    ----------
    records
        The records that the rules work on.
    refutations
        How often this process had to say that it is alive.
    """

    def __init__(
        self, *, own: messages.MemberUpdate, timing: timings.Timing
    ) -> None:
        self._own_id = own.entry_vm
        self._timing = timing
        self._damping = damping.FlapDamping(timing=timing)
        self.records = records.MemberRecords(own_id=own.entry_vm)
        self._suspects: set[types.EntryVmId] = set()
        self._dead: set[types.EntryVmId] = set()
        self._news: dict[types.EntryVmId, None] = {}
        self._changed: dict[types.EntryVmId, None] = {}
        self._forgotten: list[types.EntryVmId] = []
        self._lost: list[messages.MemberUpdate] = []
        self._condemned: list[types.EntryVmId] = []
        self.refutations = 0
        self.records.add(records.Record(update=own))

    # Reading.

    def __len__(self) -> int:
        """Return the number of members that are not dead, self included."""
        return len(self.records.by_id) - len(self._dead)

    @property
    def own(self) -> messages.MemberUpdate:
        """The record of this process, as it is told to others."""
        return self.records.wire_update(self._own_id)

    @property
    def dead(self) -> tuple[types.EntryVmId, ...]:
        """Members held for dead, in the order of their names."""
        return tuple(sorted(self._dead))

    def view(self, entry_vm: types.EntryVmId) -> MemberView | None:
        """Return a member as the owner sees it."""
        return self.records.view(entry_vm)

    def views_by_id(self) -> dict[types.EntryVmId, MemberView]:
        """Return all members by id."""
        views = map(self.records.view, self.records.by_id)
        return {view.entry_vm: view for view in views if view is not None}

    def knows(self, entry_vm: types.EntryVmId) -> bool:
        """Return whether there is a record of the member."""
        return entry_vm in self.records.by_id

    def is_dead(self, entry_vm: types.EntryVmId) -> bool:
        """Return whether the member is held for dead."""
        return entry_vm in self._dead

    def others_in(
        self, domain: types.FailureDomain
    ) -> tuple[types.EntryVmId, ...]:
        """Return all members of `domain` that are not dead, without self."""
        return tuple(
            entry_vm
            for entry_vm in self.records.in_domain(domain)
            if entry_vm != self._own_id and entry_vm not in self._dead
        )

    def eligible_in(
        self, domain: types.FailureDomain
    ) -> tuple[types.EntryVmId, ...]:
        """Return the members of `domain` that may be given shards.

        Suspects count: a shard moves only when its dispatcher is held for
        dead. Leaving and held members don't.
        """
        return tuple(
            sorted(
                entry_vm
                for entry_vm in self.records.in_domain(domain)
                if entry_vm not in self._dead
                and not self.records.by_id[entry_vm].leaving
                and not self._damping.is_held_down(entry_vm)
            )
        )

    # Taking what has come of the events.

    def pop_news(self) -> tuple[types.EntryVmId, ...]:
        """Return members of whom others should be told, once."""
        news = tuple(self._news)
        self._news.clear()
        return news

    def pop_changed(self) -> tuple[MemberView, ...]:
        """Return members whose view has changed, once."""
        views = [self.view(entry_vm) for entry_vm in self._changed]
        self._changed.clear()
        return tuple(view for view in views if view is not None)

    def pop_forgotten(self) -> tuple[types.EntryVmId, ...]:
        """Return members that were forgotten, once."""
        forgotten = tuple(self._forgotten)
        self._forgotten.clear()
        return forgotten

    def pop_lost(self) -> tuple[messages.MemberUpdate, ...]:
        """Return the last records of members that were forgotten, once."""
        lost = tuple(self._lost)
        self._lost.clear()
        return lost

    def pop_disputed(self) -> tuple[types.EntryVmId, ...]:
        """Return members we held alive and others hold for dead, once."""
        condemned = tuple(self._condemned)
        self._condemned.clear()
        return condemned

    # Events.

    def apply(
        self, update: messages.MemberUpdate, *, direct: bool, now: float
    ) -> None:
        """Take in what somebody says of a member.

        Parameters
        ----------
        update
            The belief.
        direct
            Whether the member itself says so.
        now
            Clock reading in seconds.
        """
        if update.entry_vm == self._own_id:
            self._refute(update)
            return
        record = self.records.by_id.get(update.entry_vm)
        if record is None:
            self._meet(update, now)
        elif update.incarnation > record.update.incarnation:
            self._renew(record, update, direct=direct, now=now)
        elif update.incarnation == record.update.incarnation:
            self._merge(record, update, direct=direct, now=now)

    def suspect(self, entry_vm: types.EntryVmId, *, now: float) -> None:
        """Suspect a member that did not answer a probe."""
        record = self.records.by_id.get(entry_vm)
        if record is None or record.dead_since is not None:
            return
        if record.suspect_until is None:
            self._start_suspicion(record, now + self._suspicion(record))

    def expire(self, now: float) -> None:
        """Let time pass: suspects die, the dead are forgotten, holds end."""
        for entry_vm in tuple(self._suspects):
            record = self.records.by_id[entry_vm]
            until = record.suspect_until
            if until is not None and now >= until:
                self._die(record, now)
        for entry_vm in tuple(self._dead):
            since = self.records.by_id[entry_vm].dead_since
            if since is not None and (
                now - since >= self._timing.forget_seconds
            ):
                self._forget(entry_vm)
        for entry_vm in self._damping.expire(now):
            self._changed[entry_vm] = None

    def postpone_suspicions(self, seconds: float) -> None:
        """Give every suspect more time.

        A process that was frozen wakes with all its deadlines passed, before
        it could read a single refutation; without this it would hold its
        suspects for dead at once.
        """
        for entry_vm in self._suspects:
            record = self.records.by_id[entry_vm]
            if record.suspect_until is not None:
                record.suspect_until += seconds

    def announce_configuration(
        self, revision: types.Revision, digest: str
    ) -> None:
        """Tell others which revision this process has in force."""
        record = self.records.by_id[self._own_id]
        record.update = dataclasses.replace(
            record.update, revision=revision, digest=digest
        )
        self._changed[self._own_id] = None

    def announce_leaving(self) -> None:
        """Tell others that this process takes no more shards."""
        record = self.records.by_id[self._own_id]
        if not record.leaving:
            self._start_incarnation(record, record.update.incarnation + 1)
            record.leaving = True
            self.records.rehash(record)

    # The rules.

    def _refute(self, update: messages.MemberUpdate) -> None:
        """Answer news of ourselves that we did not give out.

        Suspicion and death at our incarnation are refuted by a higher one. So
        is a higher incarnation than ours: it is from an earlier process of
        our name whose clock was ahead, and its news would go before ours.
        """
        record = self.records.by_id[self._own_id]
        ours = record.update.incarnation
        if update.incarnation < ours:
            return
        if update.incarnation == ours and (
            update.state in _MEMBER_STATES_OF_SELF
        ):
            return
        self.refutations += 1
        self._start_incarnation(record, update.incarnation + 1)

    def _start_incarnation(
        self, record: records.Record, incarnation: int
    ) -> None:
        record.update = dataclasses.replace(
            record.update, incarnation=types.Incarnation(incarnation)
        )
        self._told(record)

    def _meet(self, update: messages.MemberUpdate, now: float) -> None:
        # The dead are not learned from others: everyone would remind everyone
        # else of them for ever.
        if update.state is messages.MemberState.DEAD:
            return
        record = records.Record(
            update=update,
            leaving=update.state is messages.MemberState.LEAVING,
        )
        self.records.add(record)
        self._told(record)
        if update.state is messages.MemberState.SUSPECT:
            self._start_suspicion(record, now + self._suspicion(record))

    def _renew(
        self,
        record: records.Record,
        update: messages.MemberUpdate,
        *,
        direct: bool,
        now: float,
    ) -> None:
        """Take in a higher incarnation."""
        was_dead = record.dead_since is not None
        if was_dead and update.state is messages.MemberState.DEAD:
            self.records.replace_update(record, update)
            self._told(record)
            return
        self.records.replace_update(record, update)
        if was_dead:
            record.dead_since = None
            self._dead.discard(update.entry_vm)
            self._damping.record_return(update.entry_vm, now)
        self._end_suspicion(record)
        # Suspicion and death don't say whether the member is leaving.
        if update.state in _MEMBER_STATES_OF_SELF:
            record.leaving = update.state is messages.MemberState.LEAVING
        self._told(record)
        self._accuse(record, update, direct=direct, now=now)

    def _merge(
        self,
        record: records.Record,
        update: messages.MemberUpdate,
        *,
        direct: bool,
        now: float,
    ) -> None:
        """Take in more news of the same incarnation."""
        if update.revision > record.update.revision:
            record.update = dataclasses.replace(
                record.update, revision=update.revision, digest=update.digest
            )
            self._changed[update.entry_vm] = None
        if record.dead_since is not None:
            return
        if update.state is messages.MemberState.LEAVING and not record.leaving:
            record.leaving = True
            self._told(record)
        self._accuse(record, update, direct=direct, now=now)

    def _accuse(
        self,
        record: records.Record,
        update: messages.MemberUpdate,
        *,
        direct: bool,
        now: float,
    ) -> None:
        """Take in suspicion or death at the record's incarnation."""
        if update.state is messages.MemberState.SUSPECT:
            if record.suspect_until is None:
                self._start_suspicion(record, now + self._suspicion(record))
        elif update.state is messages.MemberState.DEAD:
            # After a cut heals, each side tells the other's live members
            # dead. Taken at once, every shard would move and move back; the
            # member gets a short time to refute instead. Who says so itself,
            # or was leaving anyway, is believed at once.
            if direct or record.leaving:
                self._die(record, now)
            else:
                if record.suspect_until is None:
                    self._condemned.append(update.entry_vm)
                until = now + self._timing.dispute_seconds
                self._start_suspicion(record, until)

    def _start_suspicion(self, record: records.Record, until: float) -> None:
        if record.suspect_until is None:
            record.suspect_until = until
            self._suspects.add(record.update.entry_vm)
            self._told(record)
        else:
            record.suspect_until = min(record.suspect_until, until)

    def _end_suspicion(self, record: records.Record) -> None:
        record.suspect_until = None
        self._suspects.discard(record.update.entry_vm)

    def _die(self, record: records.Record, now: float) -> None:
        self._end_suspicion(record)
        record.dead_since = now
        self._dead.add(record.update.entry_vm)
        self._told(record)

    def _suspicion(self, record: records.Record) -> float:
        own = self.records.by_id[self._own_id].update
        members = len(self)
        if record.update.domain == own.domain:
            members = len(self.records.in_domain(own.domain))
        return self._timing.suspicion_for(members)

    # Upkeep.

    def _told(self, record: records.Record) -> None:
        """Note a change for the owner, the other members and the digest."""
        self._news[record.update.entry_vm] = None
        self._changed[record.update.entry_vm] = None
        self.records.rehash(record)

    def _forget(self, entry_vm: types.EntryVmId) -> None:
        self._lost.append(self.records.by_id[entry_vm].update)
        self.records.remove(entry_vm)
        self._dead.discard(entry_vm)
        self._damping.forget(entry_vm)
        self._news.pop(entry_vm, None)
        self._forgotten.append(entry_vm)
