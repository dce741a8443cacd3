"""Relay the events of one call to its caller, from one or several upstreams.

Only complete events are sent on: a broken upstream may stop within an event,
and a resumed stream has to continue exactly after the last delivered event.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from lagoonrun_core import clock as clocks
from lagoonrun_core import outcomes, types
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import hop_by_hop
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream
from lagoonrun_router import (
    attempt_result,
    event_splitter,
    silence,
    stream_origin,
)
from lagoonrun_router import call as calls

_MAX_SILENCE_TARGETS = 3.0
"""Silence before the first event, as a multiple of the class's target latency,
after which a resumable stream is retried at another upstream. In normal
operation queues delay streams by less than that; an unresponsive runner never
answers."""

_MAX_SILENCE_PAUSES = 3.0
"""The same between two events, as a multiple of the route's longest pause."""

_MIN_SILENCE_SECONDS = 1.0

_READING_PASSES = 2
"""Passes of the event loop in which what has arrived at the sockets is read."""

_Pumped = (
    http_upstream.EndOfBody
    | http_upstream.UpstreamFailure
    | http_upstream.SinkFull
)
"""What ends the relay of events, or interrupts it."""


class StreamRelay:
    """Delivers the stream of one call.

    Parameters
    ----------
    call
        The streamed call.
    exchange
        The HTTP exchange with the caller, which receives the events.
    clock
        Source of time.

    Attributes
    ----------
    resume_after
        Id of the last event that the caller has; empty for none.
    events
        Batches of complete events that were sent on.
    origin
        Where the stream began; None before its first event.
    first_event_at
        Reading of the clock at the first event; None before it.
    longest_pause_seconds
        Longest pause between two consecutive events so far.
    bytes_at
        Reading of the clock without stalls when bytes of an upstream last
        arrived; None before.
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
        self._last_upstream_event_at: float | None = None
        self.resume_after = call.attributes.resumes_after
        self.events = 0
        self.origin: stream_origin.StreamOrigin | None = None
        self.first_event_at: float | None = None
        self.longest_pause_seconds = 0.0
        self.bytes_at: float | None = None

    def running_now(self) -> float:
        """Return the reading of the clock without stalls of this process."""
        return self._clock.running()

    def max_silence_seconds(self) -> float | None:
        """Return the silence after which another upstream may be tried.

        None for a stream that can't be resumed.
        """
        if not self._call.route.resumable:
            return None
        if self.first_event_at is None:
            target = self._call.route.profile.target_seconds
            return max(_MIN_SILENCE_SECONDS, _MAX_SILENCE_TARGETS * target)
        pause = self._call.route.longest_pause_seconds or 1.0
        return max(_MIN_SILENCE_SECONDS, _MAX_SILENCE_PAUSES * pause)

    async def run(
        self,
        response: http_upstream.UpstreamResponse,
        *,
        upstream: types.UpstreamId,
        on_event: Callable[[float | None], None],
        may_move: Callable[[float], bool],
    ) -> attempt_result.Result:
        """Relay one upstream's events until its stream ends or fails.

        Parameters
        ----------
        on_event
            Called when complete events have arrived, before they are sent on,
            with the seconds since the previous event from this upstream; None
            for its first one.
        may_move
            Called with the allowed silence while the stream is silent for
            longer; returns whether it is given up, to go on elsewhere.
        """
        sink = _PassingOn(relay=self, response=response, on_event=on_event)
        self._last_upstream_event_at = None
        while True:
            try:
                end = await self._pump(response, sink, may_move)
            except event_splitter.OversizedEventError as error:
                return self._lost(
                    str(error),
                    upstream,
                    reason=outcomes.Reason.UPSTREAM_PROTOCOL,
                )
            if isinstance(end, http_upstream.UpstreamFailure):
                return self._lost(end.detail, upstream)
            if isinstance(end, http_upstream.EndOfBody):
                return await self._finish(sink, response, upstream)
            if end is None:
                return dataclasses.replace(
                    self._lost("silent", upstream),
                    reason=outcomes.Reason.UPSTREAM_TIMEOUT,
                    silent=True,
                )
            full_at = self._clock.running()
            await self._exchange.drained()
            # Nothing was read meanwhile.
            sink.progress_at += self._clock.running() - full_at

    async def _pump(
        self,
        response: http_upstream.UpstreamResponse,
        sink: "_PassingOn",
        may_move: Callable[[float], bool],
    ) -> _Pumped | None:
        """Send events on; return what ended them, None if it is moved."""
        seconds = self._remaining_seconds(sink)
        while True:
            # One timer for each period of the longest allowed silence,
            # instead of one for each event.
            pumped = await _pump_for(response, sink, seconds)
            if pumped is not None:
                return pumped
            seconds = self._remaining_seconds(sink)
            if seconds > 0.0:
                continue
            # The sockets are read once more: a process that was held up has
            # not done so when its timer fires.
            for _ in range(_READING_PASSES):
                await asyncio.sleep(0.0)
            pumped = await _pump_for(response, sink, 0.0)
            if pumped is not None:
                return pumped
            seconds = self._remaining_seconds(sink)
            if seconds <= 0.0:
                if may_move(self.max_silence_seconds()):
                    return None
                seconds = silence.ASK_AGAIN_SECONDS

    def _remaining_seconds(self, sink: "_PassingOn") -> float | None:
        """Return how long the stream may still be silent; None if for good."""
        allowed_seconds = self.max_silence_seconds()
        if allowed_seconds is None:
            return None
        return allowed_seconds - (self._clock.running() - sink.progress_at)

    def send_events(
        self,
        head: http_messages.ResponseHead,
        events: bytes,
        last_id: str,
    ) -> bool:
        """Send complete events on; return whether the caller keeps up."""
        self._record_event_time()
        self._write_head(head)
        self.events += 1
        if last_id:
            self.resume_after = last_id
        return self._exchange.write(events)

    def send_comments(self, comments: bytes, last_id: str) -> bool:
        """Send comments of a stream that has begun; see `send_events`."""
        if last_id:
            self.resume_after = last_id
        return self._exchange.write(comments)

    def record_upstream_event(self) -> float | None:
        """Record an event; return the seconds since its upstream's last one."""
        now = self._clock.monotonic()
        previous_at, self._last_upstream_event_at = (
            self._last_upstream_event_at,
            now,
        )
        return None if previous_at is None else now - previous_at

    def _record_event_time(self) -> None:
        now = self._clock.monotonic()
        if self.first_event_at is None:
            self.first_event_at = now
        if self._last_event_at is not None:
            pause = now - self._last_event_at
            self.longest_pause_seconds = max(self.longest_pause_seconds, pause)
        self._last_event_at = now

    def _write_head(self, head: http_messages.ResponseHead) -> None:
        if self._exchange.started:
            return
        headers = hop_by_hop.strip(head.headers).without(("Content-Length",))
        self._exchange.write_head(
            http_messages.ResponseHead(status=head.status, headers=headers)
        )

    async def _finish(
        self,
        sink: "_PassingOn",
        response: http_upstream.UpstreamResponse,
        upstream: types.UpstreamId,
    ) -> attempt_result.Result:
        if response.close_delimited and sink.splitter.within_event:
            return self._lost("closed within an event", upstream)
        self._write_head(response.head)
        await self._exchange.send(sink.splitter.pop_remainder())
        await self._exchange.finish()
        return attempt_result.Delivered(
            ending=outcomes.Ending(
                outcome=outcomes.Outcome.COMPLETE, upstream=upstream
            ),
            ended_by_close=response.close_delimited,
        )

    def _lost(
        self,
        detail: str,
        upstream: types.UpstreamId,
        *,
        reason: outcomes.Reason = outcomes.Reason.UPSTREAM_CLOSED,
    ) -> attempt_result.Lost:
        ran = outcomes.Outcome.UNKNOWN
        if self._exchange.started:
            ran = outcomes.Outcome.PARTIAL
        return attempt_result.Lost(
            ran=ran,
            reason=reason,
            detail=detail,
            upstream=upstream,
        )


