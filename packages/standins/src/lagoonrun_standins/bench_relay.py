"""Measure the cost of relaying token events through HTTP server and client.

This process is the relay: an `HttpServer` connected directly to an
`UpstreamClient`. A second process simulates the engine and the callers on raw
sockets, so that the processor time of this process is that of the relay only.

Run as `python -m lagoonrun_standins.bench_relay --streams=100`.
"""

import asyncio
import cProfile
import dataclasses
import gc
import multiprocessing
import multiprocessing.connection
import os
import pstats
import time

from absl import app, flags

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_http import exchange, limits, server, upstream

_STREAMS = flags.DEFINE_list("streams", ["1", "100", "1000"], "Open streams.")
_EVENTS = flags.DEFINE_integer("events", 60_000, "Events of one run in all.")
_RATE = flags.DEFINE_integer(
    "rate", 0, "Events offered per second in all; 0: as fast as relayed."
)
_PROFILE = flags.DEFINE_bool("profile", False, "Print a profile of the relay.")

_HOST = "127.0.0.1"
_TEXT = b'data: {"id":"c1","object":"chat.completion.chunk","choices":' + (
    b'[{"index":0,"delta":{"content":" token"},"finish_reason":null}]}\n\n'
)
_EVENT = b"%x\r\n%b\r\n" % (len(_TEXT), _TEXT)
_LAST_CHUNKS = b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
_REQUEST = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
    b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
)
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_JOIN_TIMEOUT_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measurement:
    """Results of one run; times in seconds, sizes in bytes."""

    streams: int
    events: int
    wall_seconds: float
    processor_seconds: float
    bytes_per_stream: float


class Relay:
    """Exchange handler that forwards each request to one upstream."""

    def __init__(self, *, client: upstream.UpstreamClient, port: int) -> None:
        self._client = client
        self._port = port
        self._requests = 0

    async def handle(self, exchange: exchange.Exchange) -> None:
        """Relay one exchange."""
        self._requests += 1
        request = upstream.UpstreamRequest(
            head=exchange.head,
            body=await exchange.read_body(),
            request_id=types.RequestId(str(self._requests)),
        )
        response = await self._client.send(
            request, address=_HOST, port=self._port
        )
        if isinstance(response, upstream.UpstreamFailure):
            raise RuntimeError(response.detail)
        await exchange.start(response.head)
        while True:
            chunk = await response.next_chunk()
            if not isinstance(chunk, bytes):
                break
            await exchange.send(chunk)
        await exchange.finish()


class _Engine(asyncio.Protocol):
    """Answers each request with a head and one event, then waits for `emit`."""

    def __init__(self, *, opened: list["_Engine"]) -> None:
        self._opened = opened
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        line = next(
            line
            for line in data.split(b"\r\n")
            if line.lower().startswith(b"x-request-id:")
        )
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + line
            + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
            + _EVENT
        )
        self._opened.append(self)

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    async def emit(self, count: int, interval_seconds: float) -> None:
        due = time.monotonic()
        for _ in range(count):
            self._transport.write(_EVENT)
            await self._writable.wait()
            due += interval_seconds
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        self._transport.write(_LAST_CHUNKS)


