"""Upstreams on loopback whose answers a test defines as functions."""

import asyncio

from lagoonrun_core import clock as clocks
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import limits as http_limits
from lagoonrun_http import messages as http_messages
from lagoonrun_http import server as http_server
from lagoonrun_standins.router_samples import HOST


class Upstream:
    """An HTTP server whose answers a test defines as a function.

    Attributes
    ----------
    heads, bodies
        Request heads and bodies in order of arrival.
    arrived
        Set once a request has arrived.
    cancelled
        Set once an answer has ended after its caller disconnected.
    """

    def __init__(self, answer, *, id: str):
        self.id = id
        self.heads = []
        self.bodies = []
        self.cancelled = asyncio.Event()
        self.arrived = asyncio.Event()
        self._answer = answer
        self._server = http_server.HttpServer(
            host=HOST,
            port=0,
            limits=http_limits.ServerLimits(),
            handler=self,
            clock=clocks.SystemClock(),
        )

    async def start(self):
        """Start listening."""
        await self._server.start()

    async def close(self):
        """Stop listening."""
        await self._server.close()

    @property
    def port(self):
        """Port that it listens on."""
        return self._server.port

    async def handle(self, exchange: exchanges.Exchange):
        """Record the request and answer it with the test's function."""
        self.heads.append(exchange.head)
        self.bodies.append(await exchange.read_body())
        self.arrived.set()
        try:
            await self._answer(exchange)
        finally:
            if exchange.caller_left.is_set():
                self.cancelled.set()


def marked(
    exchange: exchanges.Exchange, **extra_headers
) -> http_messages.Headers:
    """Return the headers that `PlainDialect` accepts as a genuine answer's."""
    pairs = [
        ("X-Request-Id", exchange.head.headers.get("X-Request-Id") or ""),
        ("Mark", "genuine"),
    ]
    pairs += [
        (name.replace("_", "-"), value) for name, value in extra_headers.items()
    ]
    return http_messages.Headers(pairs=pairs)


async def answer_whole(exchange: exchanges.Exchange):
    """Answer 200 with a short body."""
    await exchange.respond(status=200, headers=marked(exchange), body=b"whole")


async def answer_500(exchange: exchanges.Exchange):
    """Answer that the request failed."""
    await exchange.respond(status=500, headers=marked(exchange), body=b"oops")


async def answer_not_run(exchange: exchanges.Exchange):
    """Answer that the request was not run."""
    await exchange.respond(
        status=503, headers=marked(exchange, Not_Run="1"), body=b""
    )


async def answer_never(exchange: exchanges.Exchange):
    """Send nothing until the caller disconnects."""
    await exchange.caller_left.wait()


def answer_events(*events: bytes, then: str = "finish"):
    """Return a function that answers with `events`.

    Parameters
    ----------
    then
        What follows the events: `finish`, `abort`, or `hang` until the caller
        disconnects.
    """

    async def answer(exchange: exchanges.Exchange):
        await exchange.start(
            http_messages.ResponseHead(
                status=200,
                headers=marked(exchange, Content_Type="text/event-stream"),
            )
        )
        for event in events:
            await exchange.send(event)
        if then == "finish":
            await exchange.finish()
        elif then == "abort":
            exchange.abort()
        else:
            await exchange.caller_left.wait()

    return answer
