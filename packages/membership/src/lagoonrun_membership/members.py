"""The state of each entry VM as this process sees it: no I/O, no clock.

Within one incarnation, a member only moves from alive to leaving or suspect
and then to dead. Only the member itself starts a higher incarnation, which
refutes a suspicion. Updates may therefore arrive late, twice or in any order:
all members converge on the same state, and an old update doesn't bring a dead
member back.
"""

import dataclasses

from lagoonrun_core import types
from lagoonrun_membership import damping, records
from lagoonrun_membership import timing as timings
from lagoonrun_protocol import messages

MemberView = messages.MemberUpdate
"""A member as the daemon sees it: its record with its current state.

The digest is empty if the member's revision is known only from other members.
"""

_SELF_ANNOUNCED_STATES = (
    messages.MemberState.ALIVE,
    messages.MemberState.LEAVING,
)


class MemberTable:
    """Table of all members, this process included.

    Parameters
    ----------
    own
        The record of this process.
    timing
        Durations of suspicion, hold-down and remembering the dead.

    Attributes
    ----------
    records
        The records of all members.
    refutations
        Number of times this process had to refute an update about itself.
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
        self._disputed: list[types.EntryVmId] = []
        self.refutations = 0
        self.records.add(records.Record(update=own))

    # Queries.

    def __len__(self) -> int:
        """Return the number of members that are not dead, self included."""
        return len(self.records.by_id) - len(self._dead)

    @property
    def own(self) -> messages.MemberUpdate:
        """The record of this process, as sent to other members."""
        return self.records.wire_update(self._own_id)

    @property
    def dead(self) -> tuple[types.EntryVmId, ...]:
        """Dead members, sorted by id."""
        return tuple(sorted(self._dead))

    def view(self, entry_vm: types.EntryVmId) -> MemberView | None:
        """Return a member as the daemon sees it."""
        return self.records.view(entry_vm)

    def views_by_id(self) -> dict[types.EntryVmId, MemberView]:
        """Return all members by id."""
        views = map(self.records.view, self.records.by_id)
        return {view.entry_vm: view for view in views if view is not None}

    def knows(self, entry_vm: types.EntryVmId) -> bool:
        """Return whether the table has a record of the member."""
        return entry_vm in self.records.by_id

    def is_dead(self, entry_vm: types.EntryVmId) -> bool:
        """Return whether the member is marked dead."""
        return entry_vm in self._dead

    def others_in(
        self, domain: types.FailureDomain
    ) -> tuple[types.EntryVmId, ...]:
        """Return the other members of `domain` that are not dead."""
        return tuple(
            entry_vm
            for entry_vm in self.records.in_domain(domain)
            if entry_vm != self._own_id and entry_vm not in self._dead
        )

    def eligible_in(
        self, domain: types.FailureDomain
    ) -> tuple[types.EntryVmId, ...]:
        """Return the members of `domain` that may dispatch shards, sorted.

        Suspects are included, since a shard moves only when its dispatcher is
        marked dead. Members that are leaving or in hold-down are not.
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

    # Pending results of earlier events.

    def pop_news(self) -> tuple[types.EntryVmId, ...]:
        """Return and clear the members with updates to be sent."""
        news = tuple(self._news)
        self._news.clear()
        return news

    def pop_changed(self) -> tuple[MemberView, ...]:
        """Return and clear the members whose view has changed."""
        views = [self.view(entry_vm) for entry_vm in self._changed]
        self._changed.clear()
        return tuple(view for view in views if view is not None)

    def pop_forgotten(self) -> tuple[types.EntryVmId, ...]:
        """Return and clear the members that were forgotten."""
        forgotten = tuple(self._forgotten)
        self._forgotten.clear()
        return forgotten

    def pop_lost(self) -> tuple[messages.MemberUpdate, ...]:
        """Return and clear the last records of forgotten members."""
        lost = tuple(self._lost)
        self._lost.clear()
        return lost

    def pop_disputed(self) -> tuple[types.EntryVmId, ...]:
        """Return and clear members alive here but reported dead by others."""
        disputed = tuple(self._disputed)
        self._disputed.clear()
        return disputed

    # Events.

    def apply(
        self, update: messages.MemberUpdate, *, direct: bool, now: float
    ) -> None:
        """Apply an update about a member.

        Parameters
        ----------
        update
            The received record.
        direct
            Whether the member itself sent it.
        now
            Clock reading in seconds.
        """
        if update.entry_vm == self._own_id:
            self._refute(update)
            return
        record = self.records.by_id.get(update.entry_vm)
        if record is None:
            self._add_member(update, now)
        elif update.incarnation > record.update.incarnation:
            self._apply_newer_incarnation(
                record, update, direct=direct, now=now
            )
        elif update.incarnation == record.update.incarnation:
            self._apply_same_incarnation(record, update, direct=direct, now=now)

    def suspect(self, entry_vm: types.EntryVmId, *, now: float) -> None:
        """Suspect a member that did not answer a probe."""
        record = self.records.by_id.get(entry_vm)
        if record is None or record.dead_since is not None:
            return
        if record.suspect_until is None:
            self._start_suspicion(record, now + self._suspicion_seconds(record))

    def expire(self, now: float) -> None:
        """Mark expired suspects dead, forget old dead members, end hold-downs."""
        for entry_vm in tuple(self._suspects):
            record = self.records.by_id[entry_vm]
            until = record.suspect_until
            if until is not None and now >= until:
                self._mark_dead(record, now)
        for entry_vm in tuple(self._dead):
            since = self.records.by_id[entry_vm].dead_since
            if since is not None and (
                now - since >= self._timing.forget_seconds
            ):
                self._forget(entry_vm)
        for entry_vm in self._damping.expire(now):
            self._changed[entry_vm] = None

    def postpone_suspicions(self, seconds: float) -> None:
        """Extend every suspicion by `seconds`.

        A process that was paused resumes with all deadlines passed, before it
        could read any refutation. Without the extension it would mark all its
        suspects dead at once.
        """
        for entry_vm in self._suspects:
            record = self.records.by_id[entry_vm]
            if record.suspect_until is not None:
                record.suspect_until += seconds

    def announce_configuration(
        self, revision: types.Revision, digest: str
    ) -> None:
        """Announce the revision in force at this process."""
        record = self.records.by_id[self._own_id]
        record.update = dataclasses.replace(
            record.update, revision=revision, digest=digest
        )
        self._changed[self._own_id] = None

    def announce_leaving(self) -> None:
        """Announce that this process takes no more shards."""
        record = self.records.by_id[self._own_id]
        if not record.leaving:
            self._start_incarnation(record, record.update.incarnation + 1)
            record.leaving = True
            self.records.rehash(record)

    # State transitions.

    def _refute(self, update: messages.MemberUpdate) -> None:
        """Refute an update about this process that it did not send.

        A suspicion or death at the own incarnation is refuted by a higher
        one. So is an update with a higher incarnation: it stems from an
        earlier process with this id whose clock was ahead, and its updates
        would override this one's.
        """
        record = self.records.by_id[self._own_id]
        own_incarnation = record.update.incarnation
        if update.incarnation < own_incarnation:
            return
        if update.incarnation == own_incarnation and (
            update.state in _SELF_ANNOUNCED_STATES
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
        self._mark_changed(record)

    def _add_member(self, update: messages.MemberUpdate, now: float) -> None:
        # Dead members are not learned from others, or members would keep
        # reminding each other of them forever.
        if update.state is messages.MemberState.DEAD:
            return
        record = records.Record(
            update=update,
            leaving=update.state is messages.MemberState.LEAVING,
        )
        self.records.add(record)
        self._mark_changed(record)
        if update.state is messages.MemberState.SUSPECT:
            self._start_suspicion(record, now + self._suspicion_seconds(record))

    def _apply_newer_incarnation(
        self,
        record: records.Record,
        update: messages.MemberUpdate,
        *,
        direct: bool,
        now: float,
    ) -> None:
        """Apply an update with a higher incarnation."""
        was_dead = record.dead_since is not None
        if was_dead and update.state is messages.MemberState.DEAD:
            self.records.replace_update(record, update)
            self._mark_changed(record)
            return
        self.records.replace_update(record, update)
        if was_dead:
            record.dead_since = None
            self._dead.discard(update.entry_vm)
            self._damping.record_return(update.entry_vm, now)
        self._end_suspicion(record)
        # SUSPECT and DEAD don't show whether the member is leaving.
        if update.state in _SELF_ANNOUNCED_STATES:
            record.leaving = update.state is messages.MemberState.LEAVING
        self._mark_changed(record)
        self._apply_accusation(record, update, direct=direct, now=now)

    def _apply_same_incarnation(
        self,
        record: records.Record,
        update: messages.MemberUpdate,
        *,
        direct: bool,
        now: float,
    ) -> None:
        """Apply an update of the same incarnation."""
        if update.revision > record.update.revision:
            record.update = dataclasses.replace(
                record.update, revision=update.revision, digest=update.digest
            )
            self._changed[update.entry_vm] = None
        if record.dead_since is not None:
            return
        if update.state is messages.MemberState.LEAVING and not record.leaving:
            record.leaving = True
            self._mark_changed(record)
        self._apply_accusation(record, update, direct=direct, now=now)

    def _apply_accusation(
        self,
        record: records.Record,
        update: messages.MemberUpdate,
        *,
        direct: bool,
        now: float,
    ) -> None:
        """Apply a suspicion or death at the record's incarnation."""
        if update.state is messages.MemberState.SUSPECT:
            if record.suspect_until is None:
                self._start_suspicion(
                    record, now + self._suspicion_seconds(record)
                )
        elif update.state is messages.MemberState.DEAD:
            # After a network partition heals, each side reports the other's
            # live members dead. Applying this at once would move every shard
            # there and back, so the member gets a short time to refute it.
            # A death that the member itself announced, or that of a leaving
            # member, is applied at once.
            if direct or record.leaving:
                self._mark_dead(record, now)
            else:
                if record.suspect_until is None:
                    self._disputed.append(update.entry_vm)
                until = now + self._timing.dispute_seconds
                self._start_suspicion(record, until)

    def _start_suspicion(self, record: records.Record, until: float) -> None:
        if record.suspect_until is None:
            record.suspect_until = until
            self._suspects.add(record.update.entry_vm)
            self._mark_changed(record)
        else:
            record.suspect_until = min(record.suspect_until, until)

    def _end_suspicion(self, record: records.Record) -> None:
        record.suspect_until = None
        self._suspects.discard(record.update.entry_vm)

    def _mark_dead(self, record: records.Record, now: float) -> None:
        self._end_suspicion(record)
        record.dead_since = now
        self._dead.add(record.update.entry_vm)
        self._mark_changed(record)

    def _suspicion_seconds(self, record: records.Record) -> float:
        own = self.records.by_id[self._own_id].update
        members = len(self)
        if record.update.domain == own.domain:
            members = len(self.records.in_domain(own.domain))
        return self._timing.suspicion_for(members)

    # Bookkeeping.

    def _mark_changed(self, record: records.Record) -> None:
        """Mark a change to be sent and published, and update the digest."""
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
