"""Execute one call until its caller has a final answer.

Covers the attempts at upstreams, retries, and the time limit of the call.
"""

import asyncio
import dataclasses
import logging

from lagoonrun_core import events, logs, outcomes, types
from lagoonrun_http import exchange as exchanges
from lagoonrun_router import (
    adaptive_admission,
    admission,
    answers,
    attempt_result,
    availability,
    call_pressure,
    choosing,
    crash_records,
    loads,
    place_bucket,
    pool_capacity,
    refusing,
    retrying,
    run_mover,
    run_silence,
    silence,
    stream_relay,
    upstream_attempt,
    upstreams,
)
from lagoonrun_router import call as calls
from lagoonrun_router import components as router_components

_MAX_PLACE_REQUESTS = 4
"""Rate-limited upstreams at which a request tries to acquire a place, the right
to send one request there. Each try takes a few milliseconds; after the last one
the caller gets a Retry-After."""

_MAX_CONTINUATION_WAIT_SECONDS = 1.5
"""Longest wait of a stream for an upstream of its version that is rate limited
or rests. Callers leave a stream after a gap of two seconds."""

_MIN_CONTINUATION_WAIT_SECONDS = 0.02
"""Time between two looks for an upstream of the version, a few round trips."""

_MAX_VERSION_WAIT_SECONDS = 0.5
"""Longest wait for the first upstream of a version that this entry VM has not
heard of yet, but the entry VM that began the stream has."""

_HELD_REFUSALS = frozenset(
    (
        admission.Refusal.NO_ROOM,
        admission.Refusal.TOO_LATE,
        admission.Refusal.RESERVED,
    )
)
"""Refusals for lack of room, which may be free again within a fraction of the
target."""


