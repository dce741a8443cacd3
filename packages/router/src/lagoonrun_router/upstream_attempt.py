"""Send one call to one upstream, and read its answer."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from lagoonrun_core import outcomes, types
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream
from lagoonrun_router import (
    answers,
    attempt_result,
    choosing,
    load_report,
    loads,
    move_watch,
    run_mover,
    running_requests,
    stream_origin,
    stream_relay,
)
from lagoonrun_router import call as calls
from lagoonrun_router import components as router_components

_MAX_BUFFERED_ANSWER_BYTES = 4 * 1024 * 1024
"""Largest answer of a plain service. Answers are buffered until they are
complete: a truncated one is never delivered, and its request can be retried."""

_MAX_CHOICE_AGE_SECONDS = 1.0
"""Age above which a choice of an upstream is discarded.

The process may have been paused between the choice and the first byte, and the
upstream may have shut down meanwhile.
"""

_MAX_SILENCE_TARGETS = 3.0
"""Silence, as a multiple of the class's target latency, after which an
idempotent plain request is retried at another upstream. Three times the target
is rare in normal operation and leaves time for the retry."""

_LOWEST_ERROR_STATUS = 400

_LOWEST_SERVER_ERROR_STATUS = 500


class UpstreamAttempt:
    """One attempt to get an answer from one upstream.

    Parameters
    ----------
    call, exchange, relay
        The call, its exchange with the caller, and the state of its stream.
    choice
        The chosen upstream, and when it was chosen.
    in_flight
        The entry of the attempt in the load ledger.
    mover
        Decides whether the run is moved while it is silent.
    components
        Shared components of the process.

    Attributes
    ----------
    may_have_run
        Whether a byte of the request may have reached the upstream.
    pause_waiting_tokens
        Prompt tokens that were known to be queued at the upstream when the
        longest pause of the stream ended, for the log.
    sign_at
        Reading of the clock without stalls at the last sign of progress: the
        head or a whole event; when the request was written, before.
    """

    def __init__(
        self,
        *,
        call: calls.Call,
        exchange: exchanges.Exchange,
        relay: stream_relay.StreamRelay,
        choice: choosing.Choice,
        in_flight: loads.InFlightRequest,
        mover: run_mover.RunMover,
        components: router_components.Components,
    ) -> None:
        self._call = call
        self._exchange = exchange
        self._relay = relay
        self._choice = choice
        self._in_flight = in_flight
        self._mover = mover
        self._components = components
        self.may_have_run = False
        self._written_at = choice.decided_at
        self.sign_at = components.clock.running()
        self.pause_waiting_tokens = 0
        self._load_report: load_report.LoadReport | None = None
        self._resumes = bool(relay.resume_after)
        self._run: running_requests.Run | None = None
        self._longest_pause_seconds = 0.0

    async def run(self) -> attempt_result.Result:
        """Send the request; return the delivered answer or the failure."""
        result: attempt_result.Result | None = None
        try:
            result = await self._send_and_read()
            return result
        finally:
            if self._run is not None:
                self._components.crash_watch.end(
                    self._run, result, self._choice.upstream
                )

    async def _send_and_read(self) -> attempt_result.Result:
        upstream = self._choice.upstream
        now = self._components.clock.monotonic()
        head = self._components.dialect.upstream_head(
            self._call,
            upstream=upstream,
            remaining_seconds=self._call.limit_at - now,
            resume_after=self._relay.resume_after,
            urgency=self._call.last_urgency
            if self._choice.stands_back
            else self._call.urgency,
        )
        try:
            async with self._until_moved():
                response = await self._components.client.send(
                    http_upstream.UpstreamRequest(
                        head=head,
                        body=self._call.body,
                        request_id=self._call.request_id,
                    ),
                    address=upstream.host,
                    port=upstream.port,
                    new_connection=self._components.domains.may_have_dead_connections(
                        upstream.domain, now=now
                    ),
                    may_write=self._may_write,
                )
        except TimeoutError:
            return self._moved("silent")
        if isinstance(response, http_upstream.UpstreamFailure):
            return attempt_result.lost_from_failure(
                response, upstream=upstream.id
            )
        self._record_head(response.head)
        self._apply_notice(response.head)
        try:
            return await self._read_answer(response, upstream.id)
        finally:
            await response.cancel()

    @contextlib.asynccontextmanager
    async def _until_moved(self) -> AsyncIterator[None]:
        """Raise TimeoutError once the request goes on elsewhere."""
        async with asyncio.timeout(None) as wait:
            watch = move_watch.MoveWatch(
                wait=wait,
                allowed_seconds=self._max_wait_seconds(),
                may_move=self._may_move,
            )
            watch.start()
            try:
                yield
            finally:
                watch.close()
        if watch.moved:
            # What was awaited arrived while the wait was being ended.
            self._mover.withdraw()

    def _moved(self, detail: str) -> attempt_result.Lost:
        return attempt_result.Lost(
            ran=outcomes.Outcome.UNKNOWN,
            reason=outcomes.Reason.UPSTREAM_TIMEOUT,
            detail=detail,
            upstream=self._choice.upstream.id,
            silent=True,
        )

    def _may_move(self, allowed_seconds: float) -> bool:
        silent_seconds = self._components.clock.running() - self.sign_at
        if not self.may_have_run or silent_seconds < allowed_seconds:
            # Opening a connection has a time limit of its own.
            return False
        return self._mover.may_move(
            silent_seconds=silent_seconds, allowed_seconds=allowed_seconds
        )

    def _record_head(self, head: http_messages.ResponseHead) -> None:
        """Record the head as a sign, unless it shows only that one listens.

        A process may go on to refuse requests, or to begin streams, and never
        produce an event.
        """
        dialect = self._components.dialect
        refused = dialect.is_misdirected(head) or dialect.says_not_run(head)
        if refused or self._call.streamed:
            self.sign_at = self._components.clock.running()
        else:
            self._record_sign()

    def _record_sign(self) -> None:
        upstream = self._choice.upstream
        self.sign_at = self._components.clock.running()
        self._components.signs.record(
            upstream.id, upstream.pool, now=self.sign_at
        )

    def _apply_notice(self, head: http_messages.ResponseHead) -> None:
        """Apply what the upstream says of itself, whatever its status."""
        dialect = self._components.dialect
        if dialect.is_misdirected(head):
            return
        notice = dialect.read_notice(head)
        self._components.notices.apply_answer(
            self._choice.upstream, notice, sent_at=self._written_at
        )
        self._load_report = notice.load
        if notice.load is not None:
            self._components.adaptive.record_report(
                self._choice.upstream,
                notice.load,
                now=self._components.clock.monotonic(),
            )

    def _may_write(self) -> bool:
        now = self._components.clock.monotonic()
        choice = self._choice
        if now - choice.decided_at > _MAX_CHOICE_AGE_SECONDS:
            return False
        directory = self._components.directory
        may_send = directory.may_send
        if self._relay.origin is not None:
            may_send = directory.may_continue
        allowed = may_send(choice.upstream.id, now=now)
        allowed = allowed and self._components.notices.may_write(
            choice.upstream, has_place=choice.has_place, now=now
        )
        # From here on the request may run; if its time limit passes, the
        # caller must not be told that it did not run.
        self.may_have_run = allowed
        if allowed:
            self._written_at = now
            self.sign_at = self._components.clock.running()
            if self._call.route.resumable:
                self._components.stream_origins.record_sent(
                    self._call.request_id,
                    self._call.route,
                    self._relay.origin
                    or stream_origin.origin_at(choice.upstream),
                )
            self._run = self._components.crash_watch.begin(
                self._call.digest,
                route=self._call.route.name,
                upstream=choice.upstream,
                parts=self._call.parts,
            )
        return allowed

    def _max_wait_seconds(self) -> float | None:
        """Return the wait for an answer after which the request may be moved.

        None if it may not: for requests that may run once only.
        """
        if self._call.streamed:
            return self._relay.max_silence_seconds()
        if not self._call.idempotent:
            return None
        return _MAX_SILENCE_TARGETS * self._call.route.profile.target_seconds

    async def _read_answer(
        self,
        response: http_upstream.UpstreamResponse,
        upstream: types.UpstreamId,
    ) -> attempt_result.Result:
        head = response.head
        dialect = self._components.dialect
        if dialect.is_misdirected(head) or dialect.says_not_run(head):
            return await self._read_not_run(response, upstream)
        if head.status < _LOWEST_ERROR_STATUS and not dialect.is_genuine(head):
            return attempt_result.Lost(
                ran=outcomes.Outcome.UNKNOWN,
                reason=outcomes.Reason.UPSTREAM_PROTOCOL,
                detail=f"status {head.status} without the upstream's mark",
                upstream=upstream,
            )
        if self._call.streamed and head.status < _LOWEST_ERROR_STATUS:
            return await self._relay.run(
                response,
                upstream=upstream,
                on_event=self._on_event,
                may_move=self._may_move,
            )
        return await self._read_complete_answer(response, upstream)

    def _on_event(self, pause: float | None) -> None:
        self._record_sign()
        if self._relay.origin is None:
            self._relay.origin = stream_origin.origin_at(self._choice.upstream)
        if self._run is not None:
            self._run.silent = False
        if self._in_flight.waiting:
            self._components.ledger.first_event(self._in_flight)
            self._record_started()
            self._record_prefill()
        if pause is not None:
            self._record_pause(pause)

    def _record_started(self) -> None:
        """Count the request for usage once an upstream has begun to run it."""
        organisation = self._call.organisation
        if self._components.usage is not None and organisation is not None:
            self._components.usage.record_started(organisation.id)

    def _record_prefill(self) -> None:
        """Record how long the upstream took to prefill the prompt.

        A resumed stream is left out: its upstream also prefills the tokens that
        were generated before.
        """
        choice = self._choice
        if not choice.adaptive or self._resumes:
            return
        now = self._components.clock.monotonic()
        self._components.adaptive.speeds.record_prefill(
            choice.upstream.id,
            choice.upstream.start,
            tokens=choice.new_tokens + choice.ahead_tokens,
            seconds=now - self._written_at,
            slowness=self._slowness,
            now=now,
        )

    def _record_service(self) -> None:
        """Record how long a plain service took to answer."""
        choice = self._choice
        if not choice.adaptive or self._call.pool.engine is not None:
            return
        now = self._components.clock.monotonic()
        self._components.adaptive.speeds.record_service(
            choice.upstream.id,
            choice.upstream.start,
            seconds=now - self._written_at,
            slowness=self._slowness,
            now=now,
        )

    @property
    def _slowness(self) -> float | None:
        """How long work took at the upstream; None if its answer has no figure.

        1 is usual.
        """
        return None if self._load_report is None else self._load_report.slowness

    def _record_pause(self, pause: float) -> None:
        if pause <= self._longest_pause_seconds:
            return
        self._longest_pause_seconds = pause
        limit = self._call.route.longest_pause_seconds
        if limit is not None and pause > limit:
            now = self._components.clock.monotonic()
            load = self._components.ledger.load_of(
                self._in_flight.upstream, now=now
            )
            self.pause_waiting_tokens = round(load.waiting_tokens)

    async def _read_not_run(
        self,
        response: http_upstream.UpstreamResponse,
        upstream: types.UpstreamId,
    ) -> attempt_result.Lost:
        await response.skip_rest()
        dialect = self._components.dialect
        # With a version named, the upstream itself may have answered so.
        misdirected = dialect.is_misdirected(
            response.head
        ) and not dialect.names_version(self._call.head)
        return attempt_result.Lost(
            ran=outcomes.Outcome.NOT_RUN,
            reason=outcomes.Reason.UPSTREAM_REFUSED,
            detail=f"the upstream answered {response.head.status}: not run",
            upstream=upstream,
            misdirected=misdirected,
        )

    async def _read_complete_answer(
        self,
        response: http_upstream.UpstreamResponse,
        upstream: types.UpstreamId,
    ) -> attempt_result.Result:
        self._record_started()
        try:
            # Bytes without end are no sign that the answer will be whole.
            async with self._until_moved():
                body = await response.read_all(_MAX_BUFFERED_ANSWER_BYTES)
        except TimeoutError:
            return self._moved("no whole body")
        if isinstance(body, http_upstream.UpstreamFailure):
            return attempt_result.lost_from_failure(body, upstream=upstream)
        if response.head.status < _LOWEST_ERROR_STATUS:
            # Errors are often answered sooner than requests are served.
            self._record_service()
        answer = attempt_result.WholeAnswer(head=response.head, body=body)
        if response.head.status >= _LOWEST_SERVER_ERROR_STATUS:
            return attempt_result.Lost(
                ran=outcomes.Outcome.FAILED,
                reason=outcomes.Reason.UPSTREAM_FAILED,
                detail=f"the upstream answered {response.head.status}",
                upstream=upstream,
                answer=answer,
            )
        if self._exchange.started:
            # The caller already has part of a stream; a complete answer in
            # place of its remaining events can't be delivered.
            return attempt_result.Lost(
                ran=outcomes.Outcome.PARTIAL,
                reason=outcomes.Reason.UPSTREAM_PROTOCOL,
                detail=f"status {response.head.status} for a resumed stream",
                upstream=upstream,
            )
        ending = await answers.pass_on(
            self._exchange, answer, upstream=upstream
        )
        return attempt_result.Delivered(
            ending=ending, ended_by_close=response.close_delimited
        )
