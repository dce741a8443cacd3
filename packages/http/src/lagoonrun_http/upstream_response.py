"""The response of an upstream, read in pieces as they arrive."""

import asyncio
import enum
from typing import Protocol

from lagoonrun_http import messages, upstream_messages


class ResponseConnection(Protocol):
    """What a response needs of the connection that it arrives on."""

    def resume_reading(self) -> None:
        """Read on after the held bytes were taken."""

    def abort(self) -> None:
        """Reset the connection."""


class BodySink(Protocol):
    """Takes a body piece by piece, as it arrives."""

    def take(self, data: bytes) -> bool:
        """Take a piece; return whether more may follow at once."""


class SinkFull(enum.Enum):
    """The reader's sink takes nothing more for now."""

    SINK_FULL = "sink-full"


class UpstreamResponse:
    """Head and body of a response; one task reads it.

    Parameters
    ----------
    head
        Status and headers without those of the connection.
    connection
        Connection that the response arrives on.
    close_delimited
        Whether only the end of the connection ends the body. A body that was
        cut then looks whole; the reader must tell by its contents.
    """

    __slots__ = (
        "_connection",
        "_ended",
        "_failure",
        "_parts",
        "_sink",
        "_waiter",
        "close_delimited",
        "head",
        "held_bytes",
    )

    def __init__(
        self,
        *,
        head: messages.ResponseHead,
        connection: ResponseConnection,
        close_delimited: bool = False,
    ) -> None:
        self.head = head
        self.close_delimited = close_delimited
        self.held_bytes = 0
        self._connection = connection
        self._parts: list[bytes] = []
        self._ended = False
        self._failure: upstream_messages.UpstreamFailure | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._sink: BodySink | None = None

    async def pump(
        self, sink: BodySink
    ) -> (
        upstream_messages.EndOfBody
        | upstream_messages.UpstreamFailure
        | SinkFull
    ):
        """Hand each piece to `sink` in the moment in which it is read.

        Without a task that wakes up for each piece, which costs as much as
        reading the piece and writing it on. Returns at the end of the body, at
        its failure, or when the sink is full; what arrives then is held. What
        the sink raises ends the pump.
        """
        while self._parts:
            if not sink.take(self._take_parts()):
                return SinkFull.SINK_FULL
        if self._failure is not None:
            return self._failure
        if self._ended:
            return upstream_messages.END_OF_BODY
        self._sink = sink
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._sink = None
        if self._parts:
            return SinkFull.SINK_FULL
        return self._failure or (
            upstream_messages.END_OF_BODY if self._ended else SinkFull.SINK_FULL
        )

    async def next_chunk(
        self,
    ) -> (
        bytes | upstream_messages.EndOfBody | upstream_messages.UpstreamFailure
    ):
        """Return all body bytes that are there, waiting for the first.

        A failure is returned after the bytes that arrived before it.
        """
        while not self._parts:
            if self._failure is not None:
                return self._failure
            if self._ended:
                return upstream_messages.END_OF_BODY
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._take_parts()

    def _take_parts(self) -> bytes:
        """Return all body bytes that are held."""
        parts = self._parts
        data = parts[0] if len(parts) == 1 else b"".join(parts)
        self._parts = []
        self.held_bytes = 0
        if not self._ended:
            self._connection.resume_reading()
        return data

    async def read_all(
        self, limit: int
    ) -> bytes | upstream_messages.UpstreamFailure:
        """Return the whole body, or a failure when over `limit` bytes."""
        parts = []
        size = 0
        while True:
            chunk = await self.next_chunk()
            if isinstance(chunk, upstream_messages.EndOfBody):
                return b"".join(parts)
            if isinstance(chunk, upstream_messages.UpstreamFailure):
                return chunk
            parts.append(chunk)
            size += len(chunk)
            if size > limit:
                await self.cancel()
                return upstream_messages.UpstreamFailure(
                    stage=upstream_messages.FailureStage.PROTOCOL,
                    write_attempted=True,
                    detail=f"body over {size} bytes; valid: <= {limit}",
                    peer="",
                )

    async def cancel(self) -> None:
        """Close the connection, which cancels the upstream's work."""
        if not self._ended and self._failure is None:
            self._connection.abort()

    # Called by the connection.

    def take(self, data: bytes) -> None:
        """Hand a piece of the body to the reader, or hold it for it."""
        if self._sink is not None:
            self._hand_over(data)
            return
        self._parts.append(data)
        self.held_bytes += len(data)
        self._wake()

    def end(self) -> None:
        """Record that the body is whole."""
        self._ended = True
        self._wake()

    def fail(self, failure: upstream_messages.UpstreamFailure) -> None:
        """Record that the rest of the body will not come."""
        self._failure = failure
        self._wake()

    def _hand_over(self, data: bytes) -> None:
        waiter = self._waiter
        try:
            full = not self._sink.take(data)
        except Exception as error:
            # The reader's fault or its caller's: the reader gets it, and the
            # connection's own callbacks go on.
            self._sink = None
            self._waiter = None
            if not waiter.done():
                waiter.set_exception(error)
            return
        if full:
            self._sink = None
            self._wake()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None:
            self._waiter = None
            if not waiter.done():
                waiter.set_result(None)