class CallExecution:
    """Executes one call.

    Parameters
    ----------
    call
        The resolved call.
    exchange
        The HTTP exchange with the caller, which receives the answer.
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
        self._pressure = call_pressure.CallPressure(
            call=call, components=components
        )
        self._refusals = refusing.CallRefusals(
            call=call, components=components, pressure=self._pressure
        )
        self._tried: set[types.UpstreamId] = set()
        self._barred: frozenset[types.UpstreamId] = frozenset()
        self._sends = retrying.SendCounts()
        self._earlier_may_have_run = False
        self._current_attempt: upstream_attempt.UpstreamAttempt | None = None
        self._mover: run_mover.RunMover | None = None
        self._sent_at = call.arrived_at
        self._complete_at: float | None = None
        self._expected_wait_seconds = 0.0
        self._pause_waiting_tokens = 0
        self._held = False
        self._waited_seconds = 0.0
        self._admitted = False

    @property
    def first_answer_at(self) -> float | None:
        """Time of the first event or of the complete answer; None before."""
        return self._relay.first_event_at or self._complete_at

    @property
    def longest_pause_seconds(self) -> float:
        """Longest pause between two consecutive events."""
        return self._relay.longest_pause_seconds

    @property
    def pause_waiting_tokens(self) -> int:
        """Prompt tokens queued at the upstream during the longest pause."""
        return self._pause_waiting_tokens

    async def run(self) -> outcomes.Ending:
        """Execute the call; return how it ended once the caller is answered."""
        remaining_seconds = (
            self._call.limit_at - self._components.clock.monotonic()
        )
        self._record_arrival()
        try:
            async with asyncio.timeout(max(0.0, remaining_seconds)):
                return await self._attempts()
        except TimeoutError:
            self._record_failure_in_overload()
            return await self._end(
                reason=outcomes.Reason.DEADLINE,
                detail="the time limit of the request has passed",
            )

    def _record_arrival(self) -> None:
        """Count the demand of the call if its pool is adaptive."""
        call = self._call
        if (
            call.pool.engine is None
            or not self._components.adaptive.is_adaptive(call.pool, ())
        ):
            return
        arrival = self._components.capacity.record_arrival(
            call,
            tokens=self._chooser.new_tokens(call),
            now=self._components.clock.monotonic(),
        )
        self._components.metrics.returns.labels(
            call.pool.name, arrival.value
        ).inc()

    async def _attempts(self) -> outcomes.Ending:
        if self._call.found_origin is not None:
            self._relay.origin = self._call.found_origin.origin
            if self._relay.origin is None:
                return await self._end_refused(
                    self._refusals.of_unknown_origin(self._call.found_origin)
                )
        while True:
            # Checked before retries too: the request may have been found to
            # crash upstreams since it was last sent.
            block = self._components.crashing_requests.block_of(
                self._call.digest, parts=self._call.parts
            )
            self._barred = self._barred_upstreams(block)
            if block is not None and not self._has_unbarred_upstream():
                return await self._end_refused(self._refusals.blocked(block))
            choice = self._moved_to() or await self._choose()
            if isinstance(choice, choosing.AllClosed) and (
                self._may_wait_to_continue(choice)
            ):
                await self._wait_to_continue(choice)
                continue
            if choice is None and await self._wait_for_version():
                continue
            rejected = isinstance(choice, pool_capacity.Rejection)
            if rejected and await self._hold(choice):
                continue
            if not isinstance(choice, choosing.Choice):
                return await self._end_refused(
                    self._refusals.unchosen(
                        choice,
                        earlier_may_have_run=self._earlier_may_have_run,
                        origin=self._relay.origin,
                    )
                )
            result = await self._attempt_at(choice)
            if isinstance(result, attempt_result.Delivered):
                return result.ending
            ending = await self._decide_retry(choice, result)
            if ending is not None:
                return ending

    def _moved_to(self) -> choosing.Choice | None:
        """Return where a silent run goes on, unless it needs a place there."""
        choice = None if self._mover is None else self._mover.choice
        if (
            choice is None
            or choice.upstream.id in self._barred
            or self._components.notices.places.is_limited(choice.upstream)
        ):
            return None
        return choice

    async def _choose(
        self,
    ) -> choosing.Choice | pool_capacity.Rejection | choosing.AllClosed | None:
        """Choose an upstream; acquire a place there if it is rate limited."""
        for _ in range(_MAX_PLACE_REQUESTS):
            choice = self._choose_upstream()
            if not isinstance(choice, choosing.Choice):
                return choice
            if not self._components.notices.places.is_limited(choice.upstream):
                return choice
            place = await self._components.notices.places.acquire(
                choice.upstream,
                choosing.tier_of(self._call, self._relay.origin),
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

    def _choose_upstream(
        self,
    ) -> choosing.Choice | pool_capacity.Rejection | choosing.AllClosed | None:
        excluded = frozenset(self._tried | self._barred)
        choice = self._chooser.choose(
            self._call,
            excluded=excluded | self._silent_upstreams(excluded),
            admitted_before=self._admitted,
            origin=self._relay.origin,
        )
        if self._tried and (
            choice is None
            or (
                isinstance(choice, choosing.AllClosed)
                and not self._may_wait_to_continue(choice)
            )
        ):
            # Every upstream was tried; one that failed may have recovered.
            self._tried.clear()
            choice = self._chooser.choose(
                self._call,
                excluded=self._barred,
                admitted_before=self._admitted,
                origin=self._relay.origin,
            )
        return choice

    def _silent_upstreams(
        self, excluded: frozenset[types.UpstreamId]
    ) -> frozenset[types.UpstreamId]:
        """Return the upstreams that a retry avoids: silent while one is heard.

        The next attempt may be the last one. The first attempt is placed by
        cost alone: one of many upstreams is often silent for half a second.
        """
        allowed_seconds = self._relay.max_silence_seconds()
        if not self._tried or allowed_seconds is None:
            return frozenset()
        fitness_by_id = run_mover.fitness_of(
            self._chooser.remaining(
                self._call, excluded=excluded, origin=self._relay.origin
            ),
            components=self._components,
            allowed_seconds=allowed_seconds,
        )
        if silence.Fitness.HEARD not in fitness_by_id.values():
            return frozenset()
        return frozenset(
            id
            for id, fitness in fitness_by_id.items()
            if fitness is silence.Fitness.SILENT
        )

    def _barred_upstreams(
        self, block: crash_records.Block | None
    ) -> frozenset[types.UpstreamId]:
        """Return the upstreams of the versions at which a block applies."""
        if block is None:
            return frozenset()
        crashing_requests = self._components.crashing_requests
        applies_by_version: dict[str, bool] = {}
        barred = set()
        for one in self._usable_upstreams():
            if one.version not in applies_by_version:
                applies_by_version[one.version] = (
                    crashing_requests.is_blocked_at(block, one.version)
                )
            if applies_by_version[one.version]:
                barred.add(one.id)
        return frozenset(barred)

    def _has_unbarred_upstream(self) -> bool:
        return any(
            one.id not in self._barred for one in self._usable_upstreams()
        )

    def _usable_upstreams(self) -> tuple[upstreams.Registration, ...]:
        return self._components.directory.usable(
            self._call.pool.name, now=self._components.clock.monotonic()
        )

    def _may_wait_to_continue(self, closed: choosing.AllClosed) -> bool:
        """Return whether a stream may wait for a closed upstream.

        Only a stream that its caller has part of: refused, it would be lost.
        """
        return (
            self._relay.origin is not None
            and self._waited_seconds + closed.closed[0].wait_seconds
            <= _MAX_CONTINUATION_WAIT_SECONDS
        )

    async def _wait_to_continue(self, closed: choosing.AllClosed) -> None:
        seconds = max(
            _MIN_CONTINUATION_WAIT_SECONDS, closed.closed[0].wait_seconds
        )
        self._waited_seconds += seconds
        await asyncio.sleep(seconds)

    async def _wait_for_version(self) -> bool:
        """Wait a moment for a version that is not known here yet."""
        origin = self._relay.origin
        if (
            origin is None
            or self._components.stream_origins.versions.has_seen(origin)
            or self._waited_seconds >= _MAX_VERSION_WAIT_SECONDS
        ):
            return False
        self._waited_seconds += _MIN_CONTINUATION_WAIT_SECONDS
        await asyncio.sleep(_MIN_CONTINUATION_WAIT_SECONDS)
        return True

    async def _hold(self, rejection: pool_capacity.Rejection) -> bool:
        """Wait once for room that is expected soon; return whether it waited.

        A request that was sent before is not held: its caller has waited
        already.
        """
        room = rejection.room
        if room is None or self._held or self._tried:
            return False
        if rejection.refusal not in _HELD_REFUSALS:
            return False
        seconds = adaptive_admission.hold_seconds(
            room, target_seconds=self._call.route.profile.target_seconds
        )
        if seconds is None:
            return False
        self._held = True
        await asyncio.sleep(seconds)
        return True

    async def _end_refused(self, refusal: refusing.Refusal) -> outcomes.Ending:
        return await self._end(
            reason=refusal.reason,
            detail=refusal.detail,
            retry_after_seconds=refusal.retry_after_seconds,
        )

    def record_caller_left(self) -> None:
        """Record that the caller disconnected before its answer was complete."""
        self._pressure.record_caller_left(
            expected_wait_seconds=self._expected_wait_seconds,
            answered=self.first_answer_at is not None,
        )

    def _record_failure_in_overload(self) -> None:
        self._pressure.record_failure(
            expected_wait_seconds=self._expected_wait_seconds,
            answered=self.first_answer_at is not None,
        )

    async def _decide_retry(
        self, choice: choosing.Choice, lost: attempt_result.Lost
    ) -> outcomes.Ending | None:
        """Return how the request ended, or None if it is sent again."""
        now = self._components.clock.monotonic()
        self._record_loss(choice, lost, now)
        if lost.silent and self._mover.choice is not None:
            pool = self._call.pool.name
            self._components.metrics.repeated_sends.labels(pool).inc()
            self._log_retry(retrying.RetryDecision.PAID, now)
            return None
        decision = retrying.decide(self._call, lost, self._sends, now=now)
        if self._relay.events and not self._relay.resume_after:
            # Its events have no ids: a retry would repeat them.
            decision = retrying.RetryDecision.END
        pool = self._call.pool.name
        if decision is retrying.RetryDecision.PAID:
            if self._components.retry_budget.spend(pool, now=now):
                self._components.metrics.repeated_sends.labels(pool).inc()
            else:
                self._components.metrics.denied_repeats.labels(pool).inc()
                decision = retrying.RetryDecision.END
        if decision is retrying.RetryDecision.END:
            if lost.reason is outcomes.Reason.UPSTREAM_REFUSED:
                self._record_failure_in_overload()
            return await self._end_lost(lost)
        self._log_retry(decision, now)
        return None

    def _log_retry(self, decision: retrying.RetryDecision, now: float) -> None:
        budget = self._components.retry_budget
        logs.emit(
            events.LogEvent.REQUEST_RETRIED,
            request_id=self._call.request_id,
            verdict=decision.value,
            reached=self._sends.reached,
            unreached=self._sends.unreached,
            budget_left=round(budget.left(self._call.pool.name, now=now), 1),
            resume_after=self._relay.resume_after,
            version=self._relay.origin and self._relay.origin.version,
        )

    def _record_loss(
        self, choice: choosing.Choice, lost: attempt_result.Lost, now: float
    ) -> None:
        observed = self._silence(lost.upstream)
        self._sends = self._sends.with_lost(lost, seconds=now - self._sent_at)
        self._tried.add(lost.upstream)
        self._current_attempt = None
        if lost.ran is not outcomes.Outcome.NOT_RUN:
            self._earlier_may_have_run = True
        if lost.misdirected:
            self._components.crash_watch.record_misdirected(choice.upstream)
            self._components.directory.mark_gone(
                lost.upstream, source="answer", now=now
            )
        else:
            self._components.ledger.add_failure(
                lost.upstream,
                now=now,
                unreached=not lost.sent,
                silent=lost.silent,
            )
            if lost.reason is outcomes.Reason.UPSTREAM_CONNECT:
                self._components.crash_watch.check_refusal(choice.upstream)
        self._components.metrics.lost_attempts.labels(
            self._call.pool.name, lost.reason.value
        ).inc()
        if lost.silent:
            self._components.metrics.silent_attempts.labels(
                self._call.pool.name, observed.heard_meanwhile.value
            ).inc()
        logs.emit(
            events.LogEvent.UPSTREAM_ATTEMPT_LOST,
            level=logging.WARNING,
            request_id=self._call.request_id,
            upstream=lost.upstream,
            ran=lost.ran.value,
            reason=lost.reason.value,
            detail=lost.detail,
            silent_seconds=observed.seconds,
            bytes_silent_seconds=observed.bytes_seconds,
            upstream_silent_seconds=observed.upstream_seconds,
            heard_upstreams=observed.heard,
            other_upstreams=observed.others,
            attempts_left=self._attempts_left(),
        )

    def _silence(self, upstream: types.UpstreamId) -> run_silence.RunSilence:
        now = self._components.clock.running()
        attempt = self._current_attempt
        return run_silence.observe(
            upstream,
            [one.id for one in self._usable_upstreams()],
            self._components.signs,
            sign_at=now if attempt is None else attempt.sign_at,
            bytes_at=self._relay.bytes_at,
            now=now,
        )

    async def _attempt_at(
        self, choice: choosing.Choice
    ) -> attempt_result.Result:
        components = self._components
        now = self._sent_at = components.clock.monotonic()
        components.admission_floor.record_admission(
            self._call.route.profile.name, now=now
        )
        in_flight = loads.InFlightRequest(
            upstream=choice.upstream.id,
            new_tokens=choice.new_tokens,
            sensitivity=choosing.sensitivity_of(self._call),
            tier=choice.tier,
            overdue_at=loads.overdue_at(
                now=now, expected_seconds=choice.wait_seconds
            ),
            moved=self._mover is not None and self._mover.choice is not None,
        )
        components.ledger.begin(in_flight, now=now)
        if (
            choice.adaptive
            and self._call.pool.engine is not None
            and not self._admitted
        ):
            components.capacity.record_admission(
                self._call,
                tokens=self._chooser.new_tokens(self._call),
                now=now,
            )
        self._expected_wait_seconds = choice.wait_seconds
        components.metrics.new_tokens.labels(self._call.pool.name).inc(
            choice.new_tokens
        )
        self._admitted = True
        affinity_part = self._call.affinity_part
        if affinity_part is not None:
            components.prompt_locations.record_placement(
                affinity_part.id, choice.upstream.id, now=now
            )
        self._mover = run_mover.RunMover(
            call=self._call,
            relay=self._relay,
            upstream=choice.upstream.id,
            sends=self._sends,
            excluded=self._barred,
            tried=frozenset(self._tried),
            chooser=self._chooser,
            components=components,
        )
        self._current_attempt = upstream_attempt.UpstreamAttempt(
            call=self._call,
            exchange=self._exchange,
            relay=self._relay,
            choice=choice,
            in_flight=in_flight,
            mover=self._mover,
            components=components,
        )
        try:
            result = await self._current_attempt.run()
        finally:
            components.ledger.end(in_flight)
            self._pause_waiting_tokens = (
                self._current_attempt.pause_waiting_tokens
            )
        if isinstance(result, attempt_result.Delivered):
            self._complete_at = components.clock.monotonic()
            components.stream_origins.record_complete(self._call.request_id)
        return result

    def _attempts_left(self) -> int:
        """Return at how many more upstreams the request may arrive."""
        max_attempts = self._call.route.profile.maximum_attempts
        return max(0, max_attempts - self._sends.reached)

    # Endings after failed attempts and refusals.

    async def _end_lost(self, lost: attempt_result.Lost) -> outcomes.Ending:
        if lost.answer is not None and not self._exchange.started:
            self._complete_at = self._components.clock.monotonic()
            return await answers.pass_on(
                self._exchange, lost.answer, upstream=lost.upstream
            )
        closed = self._chooser.all_closed(self._call, origin=self._relay.origin)
        return await self._end(
            reason=lost.reason,
            detail=lost.detail,
            upstream=lost.upstream,
            retry_after_seconds=self._refusals.retry_after_closed(closed)
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
        """End a request that has no complete answer from an upstream.

        Parameters
        ----------
        retry_after_seconds
            When the caller may retry a request that has not run; None for the
            default.
        """
        if self._exchange.started:
            # The caller has part of the answer; only closing the connection
            # shows it that the answer is incomplete.
            self._exchange.abort()
            return outcomes.Ending(
                outcome=outcomes.Outcome.PARTIAL,
                reason=reason,
                detail=detail,
                upstream=upstream,
            )
        ending = self._ending_without_answer(reason, detail, upstream)
        not_run = ending.outcome is outcomes.Outcome.NOT_RUN
        if not_run and retry_after_seconds is not None:
            ending = dataclasses.replace(
                ending, retry_after_seconds=retry_after_seconds
            )
        await answers.end_without_answer(
            self._exchange, request_id=self._call.request_id, ending=ending
        )
        return ending

    def _ending_without_answer(
        self,
        reason: outcomes.Reason,
        detail: str,
        upstream: types.UpstreamId | None,
    ) -> outcomes.Ending:
        running = (
            self._current_attempt is not None
            and self._current_attempt.may_have_run
        )
        if self._earlier_may_have_run or running:
            return outcomes.Ending(
                outcome=outcomes.Outcome.UNKNOWN,
                reason=reason,
                detail=detail,
                upstream=upstream,
            )
        remaining_seconds = (
            self._call.limit_at - self._components.clock.monotonic()
        )
        return outcomes.Ending(
            outcome=outcomes.Outcome.NOT_RUN,
            reason=reason,
            detail=detail,
            upstream=upstream,
            retry_after_seconds=answers.retry_after_seconds(
                self._components.rng, remaining_seconds=remaining_seconds
            ),
        )
