"""The writing half of a caller's connection."""

import asyncio
import http

import h11

from lagoonrun_http import messages

_REASONS_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


class AnswerWriter:
    """Frames answers by h11 and tells when the caller takes none of them.

    Parameters
    ----------
    connection
        State of the protocol, shared with the reading half.
    transport
        Where the bytes go.
    stall_seconds
        How long the caller may take nothing while bytes wait for it.
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
        self._taken_bytes = 0
        self._taken_at = 0.0

    def write_continue(self) -> None:
        """Write `100 Continue`."""
        interim = h11.InformationalResponse(
            status_code=100, headers=[], reason=b"Continue"
        )
        self._write(self._h11.send(interim))

    def write_head(self, head: messages.ResponseHead, *, closing: bool) -> None:
        """Write status line and headers, with the framing that fits."""
        self._write(self._h11.send(_response(head, closing=closing)))

    def write_whole(
        self, head: messages.ResponseHead, body: bytes, *, closing: bool
    ) -> None:
        """Write a whole answer in one piece."""
        framed = [self._h11.send(_response(head, closing=closing))]
        if body:
            framed.append(self._h11.send(h11.Data(data=body)))
        framed.append(self._h11.send(h11.EndOfMessage()))
        self._write(b"".join(framed))

    def write_data(self, data: bytes) -> None:
        """Write a piece of the body."""
        self._write(self._h11.send(h11.Data(data=data)))

    def write_end(self) -> None:
        """Write the end of the body."""
        self._write(self._h11.send(h11.EndOfMessage()))

    def pause(self) -> None:
        """Make writers wait: the caller reads more slowly than we write."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume(self) -> None:
        """Let writers go on."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    @property
    def keeps_up(self) -> bool:
        """Whether the caller has taken enough of what was written."""
        return self._drained is None

    async def drained(self) -> None:
        """Wait until the caller has taken enough of what was written."""
        if self._drained is not None:
            await self._drained

    def is_stalled(self, now: float) -> bool:
        """Return whether the caller has taken nothing for too long.

        By the bytes taken, not by those that wait: their number can stay the
        same while the caller reads, when as much is added.
        """
        unsent = self._transport.get_write_buffer_size()
        taken = self._written_bytes - unsent
        if unsent == 0 or taken != self._taken_bytes:
            self._taken_bytes = taken
            self._taken_at = now
        return now - self._taken_at >= self._stall_seconds

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
