"""The write side of a caller's connection."""

import asyncio
import http

import h11

from lagoonrun_http import messages

_REASONS_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


class ResponseWriter:
    """Frames responses by h11 and detects a caller that stopped reading.

    Parameters
    ----------
    connection
        Protocol state, shared with the read side.
    transport
        Transport that the bytes are written to.
    stall_seconds
        How long the caller may read nothing while bytes wait for it.
    """

    def __init__(
        self,
        *,
        connection: h11.Connection,
        transport: asyncio.Transport,
        stall_seconds: float,
    ) -> None:
        self._h11 = connection
        self._transport = transport
        self._stall_seconds = stall_seconds
        self._drained: asyncio.Future[None] | None = None
        self._written_bytes = 0
        self._sent_bytes = 0
        self._last_sent_at = 0.0

    def write_continue(self) -> None:
        """Write `100 Continue`."""
        interim = h11.InformationalResponse(
            status_code=100, headers=[], reason=b"Continue"
        )
        self._write(self._h11.send(interim))

    def write_switch(self, protocol: str) -> None:
        """Write `101 Switching Protocols`."""
        interim = h11.InformationalResponse(
            status_code=101,
            headers=[("Connection", "Upgrade"), ("Upgrade", protocol)],
            reason=b"Switching Protocols",
        )
        self._write(self._h11.send(interim))

    def write_head(self, head: messages.ResponseHead, *, closing: bool) -> None:
        """Write status line and headers, with the framing that h11 chooses."""
        self._write(self._h11.send(_response(head, closing=closing)))

    def write_whole(
        self, head: messages.ResponseHead, body: bytes, *, closing: bool
    ) -> None:
        """Write a whole response in a single write."""
        framed = [self._h11.send(_response(head, closing=closing))]
        if body:
            framed.append(self._h11.send(h11.Data(data=body)))
        framed.append(self._h11.send(h11.EndOfMessage()))
        self._write(b"".join(framed))

    def write_data(self, data: bytes) -> None:
        """Write a chunk of the body."""
        self._write(self._h11.send(h11.Data(data=data)))

    def write_end(self) -> None:
        """Write the end of the body."""
        self._write(self._h11.send(h11.EndOfMessage()))

    def pause(self) -> None:
        """Make writers wait: the transport's write buffer is full."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume(self) -> None:
        """Let writers continue."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    @property
    def keeps_up(self) -> bool:
        """Whether the write buffer is below its limit."""
        return self._drained is None

    async def drained(self) -> None:
        """Wait until the write buffer is below its limit."""
        if self._drained is not None:
            await self._drained

    def is_stalled(self, now: float) -> bool:
        """Return whether the caller has read nothing for too long.

        Counts the bytes sent, not those in the write buffer: the size of the
        buffer stays the same when as much is added as the caller reads.
        """
        unsent_bytes = self._transport.get_write_buffer_size()
        sent_bytes = self._written_bytes - unsent_bytes
        if unsent_bytes == 0 or sent_bytes != self._sent_bytes:
            self._sent_bytes = sent_bytes
            self._last_sent_at = now
        return now - self._last_sent_at >= self._stall_seconds

    def _write(self, data: bytes) -> None:
        self._written_bytes += len(data)
        self._transport.write(data)


def _response(head: messages.ResponseHead, *, closing: bool) -> h11.Response:
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in head.headers
    ]
    if closing:
        headers.append((b"Connection", b"close"))
    return h11.Response(
        status_code=head.status,
        headers=headers,
        reason=_REASONS_BY_STATUS.get(head.status, b""),
    )
