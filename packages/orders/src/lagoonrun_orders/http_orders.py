"""Orders and states over HTTP, by the client that requests use as well.

`GET /state` answers `{"version_by_model", "role", "leaving"}`. `POST /orders`
takes `{"kind", "model", "version", "role", "fencing"}`; 409 with a `fencing`
field says that a higher number was seen.
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
_LARGEST_ANSWER_BYTES = 256 * 1024
_OK = 200
_CONFLICT = 409


class HttpUpstreamOrders:
    """`UpstreamOrders` over HTTP.

    Parameters
    ----------
    client
        Connections to upstreams.
    entry_vm
        Goes into the ids of the requests.
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
                answer = await self._call(upstream, "GET", "/state", b"")
        except TimeoutError:
            return upstream_orders.StateUnknown(detail="no answer in time")
        if isinstance(answer, http_upstream.UpstreamFailure):
            return upstream_orders.StateUnknown(detail=answer.detail)
        if answer.status != _OK:
            return upstream_orders.StateUnknown(
                detail=f"status {answer.status}; valid: {_OK}"
            )
        return _parse_state(answer.body)

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
            # Counted from before the connection is made, so that it ends
            # no later than the promised time after the first byte. Its end
            # resets the connection.
            async with asyncio.timeout(timeout_seconds):
                answer = await self._call(
                    upstream, "POST", "/orders", body, may_write=may_send
                )
        except TimeoutError:
            return upstream_orders.OrderUnknown(detail="no answer in time")
        if isinstance(answer, http_upstream.UpstreamFailure):
            if answer.bytes_left:
                return upstream_orders.OrderUnknown(detail=answer.detail)
            return upstream_orders.NotSent(detail=answer.detail)
        if answer.status == _OK:
            return upstream_orders.Done()
        if answer.status == _CONFLICT:
            return upstream_orders.RefusedOldFencing(detail=_text(answer.body))
        return upstream_orders.OrderUnknown(
            detail=f"status {answer.status}: {_text(answer.body)}"
        )

    async def _call(
        self,
        upstream: model.Upstream,
        method: str,
        target: str,
        body: bytes,
        *,
        may_write: Callable[[], bool] | None = None,
    ) -> "_Answer | http_upstream.UpstreamFailure":
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
            # A pooled connection may be closed while the order is under
            # way; an order's end is then unknown for nothing.
            fresh=method == "POST",
            may_write=may_write,
        )
        if isinstance(response, http_upstream.UpstreamFailure):
            return response
        content = await response.read_all(_LARGEST_ANSWER_BYTES)
        if isinstance(content, http_upstream.UpstreamFailure):
            return content
        return _Answer(status=response.head.status, body=content)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Answer:
    """Status and body of an upstream's answer."""

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