class _PassingOn:
    """Sends complete events of one upstream on as they arrive.

    Comments before the first event are sent on with it: what a caller has
    received of an answer that never began would have to be continued elsewhere.

    Parameters
    ----------
    relay
        The stream that they belong to.
    response
        The upstream's response.
    on_event
        See `StreamRelay.run`.

    Attributes
    ----------
    progress_at
        Time at which an event with data last arrived, or at which the wait for
        the first one began, without stalls of this process. Other bytes are no
        progress.
    """

    def __init__(
        self,
        *,
        relay: StreamRelay,
        response: http_upstream.UpstreamResponse,
        on_event: Callable[[float | None], None],
    ) -> None:
        self._relay = relay
        self._response = response
        self._on_event = on_event
        self.splitter = event_splitter.EventSplitter()
        self.progress_at = relay.running_now()

    def take(self, data: bytes) -> bool:
        """Consume bytes; return whether more may follow at once."""
        self._relay.bytes_at = self._relay.running_now()
        known_events = self.splitter.events
        complete = self.splitter.feed(data)
        self._check_kept()
        if self.splitter.events == known_events:
            if not complete:
                return True
            # Comments between two events: passed on, but no progress.
            return self._relay.send_comments(complete, self.splitter.last_id)
        self.progress_at = self._relay.bytes_at
        is_first = self._relay.first_event_at is None
        self._on_event(self._relay.record_upstream_event())
        keeps_up = self._relay.send_events(
            self._response.head, complete, self.splitter.last_id
        )
        # The first event changes the longest allowed silence; returning False
        # restarts the timer.
        return keeps_up and not is_first

    def _check_kept(self) -> None:
        kept = self.splitter.buffered_bytes
        allowed = self._response.keep(kept)
        if kept > allowed:
            raise event_splitter.OversizedEventError(
                f"an event of over {kept} bytes beside other long answers; "
                f"valid: <= {allowed}"
            )


async def _pump_for(
    response: http_upstream.UpstreamResponse,
    sink: _PassingOn,
    seconds: float | None,
) -> _Pumped | None:
    """Send events on; return what ended them, None after a time."""
    try:
        async with asyncio.timeout(seconds):
            return await response.pump(sink)
    except TimeoutError:
        return None
