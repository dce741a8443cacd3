"""Records of all members, indexed by id, by domain and by table part."""

import bisect
import dataclasses

from lagoonrun_core import types
from lagoonrun_membership import digests, sizes
from lagoonrun_protocol import messages


@dataclasses.dataclass(kw_only=True)
class Record:
    """One member; the other fields, not `update.state`, give its state.

    Parameters
    ----------
    update
        The newest update of the member.
    leaving
        Whether the member announced that it is leaving.
    suspect_until
        Clock reading in seconds at which the suspected member is marked dead;
        None if it isn't suspected.
    dead_since
        Clock reading when it was marked dead; None if it isn't dead.
    digest
        Its hash in the digest of its part.
    """

    update: messages.MemberUpdate
    leaving: bool = False
    suspect_until: float | None = None
    dead_since: float | None = None
    digest: int = 0


class MemberRecords:
    """Records of all members, and the digest of each part of the table.

    Parameters
    ----------
    own_id
        This process; only its record is sent with a snapshot's digest.
    """

    def __init__(self, *, own_id: types.EntryVmId) -> None:
        self._own_id = own_id
        self.by_id: dict[types.EntryVmId, Record] = {}
        self._ids_by_part: list[list[types.EntryVmId]] = [
            [] for _ in range(digests.MEMBER_PARTS)
        ]
        self._digests = [0] * digests.MEMBER_PARTS
        self._ids_by_domain: dict[
            types.FailureDomain, dict[types.EntryVmId, None]
        ] = {}

    @property
    def digests(self) -> tuple[int, ...]:
        """Digest of each part of the table."""
        return tuple(self._digests)

    @property
    def domains(self) -> tuple[types.FailureDomain, ...]:
        """Domains that have members, sorted by name."""
        return tuple(sorted(d for d, ids in self._ids_by_domain.items() if ids))

    def in_domain(
        self, domain: types.FailureDomain
    ) -> tuple[types.EntryVmId, ...]:
        """Return all members of `domain`, including dead ones."""
        return tuple(self._ids_by_domain.get(domain, ()))

    def view(self, entry_vm: types.EntryVmId) -> messages.MemberUpdate | None:
        """Return the member as the daemon sees it.

        The state of a leaving suspect is LEAVING.
        """
        record = self.by_id.get(entry_vm)
        if record is None:
            return None
        return _with_state(record, _view_state(record))

    def wire_update(self, entry_vm: types.EntryVmId) -> messages.MemberUpdate:
        """Return the record as sent to other members.

        The state of a leaving suspect is SUSPECT: the member must learn of
        the suspicion to refute it, and its refutation has the state LEAVING.
        """
        record = self.by_id[entry_vm]
        update = _with_state(record, _wire_state(record))
        # Only those who fetch the snapshot from the member need its digest,
        # and the member sends that itself. Forwarding it would double the size
        # of a record.
        if entry_vm != self._own_id and update.digest:
            update = dataclasses.replace(update, digest="")
        return update

    def page(
        self,
        parts: tuple[int, ...],
        *,
        domain: types.FailureDomain,
        after: str,
        size: int,
    ) -> list[messages.MemberUpdate]:
        """Return records of `parts` that fit into `size` bytes.

        All members use the same order, so that a process can ask one member
        after another and continue where the last page ended.

        Parameters
        ----------
        parts
            Parts of the table.
        domain
            Domain whose members come first.
        after
            Member after which to begin; empty for the beginning.
        size
            Maximum size of the page in bytes.
        """

        def order(entry_vm: str) -> tuple[bool, str]:
            record = self.by_id.get(types.EntryVmId(entry_vm))
            is_other = record is None or record.update.domain != domain
            return (is_other, entry_vm)

        ids = [id_ for part in parts for id_ in self._ids_by_part[part]]
        ids.sort(key=order)
        start = bisect.bisect(ids, order(after), key=order) if after else 0
        page = []
        for entry_vm in ids[start:] + ids[:start]:
            update = self.wire_update(entry_vm)
            size -= sizes.of_member(update)
            if size < 0:
                break
            page.append(update)
        return page

    def add(self, record: Record) -> None:
        """Add the record of a new member."""
        entry_vm = record.update.entry_vm
        self.by_id[entry_vm] = record
        self._ids_by_part[digests.part_of(entry_vm)].append(entry_vm)
        ids = self._ids_by_domain.setdefault(record.update.domain, {})
        ids[entry_vm] = None
        self.rehash(record)

    def replace_update(
        self, record: Record, update: messages.MemberUpdate
    ) -> None:
        """Replace the record's update, which may change the domain."""
        del self._ids_by_domain[record.update.domain][update.entry_vm]
        record.update = update
        ids = self._ids_by_domain.setdefault(update.domain, {})
        ids[update.entry_vm] = None

    def remove(self, entry_vm: types.EntryVmId) -> None:
        """Remove the record of a dead member."""
        record = self.by_id.pop(entry_vm)
        self._ids_by_part[digests.part_of(entry_vm)].remove(entry_vm)
        del self._ids_by_domain[record.update.domain][entry_vm]

    def rehash(self, record: Record) -> None:
        """Update the digest of the record's part.

        Dead members are left out, since each process forgets them at its own
        time. So are suspicions, which are temporary.
        """
        update = record.update
        part = digests.part_of(update.entry_vm)
        self._digests[part] ^= record.digest
        record.digest = 0
        if record.dead_since is None:
            record.digest = digests.entry_hash(
                update.entry_vm, update.incarnation, record.leaving
            )
        self._digests[part] ^= record.digest


def _wire_state(record: Record) -> messages.MemberState:
    if record.dead_since is not None:
        return messages.MemberState.DEAD
    if record.suspect_until is not None:
        return messages.MemberState.SUSPECT
    if record.leaving:
        return messages.MemberState.LEAVING
    return messages.MemberState.ALIVE


def _view_state(record: Record) -> messages.MemberState:
    if record.leaving and record.dead_since is None:
        return messages.MemberState.LEAVING
    return _wire_state(record)


def _with_state(
    record: Record, state: messages.MemberState
) -> messages.MemberUpdate:
    if record.update.state is state:
        return record.update
    return dataclasses.replace(record.update, state=state)
