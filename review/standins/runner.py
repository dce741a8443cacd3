"""Stand-ins of runners, as the protocol page describes them."""

import asyncio
import contextlib
import dataclasses
import json
import time
from collections.abc import Callable

from standins import http1, store

_RUN_SECONDS = 0.015
_SLOTS = 6
_WEIGHTS_VERSION = "1"
_EVENTS = 5
_EVENT_SECONDS = 0.03


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached a runner."""

    request_id: str
    runner: str
    at: float
    ran: bool


class Runner:
    """Serves requests at a loopback address and registers itself.

    Parameters
    ----------
    id, service, zone, host, port
        What its entry in the store says.
    platform
        The store.
    on_arrival
        Receives each request that reaches it.
    """

    def __init__(
        self,
        *,
        id: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        platform: store.Store,
        on_arrival: Callable[[Arrival], None],
    ) -> None:
        self.id = id
        self.left_at: float | None = None
        self._service = service
        self._zone = zone
        self._host = host
        self._port = port
        self._store = platform
        self._on_arrival = on_arrival
        self._running = 0
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port
        )
        await self.register()

    async def leave_unannounced(self, *, exits_after: float) -> None:
        """Remove the entry, serve on for a time, then exit."""
        self.left_at = await self._store.remove(f"servers/{self.id}")
        await asyncio.sleep(exits_after)
        await self.close()

    async def drain(self, *, exits_after: float) -> None:
        """Report that it is draining, serve on for a time, then exit."""
        self.left_at = await self.register(state="draining")
        await asyncio.sleep(exits_after)
        await self._store.remove(f"servers/{self.id}")
        await self.close()

    async def close(self) -> None:
        """Exit."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._connections):
            writer.close()

    async def register(self, *, state: str = "ready") -> float:
        """Write the own entry; return the time of the acknowledgement.

        A heartbeat changes nothing but `seq_no`, which the store does not tell.
        """
        return await self._store.put(
            f"servers/{self.id}",
            {
                "service": self._service,
                "address": f"{self._host}:{self._port}",
                "zone": self._zone,
                "version": "v1",
                "slots": _SLOTS,
                "state": state,
                "cold_remaining_ms": 0,
                "seq_no": 1,
            },
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while (request := await http1.read_message(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled at the end of the case.
            pass
        finally:
            self._connections.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    def _refuses(self, request: http1.Message) -> bool:
        """Return whether the request is meant for another runner."""
        return request.headers.get("x-expected-instance", self.id) != self.id

    async def _answer(
        self, request: http1.Message, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers.get("x-request-id", "")
        ran = bool(request_id) and not self._refuses(request)
        self._on_arrival(
            Arrival(
                request_id=request_id,
                runner=self.id,
                at=time.monotonic(),
                ran=ran,
            )
        )
        headers = {"X-Request-Id": request_id, "X-Instance-Id": self.id}
        if not ran:
            headers["X-Not-Executed"] = "1"
            status = 421 if request_id else 400
            writer.write(http1.response(status, headers))
            return
        headers["X-Server-Signature"] = f"{self.id}.{request_id}"
        self._running += 1
        try:
            await self._run(request, headers, writer)
        finally:
            self._running -= 1

    async def _run(
        self,
        request: http1.Message,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(_RUN_SECONDS)
        headers["X-Server-Load"] = f"{self._running},0,{_SLOTS}"
        body = {"id": headers["X-Request-Id"], "size": len(request.body)}
        writer.write(http1.response(200, headers, json.dumps(body).encode()))


class Engine(Runner):
    """A model runner, which answers with a stream of events."""

    def _refuses(self, request: http1.Message) -> bool:
        wanted = request.headers.get("x-expected-version", _WEIGHTS_VERSION)
        return super()._refuses(request) or wanted != _WEIGHTS_VERSION

    async def _run(
        self,
        request: http1.Message,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        headers["X-Weight-Versions"] = _WEIGHTS_VERSION
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        for number in range(1, _EVENTS + 1):
            await asyncio.sleep(_EVENT_SECONDS)
            event = f"id: {number}\ndata: {headers['X-Request-Id']}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")
