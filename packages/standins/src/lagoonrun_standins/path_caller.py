"""A caller on a raw socket, cheap enough to hold a thousand streams."""

import asyncio
import dataclasses
import json
import time

from lagoonrun_config import settings
from lagoonrun_standins import path_source

_END = b"0\r\n\r\n"
_TAIL_BYTES = 32


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Times of one answer since its request, in seconds."""

    first_event_seconds: float
    total_seconds: float


class PathCaller(asyncio.Protocol):
    """One connection; one request at a time.

    Parameters
    ----------
    key
        Bearer key.
    keep_delays
        Whether to keep how old events are when they arrive.
    """

    def __init__(self, *, key: str, keep_delays: bool = False) -> None:
        self.events = 0
        self.delays_seconds: list[float] = []
        self._key = key
        self._keep_delays = keep_delays
        self._tail = b""
        self._sent_at = 0.0
        self._first_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    async def request(self, model: str) -> Timing:
        """Make one request and wait for its end."""
        self.begin(model)
        await self.ended
        return Timing(
            first_event_seconds=self._first_at - self._sent_at,
            total_seconds=time.monotonic() - self._sent_at,
        )

    def begin(self, model: str) -> None:
        """Send one request; `opened` and `ended` tell how far it is."""
        loop = asyncio.get_running_loop()
        self.opened: asyncio.Future[None] = loop.create_future()
        self.ended: asyncio.Future[None] = loop.create_future()
        self._tail = b""
        self._first_at = 0.0
        self._sent_at = time.monotonic()
        self._transport.write(_request(model, self._key))

    def data_received(self, data: bytes) -> None:
        """Count events."""
        mark = path_source.EVENT_MARK
        text = self._tail + data
        self.events += text.count(mark) - self._tail.count(mark)
        self._tail = text[-_TAIL_BYTES:]
        if not self._first_at and mark in text:
            self._first_at = time.monotonic()
            self.opened.set_result(None)
        elif self._keep_delays:
            self._keep_delay(data)
        if text.endswith(_END) and not self.ended.done():
            if not self.opened.done():
                self._fail(f"no event in {text!r}")
            else:
                self.ended.set_result(None)

    def connection_lost(self, error: Exception | None) -> None:
        """Fail what still waits."""
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

    def _keep_delay(self, data: bytes) -> None:
        _, mark, after = data.partition(path_source.AT_MARK)
        written_at = after.partition(b",")[0]
        if mark and written_at:
            delay = time.monotonic() - float(written_at)
            self.delays_seconds.append(delay)


async def connect(
    address: settings.Address, *, key: str, keep_delays: bool = False
) -> PathCaller:
    """Return a connected caller."""
    _, caller = await asyncio.get_running_loop().create_connection(
        lambda: PathCaller(key=key, keep_delays=keep_delays),
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
