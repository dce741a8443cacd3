"""One caller's connection: h11 state, limits and the running exchange."""

import asyncio
import enum
import http
import logging
import traceback
from typing import Protocol

import h11

from lagoonrun_core import clock as clocks
from lagoonrun_core import errors as core_errors
from lagoonrun_core import events, logs, outcomes
from lagoonrun_http import errors, exchange, limits, messages, resetting

_REASONS_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
_LINGER_BYTES = 1 << 20
_REQUEST_LINE_EXTRA_BYTES = len("  HTTP/1.1\r\n\r\n")
_HEADER_EXTRA_BYTES = len(": \r\n")


class ConnectionOwner(Protocol):
    """What a connection tells the server that accepted it."""

    @property
    def stopping(self) -> bool:
        """Whether answers must end their connections."""

    def exchange_began(self, task: "asyncio.Task[None]") -> None:
        """Take note of a running exchange."""

    def exchange_ended(self, task: "asyncio.Task[None]") -> None:
        """Take note that an exchange is over."""

    def connection_opened(self, connection: "ServerConnection") -> bool:
        """Count a connection; refuse it when it is one too many."""

    def connection_closed(self, connection: "ServerConnection") -> None:
        """Forget a connection."""


class _Phase(enum.Enum):
    IDLE = "idle"
    HEAD = "head"
    EXCHANGE = "exchange"
    LINGER = "linger"
    CLOSED = "closed"


