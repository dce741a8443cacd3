"""One request of a caller and the answer to it."""

import asyncio
from typing import Protocol

from lagoonrun_core import errors as core_errors
from lagoonrun_http import errors, hop_by_hop, messages, rejections

_BODILESS_STATUSES = frozenset((204, 304))


class ExchangeChannel(Protocol):
    """What an exchange needs of the connection that carries it."""

    def ask_for_body(self) -> None:
        """Send `100 Continue` when the caller waits for it."""

    def write_head(self, head: messages.ResponseHead) -> None:
        """Write status line and headers, with the framing that fits."""

    def write_whole(self, head: messages.ResponseHead, body: bytes) -> None:
        """Write a whole answer in one piece."""

    def write_data(self, data: bytes) -> None:
        """Write a piece of the body."""

    def write_end(self) -> None:
        """Write the end of the body."""

    def write_rejection(self, rejection: rejections.Rejection) -> None:
        """Answer a faulty request and end the connection after it."""

    @property
    def keeps_up(self) -> bool:
        """Whether the caller has taken enough of what was written."""

    async def drained(self) -> None:
        """Wait until the caller has taken enough of what was written."""

    def abort(self) -> None:
        """Reset the connection."""


class Exchange:
    """A request, its body, and the way to answer it.

    Writing to a caller that is gone raises `errors.CallerLeftError`.

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
        self._lost = False
        self._bodiless = False
        self._body = bytearray()
        self._body_ended = False
        self._rejection: rejections.Rejection | None = None
        self._body_changed = asyncio.Event()

    async def read_body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        errors.RequestRejectedError
            The body was faulty, slow or too large; the caller has its answer.
        errors.CallerLeftError
            The caller disconnected before the end of the body.
        """
        if not self._body_ended and self._rejection is None:
            self._channel.ask_for_body()
            while not (self._body_ended or self._rejection or self._lost):
                self._body_changed.clear()
                await self._body_changed.wait()
        if self._rejection is not None:
            self._reject(self._rejection)
        if not self._body_ended:
            raise self._left()
        return bytes(self._body)

    async def respond(
        self, *, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        """Send a whole answer; its `Content-Length` is set here."""
        self._check_caller()
        if self._is_without_body(status):
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
        self._check_caller()
        self.started = True
        self._bodiless = self._is_without_body(head.status)
        self._channel.write_head(_end_to_end(head.status, head.headers))

    async def send(self, data: bytes) -> None:
        """Send a piece of the body; waits while the caller reads slowly."""
        if not self.write(data):
            await self._channel.drained()

    def write(self, data: bytes) -> bool:
        """Write a piece of the body; return whether the caller keeps up."""
        if self._lost:
            raise self._left()
        if data and not self._bodiless:
            self._channel.write_data(data)
        return self._channel.keeps_up

    async def drained(self) -> None:
        """Wait until the caller has taken enough of what was written."""
        await self._channel.drained()

    async def finish(self) -> None:
        """End the answer."""
        self._check_caller()
        self._channel.write_end()
        self.finished = True

    def abort(self) -> None:
        """Reset the caller's connection, so that a cut answer shows."""
        self._channel.abort()

    @property
    def body_ended(self) -> bool:
        """Whether the whole request body has arrived."""
        return self._body_ended

    def take_body(self, data: bytes) -> int:
        """Keep a piece of the body and return the bytes so far."""
        self._body += data
        return len(self._body)

    def end_body(self) -> None:
        """Record that the body is whole."""
        self._body_ended = True
        self._body_changed.set()

    def reject_body(self, rejection: rejections.Rejection) -> None:
        """Record that the body cannot be had; the reader is told."""
        if self._rejection is None:
            self._rejection = rejection
            self._body.clear()
            self._body_changed.set()

    def lose_caller(self) -> None:
        """Record that the connection is gone."""
        self._lost = True
        self.caller_left.set()
        self._body_changed.set()

    def _is_without_body(self, status: int) -> bool:
        return self.head.method == "HEAD" or status in _BODILESS_STATUSES

    def _reject(self, rejection: rejections.Rejection) -> None:
        if not self.started and not self._lost:
            self.started = True
            self.finished = True
            self._channel.write_rejection(rejection)
        raise errors.RequestRejectedError(
            step=core_errors.Step.CALLER_READ,
            peer=self.peer,
            detail=rejection.message,
            status=rejection.status,
        )

    def _check_caller(self) -> None:
        if self._lost:
            raise self._left()

    def _left(self) -> errors.CallerLeftError:
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
    """Answers the requests that a server takes."""

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request; returns when the answer is finished."""
