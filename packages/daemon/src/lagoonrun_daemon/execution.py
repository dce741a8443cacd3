"""Execute one call, from its first permit to its final response.

Each iteration obtains a permit, claims the idempotency key if the call may run
only once, sends the request and delivers the response. An attempt that is lost
before the caller got a byte is retried only if that cannot run a
non-idempotent request twice.
"""

import asyncio
import logging

from lagoonrun_config import model
from lagoonrun_core import events, logs, outcomes
from lagoonrun_daemon import (
    answers,
    at_most_once,
    attempt,
    delivery,
    permit_seeking,
    permit_types,
)
from lagoonrun_daemon import call as calls
from lagoonrun_daemon import services as daemon_services
from lagoonrun_policy import retries

_LOSS_RETRY_AFTER_SECONDS = 1.0


class CallExecution:
    """Execute one call to its end.

    Parameters
    ----------
    call
        The resolved request.
    services
        Shared components of the daemon.
    """

    def __init__(
        self, *, call: calls.Call, services: daemon_services.Services
    ) -> None:
        self._call = call
        self._services = services
        self._attempts = 0
        # Outcome of all attempts so far.
        self._ran = outcomes.Outcome.NOT_RUN
        self._seeker = permit_seeking.PermitSeeker(call=call, services=services)
        self._delivery = delivery.Delivery(call=call, services=services)
        self._once = at_most_once.OnceGuard(
            call=call,
            claims=services.claims,
            tasks=services.settlements,
            clock=services.clock,
        )

    @property
    def first_token_at(self) -> float | None:
        """Monotonic time of the first streamed part; None if there was none."""
        return self._delivery.relay.first_token_at

    @property
    def must_finish(self) -> bool:
        """Whether the call continues even if its caller disconnects.

        A plain non-idempotent call that was sent runs to its end, so that its
        outcome is recorded.
        """
        plain = self._call.resolved.service.kind is model.ServiceKind.PLAIN
        return plain and not self._call.idempotent and self._delivery.sent

    async def run(self) -> outcomes.Ending:
        """Return how the call ended, after responding to the caller."""
        self._services.budget.record_first_attempt(
            self._call.resolved.profile.name
        )
        outcome = outcomes.Outcome.UNKNOWN
        try:
            while True:
                ending = await self._try_once()
                if ending is not None:
                    outcome = ending.outcome
                    return ending
        except asyncio.CancelledError:
            if not self._delivery.sent:
                outcome = outcomes.Outcome.NOT_RUN
            raise
        finally:
            self._once.settle(outcome)

    async def _try_once(self) -> outcomes.Ending | None:
        """Make one attempt; return None if the call needs another one."""
        permit = await self._obtain_permit()
        if isinstance(permit, permit_types.PermitRefusal):
            return await self._refuse(permit)
        self._add_step(
            "permit-granted",
            f"{permit.upstream} by {permit.dispatcher} for {permit.shard}",
        )
        refusal = await self._claim(permit)
        if refusal is not None:
            return await self._respond_with(refusal)
        upstream = self._seeker.usable_upstream(permit)
        if upstream is None:
            self._add_step(
                "permit-unused", f"{permit.upstream}: old or leaving"
            )
            self._services.permits.give_back(permit)
            return None
        if not self._once.may_send():
            self._once.settle(outcomes.Outcome.NOT_RUN)
            self._services.permits.give_back(permit)
            return None
        self._add_step("sent", upstream.id)
        result = await self._delivery.send(
            permit,
            upstream,
            delivers_failures=not self._may_repeat(),
            # Connecting may take longer than the permit is valid, and the
            # process may freeze meanwhile: the checks above may be outdated.
            may_write=lambda: (
                self._seeker.usable_upstream(permit) is not None
                and self._once.may_send()
            ),
        )
        match result:
            case outcomes.Ending():
                return result
            case delivery.StillRunning():
                return await self._leave_running(result)
            case attempt.Lost():
                return await self._after_loss(result)

    async def _obtain_permit(
        self,
    ) -> permit_types.Permit | permit_types.PermitRefusal:
        asked_at = self._services.clock.monotonic()
        permit = await self._seeker.obtain()
        waited = self._services.clock.monotonic() - asked_at
        self._services.metrics.permit_wait_seconds.labels(
            self._call.resolved.profile.name
        ).observe(waited)
        return permit

    async def _claim(
        self, permit: permit_types.Permit
    ) -> outcomes.Ending | None:
        """Claim the call's key; return the refusal if the claim failed."""
        try:
            refusal = await self._once.claim_key()
        except BaseException:
            self._services.permits.give_back(permit)
            raise
        if refusal is not None:
            self._add_step("claim-refused", refusal.reason.value)
            self._services.permits.give_back(permit)
        return refusal

    async def _leave_running(
        self, still: delivery.StillRunning
    ) -> outcomes.Ending:
        """Respond to the caller at the limit and record the outcome later."""
        self._add_step("running-past-limit")
        guard = self._once.transfer()
        late = asyncio.create_task(self._record_late_outcome(still, guard))
        self._services.unfinished.add(late)
        return await self._respond_with(
            outcomes.Ending(
                outcome=outcomes.Outcome.UNKNOWN,
                reason=outcomes.Reason.DEADLINE,
                detail="the request was sent and runs on past its limit",
            )
        )

    async def _record_late_outcome(
        self, still: delivery.StillRunning, guard: at_most_once.OnceGuard
    ) -> None:
        outcome = outcomes.Outcome.UNKNOWN
        try:
            result = await still.work
            if isinstance(result, attempt.Lost):
                outcome = result.ran
            else:
                outcome = result.outcome
        finally:
            guard.settle(outcome)
            self._add_step("ended-past-limit", outcome.value)

    async def _after_loss(self, lost: attempt.Lost) -> outcomes.Ending | None:
        """Return None if a retry is allowed, else report the loss."""
        self._add_step("lost", f"{lost.upstream}: {lost.detail}")
        if lost.reason is outcomes.Reason.UPSTREAM_MISMATCH:
            logs.emit(
                events.LogEvent.UPSTREAM_MISMATCH,
                level=logging.ERROR,
                request_id=self._call.request_id,
                upstream=lost.upstream,
                detail=lost.detail,
            )
        if lost.ran is not outcomes.Outcome.NOT_RUN:
            self._ran = lost.ran
        if self._call.exchange.started:
            self._seeker.exclude_upstreams_without_resume()
        if await self._may_try_again(lost):
            self._seeker.exclude(lost.upstream)
            self._count_another_try(lost)
            return None
        return await self._respond_with(
            outcomes.Ending(
                outcome=self._ran,
                reason=lost.reason,
                retry_after_seconds=_LOSS_RETRY_AFTER_SECONDS,
                detail=lost.detail,
                upstream=lost.upstream,
            )
        )

    async def _may_try_again(self, lost: attempt.Lost) -> bool:
        """Return whether a retry is allowed, after waiting for its backoff."""
        self._attempts += 1
        profile = self._call.resolved.profile
        decided = self._services.budget.decide(
            profile=profile.name,
            request_id=self._call.request_id,
            attempts=self._attempts,
            maximum_attempts=profile.maximum_attempts,
            reason=lost.reason,
            sent=lost.ran is not outcomes.Outcome.NOT_RUN,
            resumes=self._call.exchange.started,
        )
        if isinstance(decided, retries.RetryDenied):
            self._add_step("retry-denied", decided.reason.value)
            return False
        remaining = self._call.limit_at - self._services.clock.monotonic()
        if decided.delay_seconds >= remaining:
            return False
        await asyncio.sleep(decided.delay_seconds)
        return True

    def _may_repeat(self) -> bool:
        profile = self._call.resolved.profile
        left = self._attempts + 1 < profile.maximum_attempts
        return self._call.idempotent and left

    async def _refuse(
        self, refusal: permit_types.PermitRefusal
    ) -> outcomes.Ending:
        return await self._respond_with(
            outcomes.Ending(
                outcome=self._ran,
                reason=refusal.reason,
                retry_after_seconds=refusal.retry_after_seconds,
            )
        )

    async def _respond_with(self, ending: outcomes.Ending) -> outcomes.Ending:
        """Send the caller its final response and return the ending sent."""
        if self._call.exchange.started:
            return await self._delivery.relay.end_partial(
                ending.reason, ending.upstream
            )
        await answers.refuse(
            self._call.exchange,
            request_id=self._call.request_id,
            ending=ending,
        )
        return ending

    def _count_another_try(self, lost: attempt.Lost) -> None:
        counted = self._services.metrics.retries
        event = events.LogEvent.REQUEST_RETRIED
        if self._call.exchange.started:
            counted = self._services.metrics.resumes
            event = events.LogEvent.REQUEST_RESUMED
        self._add_step(
            event.label,
            f"without {lost.upstream}, after "
            f"{self._delivery.relay.delivered_events} delivered events",
        )
        counted.labels(self._call.resolved.profile.name).inc()
        logs.emit(
            event,
            request_id=self._call.request_id,
            upstream=lost.upstream,
            reason=lost.reason.value,
            delivered_events=self._delivery.relay.delivered_events,
        )

    def _add_step(self, what: str, detail: str = "") -> None:
        self._services.add_step(self._call, what, detail)
