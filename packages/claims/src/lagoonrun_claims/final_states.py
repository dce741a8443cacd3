"""Writing of the final states of claims to the store.

The final states of attempts (ended, released or abandoned) are not on a
caller's critical path. Writes that fail are retried with backoff until they
succeed. A state that is lost with the process leaves the record at `CLAIMED`,
which makes no statement about the request and so remains correct.
"""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import random
from collections.abc import Awaitable, Callable

from lagoonrun_claims import claim as claim_module
from lagoonrun_claims import group_commit as group_commit_module
from lagoonrun_core import errors
from lagoonrun_platform import store as store_module

DEFAULT_CAPACITY = 10_000
_FIRST_PAUSE_SECONDS = 0.2
_MAX_PAUSE_SECONDS = 5.0


class WriteStatus(enum.Enum):
    """Whether a record's final state is in the store."""

    RECORDED = "recorded"
    PENDING = "pending"


@dataclasses.dataclass(frozen=True, kw_only=True)
class FinalState:
    """Final state of one attempt's record, to be written to the store.

    Parameters
    ----------
    record
        The record in its final state.
    expected
        Revision of the key that this write replaces.
    """

    record: claim_module.ClaimRecord
    expected: store_module.StoreRevision


class FinalStateWriter:
    """Writes final states, and retries those that could not be written.

    Parameters
    ----------
    capacity
        Maximum number of pending states; further ones are dropped.
    """

    def __init__(
        self,
        *,
        group: group_commit_module.GroupCommit,
        random: random.Random,
        capacity: int = DEFAULT_CAPACITY,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._group = group
        self._random = random
        self._capacity = capacity
        self._sleep = sleep
        self._pending: collections.deque[FinalState] = collections.deque()
        self._retrying: list[FinalState] = []
        self._has_pending = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.dropped = 0

    @property
    def pending(self) -> int:
        """Return the number of states waiting or being retried."""
        return len(self._pending) + len(self._retrying)

    async def start(self) -> None:
        """Start the retry task."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the retry task; pending states are lost without `flush`."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._task = None

    def add(self, final_state: FinalState) -> None:
        """Add one state to those that the retry task writes."""
        if self.pending >= self._capacity:
            self.dropped += 1
            return
        self._pending.append(final_state)
        self._has_pending.set()

    async def write_now(self, final_state: FinalState) -> WriteStatus:
        """Write one state now; leave it to the retry task if that fails."""
        try:
            left = await self._write(final_state)
        except asyncio.CancelledError:
            self.add(final_state)
            raise
        if left is None:
            return WriteStatus.RECORDED
        self.add(left)
        return WriteStatus.PENDING

    async def flush(self) -> None:
        """Wait until nothing is pending."""
        while self._pending:
            await self._retry_all()
            if self._pending:
                await self._sleep(_FIRST_PAUSE_SECONDS)

    async def _run(self) -> None:
        pause = _FIRST_PAUSE_SECONDS
        while True:
            await self._has_pending.wait()
            before = len(self._pending)
            await self._retry_all()
            if not self._pending:
                self._has_pending.clear()
                pause = _FIRST_PAUSE_SECONDS
                continue
            progressed = len(self._pending) < before
            pause = _FIRST_PAUSE_SECONDS if progressed else pause * 2
            pause = min(pause, _MAX_PAUSE_SECONDS)
            await self._sleep(pause * self._random.uniform(0.5, 1.0))

    async def _retry_all(self) -> None:
        self._retrying = list(self._pending)
        self._pending.clear()
        left = self._retrying
        try:
            results = await asyncio.gather(*map(self._write, self._retrying))
            left = [one for one in results if one is not None]
        finally:
            self._retrying = []
            self._pending.extendleft(reversed(left))

    async def _write(self, final_state: FinalState) -> FinalState | None:
        """Return None once written or obsolete, else the state to retry."""
        key = claim_module.store_key(
            final_state.record.organisation, final_state.record.key_digest
        )
        value = claim_module.encode(final_state.record)
        expected = final_state.expected
        # A release makes the key usable for a waiting caller; an end only
        # informs later callers.
        urgent = final_state.record.state is claim_module.ClaimState.RELEASED
        while True:
            pending_write = self._group.submit(
                group_commit_module.Write(
                    key=key, expected=expected, value=value
                ),
                urgent=urgent,
            )
            result = await asyncio.shield(pending_write.result)
            if isinstance(result, group_commit_module.Written):
                return None
            if not isinstance(result, group_commit_module.Conflict):
                return dataclasses.replace(final_state, expected=expected)
            found = result.found
            if found is None or not _is_still_claimed(
                final_state.record, found
            ):
                return None
            expected = found.modified


def _is_still_claimed(
    record: claim_module.ClaimRecord, found: store_module.KeyValue
) -> bool:
    """Return whether the stored record is still this attempt's open claim.

    Anything else is either this state, applied although its reply was lost,
    or another attempt's record, which must not be overwritten.
    """
    try:
        stored = claim_module.decode(found.value)
    except errors.LagoonrunError:
        return False
    return (
        stored.attempt == record.attempt
        and stored.state is claim_module.ClaimState.CLAIMED
    )
