"""One change of the configuration by an operator, with its retries."""

import dataclasses

from lagoonrun_config import (
    change_outcomes,
    checks,
    faults,
    head_access,
    rebase,
    snapshot,
)
from lagoonrun_config import draft as draft_module
from lagoonrun_config import head as head_module
from lagoonrun_core import types
from lagoonrun_platform import store as store_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class Retry:
    """The attempt has no outcome yet; read the head and try again."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Merged:
    """Merged content to put into force and the entries that it changes."""

    draft: draft_module.Draft
    names: tuple[draft_module.EntryName, ...]


class ChangeAttempt:
    """State of one call of `ConfigurationStore.apply` over its tries.

    Parameters
    ----------
    access
        Reads and replaces the head.
    draft
        Content that the operator declares.
    base
        Revision that the operator edited.
    change_id
        Random id of the change.
    operator
        Name of the operator, for the history.
    """

    def __init__(
        self,
        *,
        access: head_access.HeadAccess,
        draft: draft_module.Draft,
        base: types.Revision,
        change_id: types.ChangeId,
        operator: str,
    ) -> None:
        self._access = access
        self._draft = draft
        self._base = base
        self._change_id = change_id
        self._operator = operator
        # Revision of the head in the comparison of the last write with unknown
        # result; None if there is no such write.
        self._open_write_revision: types.Revision | None = None

    @property
    def has_open_write(self) -> bool:
        """Return whether a write with unknown result may still be applied."""
        return self._open_write_revision is not None

    async def try_once(
        self, read: head_access.ReadHead
    ) -> change_outcomes.ApplyOutcome | Retry:
        """Merge, check and commit the change to the head that was read."""
        known = _known_apply_outcome(read.head, self._change_id)
        if known is not None:
            return known
        if self._may_be_truncated_from(read.head):
            return change_outcomes.Unknown(
                change_id=self._change_id,
                base=self._base,
                detail="the head no longer holds all changes since",
            )
        merged = await self._merge(read.head)
        if not isinstance(merged, _Merged):
            return merged
        if not merged.names:
            return change_outcomes.Accepted(revision=read.head.revision)
        encoded = snapshot.encode_snapshot(merged.draft)
        found = checks.check_draft(merged.draft) + snapshot.check_size(encoded)
        if found:
            return change_outcomes.Refused(faults=found)
        written = await self._access.write_snapshot(encoded)
        if isinstance(written, store_module.Unknown | store_module.Unreachable):
            return Retry(detail=written.detail)
        return await self._commit(read, merged, encoded)

    async def _merge(
        self, head: head_module.Head
    ) -> _Merged | change_outcomes.ApplyOutcome | Retry:
        if not head.holds_all_after(self._base) or (
            self._base and head.at(self._base) is None
        ):
            # The truncated tail can't show whether this change was already
            # accepted; applying it again would revert later changes.
            return _refuse_base(self._base, head)
        current = await self._access.content(head, head.revision)
        base = await self._access.content(head, self._base)
        for content in (current, base):
            if isinstance(content, store_module.Unreachable):
                return Retry(detail=content.detail)
            if content is None:
                return Retry(detail="the head moved while it was read")
        merged = rebase.rebase(base=base, head=current, mine=self._draft)
        if isinstance(merged, rebase.Conflict):
            return change_outcomes.ChangeConflict(
                names=merged.names,
                revision=head.revision,
                changes=tuple(
                    change
                    for change in head.tail
                    if change.revision > self._base
                ),
            )
        names = rebase.changed_names(current, merged)
        return _Merged(draft=merged, names=names)

    async def _commit(
        self,
        read: head_access.ReadHead,
        merged: _Merged,
        encoded: snapshot.Snapshot,
    ) -> change_outcomes.Accepted | Retry:
        change = head_module.new_change(
            revision=types.Revision(read.head.revision + 1),
            change_id=self._change_id,
            operator=self._operator,
            names=merged.names,
            digest=encoded.digest,
        )
        new_head = read.head.with_change(change)
        garbage = await self._access.garbage(new_head)
        result = await self._access.swap(read, new_head, deletes=garbage)
        if isinstance(result, store_module.Committed):
            return _accepted(change)
        if isinstance(result, store_module.Unknown):
            self._open_write_revision = read.head.revision
        return Retry(detail=describe(result))

    def _may_be_truncated_from(self, head: head_module.Head) -> bool:
        """Return whether the open write may have left the tail of the head.

        Called when the tail does not contain the change. If the head changed
        and the tail holds all changes since, the comparison of the open write
        fails, so that it can no longer be applied.
        """
        if self._open_write_revision is None:
            return False
        if not head.holds_all_after(self._open_write_revision):
            return True
        if head.revision > self._open_write_revision:
            self._open_write_revision = None
        return False


def known_outcome(
    head: head_module.Head, change_id: types.ChangeId
) -> change_outcomes.Accepted | change_outcomes.Cancelled | None:
    """Return the outcome of a change in the head, None if it has none."""
    change = head.change(change_id)
    if change is not None:
        return _accepted(change)
    if change_id in head.cancelled:
        return change_outcomes.Cancelled(
            change_id=change_id, revision=head.revision
        )
    return None


def _known_apply_outcome(
    head: head_module.Head, change_id: types.ChangeId
) -> change_outcomes.Accepted | change_outcomes.Refused | None:
    known = known_outcome(head, change_id)
    if not isinstance(known, change_outcomes.Cancelled):
        return known
    fault = faults.Fault(
        key="change_id",
        value=change_id,
        valid="an id that was not settled as cancelled",
    )
    return change_outcomes.Refused(faults=(fault,))


def _accepted(change: head_module.Change) -> change_outcomes.Accepted:
    return change_outcomes.Accepted(
        revision=change.revision, names=change.names
    )


def _refuse_base(
    base: types.Revision, head: head_module.Head
) -> change_outcomes.Refused:
    kept = [change.revision for change in head.tail] or [0]
    fault = faults.Fault(
        key="base",
        value=str(base),
        valid=f"a kept revision, from {kept[0]} to {kept[-1]}",
    )
    return change_outcomes.Refused(faults=(fault,))


def describe(result: store_module.TransactionResult) -> str:
    """Return as text why the head was not replaced."""
    if isinstance(result, store_module.Rejected):
        return "another change came first"
    if isinstance(result, store_module.Committed):
        return ""
    return result.detail
