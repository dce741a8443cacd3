"""Caller on a raw socket, cheap enough to keep 1,000 streams open."""

import asyncio
import dataclasses
import json
import time

from lagoonrun_config import settings
from lagoonrun_standins import path_source

_LAST_CHUNK = b"0\r\n\r\n"
_TAIL_BYTES = 32


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Times of one answer, in seconds since its request was sent."""

    first_event_seconds: float
    total_seconds: float


class PathCaller(asyncio.Protocol):
    """One connection, used for one request at a time.

    Parameters
    ----------
    key
        Bearer token.
    record_delays
        Whether to record the age of each event on arrival.
    """

    def __init__(self, *, key: str, record_delays: bool = False) -> None:
        self.events = 0
        self.delays_seconds: list[float] = []
        self._key = key
        self._record_delays = record_delays
        self._tail = b""
        self._sent_at = 0.0
        self._first_event_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    async def request(self, model: str) -> Timing:
        """Send one request and wait for the end of its answer."""
        self.begin(model)
        await self.ended
        return Timing(
            first_event_seconds=self._first_event_at - self._sent_at,
            total_seconds=time.monotonic() - self._sent_at,
        )

    def begin(self, model: str) -> None:
        """Send one request.

        `opened` is resolved on the first event, `ended` on the last chunk.
        """
        loop = asyncio.get_running_loop()
        self.opened: asyncio.Future[None] = loop.create_future()
        self.ended: asyncio.Future[None] = loop.create_future()
        self._tail = b""
        self._first_event_at = 0.0
        self._sent_at = time.monotonic()
        self._transport.write(_request(model, self._key))

    def data_received(self, data: bytes) -> None:
        """Count events and resolve `opened` and `ended`."""
        mark = path_source.EVENT_MARK
        text = self._tail + data
        self.events += text.count(mark) - self._tail.count(mark)
        self._tail = text[-_TAIL_BYTES:]
        if not self._first_event_at and mark in text:
            self._first_event_at = time.monotonic()
            self.opened.set_result(None)
        elif self._record_delays:
            self._record_delay(data)
        if text.endswith(_LAST_CHUNK) and not self.ended.done():
            if not self.opened.done():
                self._fail(f"no event in {text!r}")
            else:
                self.ended.set_result(None)

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the futures that are still pending."""
        if self._sent_at:
            self._fail(f"closed early: {error}")

    def close(self) -> None:
        """Abort the connection."""
        for waiting in (self.opened, self.ended):
            waiting.cancel()
        self._transport.abort()

    def _fail(self, detail: str) -> None:
        for waiting in (self.opened, self.ended):
            if not waiting.done():
                waiting.set_exception(ConnectionError(detail))

    def _record_delay(self, data: bytes) -> None:
        _, mark, after = data.partition(path_source.AT_MARK)
        written_at = after.partition(b",")[0]
        if mark and written_at:
            delay = time.monotonic() - float(written_at)
            self.delays_seconds.append(delay)


async def connect(
    address: settings.Address, *, key: str, record_delays: bool = False
) -> PathCaller:
    """Return a connected caller."""
    _, caller = await asyncio.get_running_loop().create_connection(
        lambda: PathCaller(key=key, record_delays=record_delays),
        address.host,
        address.port,
    )
    return caller


def _request(model: str, key: str) -> bytes:
    message = {"role": "user", "content": "Which volumes?"}
    body = {"model": model, "stream": True, "messages": [message]}
    text = json.dumps(body, separators=(",", ":")).encode()
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
        b"Authorization: Bearer %b\r\nX-Request-Id: direct\r\n"
        b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
        % (key.encode(), len(text), text)
    )
