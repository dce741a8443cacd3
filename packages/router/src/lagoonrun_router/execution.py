"""See one call to its final answer: attempts, retries, limits."""

import asyncio
import dataclasses
import logging

from lagoonrun_core import events, logs, outcomes, types
from lagoonrun_http import exchange as exchanges
from lagoonrun_router import (
    admission,
    answers,
    attempt_result,
    availability,
    choosing,
    crash_evidence,
    loads,
    place_bucket,
    retrying,
    running_requests,
    sending,
    stream_relay,
)
from lagoonrun_router import call as calls
from lagoonrun_router import components as router_components

_MOST_PLACES_ASKED = 4
"""Upstreams with a limit that a request asks for a place, each for a few milliseconds,
before its caller is told when to come back."""

_LOGGED_UPSTREAMS = 4

_REASON_BY_CLOSED = {
    availability.ClosedReason.LIMITED: outcomes.Reason.UPSTREAMS_LIMITED,
    availability.ClosedReason.RESTING: outcomes.Reason.UPSTREAMS_RESTING,
}

_OVERLOAD_PART = 0.25
"""Part of a caller's patience from which a foreseen wait means overload."""


class CallExecution:
    """Serve one call.

    Parameters
    ----------
    call
        The resolved call.
    exchange
        Where its answer goes.
    components
        Shared components of the process.
    """

    def __init__(
        self,
        *,
        call: calls.Call,
        exchange: exchanges.Exchange,
        components: router_components.Components,
    ) -> None:
        self._call = call
        self._exchange = exchange
        self._components = components
        self._chooser = choosing.Chooser(components=components)
        self._relay = stream_relay.StreamRelay(
            call=call, exchange=exchange, clock=components.clock
        )
        self._tried: set[types.UpstreamId] = set()
        self._sends = retrying.SendCounts()
        self._earlier_may_have_run = False
        self._sending: sending.Sending | None = None
        self._sent_at = call.arrived_at
        self._whole_at: float | None = None
        self._foreseen_wait_seconds = 0.0
        self._pause_waiting_tokens = 0

    @property
    def first_answer_at(self) -> float | None:
        """When the first event or the whole answer came."""
        return self._relay.first_event_at or self._whole_at

    @property
    def longest_pause_seconds(self) -> float:
        """Longest pause between two events."""
        return self._relay.longest_pause_seconds

    @property
    def pause_waiting_tokens(self) -> int:
        """Prompt tokens that waited at the upstream in the longest pause."""
        return self._pause_waiting_tokens

    async def run(self) -> outcomes.Ending:
        """Return how the request ended; the caller has its answer."""
        left = self._call.limit_at - self._components.clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left)):
                return await self._attempts()
        except TimeoutError:
            self._note_failed_in_overload()
            return await self._end(
                reason=outcomes.Reason.DEADLINE,
                detail="the time limit of the request has passed",
            )

    async def _attempts(self) -> outcomes.Ending:
        while True:
            # Before each send, also of a request that was sent before: what is
            # known of it may have grown meanwhile.
            block = self._components.crashing_requests.block_of(
                self._call.digest
            )
            if block is not None:
                return await self._refuse_blocked(block)
            choice = await self._choose()
            if isinstance(choice, choosing.AllClosed):
                return await self._refuse_closed(choice)
            if not isinstance(choice, choosing.Choice):
                return await self._refuse(choice)
            result = await self._attempt(choice)
            if isinstance(result, attempt_result.Delivered):
                return result.ending
            ending = await self._after_loss(result)
            if ending is not None:
                return ending

    async def _choose(
        self,
    ) -> choosing.Choice | admission.Refusal | choosing.AllClosed | None:
        """Choose an upstream, and take a place there where it has a limit."""
        for _ in range(_MOST_PLACES_ASKED):
            choice = self._choose_among_all()
            if not isinstance(choice, choosing.Choice):
                return choice
            if not self._components.notices.places.is_limited(choice.upstream):
                return choice
            place = await self._components.notices.places.acquire(
                choice.upstream,
                self._call.tier,
                request_id=self._call.request_id,
            )
            if isinstance(place, place_bucket.Granted):
                return dataclasses.replace(choice, has_place=True)
        refused = availability.ClosedUpstream(
            upstream=choice.upstream.id,
            reason=availability.ClosedReason.LIMITED,
            wait_seconds=place.wait_seconds,
        )
        return choosing.AllClosed(closed=(refused,))

    def _choose_among_all(
        self,
    ) -> choosing.Choice | admission.Refusal | choosing.AllClosed | None:
        choice = self._chooser.choose(self._call, excluded=self._tried)
        if self._tried and (
            choice is None or isinstance(choice, choosing.AllClosed)
        ):
            # All were tried; one that failed may do better by now.
            self._tried.clear()
            choice = self._chooser.choose(self._call, excluded=())
        return choice

    async def _refuse_closed(
        self, refusal: choosing.AllClosed
    ) -> outcomes.Ending:
        """End a request that the upstreams of its pool don't take just now.

        Callers come back one after the other: what opens first is for few of
        them.
        """
        self._note_pressure()
        return await self._end_refused(
            reason=_REASON_BY_CLOSED[refusal.closed[0].reason],
            detail="all upstreams of the pool are rate limited or asked for rest",
            retry_after_seconds=self._opening_seconds(refusal.closed),
            closed=refusal.closed[:_LOGGED_UPSTREAMS],
        )

    def _opening_seconds(
        self, closed: tuple[availability.ClosedUpstream, ...]
    ) -> float:
        """Return when to come back to upstreams that take nothing now."""
        return answers.spread_retry_seconds(
            self._components.rng, wait_seconds=closed[0].wait_seconds
        )

    async def _refuse(
        self, refusal: admission.Refusal | None
    ) -> outcomes.Ending:
        """End a request that no upstream may take now."""
        if refusal is None:
            # Not for want of room: other tiers need not stand back.
            reason = outcomes.Reason.NO_UPSTREAM
            detail = "no upstream of the pool is known"
        else:
            reason = outcomes.Reason.OVERLOADED
            detail = refusal.value
            self._note_pressure()
        return await self._end_refused(reason=reason, detail=detail)

    async def _refuse_blocked(
        self, block: crash_evidence.Block
    ) -> outcomes.Ending:
        """End a request that has ended too many upstreams.

        Its caller is told when it may be tried again: not sooner, since each
        try that fails costs an upstream with all that it runs.
        """
        return await self._end_refused(
            reason=outcomes.Reason.CRASHED_UPSTREAMS,
            detail=f"{len(block.crashes)} upstreams ended while they ran it",
            retry_after_seconds=block.until
            - self._components.clock.monotonic(),
            crashes=block.crashes,
        )

    async def _end_refused(
        self,
        *,
        reason: outcomes.Reason,
        detail: str,
        retry_after_seconds: float | None = None,
        closed: tuple[availability.ClosedUpstream, ...] = (),
        crashes: tuple[running_requests.UpstreamInstance, ...] = (),
    ) -> outcomes.Ending:
        """End a request that is not sent, with a line of what decided.

        Parameters
        ----------
        retry_after_seconds
            When to come back; None for soon.
        closed, crashes
            Upstreams that take nothing now, and those that ended under it.
        """
        logs.emit(
            events.LogEvent.REQUEST_REFUSED,
            level=logging.WARNING,
            request_id=self._call.request_id,
            reason=reason.value,
            detail=detail,
            tier=self._call.tier,
            patience_seconds=round(self._call.patience_seconds, 3),
            digest=self._call.digest,
            closed={one.upstream: one.reason.value for one in closed},
            upstreams=[one.upstream for one in crashes],
            retry_after=retry_after_seconds and round(retry_after_seconds, 3),
        )
        return await self._end(
            reason=reason,
            detail=detail,
            retry_after_seconds=retry_after_seconds,
        )

    def _note_pressure(self) -> None:
        """Tell lower tiers of the pool to stand back."""
        if self._call.pool.engine is not None:
            self._components.pressure.record_rejection(
                self._call.pool.name,
                self._call.tier,
                now=self._components.clock.monotonic(),
            )

    def note_caller_left(self) -> None:
        """Take in that the caller has left before its answer was whole.

        One that has waited for half of its patience in vain left because of
        the wait.
        """
        waited = self._components.clock.monotonic() - self._call.arrived_at
        if waited >= self._call.patience_seconds / 2:
            self._note_failed_in_overload()

    def _note_failed_in_overload(self) -> None:
        """Count a request without any answer, where a long wait was foreseen.

        One that failed at a runner with little to do failed for another
        reason, a crash or a fault, and turning others away would not help.
        """
        foreseen = self._foreseen_wait_seconds
        long_wait = _OVERLOAD_PART * self._call.patience_seconds
        if self.first_answer_at is None and foreseen >= long_wait:
            self._note_pressure()

    async def _after_loss(
        self, lost: attempt_result.Lost
    ) -> outcomes.Ending | None:
        """Return the end of the request, or None to send it once more."""
        now = self._components.clock.monotonic()
        self._note_loss(lost, now)
        verdict = retrying.decide(self._call, lost, self._sends, now=now)
        pool = self._call.pool.name
        if verdict is retrying.RetryDecision.PAID:
            if self._components.retry_budget.spend(pool, now=now):
                self._components.metrics.repeats.labels(pool).inc()
            else:
                self._components.metrics.denied_repeats.labels(pool).inc()
                verdict = retrying.RetryDecision.END
        if verdict is retrying.RetryDecision.END:
            if lost.reason is outcomes.Reason.UPSTREAM_REFUSED:
                self._note_failed_in_overload()
            return await self._end_lost(lost)
        logs.emit(
            events.LogEvent.REQUEST_RETRIED,
            request_id=self._call.request_id,
            verdict=verdict.value,
            reached=self._sends.reached,
            unreached=self._sends.unreached,
            budget_left=round(
                self._components.retry_budget.left(pool, now=now), 1
            ),
            resume_after=self._relay.resume_after,
        )
        return None

    def _note_loss(self, lost: attempt_result.Lost, now: float) -> None:
        self._sends = self._sends.with_lost(lost, seconds=now - self._sent_at)
        self._tried.add(lost.upstream)
        self._sending = None
        if lost.ran is not outcomes.Outcome.NOT_RUN:
            self._earlier_may_have_run = True
        if lost.misdirected:
            self._components.directory.mark_gone(lost.upstream, source="answer")
        else:
            self._components.ledger.add_failure(
                lost.upstream, now=now, unreached=not lost.sent
            )
        self._components.metrics.lost_attempts.labels(
            self._call.pool.name, lost.reason.value
        ).inc()
        logs.emit(
            events.LogEvent.UPSTREAM_ATTEMPT_LOST,
            level=logging.WARNING,
            request_id=self._call.request_id,
            upstream=lost.upstream,
            ran=lost.ran.value,
            reason=lost.reason.value,
            detail=lost.detail,
        )

    async def _attempt(self, choice: choosing.Choice) -> attempt_result.Result:
        components = self._components
        now = self._sent_at = components.clock.monotonic()
        components.admission_floor.record_admission(
            self._call.route.profile.name, now=now
        )
        work = loads.InFlightRequest(
            upstream=choice.upstream.id,
            new_tokens=choice.new_tokens,
            sensitivity=choosing.sensitivity_of(self._call),
            tier=choice.tier,
            overdue_at=loads.overdue_at(
                now=now, expected_seconds=choice.wait_seconds
            ),
        )
        components.ledger.begin(work, now=now)
        self._foreseen_wait_seconds = choice.wait_seconds
        components.metrics.new_tokens.labels(self._call.pool.name).inc(
            choice.new_tokens
        )
        home = self._call.affinity_part
        if home is not None:
            components.prompt_locations.record_placement(
                home.id, choice.upstream.id, now=now
            )
        self._sending = sending.Sending(
            call=self._call,
            exchange=self._exchange,
            relay=self._relay,
            choice=choice,
            work=work,
            last=not self._may_repeat_elsewhere(),
            components=components,
        )
        try:
            result = await self._sending.run()
        finally:
            components.ledger.end(work)
            self._pause_waiting_tokens = self._sending.pause_waiting_tokens
        if isinstance(result, attempt_result.Delivered):
            self._whole_at = components.clock.monotonic()
        return result

    def _may_repeat_elsewhere(self) -> bool:
        """Return whether another upstream may have the request after this."""
        most = self._call.route.profile.maximum_attempts
        return self._call.idempotent and most - self._sends.reached > 1

    # The end without an upstream's answer.

    async def _end_lost(self, lost: attempt_result.Lost) -> outcomes.Ending:
        if lost.answer is not None and not self._exchange.started:
            self._whole_at = self._components.clock.monotonic()
            return await answers.pass_on(
                self._exchange, lost.answer, upstream=lost.upstream
            )
        closed = self._chooser.all_closed(self._call)
        return await self._end(
            reason=lost.reason,
            detail=lost.detail,
            upstream=lost.upstream,
            retry_after_seconds=self._opening_seconds(closed)
            if closed
            else None,
        )

    async def _end(
        self,
        *,
        reason: outcomes.Reason,
        detail: str,
        upstream: types.UpstreamId | None = None,
        retry_after_seconds: float | None = None,
    ) -> outcomes.Ending:
        """End a request without an answer of an upstream.

        Parameters
        ----------
        retry_after_seconds
            When to come back if it has not run; None for soon.
        """
        if self._exchange.started:
            # Part of the answer is with the caller: only a broken connection
            # tells that it is not whole.
            self._exchange.abort()
            return outcomes.Ending(
                outcome=outcomes.Outcome.PARTIAL,
                reason=reason,
                detail=detail,
                upstream=upstream,
            )
        ending = self._unanswered(reason, detail, upstream)
        not_run = ending.outcome is outcomes.Outcome.NOT_RUN
        if not_run and retry_after_seconds is not None:
            ending = dataclasses.replace(
                ending, retry_after_seconds=retry_after_seconds
            )
        await answers.end_without_answer(
            self._exchange, request_id=self._call.request_id, ending=ending
        )
        return ending

    def _unanswered(
        self,
        reason: outcomes.Reason,
        detail: str,
        upstream: types.UpstreamId | None,
    ) -> outcomes.Ending:
        running = self._sending is not None and self._sending.may_have_run
        if self._earlier_may_have_run or running:
            return outcomes.Ending(
                outcome=outcomes.Outcome.UNKNOWN,
                reason=reason,
                detail=detail,
                upstream=upstream,
            )
        left = self._call.limit_at - self._components.clock.monotonic()
        return outcomes.Ending(
            outcome=outcomes.Outcome.NOT_RUN,
            reason=reason,
            detail=detail,
            upstream=upstream,
            retry_after_seconds=answers.retry_after_seconds(
                self._components.rng, left_seconds=left
            ),
        )
