"""Simulated upstream whose responses depend only on the request's id."""

import asyncio
import collections
import time
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_http import errors as http_errors
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import limits as http_limits
from lagoonrun_http import messages as http_messages
from lagoonrun_http import server as http_server
from lagoonrun_router import settings, upstreams
from lagoonrun_soak import layout, notices, record
from lagoonrun_users_platform import standin_messages

_PLAIN_RUN_SECONDS = 0.03
_EVENT_SECONDS = 0.06
_CRASHING_PREFIX = b"crashes "
_CRASH_DELAY_SECONDS = 0.05
"""Time from the start of a crashing request's run to the crash."""

_QUEUE_CAPACITY = 4
"""Requests that may wait for a slot; further ones are refused as not run.

Less urgent requests don't count: an engine admits more urgent ones first.
"""


def whole_body(request_id: str) -> bytes:
    """Return the expected body of a response that is not streamed."""
    return f"answer to {request_id}".encode()


def event(request_id: str, number: int, version: str) -> bytes:
    """Return one event of a stream, numbered from 1."""
    return f"id: {number}\ndata: {request_id} {version} {number}\n\n".encode()


def versions_in(body: bytes) -> list[str]:
    """Return the version of each whole event in the body of a stream."""
    events = body.decode(errors="replace").split("\n\n")[:-1]
    words = (one.split(" ") for one in events)
    return [one[-2] if len(one) > 2 else "" for one in words]


def crashing_body(name: str) -> bytes:
    """Return the body of a crashing request; empty for an empty name."""
    return _CRASHING_PREFIX + name.encode() if name else b""


class CrashListener(Protocol):
    """Crashes the upstream that runs a crashing request."""

    def __call__(self, id: types.UpstreamId) -> None:
        """Crash an upstream, whatever it is running."""


