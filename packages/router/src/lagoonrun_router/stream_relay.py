"""Relay the events of one call, from one upstream or several.

Only whole events are passed on: a broken upstream may stop within one, and a
resumed stream has to go on exactly after the last event that was delivered.
"""

import asyncio
from collections.abc import Callable

from lagoonrun_core import clock as clocks
from lagoonrun_core import outcomes, types
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import hop_by_hop
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream
from lagoonrun_router import attempt, event_splitter
from lagoonrun_router import call as calls

_SILENT_TARGETS = 3.0
"""Silence before the first event, in targets, after which a resumable stream
goes on elsewhere. Queues make streams late by less than that in calm; a mute
runner never answers."""

_SILENT_PAUSES = 3.0
"""The same between two events, in longest pauses."""

_LEAST_SILENCE_SECONDS = 1.0


class StreamRelay:
    """Deliver one stream.

    Parameters
    ----------
    call
        The streamed call.
    exchange
        Where its answer goes.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        call: calls.Call,
        exchange: exchanges.Exchange,
        clock: clocks.Clock,
    ) -> None:
        self._call = call
        self._exchange = exchange
        self._clock = clock
        self._last_event_at: float | None = None
        self._last_event_here_at: float | None = None
        self.resume_after = call.features.resumes_after
        self.events = 0
        self.first_event_at: float | None = None
        self.longest_pause_seconds = 0.0

    def silence_seconds(self) -> float | None:
        """Return the silence that makes this stream go on elsewhere."""
        if not self._call.route.resumable:
            return None
        if self.first_event_at is None:
            target = self._call.route.profile.target_seconds
            return max(_LEAST_SILENCE_SECONDS, _SILENT_TARGETS * target)
        pause = self._call.route.longest_pause_seconds or 1.0
        return max(_LEAST_SILENCE_SECONDS, _SILENT_PAUSES * pause)

    async def run(
        self,
        response: http_upstream.UpstreamResponse,
        *,
        upstream: types.UpstreamId,
        on_event: Callable[[float | None], None],
    ) -> attempt.Result:
        """Relay one upstream's events to their end or loss.

        Parameters
        ----------
        on_event
            Called when whole events have arrived, before they are sent on,
            with the seconds since the event before from this upstream.
        """
        splitter = event_splitter.EventSplitter()
        self._last_event_here_at = None
        while True:
            try:
                async with asyncio.timeout(self.silence_seconds()):
                    chunk = await response.next_chunk()
            except TimeoutError:
                return self._lost("silent", upstream)
            if isinstance(chunk, http_upstream.UpstreamFailure):
                return self._lost(chunk.detail, upstream)
            if isinstance(chunk, http_upstream.EndOfBody):
                return await self._finish(splitter, response, upstream)
            try:
                whole = splitter.feed(chunk)
            except event_splitter.OversizedEventError as error:
                return self._lost(str(error), upstream)
            if whole:
                on_event(self._pause_here())
                await self._pass_on(response.head, whole, splitter)

    async def _pass_on(
        self,
        head: http_messages.ResponseHead,
        whole: bytes,
        splitter: event_splitter.EventSplitter,
    ) -> None:
        self._note_time()
        await self._start(head)
        self.events += 1
        if splitter.last_id:
            self.resume_after = splitter.last_id
        await self._exchange.send(whole)

    def _pause_here(self) -> float | None:
        now = self._clock.monotonic()
        before, self._last_event_here_at = self._last_event_here_at, now
        return None if before is None else now - before

    def _note_time(self) -> None:
        now = self._clock.monotonic()
        if self.first_event_at is None:
            self.first_event_at = now
        if self._last_event_at is not None:
            pause = now - self._last_event_at
            self.longest_pause_seconds = max(self.longest_pause_seconds, pause)
        self._last_event_at = now

    async def _start(self, head: http_messages.ResponseHead) -> None:
        if self._exchange.started:
            return
        headers = hop_by_hop.strip(head.headers).without(("Content-Length",))
        await self._exchange.start(
            http_messages.ResponseHead(status=head.status, headers=headers)
        )

    async def _finish(
        self,
        splitter: event_splitter.EventSplitter,
        response: http_upstream.UpstreamResponse,
        upstream: types.UpstreamId,
    ) -> attempt.Result:
        if response.close_delimited and splitter.within_event:
            return self._lost("closed within an event", upstream)
        await self._start(response.head)
        await self._exchange.send(splitter.take_rest())
        await self._exchange.finish()
        return attempt.Delivered(
            ending=outcomes.Ending(
                outcome=outcomes.Outcome.COMPLETE, upstream=upstream
            )
        )

    def _lost(self, detail: str, upstream: types.UpstreamId) -> attempt.Lost:
        ran = outcomes.Outcome.UNKNOWN
        if self._exchange.started:
            ran = outcomes.Outcome.PARTIAL
        return attempt.Lost(
            ran=ran,
            reason=outcomes.Reason.UPSTREAM_CLOSED,
            detail=detail,
            upstream=upstream,
        )
