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
from lagoonrun_router import attempt_result, event_splitter
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
        self.resume_after = call.attributes.resumes_after
        self.events = 0
        self.first_event_at: float | None = None
        self.longest_pause_seconds = 0.0

    def now(self) -> float:
        """Return the reading of the clock."""
        return self._clock.monotonic()

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
    ) -> attempt_result.Result:
        """Relay one upstream's events to their end or loss.

        Parameters
        ----------
        on_event
            Called when whole events have arrived, before they are sent on,
            with the seconds since the event before from this upstream.
        """
        passing_on = _PassingOn(
            relay=self, head=response.head, on_event=on_event
        )
        self._last_event_here_at = None
        while True:
            try:
                end = await self._pump(response, passing_on)
            except event_splitter.OversizedEventError as error:
                return self._lost(str(error), upstream)
            if isinstance(end, http_upstream.UpstreamFailure):
                return self._lost(end.detail, upstream)
            if isinstance(end, http_upstream.EndOfBody):
                return await self._finish(
                    passing_on.splitter, response, upstream
                )
            if end is None:
                return self._lost("silent", upstream)
            await self._exchange.drained()

    async def _pump(
        self, response: http_upstream.UpstreamResponse, sink: "_PassingOn"
    ) -> (
        http_upstream.EndOfBody
        | http_upstream.UpstreamFailure
        | http_upstream.SinkFull
        | None
    ):
        """Pass events on to whatever ends them; None for a long silence."""
        sink.arrived_at = self._clock.monotonic()
        while True:
            left = None
            limit = self.silence_seconds()
            if limit is not None:
                silent = self._clock.monotonic() - sink.arrived_at
                left = limit - silent
                if left <= 0.0:
                    return None
            try:
                # One timer for each silence that would be too long, in place
                # of one for each event.
                async with asyncio.timeout(left):
                    return await response.pump(sink)
            except TimeoutError:
                continue

    def pass_on(
        self,
        head: http_messages.ResponseHead,
        whole: bytes,
        last_id: str,
    ) -> bool:
        """Send on whole events; return whether the caller keeps up."""
        self._note_time()
        self._start(head)
        self.events += 1
        if last_id:
            self.resume_after = last_id
        return self._exchange.write(whole)

    def pause_here(self) -> float | None:
        """Return the seconds since this upstream's event before, if any."""
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

    def _start(self, head: http_messages.ResponseHead) -> None:
        if self._exchange.started:
            return
        headers = hop_by_hop.strip(head.headers).without(("Content-Length",))
        self._exchange.write_head(
            http_messages.ResponseHead(status=head.status, headers=headers)
        )

    async def _finish(
        self,
        splitter: event_splitter.EventSplitter,
        response: http_upstream.UpstreamResponse,
        upstream: types.UpstreamId,
    ) -> attempt_result.Result:
        if response.close_delimited and splitter.within_event:
            return self._lost("closed within an event", upstream)
        self._start(response.head)
        await self._exchange.send(splitter.take_rest())
        await self._exchange.finish()
        return attempt_result.Delivered(
            ending=outcomes.Ending(
                outcome=outcomes.Outcome.COMPLETE, upstream=upstream
            )
        )

    def _lost(
        self, detail: str, upstream: types.UpstreamId
    ) -> attempt_result.Lost:
        ran = outcomes.Outcome.UNKNOWN
        if self._exchange.started:
            ran = outcomes.Outcome.PARTIAL
        return attempt_result.Lost(
            ran=ran,
            reason=outcomes.Reason.UPSTREAM_CLOSED,
            detail=detail,
            upstream=upstream,
        )


class _PassingOn:
    """Passes on the whole events of one upstream as they arrive.

    Parameters
    ----------
    relay
        The stream that they belong to.
    head
        Head of the upstream's response.
    on_event
        See `StreamRelay.run`.

    Attributes
    ----------
    arrived_at
        When bytes came last, or the wait for them began.
    """

    def __init__(
        self,
        *,
        relay: StreamRelay,
        head: http_messages.ResponseHead,
        on_event: Callable[[float | None], None],
    ) -> None:
        self._relay = relay
        self._head = head
        self._on_event = on_event
        self.splitter = event_splitter.EventSplitter()
        self.arrived_at = 0.0

    def take(self, data: bytes) -> bool:
        """Take bytes; return whether more may follow at once."""
        self.arrived_at = self._relay.now()
        whole = self.splitter.feed(data)
        if not whole:
            return True
        first = self._relay.first_event_at is None
        self._on_event(self._relay.pause_here())
        keeps_up = self._relay.pass_on(self._head, whole, self.splitter.last_id)
        # From the first event on another silence is too long.
        return keeps_up and not first
