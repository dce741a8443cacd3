"""Stand-in for a model engine with minimal processor cost, for `bench_path`.

The `model` of a request selects the answer: `probe` sends one event and ends;
`steady` sends an event per interval until the caller disconnects; `flood`
sends many events as fast as the caller reads them, starting on `GET /flood`.
"""

import asyncio
import sys
import time
from collections.abc import Sequence

from absl import flags

from lagoonrun_standins import command_line

AT_MARK = b'"at":'
"""Precedes the time of an event, a reading of the monotonic clock."""

EVENT_MARK = b"data: {"
FLOOD_PATH = "/flood"
DONE_EVENT = b"data: [DONE]\n\n"
_LAST_CHUNK = b"e\r\n" + DONE_EVENT + b"\r\n0\r\n\r\n"
_ID_HEADER = b"x-request-id:"
_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"X-Request-Id: %b\r\nTransfer-Encoding: chunked\r\n\r\n"
)
_EMPTY = b"HTTP/1.1 %d -\r\nX-Request-Id: %b\r\nContent-Length: 0\r\n\r\n"
_EVENT = (
    b'data: {"id":"chatcmpl-bench","object":"chat.completion.chunk",'
    b'"at":%.6f,"choices":[{"index":0,"delta":{"content":" token"},'
    b'"finish_reason":null}]}\n\n'
)
_HELP = "See lagoonrun_standins.path_source."


class _Connection(asyncio.Protocol):
    """Answers one connection; a request may arrive in several pieces."""

    def __init__(
        self,
        *,
        interval_seconds: float,
        flood_events: int,
        flood_started: asyncio.Event,
    ) -> None:
        self._interval_seconds = interval_seconds
        self._flood_events = flood_events
        self._flood_started = flood_started
        self._received = b""
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        if self._task:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator or len(body) < _content_length(head):
            return
        self._received = b""
        request_id = _header(head, _ID_HEADER)
        if not head.startswith(b"POST"):
            floods = head.startswith(b"GET " + FLOOD_PATH.encode())
            if floods:
                self._flood_started.set()
            self._transport.write(_EMPTY % (200 if floods else 404, request_id))
            return
        self._transport.write(_HEAD % request_id + _chunk())
        if b'"probe"' in body:
            self._transport.write(_LAST_CHUNK)
        elif b'"steady"' in body:
            self._task = asyncio.create_task(self._emit_forever())
        else:
            self._task = asyncio.create_task(self._flood())

    async def _emit_forever(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += self._interval_seconds
            await asyncio.sleep(max(0.0, due - loop.time()))
            self._transport.write(_chunk())

    async def _flood(self) -> None:
        await self._flood_started.wait()
        for _ in range(self._flood_events):
            self._transport.write(_chunk())
            await self._writable.wait()
            # Yields to the other streams, so that all are interleaved.
            await asyncio.sleep(0)
        self._transport.write(_LAST_CHUNK)


class PathSource:
    """Listens and answers requests.

    Parameters
    ----------
    interval_seconds
        Time between the events of a steady stream.
    flood_events
        Number of events of a flood after the first one.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        interval_seconds: float,
        flood_events: int,
    ) -> None:
        self.host = host
        self._port = port
        self._interval_seconds = interval_seconds
        self._flood_events = flood_events
        self._flood_started = asyncio.Event()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Return the port that it listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(
                interval_seconds=self._interval_seconds,
                flood_events=self._flood_events,
                flood_started=self._flood_started,
            ),
            self.host,
            self._port,
            backlog=1024,
        )

    async def close(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()


def _chunk() -> bytes:
    event = _EVENT % time.monotonic()
    return b"%x\r\n%b\r\n" % (len(event), event)


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        if line.lower().startswith(name):
            return line[len(name) :].strip()
    return b""


def _content_length(head: bytes) -> int:
    return int(_header(head, b"content-length:") or b"0")


def main(arguments: Sequence[str]) -> None:
    """Run the stand-in until SIGTERM."""
    values = command_line.address_flags()
    flags.DEFINE_float("interval_seconds", 0.03, _HELP, flag_values=values)
    flags.DEFINE_integer("flood_events", 1000, _HELP, flag_values=values)
    values(arguments)
    names = ("host", "port", "interval_seconds", "flood_events")
    given = {name: values[name].value for name in names}
    command_line.run(lambda: PathSource(**given), values)


if __name__ == "__main__":
    main(sys.argv)
