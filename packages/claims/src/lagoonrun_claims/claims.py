"""At most once: who may run the request of an idempotency key.

An ingress claims a key after its permit and its connection and right before
the request's first byte. `Won` allows that one write. A claim of another
attempt is never taken over because of its age: its claimant may be frozen
between the claim and the write, and an upstream has no guard that would stop
it on waking. Only a record that says `RELEASED` is taken over.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable

from lagoonrun_claims import claim as claim_module
from lagoonrun_claims import group_commit as group_commit_module
from lagoonrun_claims import pacing as pacing_module
from lagoonrun_claims import results
from lagoonrun_claims import retention as retention_module
from lagoonrun_claims import settler as settler_module
from lagoonrun_core import clock as clock_module
from lagoonrun_core import errors, events, logs, outcomes, types
from lagoonrun_platform import store as store_module

_MAXIMUM_TRIES = 8

_SEND_SHARE = 0.5
"""Part of the retention time within which a won request may be sent."""

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
        Source of attempt ids; must differ between processes, as
        `random.SystemRandom` does.
    retention_seconds
        Least time for which a key stays claimed.
    writes_per_second, burst
        Budget of this process for the store.
    shards, maximum_batch, write_timeout_seconds, linger_seconds
        See `GroupCommit`.
    flush_seconds
        Longest wait of `close` for states that are not in the store yet.
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
        self._send_seconds = retention_seconds * _SEND_SHARE
        self._pacing = pacing_module.Pacing(
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
            pacing=self._pacing,
            shards=shards,
            maximum_batch=maximum_batch,
            write_timeout_seconds=write_timeout_seconds,
            linger_seconds=linger_seconds,
            sleep=sleep,
        )
        self._settler = settler_module.Settler(
            group=self._group, random=random, sleep=sleep
        )
        self._open: set[claim_module.ClaimAttemptId] = set()

    @property
    def pending(self) -> int:
        """Return how many last states are not in the store yet."""
        return self._settler.pending

    async def start(self) -> None:
        """Start the tasks that write to the store."""
        await self._group.start()
        await self._settler.start()

    async def close(self) -> None:
        """Write what is pending, within `flush_seconds`, and stop."""
        await self._settler.close()
        try:
            async with asyncio.timeout(self._flush_seconds):
                await self._settler.flush()
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
        """Claim a key for one arrival.

        Cancelling is safe: what may have been written is released.

        Parameters
        ----------
        deadline_seconds
            Longest wait from now; after it the result is `Unavailable`.

        Raises
        ------
        LagoonrunError
            When the key is empty or too long.
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
        claiming = _Claiming(record=record, started=started)
        won = False
        try:
            result = await self._decide(claiming, started + deadline_seconds)
            won = isinstance(result, Won)
        finally:
            # The caller is told "not run" or has left. A write whose end is
            # not known would hold the key for nothing, and may apply even
            # after this moment. The release replaces it or comes before it.
            if not won and claiming.may_be_written:
                self._settler.add(claiming.release())
        _log(record, result)
        return result

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether the attempt's claim is surely still in the store.

        Asked right before the first byte. It guards against an ingress that
        was frozen for the whole retention time: the store has forgotten its
        claim and another attempt may have run.
        """
        return (
            attempt.record.attempt in self._open
            and self._clock.monotonic() < attempt.send_before
        )

    async def record_end(
        self, attempt: Attempt, outcome: outcomes.Outcome
    ) -> settler_module.Settlement:
        """Record how the attempt ended, for later callers with its key.

        Raises
        ------
        ValueError
            For `NOT_RUN`: such an attempt is released.
        LagoonrunError
            When the attempt was ended or released before.
        """
        if outcome is outcomes.Outcome.NOT_RUN:
            raise ValueError("outcome not-run; valid: release the attempt")
        return await self._finish(
            attempt, claim_module.ClaimState.ENDED, outcome
        )

    async def release(self, attempt: Attempt) -> settler_module.Settlement:
        """Make the key usable again.

        Only when no byte of the request left, or the upstream said by
        protocol that it did not run it. The attempt must not send after.

        Raises
        ------
        LagoonrunError
            When the attempt was ended or released before.
        """
        return await self._finish(
            attempt, claim_module.ClaimState.RELEASED, None
        )

    async def _finish(
        self,
        attempt: Attempt,
        state: claim_module.ClaimState,
        outcome: outcomes.Outcome | None,
    ) -> settler_module.Settlement:
        if attempt.record.attempt not in self._open:
            raise errors.LagoonrunError(
                step=errors.Step.CLAIM,
                detail=f"attempt {attempt.record.attempt} is not open; "
                "valid: one end or release per attempt",
            )
        # Closed before the write: a task that is about to send finds
        # `may_send` false, however long the store takes.
        self._open.discard(attempt.record.attempt)
        last = dataclasses.replace(attempt.record, state=state, outcome=outcome)
        return await self._settler.settle(
            settler_module.Settling(record=last, expected=attempt.revision)
        )

    async def _decide(
        self, claiming: "_Claiming", deadline: float
    ) -> ClaimResult:
        detail = "contended"
        for _ in range(_MAXIMUM_TRIES):
            result = await self._write(claiming, deadline)
            match result:
                case group_commit_module.Written():
                    return self._won(claiming, result.revision)
                case group_commit_module.Conflict(found=found):
                    decision = self._judge(claiming, found)
                    if decision is not None:
                        return decision
                case group_commit_module.Unsettled(detail=why):
                    # Sent again as it is: the answer then says whether the
                    # first one applied, and if both do, the second fails.
                    # A plain read could show "absent" before it applies.
                    claiming.may_be_written = True
                    detail = why
                case group_commit_module.NotWritten(detail=why):
                    detail = why
                    break
        return self._unavailable(detail)

    def _unavailable(self, detail: str) -> Unavailable:
        return Unavailable(
            retry_after_seconds=self._pacing.retry_after_seconds(),
            detail=detail,
        )

    async def _write(
        self, claiming: "_Claiming", deadline: float
    ) -> group_commit_module.WriteResult:
        left = deadline - self._clock.monotonic()
        if left <= 0:
            return group_commit_module.NotWritten(detail="deadline passed")
        ticket = self._group.submit(claiming.write())
        try:
            done, _ = await asyncio.wait([ticket.result], timeout=left)
        except asyncio.CancelledError:
            if not ticket.withdraw():
                claiming.may_be_written = True
            raise
        if done:
            return ticket.result.result()
        if not ticket.withdraw():
            claiming.may_be_written = True
        return group_commit_module.NotWritten(detail="deadline passed")

    def _judge(
        self, claiming: "_Claiming", found: store_module.KeyValue | None
    ) -> ClaimResult | None:
        """Return what a found record means; None: try from there."""
        if found is None:
            claiming.expected = store_module.ABSENT
            return None
        try:
            record = claim_module.decode(found.value)
        except errors.LagoonrunError as error:
            return self._unavailable(error.detail)
        if record.attempt == claiming.record.attempt:
            return self._won(claiming, found.modified)
        # Another attempt's record: our unsettled writes, if any, expected
        # an older write of the key and cannot apply any more.
        claiming.may_be_written = False
        if record.state is claim_module.ClaimState.RELEASED:
            claiming.expected = found.modified
            return None
        if record.body_digest != claiming.record.body_digest:
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
        claiming: "_Claiming",
        revision: store_module.StoreRevision,
    ) -> Won:
        self._open.add(claiming.record.attempt)
        return Won(
            attempt=Attempt(
                record=claiming.record,
                revision=revision,
                send_before=claiming.started + self._send_seconds,
            )
        )


@dataclasses.dataclass(kw_only=True)
class _Claiming:
    """One attempt's progress.

    Attributes
    ----------
    started
        Monotonic reading from before the first write.
    expected
        The key's write that the claim replaces.
    may_be_written
        A write was sent whose end is not known.
    """

    record: claim_module.ClaimRecord
    started: float
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

    def release(self) -> settler_module.Settling:
        released = dataclasses.replace(
            self.record, state=claim_module.ClaimState.RELEASED
        )
        return settler_module.Settling(record=released, expected=self.expected)


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
