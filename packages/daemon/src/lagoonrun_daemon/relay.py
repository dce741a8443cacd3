"""Relay a streamed response from upstreams to one caller.

Only complete events are forwarded: bytes after the last event boundary are
buffered until the event is complete. Thus an error event is never written
inside another event, and a resumed stream continues exactly after the last
delivered event.
"""

import asyncio
import json

from lagoonrun_config import model
from lagoonrun_core import clock as clocks
from lagoonrun_core import outcomes, types
from lagoonrun_daemon import answers, attempt, permit_types
from lagoonrun_daemon import call as calls
from lagoonrun_http import hop_by_hop, sse
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream

RESUME_HEADER = "X-Resume-Offset"
"""Number of events that were delivered before a stream is resumed."""

_MAX_EVENT_BYTES = 1024 * 1024


class StreamRelay:
    """Deliver one stream, from several upstreams if it is resumed.

    Parameters
    ----------
    call
        The streamed call.
    clock
        Source of time.
    """

    def __init__(self, *, call: calls.Call, clock: clocks.Clock) -> None:
        self._call = call
        self._clock = clock
        self.delivered_events = 0
        self.first_token_at: float | None = None

    async def run(
        self,
        response: http_upstream.UpstreamResponse,
        permit: permit_types.Permit,
        scope: asyncio.Timeout,
    ) -> outcomes.Ending | attempt.Lost:
        """Relay one upstream's response until it ends or is lost.

        Parameters
        ----------
        scope
            Cancels the request at the profile's limit; lifted by the first
            token if the profile's target is the first token.
        """
        sent_at = permit.granted_at
        await self._start(response.head)
        scanner = sse.EventScanner()
        held = b""
        passed = 0
        before = self.delivered_events
        while True:
            chunk = await response.next_chunk()
            if not isinstance(chunk, bytes):
                break
            scanner.feed(chunk)
            held += chunk
            whole = scanner.boundary - passed
            if whole <= 0:
                if len(held) > _MAX_EVENT_BYTES:
                    return self._oversized(permit)
                continue
            if permit.first_token_seconds == 0.0:
                now = self._clock.monotonic()
                permit.first_token_seconds = now - sent_at
                if self.first_token_at is None:
                    self.first_token_at = now
                self._lift_limit(scope)
            await self._call.exchange.send(held[:whole])
            held = held[whole:]
            passed = scanner.boundary
            permit.tokens = scanner.events
            self.delivered_events = before + scanner.events
        if isinstance(chunk, http_upstream.UpstreamFailure):
            return self._lost(permit, chunk.detail)
        if not scanner.done:
            return self._lost(permit, "the stream ended without [DONE]")
        return await self._finish_complete(permit.upstream)

    async def end_partial(
        self, reason: outcomes.Reason, upstream: types.UpstreamId | None
    ) -> outcomes.Ending:
        """End a started stream with an explicit error event."""
        ending = outcomes.Ending(
            outcome=outcomes.Outcome.PARTIAL,
            reason=reason,
            upstream=upstream,
        )
        await self._call.exchange.send(self._error_event(ending))
        await self._call.exchange.finish()
        return ending

    def _lift_limit(self, scope: asyncio.Timeout) -> None:
        kind = self._call.resolved.profile.target_kind
        if kind is model.TargetKind.FIRST_TOKEN and not scope.expired():
            scope.reschedule(None)

    async def _start(self, head: http_messages.ResponseHead) -> None:
        if self._call.exchange.started:
            return
        headers = hop_by_hop.strip(head.headers).without(
            ("Content-Length", "X-Request-Id")
        )
        headers = headers.with_added(
            answers.REQUEST_ID_HEADER, self._call.request_id
        )
        await self._call.exchange.start(
            http_messages.ResponseHead(status=head.status, headers=headers)
        )

    async def _finish_complete(
        self, upstream: types.UpstreamId
    ) -> outcomes.Ending:
        await self._call.exchange.finish()
        return outcomes.Ending(
            outcome=outcomes.Outcome.COMPLETE, upstream=upstream
        )

    def _lost(self, permit: permit_types.Permit, detail: str) -> attempt.Lost:
        return attempt.Lost(
            ran=outcomes.Outcome.PARTIAL,
            reason=outcomes.Reason.UPSTREAM_CLOSED,
            detail=detail,
            upstream=permit.upstream,
        )

    def _oversized(self, permit: permit_types.Permit) -> attempt.Lost:
        return attempt.Lost(
            ran=outcomes.Outcome.PARTIAL,
            reason=outcomes.Reason.UPSTREAM_PROTOCOL,
            detail=f"an event is larger than {_MAX_EVENT_BYTES} bytes",
            upstream=permit.upstream,
        )

    def _error_event(self, ending: outcomes.Ending) -> bytes:
        body = json.dumps(
            {
                "error": {
                    "message": "the answer is incomplete",
                    "type": "lagoonrun",
                    "outcome": ending.outcome.value,
                    "reason": ending.reason.value,
                    "request_id": self._call.request_id,
                }
            }
        )
        return f"event: error\ndata: {body}\n\n".encode()
