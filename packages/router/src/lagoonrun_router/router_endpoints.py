"""Calls that the platform and peers make to the router itself."""

import json
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import messages as http_messages
from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import crash_evidence, peer_fetch, store_replica

BLOCKED_REQUESTS_PATH = "/blocked-requests"


class AnswersCalls(Protocol):
    """What the calls need of the router."""

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""

    def metrics_text(self) -> bytes:
        """Return all metrics in the text format."""


class LiftsBlocks(Protocol):
    """The blocked requests, for operators."""

    def blocks(self) -> tuple[crash_evidence.Block, ...]:
        """Return all requests that must not be sent."""

    def lift(self, request: types.RequestDigest) -> bool:
        """Let a request run again; return whether anything was held against it."""


class ReadinessEndpoint:
    """Answers the balancer's question."""

    def __init__(self, *, router: AnswersCalls) -> None:
        self._router = router

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Answer one call."""
        await exchange.read_body()
        status = 200 if self._router.ready else 503
        await exchange.respond(
            status=status, headers=http_messages.Headers(), body=b""
        )


class PeerEndpoint:
    """Gives other entry VMs what this one has read from the store."""

    def __init__(self, *, known: store_replica.StoreReplica) -> None:
        self._known = known

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Answer one call."""
        await exchange.read_body()
        body = self._body_of(exchange.head.target)
        await exchange.respond(
            status=200 if body else 404,
            headers=http_messages.Headers(),
            body=body,
        )

    def _body_of(self, path: str) -> bytes:
        if path == peer_fetch.DECLARATIONS_PATH:
            return self._known.declared.newest.text
        if path.startswith(peer_fetch.DECLARED_CHANGE_PATH):
            return self._declared_change(path)
        if path == peer_fetch.UPSTREAMS_PATH:
            return router_codec.encode(
                router_messages.StoredItems(
                    items=tuple(
                        router_messages.StoredItem(key=key, value=value)
                        for key, value in self._known.upstream_entries().items()
                    ),
                    store_revision=self._known.store_revision,
                )
            )
        return b""

    def _declared_change(self, path: str) -> bytes:
        """Return what has changed since the value that the caller has."""
        if not self._known.revision:
            return b""
        digest = path.removeprefix(peer_fetch.DECLARED_CHANGE_PATH)
        return router_codec.encode(self._known.declared.change_from(digest))


class OperatorEndpoint:
    """Serves the metrics, and the blocked requests to whoever lifts blocks.

    `GET /blocked-requests` lists them; `DELETE /blocked-requests/DIGEST` lifts one,
    at all entry VMs. Any other call gets the metrics.

    Parameters
    ----------
    router
        Gives the metrics.
    blocks
        The blocked requests.
    clock
        Dates the ends of the blocks.
    """

    def __init__(
        self, *, router: AnswersCalls, blocks: LiftsBlocks, clock: clocks.Clock
    ) -> None:
        self._router = router
        self._blocks = blocks
        self._clock = clock

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Answer one call."""
        await exchange.read_body()
        path = exchange.head.target
        if path == BLOCKED_REQUESTS_PATH:
            await self._list(exchange)
        elif path.startswith(f"{BLOCKED_REQUESTS_PATH}/"):
            await self._lift(exchange)
        else:
            await exchange.respond(
                status=200,
                headers=_typed("text/plain; version=0.0.4"),
                body=self._router.metrics_text(),
            )

    async def _list(self, exchange: exchanges.Exchange) -> None:
        now = self._clock.monotonic()
        rows = [
            {
                "digest": one.request,
                "route": one.route,
                "upstreams": [crash.upstream for crash in one.crashes],
                "seconds_left": round(one.until - now, 1),
            }
            for one in self._blocks.blocks()
        ]
        await _respond_json(exchange, 200, {"blocked": rows})

    async def _lift(self, exchange: exchanges.Exchange) -> None:
        if exchange.head.method != "DELETE":
            await _respond_json(exchange, 405, {"lifted": False})
            return
        written = exchange.head.target.removeprefix(f"{BLOCKED_REQUESTS_PATH}/")
        lifted = self._blocks.lift(types.RequestDigest(written))
        await _respond_json(
            exchange, 200 if lifted else 404, {"lifted": lifted}
        )


def _typed(content_type: str) -> http_messages.Headers:
    return http_messages.Headers(pairs=[("Content-Type", content_type)])


async def _respond_json(
    exchange: exchanges.Exchange, status: int, value: object
) -> None:
    await exchange.respond(
        status=status,
        headers=_typed("application/json"),
        body=json.dumps(value).encode(),
    )
