"""HTTP endpoints of the router, for the platform, peers and operators."""

from collections.abc import Mapping
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import messages as http_messages
from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import (
    connection_forwarder,
    crash_records,
    forwarding_frames,
    json_responses,
    override_endpoint,
    peer_fetch,
    store_replica,
)

BLOCKED_REQUESTS_PATH = "/blocked-requests"
LOAD_PATH = "/load"


class RouterStatus(Protocol):
    """What the endpoints use of the router."""

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""

    def metrics_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""


class BlockedRequests(Protocol):
    """What the endpoints use of the blocked requests."""

    def blocks(self) -> tuple[crash_records.Block, ...]:
        """Return the blocks of all requests that must not be sent."""

    def lift(self, id: types.BlockId) -> bool:
        """End a block; return whether there were crash records."""


class LoadView(Protocol):
    """What an entry VM knows of the load of adaptive pools."""

    def as_json(self, *, now: float) -> Mapping[str, object]:
        """Return the speeds, shares, room and invitations as JSON values."""


class ReadinessEndpoint:
    """Answers the load balancer's readiness checks."""

    def __init__(self, *, router: RouterStatus) -> None:
        self._router = router

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Answer one call."""
        await exchange.read_body()
        status = 200 if self._router.ready else 503
        await exchange.respond(
            status=status, headers=http_messages.Headers(), body=b""
        )


class PeerEndpoint:
    """Serves other entry VMs: what this one has read, and its links.

    Parameters
    ----------
    replica
        What this entry VM has read from the store.
    forwarder
        Forwards connections to upstreams.
    """

    def __init__(
        self,
        *,
        replica: store_replica.StoreReplica,
        forwarder: connection_forwarder.ConnectionForwarder,
    ) -> None:
        self._replica = replica
        self._forwarder = forwarder

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Answer one call."""
        await exchange.read_body()
        if exchange.head.target.startswith(forwarding_frames.PATH):
            await self._forwarder.handle(exchange)
            return
        body = self._body_for(exchange.head.target)
        await exchange.respond(
            status=200 if body else 404,
            headers=http_messages.Headers(),
            body=body,
        )

    def _body_for(self, path: str) -> bytes:
        if path == peer_fetch.DECLARATIONS_PATH:
            return self._replica.declared.newest.text
        if path.startswith(peer_fetch.DECLARED_CHANGE_PATH):
            return self._declared_change(path)
        if path == peer_fetch.UPSTREAMS_PATH:
            return router_codec.encode(
                router_messages.StoredItems(
                    items=tuple(
                        router_messages.StoredItem(key=key, value=value)
                        for key, value in self._replica.upstream_entries().items()
                    ),
                    store_revision=self._replica.store_revision,
                )
            )
        return b""

    def _declared_change(self, path: str) -> bytes:
        """Return the changes since the value whose digest the path names."""
        if not self._replica.revision:
            return b""
        digest = path.removeprefix(peer_fetch.DECLARED_CHANGE_PATH)
        return router_codec.encode(self._replica.declared.change_from(digest))


class OperatorEndpoint:
    """Serves the metrics and the load, blocked requests and overrides.

    `GET /blocked-requests` lists them; `DELETE /blocked-requests/DIGEST`
    unblocks one at all entry VMs. `GET /load` returns the load; for
    `/overrides` see `override_endpoint`. Any other call gets the metrics.

    Parameters
    ----------
    router
        Source of the metrics.
    blocks
        The blocked requests.
    overrides
        Endpoint of the overrides.
    clock
        Source of time, for the remaining time of the blocks and for the load.
    load_view
        The load of adaptive pools; None to answer 404.
    """

    def __init__(
        self,
        *,
        router: RouterStatus,
        blocks: BlockedRequests,
        overrides: override_endpoint.OverrideEndpoint,
        clock: clocks.Clock,
        load_view: LoadView | None = None,
    ) -> None:
        self._router = router
        self._blocks = blocks
        self._overrides = overrides
        self._clock = clock
        self._load_view = load_view

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Answer one call."""
        body = await exchange.read_body()
        path = exchange.head.target
        if path == LOAD_PATH:
            await self._respond_with_load(exchange)
        elif override_endpoint.serves(path):
            await self._overrides.handle(exchange, path, body)
        elif path == BLOCKED_REQUESTS_PATH:
            await self._respond_with_list(exchange)
        elif path.startswith(f"{BLOCKED_REQUESTS_PATH}/"):
            await self._lift_block(exchange)
        else:
            await exchange.respond(
                status=200,
                headers=_content_type_header("text/plain; version=0.0.4"),
                body=self._router.metrics_text(),
            )

    async def _respond_with_load(self, exchange: exchanges.Exchange) -> None:
        if self._load_view is None:
            await json_responses.respond_error(
                exchange,
                404,
                field=LOAD_PATH,
                message="this entry VM keeps no view of the load",
            )
            return
        now = self._clock.monotonic()
        await json_responses.respond(
            exchange, 200, self._load_view.as_json(now=now)
        )

    async def _respond_with_list(self, exchange: exchanges.Exchange) -> None:
        now = self._clock.monotonic()
        rows = [
            {
                "digest": block.id,
                "parts": sorted(block.parts),
                "route": block.route,
                "upstreams": [instance.upstream for instance in block.crashes],
                "seconds_left": round(block.until - now, 1),
            }
            for block in self._blocks.blocks()
        ]
        await json_responses.respond(exchange, 200, {"blocked": rows})

    async def _lift_block(self, exchange: exchanges.Exchange) -> None:
        if exchange.head.method != "DELETE":
            await json_responses.respond(exchange, 405, {"lifted": False})
            return
        digest_text = exchange.head.target.removeprefix(
            f"{BLOCKED_REQUESTS_PATH}/"
        )
        lifted = self._blocks.lift(types.BlockId(digest_text))
        await json_responses.respond(
            exchange, 200 if lifted else 404, {"lifted": lifted}
        )


def _content_type_header(content_type: str) -> http_messages.Headers:
    return http_messages.Headers(pairs=[("Content-Type", content_type)])
