"""Applies changes to the configuration by one compare-and-swap each.

The immutable snapshot is written first, under its digest. One transaction then
replaces the head, if it is still the one that the change was checked against,
and deletes the snapshots that the new head does not reference. It may delete a
snapshot that another operator has just written; the compare-and-swap of that
operator then fails, because the head changed, and the snapshot is written
again.
"""

import asyncio
import random

from lagoonrun_config import (
    change_attempt,
    change_outcomes,
    head_access,
)
from lagoonrun_config import draft as draft_module
from lagoonrun_config import head as head_module
from lagoonrun_core import types
from lagoonrun_platform import store as store_module

_MAX_ATTEMPTS = 12
_FIRST_DELAY_SECONDS = 0.05
_MAX_DELAY_SECONDS = 2.0


class ConfigurationStore:
    """The accepted configuration in the platform's store.

    Parameters
    ----------
    store
        The platform's key-value service.
    rng
        Random numbers for the jitter between attempts.
    first_delay_seconds
        Delay after the first failed attempt; it doubles up to 2 s.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        rng: random.Random,
        first_delay_seconds: float = _FIRST_DELAY_SECONDS,
    ) -> None:
        self._access = head_access.HeadAccess(store=store)
        self._rng = rng
        self._first_delay_seconds = first_delay_seconds

    async def apply(
        self,
        draft: draft_module.Draft,
        *,
        base: types.Revision,
        change_id: types.ChangeId,
        operator: str,
    ) -> change_outcomes.ApplyOutcome:
        """Apply the change from `base` to `draft`.

        Applying the same change id again is safe: it is accepted once.

        Parameters
        ----------
        base
            Revision that the operator edited; 0 for an empty configuration.
        change_id
            Random id of this change, chosen by the operator.
        operator
            Name of the operator, for the history.
        """
        attempt = change_attempt.ChangeAttempt(
            access=self._access,
            draft=draft,
            base=base,
            change_id=change_id,
            operator=operator,
        )
        failure = "no attempt made"
        for number in range(_MAX_ATTEMPTS):
            await self._pause(number)
            read = await self._access.read_head()
            if isinstance(read, store_module.Unreachable):
                failure = read.detail
                continue
            step = await attempt.try_once(read)
            if not isinstance(step, change_attempt.Retry):
                return step
            failure = step.detail
        if attempt.has_open_write:
            return change_outcomes.Unknown(
                change_id=change_id, base=base, detail=failure
            )
        return change_outcomes.Unavailable(detail=failure)

    async def settle(
        self, change_id: types.ChangeId, *, base: types.Revision
    ) -> change_outcomes.SettleOutcome:
        """Determine the final outcome of a change of unknown outcome.

        If it is not in force, its id is written into the head as cancelled.
        Reading alone is not enough, since the lost write may still arrive.
        After the id is cancelled, the comparison of a late write fails, and an
        `apply` of the same id that is still running is refused.

        Parameters
        ----------
        base
            Base of the change, as in its `Unknown`.
        """
        failure = "no attempt made"
        for number in range(_MAX_ATTEMPTS):
            await self._pause(number)
            read = await self._access.read_head()
            if isinstance(read, store_module.Unreachable):
                failure = read.detail
                continue
            known = change_attempt.known_outcome(read.head, change_id)
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
            failure = change_attempt.describe(result)
        return change_outcomes.Unknown(
            change_id=change_id, base=base, detail=failure
        )

    async def history(
        self,
    ) -> change_outcomes.History | change_outcomes.Unavailable:
        """Return the most recent accepted changes."""
        read = await self._access.read_head()
        if isinstance(read, store_module.Unreachable):
            return change_outcomes.Unavailable(detail=read.detail)
        return change_outcomes.History(changes=read.head.tail)

    async def get(
        self, revision: types.Revision | None = None
    ) -> change_outcomes.GetOutcome:
        """Return a revision that the head holds, by default that in force."""
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
        """Create a new revision with the content of an older one."""
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

    async def _pause(self, failures: int) -> None:
        if failures == 0:
            return
        delay = self._first_delay_seconds * 2 ** (failures - 1)
        delay = min(delay, _MAX_DELAY_SECONDS)
        await asyncio.sleep(delay * self._rng.uniform(0.5, 1.5))


def _no_such_revision(
    head: head_module.Head, wanted: types.Revision
) -> change_outcomes.NoSuchRevision:
    kept = tuple(change.revision for change in head.tail)
    return change_outcomes.NoSuchRevision(wanted=wanted, kept=kept)
