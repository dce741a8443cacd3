"""At-most-once execution of requests with an idempotency key.

An ingress claims a key after it has a permit and a connection, right before
the request's first byte. `Won` allows sending the request once. A claim of
another attempt is never taken over because of its age: the claimant may be
paused between the claim and the send, and the upstream has no fencing that
would reject the request once it resumes. Only a claim in state `RELEASED` is
taken over.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable

from lagoonrun_claims import claim as claim_module
from lagoonrun_claims import final_states, results
from lagoonrun_claims import group_commit as group_commit_module
from lagoonrun_claims import rate_limit as rate_limit_module
from lagoonrun_claims import retention as retention_module
from lagoonrun_core import clock as clock_module
from lagoonrun_core import errors, events, logs, outcomes, types
from lagoonrun_platform import store as store_module

_MAXIMUM_TRIES = 8

_SEND_WINDOW_FRACTION = 0.5
"""Fraction of the retention time during which a won request may be sent."""

_ATTEMPT_BITS = 128


Attempt = results.Attempt
Won = results.Won
Taken = results.Taken
BodyDiffers = results.BodyDiffers
Unavailable = results.Unavailable
ClaimResult = results.ClaimResult


class Claims:
    """Claims idempotency keys in the platform's store.

    Parameters
    ----------
    random
        Generates attempt ids; must differ between processes, as with
        `random.SystemRandom`.
    retention_seconds
        Minimum time for which a key stays claimed.
    writes_per_second, burst
        Rate limit of this process's writes to the store.
    shards, maximum_batch, write_timeout_seconds, linger_seconds
        See `GroupCommit`.
    flush_seconds
        Maximum time that `close` waits for pending writes.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        entry_vm: types.EntryVmId,
        clock: clock_module.Clock,
        random: random.Random,
        retention_seconds: float = retention_module.DEFAULT_RETENTION_SECONDS,
        writes_per_second: float = 40.0,
        burst: int = 40,
        shards: int = group_commit_module.DEFAULT_SHARDS,
        maximum_batch: int = group_commit_module.DEFAULT_MAXIMUM_BATCH,
        write_timeout_seconds: float = 5.0,
        linger_seconds: float = 0.1,
        flush_seconds: float = 2.0,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._entry_vm = entry_vm
        self._clock = clock
        self._random = random
        self._flush_seconds = flush_seconds
        self._send_window_seconds = retention_seconds * _SEND_WINDOW_FRACTION
        self._rate_limit = rate_limit_module.StoreRateLimit(
            clock=clock,
            random=random,
            writes_per_second=writes_per_second,
            burst=burst,
        )
        self._group = group_commit_module.GroupCommit(
            store=store,
            retention=retention_module.Retention(
                store=store, clock=clock, retention_seconds=retention_seconds
            ),
            rate_limit=self._rate_limit,
            shards=shards,
            maximum_batch=maximum_batch,
            write_timeout_seconds=write_timeout_seconds,
            linger_seconds=linger_seconds,
            sleep=sleep,
        )
        self._final_state_writer = final_states.FinalStateWriter(
            group=self._group, random=random, sleep=sleep
        )
        self._open_attempts: set[claim_module.ClaimAttemptId] = set()

    @property
    def pending(self) -> int:
        """Return the number of final states not yet in the store."""
        return self._final_state_writer.pending

    async def start(self) -> None:
        """Start the tasks that write to the store."""
        await self._group.start()
        await self._final_state_writer.start()

    async def close(self) -> None:
        """Flush pending writes for at most `flush_seconds`, and stop."""
        await self._final_state_writer.close()
        try:
            async with asyncio.timeout(self._flush_seconds):
                await self._final_state_writer.flush()
        except TimeoutError:
            pass
        await self._group.close()

    async def claim(
        self,
        *,
        organisation: types.OrganisationId,
        key: str,
        request_id: types.RequestId,
        body_digest: claim_module.BodyDigest,
        deadline_seconds: float,
    ) -> ClaimResult:
        """Claim a key for one arriving request.

        Cancellation is safe: a claim that may have been written is released.

        Parameters
        ----------
        deadline_seconds
            Maximum wait from now; after it the result is `Unavailable`.

        Raises
        ------
        LagoonrunError
            If the key is empty or too long.
        """
        record = claim_module.ClaimRecord(
            organisation=organisation,
            key_digest=claim_module.digest_key(organisation, key),
            attempt=claim_module.ClaimAttemptId(
                f"{self._random.getrandbits(_ATTEMPT_BITS):032x}"
            ),
            entry_vm=self._entry_vm,
            request_id=request_id,
            body_digest=body_digest,
            claimed_wall=self._clock.wall(),
        )
        started = self._clock.monotonic()
        progress = _ClaimProgress(record=record, started_at=started)
        won = False
        try:
            result = await self._decide(progress, started + deadline_seconds)
            won = isinstance(result, Won)
        finally:
            # The caller gets "not run" or has disconnected. A write with an
            # unknown result would hold the key for no use, and may still be
            # applied later. The release replaces it or precedes it.
            if not won and progress.may_be_written:
                self._final_state_writer.add(progress.release())
        _log(record, result)
        return result

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether the attempt's claim is guaranteed to be in the store.

        To be called right before the first byte is sent. Protects against an
        ingress that was paused for the whole retention time, whose claim has
        expired in the store so that another attempt may have run.
        """
        return (
            attempt.record.attempt in self._open_attempts
            and self._clock.monotonic() < attempt.send_deadline
        )

    async def record_end(
        self, attempt: Attempt, outcome: outcomes.Outcome
    ) -> final_states.WriteStatus:
        """Record the attempt's outcome, for later callers with its key.

        Raises
        ------
        ValueError
            For `NOT_RUN`; such an attempt must be released.
        LagoonrunError
            If the attempt has already been ended or released.
        """
        if outcome is outcomes.Outcome.NOT_RUN:
            raise ValueError("outcome not-run; valid: release the attempt")
        return await self._finish(
            attempt, claim_module.ClaimState.ENDED, outcome
        )

    async def release(self, attempt: Attempt) -> final_states.WriteStatus:
        """Make the key usable again.

        Allowed only if no byte of the request was sent, or the upstream said
        by protocol that it did not run it. The attempt must not send later.

        Raises
        ------
        LagoonrunError
            If the attempt has already been ended or released.
        """
        return await self._finish(
            attempt, claim_module.ClaimState.RELEASED, None
        )

    async def _finish(
        self,
        attempt: Attempt,
        state: claim_module.ClaimState,
        outcome: outcomes.Outcome | None,
    ) -> final_states.WriteStatus:
        if attempt.record.attempt not in self._open_attempts:
            raise errors.LagoonrunError(
                step=errors.Step.CLAIM,
                detail=f"attempt {attempt.record.attempt} is not open; "
                "valid: one end or release per attempt",
            )
        # Closed before the write, so that `may_send` is false for a task
        # about to send, however long the store takes.
        self._open_attempts.discard(attempt.record.attempt)
        final_record = dataclasses.replace(
            attempt.record, state=state, outcome=outcome
        )
        return await self._final_state_writer.write_now(
            final_states.FinalState(
                record=final_record, expected=attempt.revision
            )
        )

    async def _decide(
        self, progress: "_ClaimProgress", deadline: float
    ) -> ClaimResult:
        detail = "contended"
        for _ in range(_MAXIMUM_TRIES):
            result = await self._write(progress, deadline)
            match result:
                case group_commit_module.Written():
                    return self._won(progress, result.revision)
                case group_commit_module.Conflict(found=found):
                    decision = self._interpret(progress, found)
                    if decision is not None:
                        return decision
                case group_commit_module.Indeterminate(detail=why):
                    # The same write is sent again: its result shows whether
                    # the first was applied, as only one of them can succeed.
                    # A read could find no key before the first is applied.
                    progress.may_be_written = True
                    detail = why
                case group_commit_module.NotWritten(detail=why):
                    detail = why
                    break
        return self._unavailable(detail)

    def _unavailable(self, detail: str) -> Unavailable:
        return Unavailable(
            retry_after_seconds=self._rate_limit.retry_after_seconds(),
            detail=detail,
        )

    async def _write(
        self, progress: "_ClaimProgress", deadline: float
    ) -> group_commit_module.WriteResult:
        left = deadline - self._clock.monotonic()
        if left <= 0:
            return group_commit_module.NotWritten(detail="deadline passed")
        pending_write = self._group.submit(progress.write())
        try:
            done, _ = await asyncio.wait([pending_write.result], timeout=left)
        except asyncio.CancelledError:
            if not pending_write.withdraw():
                progress.may_be_written = True
            raise
        if done:
            return pending_write.result.result()
        if not pending_write.withdraw():
            progress.may_be_written = True
        return group_commit_module.NotWritten(detail="deadline passed")

    def _interpret(
        self, progress: "_ClaimProgress", found: store_module.KeyValue | None
    ) -> ClaimResult | None:
        """Return the result that a stored record implies.

        None if the claim should be tried again, expecting that record.
        """
        if found is None:
            progress.expected = store_module.ABSENT
            return None
        try:
            record = claim_module.decode(found.value)
        except errors.LagoonrunError as error:
            return self._unavailable(error.detail)
        if record.attempt == progress.record.attempt:
            return self._won(progress, found.modified)
        # Another attempt's record: any indeterminate write of this attempt
        # expected an older revision of the key and can no longer be applied.
        progress.may_be_written = False
        if record.state is claim_module.ClaimState.RELEASED:
            progress.expected = found.modified
            return None
        if record.body_digest != progress.record.body_digest:
            return BodyDiffers(
                entry_vm=record.entry_vm, request_id=record.request_id
            )
        return Taken(
            state=record.state,
            outcome=record.outcome,
            entry_vm=record.entry_vm,
            request_id=record.request_id,
            age_seconds=max(0.0, self._clock.wall() - record.claimed_wall),
        )

    def _won(
        self,
        progress: "_ClaimProgress",
        revision: store_module.StoreRevision,
    ) -> Won:
        self._open_attempts.add(progress.record.attempt)
        return Won(
            attempt=Attempt(
                record=progress.record,
                revision=revision,
                send_deadline=progress.started_at + self._send_window_seconds,
            )
        )


@dataclasses.dataclass(kw_only=True)
class _ClaimProgress:
    """Progress of one attempt to claim a key.

    Attributes
    ----------
    started_at
        Monotonic time before the first write.
    expected
        Revision of the key that the claim replaces.
    may_be_written
        Whether a write with an unknown result was sent.
    """

    record: claim_module.ClaimRecord
    started_at: float
    expected: store_module.StoreRevision = store_module.ABSENT
    may_be_written: bool = False

    def write(self) -> group_commit_module.Write:
        return group_commit_module.Write(
            key=claim_module.store_key(
                self.record.organisation, self.record.key_digest
            ),
            expected=self.expected,
            value=claim_module.encode(self.record),
        )

    def release(self) -> final_states.FinalState:
        released = dataclasses.replace(
            self.record, state=claim_module.ClaimState.RELEASED
        )
        return final_states.FinalState(record=released, expected=self.expected)


def _log(record: claim_module.ClaimRecord, result: ClaimResult) -> None:
    other = result if isinstance(result, Taken | BodyDiffers) else None
    logs.emit(
        events.LogEvent.CLAIM_DECIDED,
        request_id=record.request_id,
        organisation=record.organisation,
        attempt=record.attempt,
        result=type(result).__name__,
        other_entry_vm=other.entry_vm if other else None,
        other_request_id=other.request_id if other else None,
    )
