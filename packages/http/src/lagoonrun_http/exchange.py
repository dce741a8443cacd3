"""One request of a caller and its response."""

import asyncio
from typing import Protocol

from lagoonrun_core import errors as core_errors
from lagoonrun_http import errors, hop_by_hop, messages, rejections, tunnel

_STATUSES_WITHOUT_BODY = frozenset((204, 304))


class ExchangeChannel(Protocol):
    """The connection, as the exchange that it carries uses it."""

    def ask_for_body(self) -> None:
        """Send `100 Continue` if the caller waits for it."""

    def write_head(self, head: messages.ResponseHead) -> None:
        """Write status line and headers, with the framing that h11 chooses."""

    def write_whole(self, head: messages.ResponseHead, body: bytes) -> None:
        """Write a whole response in a single write."""

    def write_data(self, data: bytes) -> None:
        """Write a chunk of the body."""

    def write_end(self) -> None:
        """Write the end of the body."""

    def write_rejection(self, rejection: rejections.Rejection) -> None:
        """Send an error response and end the connection after it."""

    def switch_protocol(self, protocol: str, end: tunnel.TunnelEnd) -> None:
        """Write `101 Switching Protocols` and hand the connection over."""

    @property
    def keeps_up(self) -> bool:
        """Whether the write buffer is below its limit."""

    async def drained(self) -> None:
        """Wait until the write buffer is below its limit."""

    def abort(self) -> None:
        """Reset the connection."""


class Exchange:
    """A request, its body, and the methods that send the response.

    Writing to a caller that disconnected raises `errors.CallerLeftError`.

    Parameters
    ----------
    head
        Request line and headers.
    peer
        Address and port of the caller.
    channel
        Connection that carries the exchange.
    """

    def __init__(
        self,
        *,
        head: messages.RequestHead,
        peer: str,
        channel: ExchangeChannel,
    ) -> None:
        self.head = head
        self.peer = peer
        self.caller_left = asyncio.Event()
        self.started = False
        self.finished = False
        self._channel = channel
        self._disconnected = False
        self._omits_body = False
        self._body = bytearray()
        self._body_ended = False
        self._rejection: rejections.Rejection | None = None
        self._body_changed = asyncio.Event()

    async def read_body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        errors.RequestRejectedError
            The body was malformed, slow or too large; the error response has
            been sent.
        errors.CallerLeftError
            The caller disconnected before the end of the body.
        """
        if not self._body_ended and self._rejection is None:
            self._channel.ask_for_body()
            while not (
                self._body_ended or self._rejection or self._disconnected
            ):
                self._body_changed.clear()
                await self._body_changed.wait()
        if self._rejection is not None:
            self._raise_rejection(self._rejection)
        if not self._body_ended:
            raise self._caller_left_error()
        return bytes(self._body)

    async def respond(
        self, *, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        """Send a whole response; its `Content-Length` is set here."""
        self._check_connected()
        if self._has_no_body(status):
            body = b""
        else:
            headers = headers.without(("content-length",)).with_added(
                "Content-Length", str(len(body))
            )
        self.started = True
        self._channel.write_whole(_end_to_end(status, headers), body)
        self.finished = True
        await self._channel.drained()

    async def start(self, head: messages.ResponseHead) -> None:
        """Send the head; without `Content-Length` the body goes in chunks."""
        self.write_head(head)

    def write_head(self, head: messages.ResponseHead) -> None:
        """Write the head; see `start`."""
        self._check_connected()
        self.started = True
        self._omits_body = self._has_no_body(head.status)
        self._channel.write_head(_end_to_end(head.status, head.headers))

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body; waits while the caller reads slowly."""
        if not self.write(data):
            await self._channel.drained()

    def write(self, data: bytes) -> bool:
        """Write a chunk of the body; return whether the caller keeps up."""
        if self._disconnected:
            raise self._caller_left_error()
        if data and not self._omits_body:
            self._channel.write_data(data)
        return self._channel.keeps_up

    async def drained(self) -> None:
        """Wait until the write buffer is below its limit."""
        await self._channel.drained()

    async def finish(self) -> None:
        """End the response."""
        self._check_connected()
        self._channel.write_end()
        self.finished = True

    def switch_protocol(self, protocol: str, end: tunnel.TunnelEnd) -> None:
        """Hand the connection over after a request with `Upgrade`.

        Parameters
        ----------
        protocol
            Name of the protocol that follows.
        end
            Reads and writes the connection from here on.
        """
        self._check_connected()
        self.started = True
        self.finished = True
        self._channel.switch_protocol(protocol, end)

    def abort(self) -> None:
        """Reset the connection, so that the caller detects a cut response."""
        self._channel.abort()

    @property
    def body_ended(self) -> bool:
        """Whether the whole request body has arrived."""
        return self._body_ended

    def append_body(self, data: bytes) -> int:
        """Append a chunk of the body and return the size so far."""
        self._body += data
        return len(self._body)

    def end_body(self) -> None:
        """Record that the body is complete."""
        self._body_ended = True
        self._body_changed.set()

    def reject_body(self, rejection: rejections.Rejection) -> None:
        """Record why the body is rejected; `read_body` then fails."""
        if self._rejection is None:
            self._rejection = rejection
            self._body.clear()
            self._body_changed.set()

    def on_connection_lost(self) -> None:
        """Record that the caller disconnected."""
        self._disconnected = True
        self.caller_left.set()
        self._body_changed.set()

    def _has_no_body(self, status: int) -> bool:
        return self.head.method == "HEAD" or status in _STATUSES_WITHOUT_BODY

    def _raise_rejection(self, rejection: rejections.Rejection) -> None:
        if not self.started and not self._disconnected:
            self.started = True
            self.finished = True
            self._channel.write_rejection(rejection)
        raise errors.RequestRejectedError(
            step=core_errors.Step.CALLER_READ,
            peer=self.peer,
            detail=rejection.message,
            status=rejection.status,
        )

    def _check_connected(self) -> None:
        if self._disconnected:
            raise self._caller_left_error()

    def _caller_left_error(self) -> errors.CallerLeftError:
        return errors.CallerLeftError(
            step=core_errors.Step.CALLER_WRITE,
            peer=self.peer,
            detail="the caller disconnected",
        )


def _end_to_end(
    status: int, headers: messages.Headers
) -> messages.ResponseHead:
    return messages.ResponseHead(
        status=status, headers=hop_by_hop.strip(headers)
    )


class ExchangeHandler(Protocol):
    """Responds to the requests that a server receives."""

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one request; returns when the response is finished."""
