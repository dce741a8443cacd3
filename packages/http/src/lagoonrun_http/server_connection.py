"""One caller's connection: h11 state, limits and the running exchange."""

import asyncio
import enum
import logging
import traceback

import h11

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, outcomes
from lagoonrun_http import (
    connection_owner,
    errors,
    exchange,
    limits,
    messages,
    read_buffer,
    rejections,
    request_checks,
    response_writer,
    tcp_reset,
    tunnel,
)

_MAX_LINGER_BYTES = 1 << 20

_IDLE_CLOSE_DELAY_SECONDS = 0.25
"""Time after which idle connections are closed when the server stops. It is
long enough for a request sent before the stop to arrive over any link in use,
and for a busy event loop to read it."""


class _Phase(enum.Enum):
    IDLE = "idle"
    HEAD = "head"
    EXCHANGE = "exchange"
    TUNNEL = "tunnel"
    LINGER = "linger"
    CLOSED = "closed"


class ServerConnection(asyncio.BufferedProtocol):
    """Reads requests from one caller and writes the responses in order.

    Parameters
    ----------
    server_limits
        Limits on the caller.
    handler
        Responds to the requests.
    clock
        Clock of the timeouts.
    owner
        Server that accepted the connection.
    buffer
        Buffer to read into.
    """

    def __init__(
        self,
        *,
        server_limits: limits.ServerLimits,
        handler: exchange.ExchangeHandler,
        clock: clocks.Clock,
        owner: connection_owner.ConnectionOwner,
        buffer: read_buffer.ReadBuffer,
    ) -> None:
        self._limits = server_limits
        self._next_limits = server_limits
        self._handler = handler
        self._clock = clock
        self._owner = owner
        self._read_buffer = buffer
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server_limits.header_bytes
        )
        self._phase = _Phase.IDLE
        self._deadline: float | None = None
        self._exchange: exchange.Exchange | None = None
        self._tunnel: tunnel.TunnelEnd | None = None
        self._peer = ""
        self._reading_paused = False
        self._input_ended = False
        self._closing = False
        self._held_bytes = 0
        self._discarded_bytes = 0

    @property
    def reading_head(self) -> bool:
        """Whether part of a request's head has arrived."""
        return self._phase is _Phase.HEAD

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection and start its idle timeout."""
        self._transport: asyncio.Transport = transport  # type: ignore[assignment]
        peer = transport.get_extra_info("peername") or ("unknown", 0)
        self._peer = f"{peer[0]}:{peer[1]}"
        self._transport.set_write_buffer_limits(
            high=self._limits.write_buffer_bytes
        )
        self._writer = response_writer.ResponseWriter(
            connection=self._h11,
            transport=self._transport,
            stall_seconds=self._limits.write_stall_seconds,
        )
        self._set_deadline(self._limits.idle_seconds)
        if self._owner.stopping:
            # Accepted from the listen queue when the server stopped.
            self.close_if_idle()
        self._owner.on_connection_opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._read_buffer.writable()

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the bytes to h11 and process the events they complete."""
        if self._phase is _Phase.LINGER:
            self._discard(nbytes)
            return
        if self._phase is _Phase.TUNNEL:
            received = self._read_buffer.received(nbytes)
            self._tunnel.data_received(bytes(received))
            return
        if self._phase is _Phase.IDLE:
            self._phase = _Phase.HEAD
            self._set_deadline(self._limits.header_read_seconds)
        self._h11.receive_data(self._read_buffer.received(nbytes))
        self._read_events()

    def eof_received(self) -> bool:
        """Process the caller's end of input; a response can still be sent."""
        self._input_ended = True
        if self._phase is _Phase.TUNNEL:
            self._tunnel.eof_received()
            return False
        if self._phase is _Phase.EXCHANGE:
            running = self._exchange
            self._h11.receive_data(b"")
            if not running.body_ended:
                self._read_events()
            running.caller_left.set()
            return True
        if self._phase is _Phase.HEAD:
            self._h11.receive_data(b"")
            self._read_events()
            return self._phase is not _Phase.CLOSED
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the exchange and the server that the caller disconnected."""
        self._phase = _Phase.CLOSED
        self._deadline = None
        if self._tunnel is not None:
            self._tunnel.connection_lost(error)
        if self._exchange is not None:
            self._exchange.on_connection_lost()
        self._writer.resume()
        self._owner.on_connection_closed(self)

    def pause_writing(self) -> None:
        """Make writers wait: the transport's write buffer is full."""
        if self._tunnel is not None:
            self._tunnel.pause_writing()
        else:
            self._writer.pause()

    def resume_writing(self) -> None:
        """Let writers continue."""
        if self._tunnel is not None:
            self._tunnel.resume_writing()
        else:
            self._writer.resume()

    # Called by the exchange.

    def ask_for_body(self) -> None:
        """Send `100 Continue` if the caller waits for it."""
        if self._h11.they_are_waiting_for_100_continue:
            self._set_deadline(self._limits.body_read_seconds)
            self._writer.write_continue()

    def write_head(self, head: messages.ResponseHead) -> None:
        """Write status line and headers, with the framing that h11 chooses."""
        self._writer.write_head(head, closing=self._must_close())

    def write_whole(self, head: messages.ResponseHead, body: bytes) -> None:
        """Write a whole response in a single write."""
        self._writer.write_whole(head, body, closing=self._must_close())

    def write_data(self, data: bytes) -> None:
        """Write a chunk of the body."""
        self._writer.write_data(data)

    def write_end(self) -> None:
        """Write the end of the body."""
        self._writer.write_end()

    def write_rejection(self, rejection: rejections.Rejection) -> None:
        """Send an error response and end the connection after it."""
        self._write_error(rejection, outcome=outcomes.Outcome.NOT_RUN)
        self._linger()

    def switch_protocol(self, protocol: str, end: tunnel.TunnelEnd) -> None:
        """Write `101 Switching Protocols` and hand the connection over."""
        self._writer.write_switch(protocol)
        received, at_end = self._h11.trailing_data
        self._phase = _Phase.TUNNEL
        self._deadline = None
        self._tunnel = end
        self._resume_reading()
        end.connection_made(self._transport)
        if received:
            end.data_received(bytes(received))
        if at_end:
            end.eof_received()
            self._transport.close()

    @property
    def keeps_up(self) -> bool:
        """Whether the write buffer is below its limit."""
        return self._writer.keeps_up

    async def drained(self) -> None:
        """Wait until the write buffer is below its limit."""
        await self._writer.drained()

    def abort(self) -> None:
        """Reset the connection."""
        tcp_reset.reset(self._transport)

    # Called by the server.

    def refuse(self, rejection: rejections.Rejection) -> None:
        """Send an error response before any request, and close."""
        self.write_rejection(rejection)

    def close_if_idle(self) -> None:
        """Close unless a request arrives within a short delay.

        A request may be unread in the socket's buffer, and a close would
        reset the connection. The delay lets it be read and processed.
        """
        loop = asyncio.get_running_loop()
        loop.call_later(_IDLE_CLOSE_DELAY_SECONDS, self._close_idle)

    def _close_idle(self) -> None:
        if self._phase is _Phase.IDLE:
            self._close()

    def set_limits(self, server_limits: limits.ServerLimits) -> None:
        """Apply limits; a request that has begun keeps those of its start."""
        self._next_limits = server_limits
        if self._phase is _Phase.IDLE:
            self._apply_limits()

    def _apply_limits(self) -> None:
        if self._next_limits == self._limits:
            return
        before, self._limits = self._limits, self._next_limits
        # h11 has no public way to change it on an open connection.
        self._h11._max_incomplete_event_size = self._limits.header_bytes
        if self._deadline is not None:
            self._deadline += self._limits.idle_seconds - before.idle_seconds

    def check_deadlines(self) -> None:
        """Act on the timeouts that have expired."""
        now = self._clock.running()
        if self._writer.is_stalled(now):
            tcp_reset.reset(self._transport)
        elif self._deadline is not None and now >= self._deadline:
            self._deadline = None
            self._act_on_deadline()

    # Reading.

    def _read_events(self) -> None:
        try:
            while self._phase in (_Phase.HEAD, _Phase.EXCHANGE):
                event = self._h11.next_event()
                if event is h11.NEED_DATA:
                    return
                if event is h11.PAUSED:
                    self._limit_pipelined()
                    return
                self._on_event(event)
                if type(event) is h11.ConnectionClosed:
                    return
        except h11.RemoteProtocolError as error:
            self._refuse_input(rejections.malformed(error, self._limits))

    def _on_event(self, event: h11.Event) -> None:
        if type(event) is h11.Request:
            self._start_exchange(event)
        elif type(event) is h11.Data:
            self._on_body_data(bytes(event.data))
        elif type(event) is h11.EndOfMessage:
            self._deadline = None
            self._exchange.end_body()
        elif type(event) is h11.ConnectionClosed:
            self._on_end_of_input()

    def _on_end_of_input(self) -> None:
        """Close, unless a request is still being processed.

        It was read together with pipelined requests and the end of input. A
        close now would lose its response, which is not written yet.
        """
        if self._phase is _Phase.EXCHANGE:
            self._exchange.caller_left.set()
        else:
            self._close()

    def _start_exchange(self, request: h11.Request) -> None:
        fault = request_checks.find_head_fault(request, self._limits)
        if fault is not None:
            self._refuse_input(fault)
            return
        self._phase = _Phase.EXCHANGE
        self._set_deadline(self._limits.body_read_seconds)
        if self._h11.they_are_waiting_for_100_continue:
            self._deadline = None
        running = exchange.Exchange(
            head=request_checks.request_head(request),
            peer=self._peer,
            channel=self,
        )
        self._exchange = running
        declared = running.head.headers.get("content-length")
        if declared is not None and int(declared) > self._limits.body_bytes:
            running.reject_body(
                rejections.body_too_large(self._limits, int(declared))
            )
        task = asyncio.get_running_loop().create_task(self._run(running))
        self._owner.on_exchange_started(task)
        task.add_done_callback(self._owner.on_exchange_finished)

    def _on_body_data(self, data: bytes) -> None:
        total = self._exchange.append_body(data)
        self._held_bytes += len(data)
        if not self._owner.add_held_bytes(len(data)):
            # Each body alone is within its limit, but thousands of them
            # together would exhaust the memory of a small VM.
            self._refuse_input(rejections.held_bodies_too_large(self._limits))
        elif total > self._limits.body_bytes:
            self._refuse_input(rejections.body_too_large(self._limits, total))

    def _refuse_input(self, rejection: rejections.Rejection) -> None:
        if self._phase is _Phase.EXCHANGE:
            self._exchange.reject_body(rejection)
            self._pause_reading()
        else:
            self.write_rejection(rejection)

    def _limit_pipelined(self) -> None:
        held = len(self._h11.trailing_data[0])
        if held > self._limits.pipelined_bytes:
            self._pause_reading()

    def _pause_reading(self) -> None:
        if not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()

    # Running an exchange.

    async def _run(self, running: exchange.Exchange) -> None:
        try:
            await self._handler.handle(running)
        except (errors.RequestRejectedError, errors.CallerLeftError):
            pass
        except asyncio.CancelledError:
            self._release_body()
            tcp_reset.reset(self._transport)
            raise
        except Exception as error:
            logs.emit(
                events.LogEvent.TASK_FAILED,
                level=logging.ERROR,
                task="exchange",
                peer=self._peer,
                error=type(error).__name__,
                # Without the message, which may contain text of the caller.
                trace="".join(traceback.format_tb(error.__traceback__)),
            )
        self._release_body()
        self._end_exchange(running)

    def _release_body(self) -> None:
        self._owner.subtract_held_bytes(self._held_bytes)
        self._held_bytes = 0

    def _end_exchange(self, running: exchange.Exchange) -> None:
        if self._phase is _Phase.EXCHANGE:
            if not running.started:
                self._write_error(
                    rejections.INTERNAL_ERROR, outcome=outcomes.Outcome.UNKNOWN
                )
                self._linger()
            elif running.finished:
                self._start_next_cycle()
            else:
                tcp_reset.reset(self._transport)
        if self._exchange is running:
            self._exchange = None

    def _start_next_cycle(self) -> None:
        if (
            self._h11.our_state is not h11.DONE
            or self._h11.their_state is not h11.DONE
        ):
            self._linger()
            return
        self._exchange = None
        self._h11.start_next_cycle()
        self._phase = _Phase.IDLE
        self._set_deadline(self._limits.idle_seconds)
        self._apply_limits()
        self._resume_reading()
        pending, at_end = self._h11.trailing_data
        if pending:
            self._phase = _Phase.HEAD
            self._set_deadline(self._limits.header_read_seconds)
            self._read_events()
        elif at_end:
            self._close()
        elif self._owner.stopping:
            # The head was sent before the stop and announced no close, so the
            # next request may be on its way.
            self.close_if_idle()

    # Ending.

    def _must_close(self) -> bool:
        if self._closing or self._owner.stopping:
            return True
        return not self._exchange.body_ended

    def _write_error(
        self, rejection: rejections.Rejection, *, outcome: outcomes.Outcome
    ) -> None:
        response = rejections.response(rejection, outcome=outcome)
        self._closing = True
        is_head = self._exchange is not None and (
            self._exchange.head.method == "HEAD"
        )
        self.write_whole(response.head, b"" if is_head else response.body)

    def _linger(self) -> None:
        """Close the connection without losing the response just written.

        A close with unread input resets the connection, and on a reset the
        caller's kernel discards a response that was not read yet: instead of
        a 413 the caller sees a broken pipe. Therefore the write side is closed
        first and input is discarded for a short time (lingering close).
        """
        if self._input_ended:
            self._close()
            return
        self._phase = _Phase.LINGER
        self._set_deadline(self._limits.linger_seconds)
        self._resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > _MAX_LINGER_BYTES:
            tcp_reset.reset(self._transport)

    def _close(self) -> None:
        self._phase = _Phase.CLOSED
        self._deadline = None
        self._transport.close()

    # Timeouts.

    def _set_deadline(self, seconds: float) -> None:
        self._deadline = self._clock.running() + seconds

    def _act_on_deadline(self) -> None:
        if self._phase is _Phase.HEAD:
            self._refuse_input(
                rejections.slow("head", self._limits.header_read_seconds)
            )
        elif self._phase is _Phase.EXCHANGE:
            self._refuse_input(
                rejections.slow("body", self._limits.body_read_seconds)
            )
        else:
            self._close()