class SoakUpstream:
    """Simulates one upstream process.

    Parameters
    ----------
    registration
        Its entry in the store.
    address
        Address at which it listens, behind its link.
    history
        Records arrivals, runs and notices.
    on_crash
        Called while it runs a crashing request.

    Attributes
    ----------
    notice
        Notice sent with each response.
    slowness
        How long work takes, relative to the usual time.
    silent_until
        Monotonic time until which it sends nothing, then goes on.
    """

    def __init__(
        self,
        *,
        registration: upstreams.Registration,
        address: settings.Address,
        history: record.History,
        on_crash: CrashListener,
    ) -> None:
        self._on_crash = on_crash
        # Some engines crash at the first token, others after it.
        self._begins_crashing = sum(registration.id.encode()) % 2 == 0
        self.registration = registration
        self._history = history
        self._running_by_urgency: collections.Counter[int] = (
            collections.Counter()
        )
        self._slots = asyncio.Semaphore(registration.slots)
        self.notice = notices.NO_NOTICE
        self.slowness = 1.0
        self.silent_until = 0.0
        self._server = http_server.HttpServer(
            host=address.host,
            port=address.port,
            limits=http_limits.ServerLimits(),
            handler=self,
            clock=clocks.SystemClock(),
        )

    @property
    def busy(self) -> bool:
        """Whether a request is running or waiting."""
        return self._running_by_urgency.total() > 0

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def close(self) -> None:
        """Stop at once, like a crash."""
        await self._server.close()

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Run one request or respond that it was not run."""
        body = await exchange.read_body()
        request = standin_messages.read_request(exchange.head)
        self._history.arrivals.append(
            notices.Arrival(
                upstream=self.registration.id,
                id=request.request_id,
                at=time.monotonic(),
            )
        )
        if request.expected != self.registration.id:
            await self._refuse(exchange, request.request_id, status=421)
            return
        if self.notice.rest_seconds is not None:
            await self._refuse(exchange, request.request_id, status=503)
            return
        count_ahead = sum(
            count
            for urgency, count in self._running_by_urgency.items()
            if urgency <= request.urgency
        )
        if count_ahead >= self.registration.slots + _QUEUE_CAPACITY:
            await self._refuse(exchange, request.request_id, status=503)
            return
        self._running_by_urgency[request.urgency] += 1
        try:
            async with self._slots:
                self._record_run(exchange, request)
                if body.startswith(
                    _CRASHING_PREFIX
                ) or layout.has_crashing_part(request.parts):
                    if self._begins_crashing:
                        await self._send_first_event(exchange, request)
                    await asyncio.sleep(_CRASH_DELAY_SECONDS)
                    self._on_crash(self.registration.id)
                    await exchange.caller_left.wait()
                    return
                await self._run(exchange, request)
        except http_errors.CallerLeftError:
            # The entry VM closed the connection, which cancels the request.
            return
        finally:
            self._running_by_urgency[request.urgency] -= 1

    async def _send_first_event(
        self,
        exchange: exchanges.Exchange,
        request: standin_messages.UpstreamRequest,
    ) -> None:
        """Begin the stream that ends with the crash."""
        if not layout.KINDS_BY_NAME[_kind_of(exchange)].streamed:
            return
        headers = standin_messages.answer_headers(request.request_id)
        await exchange.start(
            http_messages.ResponseHead(
                status=200,
                headers=headers.with_added("Content-Type", "text/event-stream"),
            )
        )
        await exchange.send(
            event(
                request.request_id,
                request.resumes_after + 1,
                self.registration.version,
            )
        )

    async def _refuse(
        self,
        exchange: exchanges.Exchange,
        request_id: types.RequestId,
        *,
        status: int,
    ) -> None:
        headers = self._with_notice(
            standin_messages.not_run_headers(request_id), request_id
        )
        await exchange.respond(status=status, headers=headers, body=b"")

    def _with_notice(
        self, headers: http_messages.Headers, request_id: types.RequestId
    ) -> http_messages.Headers:
        """Add the load and the current notice; record that it was sent."""
        notice = self.notice
        self._history.sent_notices.append(
            notices.SentNotice(
                upstream=self.registration.id,
                id=request_id,
                notice=notice,
                at=time.monotonic(),
            )
        )
        return standin_messages.notice_headers(
            self._with_load(headers),
            per_second=notice.per_second,
            rest_seconds=notice.rest_seconds,
            leaving=notice.leaving,
        )

    def _with_load(
        self, headers: http_messages.Headers
    ) -> http_messages.Headers:
        """Add the report of the current load to the headers."""
        slots = self.registration.slots
        requests = self._running_by_urgency.total()
        states_slowness = self.registration.pool == layout.ENGINES
        return standin_messages.load_headers(
            headers,
            running=min(requests, slots),
            waiting=max(0, requests - slots),
            slots=slots,
            slowness=self.slowness if states_slowness else None,
        )

    def _record_run(
        self,
        exchange: exchanges.Exchange,
        request: standin_messages.UpstreamRequest,
    ) -> None:
        id = request.request_id
        self._history.runs_by_id[id].append(
            record.Run(
                id=id,
                upstream=self.registration.id,
                at=time.monotonic(),
                kind=_kind_of(exchange),
            )
        )

    async def _stay_silent(self) -> None:
        await asyncio.sleep(max(0.0, self.silent_until - time.monotonic()))

    async def _run(
        self,
        exchange: exchanges.Exchange,
        request: standin_messages.UpstreamRequest,
    ) -> None:
        id = request.request_id
        headers = standin_messages.answer_headers(id)
        if layout.KINDS_BY_NAME[_kind_of(exchange)].streamed:
            headers = self._with_notice(headers, id)
        if not layout.KINDS_BY_NAME[_kind_of(exchange)].streamed:
            await asyncio.sleep(_PLAIN_RUN_SECONDS * self.slowness)
            await self._stay_silent()
            await exchange.respond(
                status=200,
                headers=self._with_notice(headers, id),
                body=whole_body(id),
            )
            return
        await exchange.start(
            http_messages.ResponseHead(
                status=200,
                headers=headers.with_added("Content-Type", "text/event-stream"),
            )
        )
        for number in range(request.resumes_after + 1, layout.EVENTS + 1):
            await asyncio.sleep(_EVENT_SECONDS * self.slowness)
            await self._stay_silent()
            await exchange.send(event(id, number, self.registration.version))
        await exchange.finish()


def _kind_of(exchange: exchanges.Exchange) -> str:
    return exchange.head.target.split("/")[1]
