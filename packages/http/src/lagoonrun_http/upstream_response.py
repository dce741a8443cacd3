"""The response of an upstream, read in chunks as they arrive."""

import asyncio
import contextlib
import enum
from typing import Protocol

from lagoonrun_http import held_bytes, messages, upstream_messages

_MAX_SKIPPED_BYTES = 16 * 1024
"""Longest rest of a body that is read only to reuse the connection. Refusals
have bodies of some hundred bytes; a new connection costs less than reading
more."""

_MAX_SKIPPED_SECONDS = 0.1
"""Time for such a rest, some round trips: its request waits meanwhile."""


class ResponseConnection(Protocol):
    """The connection, as the response that arrives on it uses it."""

    def resume_reading(self) -> None:
        """Continue reading after the held bytes were read."""

    def abort(self) -> None:
        """Reset the connection."""


class BodySink(Protocol):
    """Receives a body in chunks, as they arrive."""

    def take(self, data: bytes) -> bool:
        """Receive a chunk; return whether the next may follow at once."""


class SinkFull(enum.Enum):
    """The sink accepts no more data for now."""

    SINK_FULL = "sink-full"


class UpstreamResponse:
    """Head and body of a response; only one task may read it.

    Parameters
    ----------
    head
        Status and headers, without hop-by-hop ones.
    connection
        Connection that the response arrives on.
    held
        Bytes that all responses hold.
    close_delimited
        Whether the end of the connection delimits the body. A truncated body
        then looks complete, so that the reader must check its content.
    """

    __slots__ = (
        "_connection",
        "_ended",
        "_failure",
        "_held",
        "_kept_bytes",
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
        held: held_bytes.HeldBytes,
        close_delimited: bool = False,
    ) -> None:
        self.head = head
        self.close_delimited = close_delimited
        self.held_bytes = 0
        self._connection = connection
        self._held = held
        self._kept_bytes = 0
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
        """Pass each chunk to `sink` in the callback that reads it.

        This needs no task that wakes up for each chunk, which would cost as
        much as reading the chunk and forwarding it. Returns at the end of the
        body, on a failure, or when the sink is full; later chunks are then
        held. An exception of the sink is raised here.
        """
        while self._parts:
            if not sink.take(self._pop_parts()):
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
        """Return all body bytes received so far, waiting for the first.

        A failure is returned after the bytes that arrived before it.
        """
        while not self._parts:
            if self._failure is not None:
                return self._failure
            if self._ended:
                return upstream_messages.END_OF_BODY
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._pop_parts()

    def _pop_parts(self) -> bytes:
        """Return all held body bytes and clear them."""
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
        """Return the whole body, or a failure if it exceeds `limit` bytes."""
        parts = []
        size = 0
        try:
            while True:
                chunk = await self.next_chunk()
                if isinstance(chunk, upstream_messages.EndOfBody):
                    return b"".join(parts)
                if isinstance(chunk, upstream_messages.UpstreamFailure):
                    return chunk
                parts.append(chunk)
                size += len(chunk)
                allowed = min(limit, self.keep(size))
                if size > allowed:
                    await self.cancel()
                    return upstream_messages.UpstreamFailure(
                        stage=upstream_messages.FailureStage.PROTOCOL,
                        write_attempted=True,
                        detail=f"body over {size} bytes; valid: <= {allowed}",
                        peer="",
                    )
        finally:
            self.keep(0)

    def keep(self, size: int) -> int:
        """Record how many bytes the reader keeps; return how many it may."""
        self._held.total += size - self._kept_bytes
        self._kept_bytes = size
        # Without its own bytes, so that its bound doesn't shrink as it grows.
        return self._held.allowed(own_bytes=size)

    async def skip_rest(self) -> None:
        """Discard a short rest of the body, so that the connection is reused.

        If the rest is long or late, the connection is closed instead.
        """
        size = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_MAX_SKIPPED_SECONDS):
                while size <= _MAX_SKIPPED_BYTES:
                    chunk = await self.next_chunk()
                    if not isinstance(chunk, bytes):
                        return
                    size += len(chunk)
        await self.cancel()

    async def cancel(self) -> None:
        """Close the connection, which cancels the upstream's work."""
        self.keep(0)
        if not self._ended and self._failure is None:
            self._connection.abort()

    # Called by the connection.

    def take(self, data: bytes) -> None:
        """Pass a chunk of the body to the sink, or hold it for the reader."""
        if self._sink is not None:
            self._pass_to_sink(data)
            return
        self._parts.append(data)
        self.held_bytes += len(data)
        self._wake()

    def end(self) -> None:
        """Record that the body is complete."""
        self._ended = True
        self._wake()

    def fail(self, failure: upstream_messages.UpstreamFailure) -> None:
        """Record that the rest of the body will not arrive."""
        self._failure = failure
        self._wake()

    def _pass_to_sink(self, data: bytes) -> None:
        waiter = self._waiter
        try:
            full = not self._sink.take(data)
        except Exception as error:
            # The exception is raised in the reader, so that the connection's
            # own callbacks continue.
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
