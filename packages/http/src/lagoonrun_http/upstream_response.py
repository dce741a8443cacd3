"""The response of an upstream, read in pieces as they arrive."""

import asyncio
from typing import Protocol

from lagoonrun_http import messages, upstream_messages


class ResponseConnection(Protocol):
    """What a response needs of the connection that it arrives on."""

    def resume_reading(self) -> None:
        """Read on after the held bytes were taken."""

    def abort(self) -> None:
        """Reset the connection."""


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
                    bytes_left=True,
                    detail=f"body over {size} bytes; valid: <= {limit}",
                    peer="",
                )

    async def cancel(self) -> None:
        """Close the connection, which cancels the upstream's work."""
        if not self._ended and self._failure is None:
            self._connection.abort()

    # Called by the connection.

    def take(self, data: bytes) -> None:
        """Hold a piece of the body for the reader."""
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

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None:
            self._waiter = None
            if not waiter.done():
                waiter.set_result(None)