class ServerConnection(asyncio.Protocol):
    """Reads requests from one caller and writes the answers in order.

    Parameters
    ----------
    server_limits
        Bounds on the caller.
    handler
        Answers the requests.
    clock
        Source of time for the bounds.
    owner
        Server that accepted the connection.
    """

    def __init__(
        self,
        *,
        server_limits: limits.ServerLimits,
        handler: exchange.ExchangeHandler,
        clock: clocks.Clock,
        owner: ConnectionOwner,
    ) -> None:
        self._limits = server_limits
        self._handler = handler
        self._clock = clock
        self._owner = owner
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server_limits.header_bytes
        )
        self._phase = _Phase.IDLE
        self._deadline: float | None = None
        self._exchange: exchange.Exchange | None = None
        self._peer = ""
        self._drained: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._input_ended = False
        self._lingered_bytes = 0
        self._unsent_bytes = 0
        self._unsent_since = 0.0

    @property
    def reading_head(self) -> bool:
        """Whether part of a request's head has arrived."""
        return self._phase is _Phase.HEAD

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle time of a new connection."""
        self._transport: asyncio.Transport = transport  # type: ignore[assignment]
        peer = transport.get_extra_info("peername") or ("unknown", 0)
        self._peer = f"{peer[0]}:{peer[1]}"
        self._transport.set_write_buffer_limits(
            high=self._limits.write_buffer_bytes
        )
        self._set_deadline(self._limits.idle_seconds)
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Feed bytes to h11 and act on what they complete."""
        if self._phase is _Phase.LINGER:
            self._discard(data)
            return
        if self._phase is _Phase.IDLE:
            self._phase = _Phase.HEAD
            self._set_deadline(self._limits.header_read_seconds)
        self._h11.receive_data(data)
        self._read_events()

    def eof_received(self) -> bool:
        """Take the caller's end of input; the answer can still be written."""
        self._input_ended = True
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
        """Tell the exchange and the server that the caller is gone."""
        self._phase = _Phase.CLOSED
        self._deadline = None
        if self._exchange is not None:
            self._exchange.lose_caller()
        self.resume_writing()
        self._owner.connection_closed(self)

    def pause_writing(self) -> None:
        """Make writers wait: the caller reads more slowly than we write."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let writers go on."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    # The channel of the exchange.

    def ask_for_body(self) -> None:
        """Send `100 Continue` when the caller waits for it."""
        if self._h11.they_are_waiting_for_100_continue:
            self._set_deadline(self._limits.body_read_seconds)
            self._transport.write(
                self._h11.send(
                    h11.InformationalResponse(
                        status_code=100, headers=[], reason=b"Continue"
                    )
                )
            )

    def write_head(self, head: messages.ResponseHead) -> None:
        """Write status line and headers, with the framing that fits."""
        self._transport.write(self._h11.send(self._response(head)))

    def write_whole(self, head: messages.ResponseHead, body: bytes) -> None:
        """Write a whole answer in one piece."""
        framed = [self._h11.send(self._response(head))]
        if body:
            framed.append(self._h11.send(h11.Data(data=body)))
        framed.append(self._h11.send(h11.EndOfMessage()))
        self._transport.write(b"".join(framed))

    def write_data(self, data: bytes) -> None:
        """Write a piece of the body."""
        self._transport.write(self._h11.send(h11.Data(data=data)))

    def write_end(self) -> None:
        """Write the end of the body."""
        self._transport.write(self._h11.send(h11.EndOfMessage()))

    def write_rejection(self, rejection: exchange.Rejection) -> None:
        """Answer a faulty request and end the connection after it."""
        self._write_error(rejection, outcome=outcomes.Outcome.NOT_RUN)
        self._linger()

    async def drained(self) -> None:
        """Wait until the caller has taken enough of what was written."""
        if self._drained is not None:
            await self._drained

    def abort(self) -> None:
        """Reset the connection."""
        resetting.reset(self._transport)

    # Called by the server.

    def refuse(self, rejection: exchange.Rejection) -> None:
        """Answer a connection that is not wanted, before any request."""
        self.write_rejection(rejection)

    def close_if_idle(self) -> None:
        """Close when no byte of a request has arrived."""
        if self._phase is _Phase.IDLE:
            self._close()

    def check_deadlines(self) -> None:
        """Act on the bounds in time that the caller has run over."""
        now = self._clock.monotonic()
        if self._is_write_stalled(now):
            resetting.reset(self._transport)
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
                    self._bound_pipelined()
                    return
                self._take_event(event)
                if type(event) is h11.ConnectionClosed:
                    return
        except h11.RemoteProtocolError as error:
            self._refuse_input(_malformed(error, self._limits))

    def _take_event(self, event: h11.Event) -> None:
        if type(event) is h11.Request:
            self._begin_exchange(event)
        elif type(event) is h11.Data:
            self._take_body(bytes(event.data))
        elif type(event) is h11.EndOfMessage:
            self._deadline = None
            self._exchange.end_body()
        elif type(event) is h11.ConnectionClosed:
            self._close()

    def _begin_exchange(self, request: h11.Request) -> None:
        fault = _head_fault(request, self._limits)
        if fault is not None:
            self._refuse_input(fault)
            return
        self._phase = _Phase.EXCHANGE
        self._set_deadline(self._limits.body_read_seconds)
        if self._h11.they_are_waiting_for_100_continue:
            self._deadline = None
        running = exchange.Exchange(
            head=_request_head(request), peer=self._peer, channel=self
        )
        self._exchange = running
        declared = running.head.headers.get("content-length")
        if declared is not None and int(declared) > self._limits.body_bytes:
            running.reject_body(_too_large(self._limits, declared))
        task = asyncio.get_running_loop().create_task(self._run(running))
        self._owner.exchange_began(task)
        task.add_done_callback(self._owner.exchange_ended)

    def _take_body(self, data: bytes) -> None:
        total = self._exchange.take_body(data)
        if total > self._limits.body_bytes:
            self._exchange.reject_body(_too_large(self._limits, str(total)))
            self._pause_reading()

    def _refuse_input(self, rejection: exchange.Rejection) -> None:
        if self._phase is _Phase.EXCHANGE:
            self._exchange.reject_body(rejection)
            self._pause_reading()
        else:
            self.write_rejection(rejection)

    def _bound_pipelined(self) -> None:
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
            resetting.reset(self._transport)
            raise
        except Exception as error:
            logs.emit(
                events.LogEvent.TASK_FAILED,
                level=logging.ERROR,
                task="exchange",
                peer=self._peer,
                error=type(error).__name__,
                # Without the message, which may quote a caller's text.
                trace="".join(traceback.format_tb(error.__traceback__)),
            )
        self._end_exchange(running)

    def _end_exchange(self, running: exchange.Exchange) -> None:
        if self._phase is _Phase.EXCHANGE:
            if not running.started:
                self._write_error(_NO_ANSWER, outcome=outcomes.Outcome.UNKNOWN)
                self._linger()
            elif running.finished:
                self._start_next_cycle()
            else:
                resetting.reset(self._transport)
        if self._exchange is running:
            self._exchange = None

    def _start_next_cycle(self) -> None:
        if (
            self._h11.our_state is not h11.DONE
            or self._h11.their_state is not h11.DONE
            or self._owner.stopping
        ):
            self._linger()
            return
        self._exchange = None
        self._h11.start_next_cycle()
        self._phase = _Phase.IDLE
        self._set_deadline(self._limits.idle_seconds)
        self._resume_reading()
        pending, at_end = self._h11.trailing_data
        if pending:
            self._phase = _Phase.HEAD
            self._set_deadline(self._limits.header_read_seconds)
            self._read_events()
        elif at_end:
            self._close()

    # Writing.

    def _response(self, head: messages.ResponseHead) -> h11.Response:
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in head.headers
        ]
        if self._owner.stopping or not self._exchange.body_ended:
            headers.append((b"Connection", b"close"))
        return h11.Response(
            status_code=head.status,
            headers=headers,
            reason=_REASONS_BY_STATUS.get(head.status, b""),
        )

    # Ending.

    def _write_error(
        self, rejection: exchange.Rejection, *, outcome: outcomes.Outcome
    ) -> None:
        body = errors.error_body(
            step=core_errors.Step.CALLER_READ,
            field=rejection.field,
            message=rejection.message,
            valid=rejection.valid,
        )
        response = h11.Response(
            status_code=rejection.status,
            headers=[
                (b"Content-Type", b"application/json"),
                (b"Content-Length", str(len(body)).encode()),
                (b"Lagoonrun-Outcome", outcome.value.encode()),
                (b"Connection", b"close"),
            ],
            reason=_REASONS_BY_STATUS.get(rejection.status, b""),
        )
        self._transport.write(self._h11.send(response))
        if self._exchange is None or self._exchange.head.method != "HEAD":
            self._transport.write(self._h11.send(h11.Data(data=body)))
        self._transport.write(self._h11.send(h11.EndOfMessage()))

    def _linger(self) -> None:
        """End the connection without losing what was just written.

        A close with unread input resets the connection, and the reset makes
        the caller's kernel throw away an answer it has not read yet: a 413
        then shows as a broken pipe. Input is discarded for a short while
        after our end of output instead.
        """
        if self._input_ended:
            self._close()
            return
        self._phase = _Phase.LINGER
        self._set_deadline(self._limits.linger_seconds)
        self._resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def _discard(self, data: bytes) -> None:
        self._lingered_bytes += len(data)
        if self._lingered_bytes > _LINGER_BYTES:
            resetting.reset(self._transport)

    def _close(self) -> None:
        self._phase = _Phase.CLOSED
        self._deadline = None
        self._transport.close()

    # Bounds in time.

    def _set_deadline(self, seconds: float) -> None:
        self._deadline = self._clock.monotonic() + seconds

    def _act_on_deadline(self) -> None:
        if self._phase is _Phase.HEAD:
            self._refuse_input(_slow("head", self._limits.header_read_seconds))
        elif self._phase is _Phase.EXCHANGE:
            self._refuse_input(_slow("body", self._limits.body_read_seconds))
        else:
            self._close()

    def _is_write_stalled(self, now: float) -> bool:
        unsent = self._transport.get_write_buffer_size()
        if unsent != self._unsent_bytes or unsent == 0:
            self._unsent_bytes = unsent
            self._unsent_since = now
        return now - self._unsent_since >= self._limits.write_stall_seconds


_NO_ANSWER = exchange.Rejection(
    status=500,
    field="",
    message="the request could not be answered because of an internal fault",
    valid="nothing that the caller sends can mend it",
)


def _request_head(request: h11.Request) -> messages.RequestHead:
    return messages.RequestHead(
        method=request.method.decode("ascii"),
        target=request.target.decode("ascii"),
        headers=messages.Headers(
            pairs=(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in request.headers
            )
        ),
    )


def _head_fault(
    request: h11.Request, server_limits: limits.ServerLimits
) -> exchange.Rejection | None:
    size = len(request.method) + len(request.target)
    size += _REQUEST_LINE_EXTRA_BYTES
    names = set()
    for name, value in request.headers:
        size += len(name) + len(value) + _HEADER_EXTRA_BYTES
        names.add(name)
    if size > server_limits.header_bytes:
        return _head_too_large(server_limits)
    if request.method == b"CONNECT":
        return exchange.Rejection(
            status=405,
            field="method",
            message="CONNECT is not served",
            valid="any other method",
        )
    if b"transfer-encoding" in names:
        return _framing_fault(request, names)
    return None


def _framing_fault(
    request: h11.Request, names: set[bytes]
) -> exchange.Rejection | None:
    """Refuse framing that two readers of the request may read differently.

    With both lengths given, or chunks from an HTTP/1.0 caller, a balancer in
    front may end the request elsewhere than we do; the rest then counts as
    another caller's request (request smuggling).
    """
    if b"content-length" in names or request.http_version < b"1.1":
        return exchange.Rejection(
            status=400,
            field="Transfer-Encoding",
            message="Transfer-Encoding beside Content-Length or in HTTP/1.0",
            valid="either Content-Length, or chunked in HTTP/1.1",
        )
    return None


def _malformed(
    error: h11.RemoteProtocolError, server_limits: limits.ServerLimits
) -> exchange.Rejection:
    if error.error_status_hint == 431:
        return _head_too_large(server_limits)
    return exchange.Rejection(
        status=error.error_status_hint,
        field="request",
        message=f"malformed HTTP: {error}",
        valid="an HTTP/1.1 request",
    )


def _head_too_large(server_limits: limits.ServerLimits) -> exchange.Rejection:
    return exchange.Rejection(
        status=431,
        field="headers",
        message="the request line and headers are too large",
        valid=f"at most {server_limits.header_bytes} bytes",
    )


def _too_large(
    server_limits: limits.ServerLimits, size: str
) -> exchange.Rejection:
    return exchange.Rejection(
        status=413,
        field="body",
        message=f"the body has {size} bytes or more",
        valid=f"at most {server_limits.body_bytes} bytes",
    )


def _slow(part: str, seconds: float) -> exchange.Rejection:
    return exchange.Rejection(
        status=408,
        field=part,
        message=f"the request's {part} did not arrive in time",
        valid=f"the whole {part} within {seconds:g} s",
    )
