"""Carry one call from its first permit to its final answer.

The loop: obtain a permit, claim if the call may run only once, send, relay.
What is lost before the caller got a byte is tried again only where that
cannot run a non-idempotent request twice.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Sequence

from lagoonrun_claims import claims
from lagoonrun_config import model
from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, outcomes, types
from lagoonrun_daemon import (
    answers,
    attempt,
    explanations,
    fleet,
    metrics,
    once,
    permit_types,
    relay,
)
from lagoonrun_daemon import call as calls
from lagoonrun_http import errors as http_errors
from lagoonrun_http import hop_by_hop
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream
from lagoonrun_policy import retries
from lagoonrun_policy import shards as policy_shards

MAXIMUM_PERMIT_AGE_SECONDS = 1.0
"""An older permit is given back: its upstream may be leaving by now."""

_MAXIMUM_SHARDS_ASKED = 4
_LARGEST_WHOLE_ANSWER_BYTES = 8 * 1024 * 1024
_LOSS_RETRY_AFTER_SECONDS = 1.0
_ROOM_REASONS = frozenset(
    {
        outcomes.Reason.QUEUE_FULL,
        outcomes.Reason.SHED_FOR_HIGHER_TIER,
        outcomes.Reason.DEADLINE,
        outcomes.Reason.NO_UPSTREAM,
        outcomes.Reason.NO_DISPATCHER,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Services:
    """What every execution needs of the daemon."""

    entry_vm: types.EntryVmId
    permits: permit_types.PermitSource
    client: http_upstream.UpstreamClient
    fleet: fleet.FleetView
    explanations: explanations.ExplanationRing
    budget: retries.RetryBudget
    claims: claims.Claims
    settlements: once.SettlementTasks
    clock: clocks.Clock
    metrics: metrics.DaemonMetrics


class CallExecution:
    """Run one call to its end.

    Parameters
    ----------
    call
        The resolved request.
    services
        Shared parts of the daemon.
    """

    def __init__(self, *, call: calls.Call, services: Services) -> None:
        self._call = call
        self._services = services
        self._excluded: tuple[types.UpstreamId, ...] = ()
        self._attempts = 0
        # What is known of all attempts together.
        self._ran = outcomes.Outcome.NOT_RUN
        self._sent = False
        self._relay = relay.StreamRelay(call=call, clock=services.clock)
        self._once = once.OnceGuard(
            call=call,
            claims=services.claims,
            tasks=services.settlements,
            clock=services.clock,
        )

    @property
    def first_token_at(self) -> float | None:
        """Instant of the first streamed part; None where none came."""
        return self._relay.first_token_at

    @property
    def must_finish(self) -> bool:
        """Whether the call goes on even if its caller leaves.

        A plain non-idempotent call that was sent is let run to its end, so
        that its outcome is recorded.
        """
        plain = self._call.resolved.service.kind is model.ServiceKind.PLAIN
        return plain and not self._call.idempotent and self._sent

    async def run(self) -> outcomes.Ending:
        """Return how the call ended, after the caller has been answered."""
        self._services.budget.note_first_attempt(
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
            if not self._sent:
                outcome = outcomes.Outcome.NOT_RUN
            raise
        finally:
            self._once.settle(outcome)

    async def _try_once(self) -> outcomes.Ending | None:
        asked_at = self._services.clock.monotonic()
        permit = await self._obtain_permit()
        waited = self._services.clock.monotonic() - asked_at
        self._services.metrics.permit_wait_seconds.labels(
            self._call.resolved.profile.name
        ).observe(waited)
        if isinstance(permit, permit_types.PermitRefusal):
            return await self._refuse(permit)
        self._note("permit-granted", permit.upstream)
        refusal = await self._claim(permit)
        if refusal is not None:
            await self._answer_ending(refusal)
            return refusal
        upstream = self._usable_upstream(permit)
        if upstream is None:
            self._services.permits.give_back(permit)
            return None
        if not self._once.may_send():
            self._once.settle(outcomes.Outcome.NOT_RUN)
            self._services.permits.give_back(permit)
            return None
        result = await self._send(permit, upstream)
        if isinstance(result, outcomes.Ending):
            return result
        return await self._after_loss(result)

    async def _obtain_permit(
        self,
    ) -> permit_types.Permit | permit_types.PermitRefusal:
        """Ask the own domain's shard first, then others that are reachable.

        Before a request is refused for room, other shards are asked, so that
        no high tier is refused here while lower ones are admitted there.
        """
        first_refusal: permit_types.PermitRefusal | None = None
        for shard in self._candidate_shards():
            answer = await self._services.permits.obtain(self._wanted(shard))
            if isinstance(answer, permit_types.Permit):
                return answer
            if first_refusal is None:
                first_refusal = answer
            if answer.reason not in _ROOM_REASONS:
                break
        return first_refusal or permit_types.PermitRefusal(
            reason=outcomes.Reason.NO_UPSTREAM, retry_after_seconds=1.0
        )

    async def _claim(
        self, permit: permit_types.Permit
    ) -> outcomes.Ending | None:
        """Claim the call's key; return the refusal if that did not work."""
        try:
            refusal = await self._once.secure()
        except BaseException:
            self._services.permits.give_back(permit)
            raise
        if refusal is not None:
            self._note("claim-refused", refusal.reason.value)
            self._services.permits.give_back(permit)
        return refusal

    def _candidate_shards(self) -> Sequence[types.ShardId]:
        resolved = self._call.resolved
        remaining = self._call.limit_at - self._services.clock.monotonic()
        ranked = policy_shards.rank_shards(
            self._services.fleet.shard_views(
                resolved.service.pool,
                spread_by=resolved.prefix_hash or self._call.request_id,
            ),
            tier=resolved.profile.tier,
            remaining_seconds=remaining,
        )
        return ranked[:_MAXIMUM_SHARDS_ASKED]

    def _wanted(self, shard: types.ShardId) -> permit_types.PermitWanted:
        call = self._call
        return permit_types.PermitWanted(
            request_id=call.request_id,
            shard=shard,
            profile=call.resolved.profile.name,
            organisation=call.resolved.organisation,
            limit_at=call.limit_at,
            target_at=call.target_at,
            prefix_hash=call.resolved.prefix_hash,
            prompt_bytes=len(call.body),
            excluded=self._excluded,
            revision=call.configuration.revision,
            model=call.resolved.model,
        )

    def _usable_upstream(
        self, permit: permit_types.Permit
    ) -> model.Upstream | None:
        """Check the permit again at its point of use.

        Between grant and use the process may have been frozen or the
        upstream may have begun to leave; such a permit is not used.
        """
        fresh = self._services.permits.is_fresh(
            permit, maximum_age_seconds=MAXIMUM_PERMIT_AGE_SECONDS
        )
        if not fresh or self._services.fleet.is_leaving(permit.upstream):
            return None
        configuration = self._services.fleet.configuration
        return configuration.upstreams_by_id.get(permit.upstream)

    async def _send(
        self, permit: permit_types.Permit, upstream: model.Upstream
    ) -> outcomes.Ending | attempt.Lost:
        started = self._services.clock.monotonic()
        outcome = outcomes.Outcome.UNKNOWN
        reason = outcomes.Reason.CALLER_LEFT
        try:
            async with self._limit_scope() as scope:
                loop = asyncio.get_running_loop()
                permit.on_cut = lambda: scope.reschedule(loop.time())
                result = await self._exchange(permit, upstream, scope)
            outcome, reason = _outcome_of(result)
            return result
        except TimeoutError:
            result = await self._on_timeout(permit, upstream)
            outcome, reason = _outcome_of(result)
            return result
        finally:
            seconds = self._services.clock.monotonic() - started
            self._services.permits.finish(
                permit,
                outcome=outcome,
                reason=reason,
                total_seconds=seconds,
            )
            self._services.metrics.count_attempt(
                profile=permit.profile,
                outcome=outcome,
                reason=reason,
                seconds=seconds,
                tokens=permit.tokens,
            )

    def _limit_scope(self) -> asyncio.Timeout:
        """Return the scope that ends work whose answer became worthless.

        A non-idempotent request is never stopped by its limit: it may have
        taken effect, and its outcome is to be told.
        """
        if not self._call.idempotent:
            return asyncio.timeout(None)
        now = self._services.clock.monotonic()
        return asyncio.timeout(self._call.limit_at - now)

    async def _exchange(
        self,
        permit: permit_types.Permit,
        upstream: model.Upstream,
        scope: asyncio.Timeout,
    ) -> outcomes.Ending | attempt.Lost:
        self._sent = True
        self._note("sent", upstream.id)
        response = await self._services.client.send(
            self._upstream_request(),
            address=upstream.address,
            port=upstream.port,
            fresh=not self._call.idempotent,
        )
        if isinstance(response, http_upstream.UpstreamFailure):
            return attempt.lost_by(response, upstream=upstream.id)
        try:
            return await self._deliver(permit, response, scope)
        finally:
            await response.cancel()

    async def _deliver(
        self,
        permit: permit_types.Permit,
        response: http_upstream.UpstreamResponse,
        scope: asyncio.Timeout,
    ) -> outcomes.Ending | attempt.Lost:
        head = response.head
        if attempt.says_not_run(head):
            return attempt.Lost(
                ran=outcomes.Outcome.NOT_RUN,
                reason=outcomes.Reason.UPSTREAM_REFUSED,
                detail=f"the upstream answered {head.status}: not run",
                upstream=permit.upstream,
            )
        if self._call.resolved.streamed and head.status == 200:
            return await self._relay.run(response, permit, scope)
        return await self._deliver_whole(permit, response)

    async def _deliver_whole(
        self,
        permit: permit_types.Permit,
        response: http_upstream.UpstreamResponse,
    ) -> outcomes.Ending | attempt.Lost:
        body = await response.read_all(_LARGEST_WHOLE_ANSWER_BYTES)
        if isinstance(body, http_upstream.UpstreamFailure):
            return attempt.lost_by(body, upstream=permit.upstream)
        failed = response.head.status >= 500
        if failed and self._call.idempotent and self._has_attempt_left():
            return attempt.Lost(
                ran=outcomes.Outcome.FAILED,
                reason=outcomes.Reason.UPSTREAM_REFUSED,
                detail=f"the upstream answered {response.head.status}",
                upstream=permit.upstream,
            )
        ending = outcomes.Ending(
            outcome=outcomes.Outcome.FAILED
            if failed
            else outcomes.Outcome.COMPLETE,
            upstream=permit.upstream,
        )
        headers = hop_by_hop.strip(response.head.headers)
        for name, value in answers.ending_headers(
            self._call.request_id, ending
        ):
            headers = headers.with_added(name, value)
        try:
            await self._call.exchange.respond(
                status=response.head.status, headers=headers, body=body
            )
        except http_errors.CallerLeftError:
            # The work is done all the same; a claim records its true end.
            return dataclasses.replace(
                ending, reason=outcomes.Reason.CALLER_LEFT
            )
        return ending

    async def _on_timeout(
        self, permit: permit_types.Permit, upstream: model.Upstream
    ) -> outcomes.Ending | attempt.Lost:
        reason = permit.cut_reason
        if reason is outcomes.Reason.NONE:
            reason = outcomes.Reason.DEADLINE
        if self._call.exchange.started:
            return await self._relay.end_partial(reason, upstream.id)
        return attempt.Lost(
            ran=outcomes.Outcome.UNKNOWN,
            reason=reason,
            detail="the upstream was stopped before its answer began",
            upstream=upstream.id,
        )

    async def _after_loss(self, lost: attempt.Lost) -> outcomes.Ending | None:
        """Try again where that is harmless, else tell the caller."""
        self._note("lost", f"{lost.upstream}: {lost.detail}")
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
            self._exclude_upstreams_without_resume()
        if await self._may_try_again(lost):
            self._excluded = (*self._excluded, lost.upstream)
            self._count_another_try(lost)
            return None
        ending = outcomes.Ending(
            outcome=self._ran,
            reason=lost.reason,
            retry_after_seconds=_LOSS_RETRY_AFTER_SECONDS,
            detail=lost.detail,
            upstream=lost.upstream,
        )
        await self._answer_ending(ending)
        return ending

    async def _may_try_again(self, lost: attempt.Lost) -> bool:
        """Spend a retry and wait for its backoff, if there may be one."""
        self._attempts += 1
        profile = self._call.resolved.profile
        decided = self._services.budget.decide(
            profile=profile.name,
            request_id=self._call.request_id,
            attempts=self._attempts,
            maximum_attempts=profile.maximum_attempts,
            reason=lost.reason,
            sent=lost.ran is not outcomes.Outcome.NOT_RUN,
        )
        if isinstance(decided, retries.RetryDenied):
            self._note("retry-denied", decided.reason.value)
            return False
        remaining = self._call.limit_at - self._services.clock.monotonic()
        if decided.pause_seconds >= remaining:
            return False
        await asyncio.sleep(decided.pause_seconds)
        return True

    def _exclude_upstreams_without_resume(self) -> None:
        """Leave only engines that can go on after the delivered events."""
        upstreams = self._call.configuration.upstreams_by_id.values()
        self._excluded += tuple(
            upstream.id
            for upstream in upstreams
            if upstream.pool == self._call.resolved.service.pool
            and not upstream.resumes
            and upstream.id not in self._excluded
        )

    def _has_attempt_left(self) -> bool:
        profile = self._call.resolved.profile
        return self._attempts + 1 < profile.maximum_attempts

    async def _refuse(
        self, refusal: permit_types.PermitRefusal
    ) -> outcomes.Ending:
        ending = outcomes.Ending(
            outcome=self._ran,
            reason=refusal.reason,
            retry_after_seconds=refusal.retry_after_seconds,
        )
        await self._answer_ending(ending)
        return ending

    async def _answer_ending(self, ending: outcomes.Ending) -> None:
        if self._call.exchange.started:
            await self._relay.end_partial(ending.reason, ending.upstream)
            return
        await answers.refuse(
            self._call.exchange,
            request_id=self._call.request_id,
            ending=ending,
        )

    def _upstream_request(self) -> http_upstream.UpstreamRequest:
        call = self._call
        headers = hop_by_hop.strip(call.head.headers).without(
            ("Authorization", "Expect", "Host", "Content-Length")
        )
        headers = headers.with_added(
            "X-Request-Priority", str(call.resolved.profile.tier)
        )
        if self._relay.delivered_events:
            headers = headers.with_added(
                relay.RESUME_HEADER, str(self._relay.delivered_events)
            )
        head = http_messages.RequestHead(
            method=call.head.method, target=call.head.target, headers=headers
        )
        return http_upstream.UpstreamRequest(
            head=head, body=call.body, request_id=call.request_id
        )

    def _count_another_try(self, lost: attempt.Lost) -> None:
        counted = self._services.metrics.retries
        event = events.LogEvent.REQUEST_RETRIED
        if self._call.exchange.started:
            counted = self._services.metrics.resumes
            event = events.LogEvent.REQUEST_RESUMED
        counted.labels(self._call.resolved.profile.name).inc()
        logs.emit(
            event,
            request_id=self._call.request_id,
            upstream=lost.upstream,
            reason=lost.reason.value,
            delivered_events=self._relay.delivered_events,
        )

    def _note(self, what: str, detail: str = "") -> None:
        now = self._services.clock.monotonic()
        self._services.explanations.add_happening(
            self._call.request_id,
            self._call.resolved.organisation,
            explanations.Happening(
                at_seconds=now - self._call.arrived_at,
                what=what,
                detail=detail,
            ),
        )


def _outcome_of(
    result: outcomes.Ending | attempt.Lost,
) -> tuple[outcomes.Outcome, outcomes.Reason]:
    if isinstance(result, attempt.Lost):
        return result.ran, result.reason
    return result.outcome, result.reason
