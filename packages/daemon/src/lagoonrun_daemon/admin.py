"""Admin endpoint: health, metrics, status and explanations."""

import hashlib
import hmac
import json
from collections.abc import Mapping
from typing import Any, Protocol

from lagoonrun_core import types
from lagoonrun_http import messages as http_messages
from lagoonrun_http import server as http_server

JsonObject = Mapping[str, Any]
_BEARER = "bearer "
_OWN_SCOPE = "scope=own"
_OPEN_PATHS = frozenset(("/healthz", "/readyz"))


class AdminSource(Protocol):
    """Source of the daemon state that the admin endpoint serves."""

    def is_ready(self) -> bool:
        """Return whether this entry VM accepts callers' requests."""

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""

    def status(self) -> JsonObject:
        """Return the state of this entry VM and its view of the others."""

    def own_status(self) -> JsonObject:
        """Return the state of this entry VM only."""

    def explain(self, request_id: types.RequestId) -> JsonObject | None:
        """Return the explanation of a request, or None if it is unknown."""


class AdminHandler:
    """Handle admin requests.

    Parameters
    ----------
    source
        The daemon.
    token_digest
        SHA-256 (hexadecimal) of the bearer token; empty if no token is
        required. Health and readiness need no token, because the platform's
        load balancer probes them.
    """

    def __init__(self, *, source: AdminSource, token_digest: str) -> None:
        self._source = source
        self._token_digest = token_digest

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Respond to one admin request."""
        await exchange.read_body()
        path, _, query = exchange.head.target.partition("?")
        if path not in _OPEN_PATHS and not self._is_allowed(exchange):
            await _respond_json(exchange, 401, {"error": "bearer token"})
            return
        match path.strip("/").split("/"):
            case ["healthz"]:
                await _respond_json(exchange, 200, {"healthy": True})
            case ["readyz"]:
                ready = self._source.is_ready()
                status = 200 if ready else 503
                await _respond_json(exchange, status, {"ready": ready})
            case ["metrics"]:
                await self._respond_metrics(exchange)
            case ["status"] if query == _OWN_SCOPE:
                await _respond_json(exchange, 200, self._source.own_status())
            case ["status"]:
                await _respond_json(exchange, 200, self._source.status())
            case ["explain", request_id]:
                await self._respond_explanation(exchange, request_id)
            case _:
                await _respond_json(exchange, 404, {"error": "no such path"})

    def _is_allowed(self, exchange: http_server.Exchange) -> bool:
        if not self._token_digest:
            return True
        authorization = exchange.head.headers.get("Authorization", "")
        if not authorization.lower().startswith(_BEARER):
            return False
        token = authorization[len(_BEARER) :].strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        return hmac.compare_digest(digest, self._token_digest)

    async def _respond_metrics(self, exchange: http_server.Exchange) -> None:
        await exchange.respond(
            status=200,
            headers=http_messages.Headers(
                pairs=[("Content-Type", "text/plain; version=0.0.4")]
            ),
            body=self._source.render_metrics(),
        )

    async def _respond_explanation(
        self, exchange: http_server.Exchange, request_id: str
    ) -> None:
        found = self._source.explain(types.RequestId(request_id))
        if found is None:
            await _respond_json(
                exchange, 404, {"error": f"{request_id!r} is not known here"}
            )
            return
        await _respond_json(exchange, 200, found)


async def _respond_json(
    exchange: http_server.Exchange, status: int, value: JsonObject
) -> None:
    await exchange.respond(
        status=status,
        headers=http_messages.Headers(
            pairs=[("Content-Type", "application/json")]
        ),
        body=json.dumps(value).encode(),
    )
