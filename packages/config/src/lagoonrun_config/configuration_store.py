"""Accepts changes of the configuration by one compare-and-swap each.

The immutable snapshot is written first, under its digest; then one
transaction moves the head, if the head is still the one that the change was
checked against, and deletes the snapshots that no change of the new head
names. A snapshot that another operator has just written may be deleted by
it; that operator's own swap then fails, because the head moved, and the
snapshot is written again.
"""

import asyncio
import dataclasses
import random

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

_MOST_ATTEMPTS = 12
_FIRST_DELAY_SECONDS = 0.05
_LONGEST_DELAY_SECONDS = 2.0


class ConfigurationStore:
    """The accepted configuration in the platform's store.

    Parameters
    ----------
    store
        The platform's key-value service.
    chance
        Source of the jitter between attempts.
    first_delay_seconds
        Delay after the first failed attempt; it doubles up to 2 s.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        chance: random.Random,
        first_delay_seconds: float = _FIRST_DELAY_SECONDS,
    ) -> None:
        self._access = head_access.HeadAccess(store=store)
        self._chance = chance
        self._first_delay_seconds = first_delay_seconds

    async def apply(
        self,
        draft: draft_module.Draft,
        *,
        base: types.Revision,
        change_id: types.ChangeId,
        operator: str,
    ) -> change_outcomes.ApplyOutcome:
        """Bring the change from `base` to `draft` into force.

        Applying the same change id again is safe: it is accepted once.

        Parameters
        ----------
        base
            Revision that the operator started from; 0 for an empty one.
        change_id
            Random id of this change, chosen by its operator.
        operator
            Who changes it, for the history.
        """
        attempt = _Attempt(
            draft=draft, base=base, change_id=change_id, operator=operator
        )
        failure = "no attempt made"
        for number in range(_MOST_ATTEMPTS):
            await self._pause(number)
            read = await self._access.read_head()
            if isinstance(read, store_module.Unreachable):
                failure = read.detail
                continue
            step = await self._try_once(attempt, read)
            if not isinstance(step, _Again):
                return step
            failure = step.detail
        if attempt.compared_with is not None:
            return change_outcomes.Unknown(
                change_id=change_id, base=base, detail=failure
            )
        return change_outcomes.Unavailable(detail=failure)

    async def settle(
        self, change_id: types.ChangeId, *, base: types.Revision
    ) -> change_outcomes.SettleOutcome:
        """Find out whether a change of unknown outcome is in force.

        When it is not, its id is written into the head as cancelled: reading
        alone can't tell, since the lost write may still be under way. After
        that write the late one fails its comparison, and an `apply` of the
        same id that is still running is refused.

        Parameters
        ----------
        base
            Base of the change, as in its `Unknown`.
        """
        failure = "no attempt made"
        for number in range(_MOST_ATTEMPTS):
            await self._pause(number)
            read = await self._access.read_head()
            if isinstance(read, store_module.Unreachable):
                failure = read.detail
                continue
            known = _known_outcome(read.head, change_id)
            if known is not None:
                return known
            if not read.head.holds_all_after(base):
                failure = f"more than {head_module.TAIL_LENGTH} changes since"
                break
            cancelled = read.head.with_cancelled(change_id)
            result = await self._access.swap(read, cancelled, deletes=())
            if isinstance(result, store_module.Committed):
                return change_outcomes.Cancelled(
                    change_id=change_id, revision=cancelled.revision
                )
            failure = _detail(result)
        return change_outcomes.Unknown(
            change_id=change_id, base=base, detail=failure
        )

    async def history(
        self,
    ) -> change_outcomes.History | change_outcomes.Unavailable:
        """Return the last accepted changes."""
        read = await self._access.read_head()
        if isinstance(read, store_module.Unreachable):
            return change_outcomes.Unavailable(detail=read.detail)
        return change_outcomes.History(changes=read.head.tail)

    async def get(
        self, revision: types.Revision | None = None
    ) -> change_outcomes.GetOutcome:
        """Return a kept revision, by default the one in force."""
        read = await self._access.read_head()
        if isinstance(read, store_module.Unreachable):
            return change_outcomes.Unavailable(detail=read.detail)
        wanted = read.head.revision if revision is None else revision
        draft = await self._access.content(read.head, wanted)
        if isinstance(draft, store_module.Unreachable):
            return change_outcomes.Unavailable(detail=draft.detail)
        if draft is None:
            return _no_such_revision(read.head, wanted)
        change = read.head.at(wanted)
        digest = change.digest if change else ""
        return draft_module.configuration_of(
            draft, revision=wanted, digest=digest
        )

    async def rollback(
        self,
        revision: types.Revision,
        *,
        change_id: types.ChangeId,
        operator: str,
    ) -> change_outcomes.RollbackOutcome:
        """Make a new revision with the content of an older one."""
        old = await self.get(revision)
        if isinstance(
            old, change_outcomes.NoSuchRevision | change_outcomes.Unavailable
        ):
            return old
        read = await self._access.read_head()
        if isinstance(read, store_module.Unreachable):
            return change_outcomes.Unavailable(detail=read.detail)
        return await self.apply(
            draft_module.draft_of(old),
            base=read.head.revision,
            change_id=change_id,
            operator=operator,
        )

    async def _try_once(
        self, attempt: "_Attempt", read: head_access.ReadHead
    ) -> "change_outcomes.ApplyOutcome | _Again":
        known = _known_apply_outcome(read.head, attempt.change_id)
        if known is not None:
            return known
        if attempt.may_hide_in(read):
            return change_outcomes.Unknown(
                change_id=attempt.change_id,
                base=attempt.base,
                detail="the head no longer holds all changes since",
            )
        merged = await self._merge(attempt, read.head)
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
            return _Again(detail=written.detail)
        return await self._commit(attempt, read, merged, encoded)

    async def _merge(
        self, attempt: "_Attempt", head: head_module.Head
    ) -> "_Merged | change_outcomes.ApplyOutcome | _Again":
        if not head.holds_all_after(attempt.base) or (
            attempt.base and head.at(attempt.base) is None
        ):
            # With the tail cut off it can't be told whether this very change
            # was accepted long ago; applied again it would undo others'.
            return _refuse_base(attempt.base, head)
        current = await self._access.content(head, head.revision)
        base = await self._access.content(head, attempt.base)
        for content in (current, base):
            if isinstance(content, store_module.Unreachable):
                return _Again(detail=content.detail)
            if content is None:
                return _Again(detail="the head moved while it was read")
        merged = rebase.rebase(base=base, head=current, mine=attempt.draft)
        if isinstance(merged, rebase.Conflict):
            return change_outcomes.Clash(
                names=merged.names,
                revision=head.revision,
                changes=tuple(
                    change
                    for change in head.tail
                    if change.revision > attempt.base
                ),
            )
        names = rebase.changed_names(current, merged)
        return _Merged(draft=merged, names=names)

    async def _commit(
        self,
        attempt: "_Attempt",
        read: head_access.ReadHead,
        merged: "_Merged",
        encoded: snapshot.Snapshot,
    ) -> "change_outcomes.Accepted | _Again":
        change = head_module.new_change(
            revision=types.Revision(read.head.revision + 1),
            change_id=attempt.change_id,
            operator=attempt.operator,
            names=merged.names,
            digest=encoded.digest,
        )
        new_head = read.head.with_change(change)
        garbage = await self._access.garbage(new_head)
        result = await self._access.swap(read, new_head, deletes=garbage)
        if isinstance(result, store_module.Committed):
            return _accepted(change)
        if isinstance(result, store_module.Unknown):
            attempt.compared_with = read.head.revision
        return _Again(detail=_detail(result))

    async def _pause(self, failures: int) -> None:
        if failures == 0:
            return
        delay = self._first_delay_seconds * 2 ** (failures - 1)
        delay = min(delay, _LONGEST_DELAY_SECONDS)
        await asyncio.sleep(delay * self._chance.uniform(0.5, 1.5))


@dataclasses.dataclass(kw_only=True)
class _Attempt:
    """One call of `apply`.

    Parameters
    ----------
    compared_with
        Revision of the head that the last write of unknown end was compared
        with; None while no such write is open.
    """

    draft: draft_module.Draft
    base: types.Revision
    change_id: types.ChangeId
    operator: str
    compared_with: types.Revision | None = None

    def may_hide_in(self, read: head_access.ReadHead) -> bool:
        """Return whether the open write may be applied but forgotten.

        Called when the tail does not name the change. If the head moved and
        the tail is whole since, the open write can't be applied any more.
        """
        if self.compared_with is None:
            return False
        if not read.head.holds_all_after(self.compared_with):
            return True
        if read.head.revision > self.compared_with:
            self.compared_with = None
        return False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Merged:
    """Content to bring into force and the entries it changes."""

    draft: draft_module.Draft
    names: tuple[draft_module.EntryName, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Again:
    """The step did not end; the next attempt reads the head anew."""

    detail: str


def _known_outcome(
    head: head_module.Head, change_id: types.ChangeId
) -> change_outcomes.Accepted | change_outcomes.Cancelled | None:
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
    known = _known_outcome(head, change_id)
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


def _no_such_revision(
    head: head_module.Head, wanted: types.Revision
) -> change_outcomes.NoSuchRevision:
    kept = tuple(change.revision for change in head.tail)
    return change_outcomes.NoSuchRevision(wanted=wanted, kept=kept)


def _detail(result: store_module.TransactionResult) -> str:
    if isinstance(result, store_module.Rejected):
        return "another change came first"
    if isinstance(result, store_module.Committed):
        return ""
    return result.detail
