"""Send one call to one upstream, and take what it answers."""

import asyncio

from lagoonrun_core import outcomes, types
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream
from lagoonrun_router import (
    answers,
    attempt_result,
    choosing,
    loads,
    running_requests,
    stream_relay,
)
from lagoonrun_router import call as calls
from lagoonrun_router import components as router_components

_LARGEST_HELD_ANSWER_BYTES = 4 * 1024 * 1024
"""Largest answer of a plain service. It is held until it is whole, so that a
truncated one can be asked for again and is never delivered."""

_OLDEST_CHOICE_SECONDS = 1.0
"""Age from which a choice is not acted on any more.

The process may have stood still between the choice and the first byte; the
upstream may have left meanwhile.
"""

_SILENT_TARGETS = 3.0
"""Silence, in targets, after which a repeatable plain request goes to another
upstream. Three times what is on time: rare in calm, and time is left."""

_REJECTED_LOW = 400

_FAILED_STATUS = 500


class Sending:
    """One send.

    Parameters
    ----------
    call, exchange, relay
        The call, where its answer goes, and how far its stream has got.
    choice
        The upstream, and when it was chosen.
    work
        What the ledger counts for it.
    last
        Whether no other upstream may have the request after this one.
    components
        Shared components of the process.

    Attributes
    ----------
    may_have_run
        Whether a byte of the request may have reached the upstream.
    pause_waiting_tokens
        Prompt tokens that were known to wait at the upstream when the longest
        pause of the stream ended, for the log.
    """

    def __init__(
        self,
        *,
        call: calls.Call,
        exchange: exchanges.Exchange,
        relay: stream_relay.StreamRelay,
        choice: choosing.Choice,
        work: loads.InFlightRequest,
        last: bool,
        components: router_components.Components,
    ) -> None:
        self._call = call
        self._exchange = exchange
        self._relay = relay
        self._choice = choice
        self._work = work
        self._last = last
        self._components = components
        self.may_have_run = False
        self._written_at = choice.decided_at
        self.pause_waiting_tokens = 0
        self._run: running_requests.Run | None = None
        self._longest_pause_seconds = 0.0

    async def run(self) -> attempt_result.Result:
        """Return the answer that the caller has, or why it has none."""
        result: attempt_result.Result | None = None
        try:
            result = await self._exchange_once()
            return result
        finally:
            if self._run is not None:
                self._components.crash_watch.end(
                    self._run, result, self._choice.upstream
                )

    async def _exchange_once(self) -> attempt_result.Result:
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
            async with asyncio.timeout(self._head_seconds()):
                response = await self._components.client.send(
                    http_upstream.UpstreamRequest(
                        head=head,
                        body=self._call.body,
                        request_id=self._call.request_id,
                    ),
                    address=upstream.host,
                    port=upstream.port,
                    fresh=self._components.domains.may_have_dead_connections(
                        upstream.domain, now=now
                    ),
                    may_write=self._may_write,
                )
        except TimeoutError:
            return attempt_result.Lost(
                ran=outcomes.Outcome.UNKNOWN,
                reason=outcomes.Reason.UPSTREAM_TIMEOUT,
                detail="silent",
                upstream=upstream.id,
            )
        if isinstance(response, http_upstream.UpstreamFailure):
            return attempt_result.lost_by(response, upstream=upstream.id)
        self._take_notice(response.head)
        try:
            return await self._take(response, upstream.id)
        finally:
            await response.cancel()

    def _take_notice(self, head: http_messages.ResponseHead) -> None:
        """Take in what the upstream says of itself, whatever it answers."""
        dialect = self._components.dialect
        if dialect.is_misdirected(head):
            return
        self._components.notices.apply_answer(
            self._choice.upstream,
            dialect.read_notice(head),
            sent_at=self._written_at,
        )

    def _may_write(self) -> bool:
        now = self._components.clock.monotonic()
        choice = self._choice
        if now - choice.decided_at > _OLDEST_CHOICE_SECONDS:
            return False
        may = self._components.directory.may_send(choice.upstream.id, now=now)
        may = may and self._components.notices.may_write(
            choice.upstream, has_place=choice.has_place, now=now
        )
        # From here on the request may run; a limit that passes meanwhile
        # must not be told as "not run".
        self.may_have_run = may
        if may:
            self._written_at = now
            self._run = self._components.crash_watch.begin(
                self._call.digest,
                route=self._call.route.name,
                upstream=choice.upstream,
            )
        return may

    def _head_seconds(self) -> float | None:
        """Return how long the head of a response may take; None for no bound.

        Only where the request can be repeated: another upstream may do
        better, and the first one's work is not lost by asking it.
        """
        if self._call.streamed:
            return self._relay.silence_seconds()
        if self._last:
            return None
        return _SILENT_TARGETS * self._call.route.profile.target_seconds

    async def _take(
        self,
        response: http_upstream.UpstreamResponse,
        upstream: types.UpstreamId,
    ) -> attempt_result.Result:
        head = response.head
        dialect = self._components.dialect
        if dialect.is_misdirected(head) or dialect.says_not_run(head):
            return await self._not_run(response, upstream)
        if head.status < _REJECTED_LOW and not dialect.is_genuine(head):
            return attempt_result.Lost(
                ran=outcomes.Outcome.UNKNOWN,
                reason=outcomes.Reason.UPSTREAM_PROTOCOL,
                detail=f"status {head.status} without the upstream's mark",
                upstream=upstream,
            )
        if self._call.streamed and head.status < _REJECTED_LOW:
            return await self._relay.run(
                response,
                upstream=upstream,
                on_event=self._note_event,
            )
        return await self._take_whole(response, upstream)

    def _note_event(self, pause: float | None) -> None:
        if self._run is not None:
            self._run.silent = False
        if self._work.waiting:
            self._components.ledger.first_event(self._work)
            self._note_begun()
        if pause is not None:
            self._note_pause(pause)

    def _note_begun(self) -> None:
        """Count the request as one that an upstream has begun to run."""
        organisation = self._call.organisation
        if self._components.usage is not None and organisation is not None:
            self._components.usage.record_started(organisation.id)

    def _note_pause(self, pause: float) -> None:
        if pause <= self._longest_pause_seconds:
            return
        self._longest_pause_seconds = pause
        limit = self._call.route.longest_pause_seconds
        if limit is not None and pause > limit:
            now = self._components.clock.monotonic()
            load = self._components.ledger.load_of(self._work.upstream, now=now)
            self.pause_waiting_tokens = round(load.waiting_tokens)

    async def _not_run(
        self,
        response: http_upstream.UpstreamResponse,
        upstream: types.UpstreamId,
    ) -> attempt_result.Lost:
        # Read to its end, so that the connection can be used again.
        await response.read_all(_LARGEST_HELD_ANSWER_BYTES)
        return attempt_result.Lost(
            ran=outcomes.Outcome.NOT_RUN,
            reason=outcomes.Reason.UPSTREAM_REFUSED,
            detail=f"the upstream answered {response.head.status}: not run",
            upstream=upstream,
            misdirected=self._components.dialect.is_misdirected(response.head),
        )

    async def _take_whole(
        self,
        response: http_upstream.UpstreamResponse,
        upstream: types.UpstreamId,
    ) -> attempt_result.Result:
        self._note_begun()
        body = await response.read_all(_LARGEST_HELD_ANSWER_BYTES)
        if isinstance(body, http_upstream.UpstreamFailure):
            return attempt_result.lost_by(body, upstream=upstream)
        answer = attempt_result.WholeAnswer(head=response.head, body=body)
        if response.head.status >= _FAILED_STATUS:
            return attempt_result.Lost(
                ran=outcomes.Outcome.FAILED,
                reason=outcomes.Reason.UPSTREAM_FAILED,
                detail=f"the upstream answered {response.head.status}",
                upstream=upstream,
                answer=answer,
            )
        if self._exchange.started:
            # The rest of a stream was asked for, not another answer.
            return attempt_result.Lost(
                ran=outcomes.Outcome.PARTIAL,
                reason=outcomes.Reason.UPSTREAM_PROTOCOL,
                detail=f"status {response.head.status} for a resumed stream",
                upstream=upstream,
            )
        ending = await answers.pass_on(
            self._exchange, answer, upstream=upstream
        )
        return attempt_result.Delivered(ending=ending)
