"""Send orders and read states over HTTP, with the client used for requests.

`GET /state` returns `{"version_by_model", "role", "leaving"}`. `POST /orders`
takes `{"kind", "model", "version", "role", "fencing"}`; a response with status
409 and a `fencing` field means that the upstream has seen a higher number.
"""

import asyncio
import dataclasses
import itertools
import json
from collections.abc import Callable
from typing import Any

from lagoonrun_config import model
from lagoonrun_core import types
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream
from lagoonrun_orders import upstream_orders

_STATE_TIMEOUT_SECONDS = 2.0
_MAX_RESPONSE_BYTES = 256 * 1024
_OK = 200
_CONFLICT = 409


class HttpUpstreamOrders:
    """`UpstreamOrders` over HTTP.

    Parameters
    ----------
    client
        Connections to upstreams.
    entry_vm
        Part of the ids of the requests.
    """

    def __init__(
        self,
        *,
        client: http_upstream.UpstreamClient,
        entry_vm: types.EntryVmId,
    ) -> None:
        self._client = client
        self._entry_vm = entry_vm
        self._numbers = itertools.count(1)

    async def state(
        self, upstream: model.Upstream
    ) -> upstream_orders.StateResult:
        """Read one upstream's state; see `UpstreamOrders`."""
        try:
            async with asyncio.timeout(_STATE_TIMEOUT_SECONDS):
                response = await self._call(upstream, "GET", "/state", b"")
        except TimeoutError:
            return upstream_orders.StateUnknown(detail="no response in time")
        if isinstance(response, http_upstream.UpstreamFailure):
            return upstream_orders.StateUnknown(detail=response.detail)
        if response.status != _OK:
            return upstream_orders.StateUnknown(
                detail=f"status {response.status}; valid: {_OK}"
            )
        return _parse_state(response.body)

    async def send(
        self,
        upstream: model.Upstream,
        order: upstream_orders.Order,
        *,
        fencing: types.FencingNumber,
        timeout_seconds: float,
        may_send: Callable[[], bool],
    ) -> upstream_orders.OrderResult:
        """Send one order; see `UpstreamOrders`."""
        body = _encode(order, fencing)
        try:
            # The time limit starts before the connection is made, so that the
            # order ends no later than promised after its first byte. A timeout
            # resets the connection.
            async with asyncio.timeout(timeout_seconds):
                response = await self._call(
                    upstream, "POST", "/orders", body, may_write=may_send
                )
        except TimeoutError:
            return upstream_orders.OrderUnknown(detail="no response in time")
        if isinstance(response, http_upstream.UpstreamFailure):
            if response.write_attempted:
                return upstream_orders.OrderUnknown(detail=response.detail)
            return upstream_orders.NotSent(detail=response.detail)
        if response.status == _OK:
            return upstream_orders.Done()
        if response.status == _CONFLICT:
            return upstream_orders.RefusedOldFencing(
                detail=_text(response.body)
            )
        return upstream_orders.OrderUnknown(
            detail=f"status {response.status}: {_text(response.body)}"
        )

    async def _call(
        self,
        upstream: model.Upstream,
        method: str,
        target: str,
        body: bytes,
        *,
        may_write: Callable[[], bool] | None = None,
    ) -> "_Response | http_upstream.UpstreamFailure":
        request = http_upstream.UpstreamRequest(
            head=http_messages.RequestHead(
                method=method,
                target=target,
                headers=http_messages.Headers(
                    pairs=[("Content-Type", "application/json")]
                ),
            ),
            body=body,
            request_id=types.RequestId(
                f"order-{self._entry_vm}-{next(self._numbers)}"
            ),
        )
        response = await self._client.send(
            request,
            address=upstream.address,
            port=upstream.port,
            # A pooled connection may be closed while the order is in progress,
            # which would make its result unknown for no reason.
            new_connection=method == "POST",
            may_write=may_write,
        )
        if isinstance(response, http_upstream.UpstreamFailure):
            return response
        content = await response.read_all(_MAX_RESPONSE_BYTES)
        if isinstance(content, http_upstream.UpstreamFailure):
            return content
        return _Response(status=response.head.status, body=content)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Response:
    """Status and body of an upstream's response."""

    status: int
    body: bytes


def _encode(
    order: upstream_orders.Order, fencing: types.FencingNumber
) -> bytes:
    fields = {
        "kind": order.kind.value,
        "model": order.model,
        "version": order.version,
        "role": order.role,
        "fencing": fencing,
    }
    return json.dumps(fields).encode()


def _parse_state(body: bytes) -> upstream_orders.StateResult:
    try:
        fields: Any = json.loads(body)
        versions = fields["version_by_model"]
        return upstream_orders.UpstreamState(
            version_by_model={str(k): str(v) for k, v in versions.items()},
            role=str(fields["role"]),
            leaving=bool(fields.get("leaving", False)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return upstream_orders.StateUnknown(detail=f"unreadable: {error!r}")


def _text(body: bytes) -> str:
    return body[:200].decode(errors="replace")
