"""Calls that the platform and peers make to the router itself."""

from typing import Protocol

from lagoonrun_http import exchange as exchanges
from lagoonrun_http import messages as http_messages
from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import beliefs, peer_fetch


class AnswersCalls(Protocol):
    """What the calls need of the router."""

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""

    def metrics_text(self) -> bytes:
        """Return all metrics in the text format."""


class ReadinessCalls:
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


class PeerCalls:
    """Gives other entry VMs what this one has read from the store."""

    def __init__(self, *, known: beliefs.Beliefs) -> None:
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


class MetricsCalls:
    """Serves the metrics."""

    def __init__(self, *, router: AnswersCalls) -> None:
        self._router = router

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Answer one call."""
        await exchange.read_body()
        headers = http_messages.Headers(
            pairs=[("Content-Type", "text/plain; version=0.0.4")]
        )
        await exchange.respond(
            status=200, headers=headers, body=self._router.metrics_text()
        )
