"""Records of all members, found by id, by domain and by part of the table."""

import bisect
import dataclasses

from lagoonrun_core import types
from lagoonrun_membership import digests, sizes
from lagoonrun_protocol import messages


@dataclasses.dataclass(kw_only=True)
class Record:
    """Belief of one member; `update.state` is not used here.

    Parameters
    ----------
    leaving
        Whether the member said that it is leaving.
    suspect_until
        When the suspected member dies; None where it is not suspected.
    dead_since
        When it died; None where it lives.
    digest
        Its share in the digest of its part.
    """

    update: messages.MemberUpdate
    leaving: bool = False
    suspect_until: float | None = None
    dead_since: float | None = None
    digest: int = 0


class MemberRecords:
    """Keep the records of all members and the digests of their parts.

    Parameters
    ----------
    own_id
        This process, whose record alone is told with a snapshot's digest.
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
        """Domains that have members, in the order of their names."""
        return tuple(sorted(d for d, ids in self._ids_by_domain.items() if ids))

    def in_domain(
        self, domain: types.FailureDomain
    ) -> tuple[types.EntryVmId, ...]:
        """Return all members of `domain`, the dead included."""
        return tuple(self._ids_by_domain.get(domain, ()))

    def view(self, entry_vm: types.EntryVmId) -> messages.MemberUpdate | None:
        """Return the member as the owner sees it; leaving hides suspicion."""
        record = self.by_id.get(entry_vm)
        if record is None:
            return None
        return _with_state(record, _view_state(record))

    def wire_update(self, entry_vm: types.EntryVmId) -> messages.MemberUpdate:
        """Return what others are told; suspicion hides leaving.

        A suspected member must hear of it in order to refute it; when it
        does, it says again that it is leaving.
        """
        record = self.by_id[entry_vm]
        update = _with_state(record, _wire_state(record))
        # A snapshot's digest is for those who fetch it from the member, and
        # it says that itself. Passed on, it would double a record's size.
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
        """Return records of `parts` for `size` bytes.

        The order is the same at all members, so that a process can ask one
        after the other and go on where the last page ended.

        Parameters
        ----------
        parts
            Parts of the table.
        domain
            Whose members come first.
        after
            Member after which to begin; empty for the beginning.
        size
            Room, in bytes.
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
        """Replace the record's data; the member may be in another domain."""
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
        """Bring the digest up to date.

        The dead have none, since each process forgets them at its own time;
        nor does suspicion, which passes.
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
