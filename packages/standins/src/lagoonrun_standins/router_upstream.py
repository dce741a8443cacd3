"""Upstreams on loopback whose answers a test writes as functions."""

import asyncio

from lagoonrun_core import clock as clocks
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import limits as http_limits
from lagoonrun_http import messages as http_messages
from lagoonrun_http import server as http_server
from lagoonrun_standins.router_samples import HOST


class Upstream:
    """A real listener whose answers a test writes as a function.

    Attributes
    ----------
    heads
        Request heads in order of arrival.
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
        """Listen."""
        await self._server.start()

    async def close(self):
        """Stop at once."""
        await self._server.close()

    @property
    def port(self):
        """Port that it listens on."""
        return self._server.port

    async def handle(self, exchange: exchanges.Exchange):
        """Keep the request and answer by the test's function."""
        self.heads.append(exchange.head)
        self.bodies.append(await exchange.read_body())
        self.arrived.set()
        try:
            await self._answer(exchange)
        finally:
            if exchange.caller_left.is_set():
                self.cancelled.set()


def marked(exchange: exchanges.Exchange, **more) -> http_messages.Headers:
    """Return the headers of a genuine answer to a request."""
    pairs = [
        ("X-Request-Id", exchange.head.headers.get("X-Request-Id") or ""),
        ("Mark", "genuine"),
    ]
    pairs += [(name.replace("_", "-"), value) for name, value in more.items()]
    return http_messages.Headers(pairs=pairs)


async def answer_whole(exchange: exchanges.Exchange):
    """Answer 200 with a short body."""
    await exchange.respond(status=200, headers=marked(exchange), body=b"whole")


async def answer_500(exchange: exchanges.Exchange):
    """Answer that the work failed."""
    await exchange.respond(status=500, headers=marked(exchange), body=b"oops")


async def answer_not_run(exchange: exchanges.Exchange):
    """Answer that nothing was run."""
    await exchange.respond(
        status=503, headers=marked(exchange, Not_Run="1"), body=b""
    )


async def answer_never(exchange: exchanges.Exchange):
    """Stay silent until the caller leaves."""
    await exchange.caller_left.wait()


def answer_events(*events: bytes, then: str = "finish"):
    """Return an answer of events; `then` is finish, abort or hang."""

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
