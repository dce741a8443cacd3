"""One connection to an upstream: h11 state and the current response."""

import asyncio
import re
from typing import Protocol

import h11

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_http import (
    held_bytes,
    hop_by_hop,
    limits,
    messages,
    parse_queue,
    read_buffer,
    tcp_keepalive,
    tcp_reset,
    upstream_messages,
    upstream_response,
)

_Stage = upstream_messages.FailureStage
_HEADERS_SET_BY_CLIENT = (
    "content-length",
    "expect",
    upstream_messages.REQUEST_ID_HEADER,
)
_MAX_JOINED_BODY_BYTES = 64 * 1024
_MAX_UNREAD_BYTES = 32 * 1024
"""Body that the kernel of an upstream takes while the process reads nothing; the
first receive window of Linux is 64 KiB."""

_ANNOUNCED_IDLE = re.compile(r"timeout=(\d{1,6})")
_ANNOUNCED_IDLE_FRACTION = 0.75
"""Leaves a quarter as a margin for a delayed request and clock differences."""


class ConnectionPool(Protocol):
    """The pool, as the connections that belong to it use it."""

    def release_connection(self, connection: "UpstreamConnection") -> None:
        """Return a connection to the pool after its response."""

    def on_connection_closed(self, connection: "UpstreamConnection") -> None:
        """Remove a closed connection."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """Sends one request at a time and reads the response to it.

    Parameters
    ----------
    client_limits
        Limits on the upstream.
    clock
        Clock of the timeouts.
    pool
        Pool that the connection belongs to.
    buffer
        Buffer to read into.
    held
        Bytes that all responses hold.
    parse_queue
        Queue for responses that have many small parts.
    address, port
        The upstream.
    """

    def __init__(
        self,
        *,
        client_limits: limits.ClientLimits,
        clock: clocks.Clock,
        pool: ConnectionPool,
        buffer: read_buffer.ReadBuffer,
        held: held_bytes.HeldBytes,
        parse_queue: parse_queue.ParseQueue,
        address: str,
        port: int,
    ) -> None:
        self.address = address
        self.port = port
        self.opened_at = clock.monotonic()
        self.idle_since = 0.0
        self.idle_seconds = client_limits.idle_seconds
        self.last_request_id: types.RequestId | None = None
        self.closed = False
        self.is_forwarded = False
        """Whether another process of the fleet forwards the connection."""

        self._retired = False
        self._peer = f"{address}:{port}"
        self._limits = client_limits
        self._clock = clock
        self._pool = pool
        self._read_buffer = buffer
        self._held = held
        self._parse_queue = parse_queue
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=client_limits.header_bytes
        )
        self._head: (
            asyncio.Future[
                upstream_response.UpstreamResponse
                | upstream_messages.UpstreamFailure
            ]
            | None
        ) = None
        self._response: upstream_response.UpstreamResponse | None = None
        self._method = ""
        self._write_attempted = False
        self._responded_early = False
        self._reading_paused = False
        self._last_progress = 0.0
        self._unsent_bytes = 0
        self._bytes_before_head = 0
        self._informational_responses = 0
        self._framing_bytes = 0
        """Bytes of the body read so far less twice its data: the bytes that
        are no data, beyond as many as there are data bytes."""
        self._continuing = False
        """Whether bytes that were read are still to be parsed."""
        self._unacknowledged_limited = True

    @property
    def busy(self) -> bool:
        """Whether a response is awaited or being read."""
        return self._head is not None or self._response is not None

    async def exchange(
        self, request: upstream_messages.UpstreamRequest
    ) -> upstream_response.UpstreamResponse | upstream_messages.UpstreamFailure:
        """Write the request and wait for the head of its response."""
        self.last_request_id = request.request_id
        self._method = request.head.method
        self._bytes_before_head = 0
        self._informational_responses = 0
        self._framing_bytes = 0
        self._head = asyncio.get_running_loop().create_future()
        head = self._head
        self._last_progress = self._clock.running()
        try:
            self._write(request)
            return await head
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            self._fail(_Stage.PROTOCOL, f"the request cannot be sent: {error}")
            return head.result()
        except asyncio.CancelledError:
            # Nobody waits for the response any more: without the reset the
            # upstream would continue work that nobody reads.
            self.abort()
            raise

    def abort(self) -> None:
        """Reset the connection, which cancels the upstream's work."""
        self.closed = True
        tcp_reset.reset(self._transport)

    def close_idle(self) -> None:
        """Close gracefully; no request may be in flight."""
        self.closed = True
        self._transport.close()

    def retire(self) -> None:
        """Send no further request; close once no request is in flight."""
        self._retired = True
        if not self.busy and not self.closed:
            self._pool.on_connection_closed(self)
            self.close_idle()

    def resume_reading(self) -> None:
        """Continue reading after the consumer has read the held bytes."""
        if self._reading_paused and not self.closed:
            self._reading_paused = False
            self._last_progress = self._clock.running()
            if not self._continuing:
                self._transport.resume_reading()

    def check_deadlines(self, now: float) -> None:
        """Fail the response when the upstream makes no progress."""
        unsent = self._transport.get_write_buffer_size()
        if unsent != self._unsent_bytes:
            self._unsent_bytes = unsent
            self._last_progress = now
        if self._reading_paused:
            return
        waited = now - self._last_progress
        if unsent:
            allowed, what = self._limits.write_stall_seconds, "request taken"
        elif self._head is not None:
            allowed, what = self._limits.head_seconds, "response head"
        else:
            allowed, what = self._limits.body_idle_seconds, "body bytes"
        if waited >= allowed:
            self._fail(_Stage.TIMEOUT, f"no {what} within {allowed:g} s")

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable keep-alive probes."""
        self._transport: asyncio.Transport = transport  # type: ignore[assignment]
        tcp_keepalive.enable(
            self._transport,
            within_seconds=self._limits.unacknowledged_seconds,
        )

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._read_buffer.writable()

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the bytes to h11 and process the events they complete."""
        if not self.busy:
            # A late or duplicated response. If the connection were reused, it
            # would be read as the response to the next request.
            self.abort()
            return
        if self._response is not None:
            # Not for a head: one sent byte by byte would never time out.
            self._last_progress = self._clock.running()
            self._framing_bytes += nbytes
        else:
            self._bytes_before_head += nbytes
        if self._transport.get_write_buffer_size():
            self._responded_early = True
        self._h11.receive_data(self._read_buffer.received(nbytes))
        if not self._continuing:
            self._read_events()

    def eof_received(self) -> bool:
        """Process the upstream's end of output."""
        if self.busy:
            self._h11.receive_data(b"")
            self._read_events(all_at_once=True)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Leave the pool and fail the awaited response."""
        if self._continuing and not self.closed:
            self._read_events(all_at_once=True)
        self.closed = True
        self._pool.on_connection_closed(self)
        if self.busy:
            cause = f"reset ({error})" if error else "closed"
            self._fail(self._read_stage(), f"the upstream {cause} early")

    # Writing.

    def _write(self, request: upstream_messages.UpstreamRequest) -> None:
        body = request.body
        head = self._h11.send(_h11_request(request, self._peer))
        framed = self._h11.send(h11.Data(data=body)) if body else b""
        framed += self._h11.send(h11.EndOfMessage())
        self._limit_unacknowledged(len(framed))
        # From here on the upstream may run the request. Set before the write,
        # so that a failure of the write itself reports it as well.
        self._write_attempted = True
        if len(framed) <= _MAX_JOINED_BODY_BYTES:
            self._transport.write(head + framed)
        else:
            self._transport.write(head)
            self._transport.write(framed)

    def _limit_unacknowledged(self, body_bytes: int) -> None:
        """Let a process read a long body late, as long as its host answers."""
        is_limited = body_bytes <= _MAX_UNREAD_BYTES
        if is_limited is not self._unacknowledged_limited:
            self._unacknowledged_limited = is_limited
            tcp_keepalive.set_unacknowledged_limit(
                self._transport,
                self._limits.unacknowledged_seconds if is_limited else None,
            )

    # Reading.

    def _read_events(self, *, all_at_once: bool = False) -> None:
        """Parse what was read.

        Parameters
        ----------
        all_at_once
            Whether to parse all of it, however many parts it has, because the
            connection has ended.
        """
        self._continuing = False
        # Joined, so that many small chunks cost the reader only one call.
        parts: list[bytes] = []
        failed: tuple[upstream_messages.FailureStage, str] | None = None
        count = 0
        try:
            while self.busy and not self.closed:
                if (
                    not all_at_once
                    and count == self._limits.events_per_callback
                ):
                    self._continue_later()
                    break
                count += 1
                event = self._h11.next_event()
                kind = type(event)
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                if kind is h11.Data:
                    parts.append(bytes(event.data))
                elif kind is h11.Response:
                    self._on_response_head(event)
                elif kind is h11.InformationalResponse:
                    self._on_informational_response()
                elif kind is h11.EndOfMessage:
                    self._take(parts)
                    parts = []
                    self._end_response()
                elif kind is h11.ConnectionClosed:
                    break
        except h11.RemoteProtocolError as error:
            stage = _Stage.PROTOCOL
            if self._h11.their_state is h11.ERROR and self._at_eof():
                stage = self._read_stage()
            failed = (stage, f"not a whole HTTP response: {error}")
        self._take(parts)
        if failed is not None:
            self._fail(*failed)
        self._check_bounds()
        self._limit_held()

    def _continue_later(self) -> None:
        """Parse the rest when the other connections have had a turn."""
        self._continuing = True
        self._transport.pause_reading()
        self._parse_queue.add(self)

    def continue_parsing(self) -> None:
        """Parse some more of what was read; see `ParsedConnection`."""
        if self.closed or not self._continuing:
            return
        self._read_events()
        if not (self._continuing or self._reading_paused or self.closed):
            self._transport.resume_reading()

    def _take(self, parts: list[bytes]) -> None:
        if parts and self._response is not None:
            data = parts[0] if len(parts) == 1 else b"".join(parts)
            self._framing_bytes -= 2 * len(data)
            self._response.take(data)

    def _on_informational_response(self) -> None:
        self._informational_responses += 1
        allowed = self._limits.informational_responses
        if self._informational_responses > allowed:
            self._fail(
                _Stage.PROTOCOL,
                f"{self._informational_responses} informational responses; "
                f"valid: <= {allowed}",
            )

    def _check_bounds(self) -> None:
        """Fail the response if too much was read that is none of its data."""
        if self.closed:
            return
        if self._head is not None:
            read, allowed = self._bytes_before_head, self._limits.header_bytes
            what = "before the end of the response head"
        else:
            read, allowed = self._framing_bytes, self._limits.framing_bytes
            if self._continuing:
                read -= len(self._h11.trailing_data[0])
            what = "of chunk framing beyond the size of the data"
        if self.busy and read > allowed:
            self._fail(
                _Stage.PROTOCOL, f"{read} bytes {what}; valid: <= {allowed}"
            )

    def _at_eof(self) -> bool:
        return self._h11.trailing_data[1]

    def _on_response_head(self, response: h11.Response) -> None:
        head = _response_head(response)
        echoed = head.headers.get_all(upstream_messages.REQUEST_ID_HEADER)
        if not echoed or set(echoed) != {self.last_request_id}:
            # A crossed, late or duplicated response belongs to another
            # request. Only the id shows it, so nothing of it is delivered.
            self._fail(
                _Stage.MISMATCH,
                f"answer to {echoed!r}, not to {self.last_request_id!r}",
            )
            return
        fault = _framing_fault(head)
        if fault:
            self._fail(_Stage.PROTOCOL, fault)
            return
        self._apply_announced_idle_time(head)
        self._response = upstream_response.UpstreamResponse(
            head=messages.ResponseHead(
                status=head.status, headers=hop_by_hop.strip(head.headers)
            ),
            connection=self,
            held=self._held,
            close_delimited=self._is_close_delimited(head),
        )
        self._last_progress = self._clock.running()
        waiting = self._head
        self._head = None
        if not waiting.done():
            waiting.set_result(self._response)

    def _apply_announced_idle_time(self, head: messages.ResponseHead) -> None:
        """Set an idle timeout that is shorter than the upstream's.

        If the upstream closes the connection while a request is in flight, it
        is unknown whether the request ran.
        """
        match = _ANNOUNCED_IDLE.search(head.headers.get("Keep-Alive") or "")
        if match:
            self.idle_seconds = min(
                self._limits.max_idle_seconds,
                int(match[1]) * _ANNOUNCED_IDLE_FRACTION,
            )

    def _is_close_delimited(self, head: messages.ResponseHead) -> bool:
        if self._method == "HEAD" or head.status in (204, 304):
            return False
        framings = ("content-length", "transfer-encoding")
        return not any(name in head.headers for name in framings)

    def _end_response(self) -> None:
        response = self._response
        self._response = None
        response.end()
        if self._is_reusable():
            self._h11.start_next_cycle()
            self._write_attempted = False
            self.resume_reading()
            self.idle_since = self._clock.monotonic()
            self._pool.release_connection(self)
        else:
            self.abort()

    def _is_reusable(self) -> bool:
        """Whether another request may be sent on this connection.

        Not after a response that began before its request was sent completely,
        nor with bytes after the end of the response: they belong to another
        request, and would be taken for the response to the next one.
        """
        return (
            self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and self._h11.trailing_data == (b"", False)
            and not self._responded_early
            and not self._retired
            and not self.closed
        )

    def _limit_held(self) -> None:
        if (
            self._response is not None
            and self._response.held_bytes > self._limits.read_buffer_bytes
            and not self._reading_paused
        ):
            self._reading_paused = True
            self._transport.pause_reading()

    # Failing.

    def _read_stage(self) -> upstream_messages.FailureStage:
        if self._head is None:
            return _Stage.READ_BODY
        if self._transport.get_write_buffer_size():
            return _Stage.WRITE
        return _Stage.READ_HEAD

    def _fail(self, stage: upstream_messages.FailureStage, detail: str) -> None:
        failure = upstream_messages.UpstreamFailure(
            stage=stage,
            write_attempted=self._write_attempted,
            detail=detail,
            peer=self._peer,
        )
        waiting, response = self._head, self._response
        self._head = None
        self._response = None
        if waiting is not None and not waiting.done():
            waiting.set_result(failure)
        if response is not None:
            response.fail(failure)
        self.abort()


def _h11_request(
    request: upstream_messages.UpstreamRequest, peer: str
) -> h11.Request:
    headers = hop_by_hop.strip(request.head.headers).without(
        _HEADERS_SET_BY_CLIENT
    )
    pairs = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers
    ]
    if headers.get("host") is None:
        pairs.insert(0, (b"Host", peer.encode("ascii")))
    if request.body or request.head.method in ("POST", "PUT", "PATCH"):
        length = str(len(request.body)).encode("ascii")
        pairs.append((b"Content-Length", length))
    name = upstream_messages.REQUEST_ID_HEADER.encode("ascii")
    pairs.append((name, request.request_id.encode("ascii")))
    return h11.Request(
        method=request.head.method.encode("ascii"),
        target=request.head.target.encode("ascii"),
        headers=pairs,
    )


def _response_head(response: h11.Response) -> messages.ResponseHead:
    return messages.ResponseHead(
        status=response.status_code,
        headers=messages.Headers(
            pairs=(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in response.headers
            )
        ),
    )


def _framing_fault(head: messages.ResponseHead) -> str:
    headers = head.headers
    if "transfer-encoding" in headers and "content-length" in headers:
        return "both Transfer-Encoding and Content-Length; valid: one of them"
    return ""
