"""Ensure that a call with an idempotency key is sent at most once."""

import asyncio
import hashlib

from lagoonrun_claims import claim as claim_module
from lagoonrun_claims import claims
from lagoonrun_core import clock as clocks
from lagoonrun_core import outcomes
from lagoonrun_daemon import background
from lagoonrun_daemon import call as calls

_MAX_CLAIM_SECONDS = 5.0


class OnceGuard:
    """Hold the claim of one call, if it needs one.

    The response to a caller does not wait until the platform has recorded the
    outcome. A retry that arrives earlier gets the outcome "unknown".

    Parameters
    ----------
    call
        The call to guard.
    claims
        Claims of this entry VM.
    tasks
        Holds the tasks that write final claim states.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        call: calls.Call,
        claims: claims.Claims,
        tasks: background.BackgroundTasks,
        clock: clocks.Clock,
    ) -> None:
        self._call = call
        self._claims = claims
        self._tasks = tasks
        self._clock = clock
        self._attempt: claims.Attempt | None = None

    @property
    def needed(self) -> bool:
        """Whether the call requires a claim before it is sent.

        Calls without a key do not use the platform, so that they are still
        served while it is unreachable.
        """
        return (
            not self._call.idempotent and self._call.idempotency_key is not None
        )

    async def claim_key(self) -> outcomes.Ending | None:
        """Claim the key; return the refusal if the call must not be sent."""
        if not self.needed or self._attempt is not None:
            return None
        remaining = self._call.limit_at - self._clock.monotonic()
        result = await self._claims.claim(
            organisation=self._call.resolved.organisation,
            key=self._call.idempotency_key,
            request_id=self._call.request_id,
            body_digest=_digest_request(self._call),
            deadline_seconds=min(remaining, _MAX_CLAIM_SECONDS),
        )
        if isinstance(result, claims.Won):
            self._attempt = result.attempt
            return None
        return _explain_refusal(result)

    def may_send(self) -> bool:
        """Return whether the claim still allows sending the call now."""
        if not self.needed:
            return True
        return self._attempt is not None and self._claims.may_send(
            self._attempt
        )

    def transfer(self) -> "OnceGuard":
        """Move the claim to a new guard, which is returned.

        Used for a call that is still running after its final response.
        """
        successor = OnceGuard(
            call=self._call,
            claims=self._claims,
            tasks=self._tasks,
            clock=self._clock,
        )
        successor._attempt, self._attempt = self._attempt, None
        return successor

    def settle(self, outcome: outcomes.Outcome) -> None:
        """Record the outcome, or release the key if the call was not run."""
        if self._attempt is None:
            return
        attempt, self._attempt = self._attempt, None
        if outcome is outcomes.Outcome.NOT_RUN:
            work = self._claims.release(attempt)
        else:
            work = self._claims.record_end(attempt, outcome)
        self._tasks.add(asyncio.create_task(work))


def _digest_request(call: calls.Call) -> claim_module.BodyDigest:
    digest = hashlib.sha256()
    digest.update(f"{call.head.method} {call.head.target}\n".encode())
    digest.update(call.body)
    return claim_module.BodyDigest(digest.hexdigest())


def _explain_refusal(
    result: claims.Taken | claims.BodyDiffers | claims.Unavailable,
) -> outcomes.Ending:
    match result:
        case claims.Unavailable():
            return outcomes.Ending(
                outcome=outcomes.Outcome.NOT_RUN,
                reason=outcomes.Reason.CLAIM_UNAVAILABLE,
                retry_after_seconds=result.retry_after_seconds,
                detail="the idempotency key could not be claimed",
            )
        case claims.BodyDiffers():
            return outcomes.Ending(
                outcome=outcomes.Outcome.NOT_RUN,
                reason=outcomes.Reason.CLAIM_TAKEN,
                detail="the idempotency key was used for another request: "
                f"{result.request_id}",
            )
        case claims.Taken():
            # The same request was sent twice. "Not run" would only be true of
            # this arrival: a caller that relied on it would send its request
            # again under a new key, and it would run twice.
            outcome = result.outcome or outcomes.Outcome.UNKNOWN
            return outcomes.Ending(
                outcome=outcome,
                reason=outcomes.Reason.CLAIM_TAKEN,
                detail=f"request {result.request_id} has the key since "
                f"{result.age_seconds:.1f} s; its outcome: {outcome.value}",
            )