class _Caller(asyncio.Protocol):
    """Sends one request and counts the events of the answer."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.opened: asyncio.Future[None] = loop.create_future()
        self.ended: asyncio.Future[None] = loop.create_future()
        self.events = 0
        self._tail = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.write(_REQUEST)

    def data_received(self, data: bytes) -> None:
        text = self._tail + data
        self.events += text.count(b"data: ") - self._tail.count(b"data: ")
        self._tail = text[-32:]
        if self.events and not self.opened.done():
            self.opened.set_result(None)
        if text.endswith(b"0\r\n\r\n") and not self.ended.done():
            self.ended.set_result(None)

    def connection_lost(self, error: Exception | None) -> None:
        for waiting in (self.opened, self.ended):
            if not waiting.done():
                waiting.set_exception(ConnectionError("relay closed early"))


async def _simulate_peers(
    pipe: multiprocessing.connection.Connection,
    streams: int,
    events: int,
    rate: int,
) -> None:
    loop = asyncio.get_running_loop()
    engines: list[_Engine] = []
    listener = await loop.create_server(
        lambda: _Engine(opened=engines), _HOST, 0, backlog=1024
    )
    pipe.send(listener.sockets[0].getsockname()[1])
    port = await loop.run_in_executor(None, pipe.recv)
    callers = []
    for _ in range(streams):
        _, caller = await loop.create_connection(_Caller, _HOST, port)
        callers.append(caller)
    await asyncio.gather(*(caller.opened for caller in callers))
    pipe.send("open")
    await loop.run_in_executor(None, pipe.recv)
    interval_seconds = streams / rate if rate else 0.0
    count = events // streams
    emits = [engine.emit(count, interval_seconds) for engine in engines]
    await asyncio.gather(*emits)
    await asyncio.gather(*(caller.ended for caller in callers))
    pipe.send(sum(caller.events for caller in callers) - streams)
    listener.close()


def _run_peers(
    pipe: multiprocessing.connection.Connection,
    streams: int,
    events: int,
    rate: int,
) -> None:
    asyncio.run(_simulate_peers(pipe, streams, events, rate))


def _resident_bytes() -> int:
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


async def _measure(
    pipe: multiprocessing.connection.Connection,
    streams: int,
    profile: cProfile.Profile | None,
) -> Measurement:
    loop = asyncio.get_running_loop()
    clock = clocks.SystemClock()
    engine_port = await loop.run_in_executor(None, pipe.recv)
    client = upstream.UpstreamClient(
        limits=limits.ClientLimits(connections_per_upstream=4096), clock=clock
    )
    relay = server.HttpServer(
        host=_HOST,
        port=0,
        limits=limits.ServerLimits(),
        handler=Relay(client=client, port=engine_port),
        clock=clock,
    )
    await relay.start()
    empty = _resident_bytes()
    pipe.send(relay.port)
    await loop.run_in_executor(None, pipe.recv)
    held = _resident_bytes() - empty
    if profile is not None:
        profile.enable()
    wall, processor = time.monotonic(), time.process_time()
    pipe.send("go")
    events = await loop.run_in_executor(None, pipe.recv)
    wall = time.monotonic() - wall
    processor = time.process_time() - processor
    if profile is not None:
        profile.disable()
    await relay.close()
    await client.close()
    return Measurement(
        streams=streams,
        events=events,
        wall_seconds=wall,
        processor_seconds=processor,
        bytes_per_stream=held / streams,
    )


def run(
    *, streams: int, events: int, rate: int, profile: bool = False
) -> Measurement:
    """Relay `events` in total over `streams` concurrent streams.

    Returns
    -------
    Measurement
        The cost of the run.
    """
    context = multiprocessing.get_context("spawn")
    pipe, peer_pipe = context.Pipe()
    peers = context.Process(
        target=_run_peers, args=(peer_pipe, streams, events, rate)
    )
    peers.start()
    profiler = cProfile.Profile() if profile else None
    try:
        return asyncio.run(_measure(pipe, streams, profiler))
    finally:
        peers.join(_JOIN_TIMEOUT_SECONDS)
        if peers.is_alive():
            peers.terminate()
        if profiler is not None:
            pstats.Stats(profiler).sort_stats("tottime").print_stats(25)


def main(argv: list[str]) -> None:
    """Print one line per number of streams."""
    del argv
    print("streams  events/s  events/s/core  us/event  KB/stream")
    for streams in (int(value) for value in _STREAMS.value):
        result = run(
            streams=streams,
            events=_EVENTS.value,
            rate=_RATE.value,
            profile=_PROFILE.value,
        )
        print(
            f"{result.streams:7}  {result.events / result.wall_seconds:8.0f}"
            f"  {result.events / result.processor_seconds:13.0f}"
            f"  {result.processor_seconds / result.events * 1e6:8.1f}"
            f"  {result.bytes_per_stream / 1e3:9.1f}"
        )


if __name__ == "__main__":
    app.run(main)
