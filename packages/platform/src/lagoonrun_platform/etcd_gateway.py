"""Adapter of the store and the VM list for the etcd v3 HTTP/JSON gateway."""

import asyncio
import collections
import contextlib
import random
from collections.abc import AsyncIterator, Callable, Sequence
from typing import TypeVar

from lagoonrun_core import clock as clock_module
from lagoonrun_platform import call_budget, gateway_format, http_client, store
from lagoonrun_platform import vm_list as vm_list_module

_CONNECT_TIMEOUT_SECONDS = 1.0
_CALL_TIMEOUT_SECONDS = 3.0
_CALLS_PER_SECOND = 100.0
_BURST = 200.0
_SERVER_ERROR = 500
_BAD_REQUEST = 400
_NO_USABLE_RESPONSE = (
    http_client.NotSentError,
    http_client.ResponseLostError,
    gateway_format.FormatError,
)

_T = TypeVar("_T")


class EtcdGateway:
    """`KeyValueStore` and `VmList` of the platform, over HTTP.

    Addresses are tried in order, starting from a random one, so that not all
    processes depend on the same address, and later from the one that answered
    last. A write is tried at another address only if no byte of it was sent.

    Parameters
    ----------
    addresses
        The gateway's addresses, with `host` and `port`.
    clock
        Refills the call budget.
    rng
        Source of jitter.
    call_timeout_seconds
        Time limit for a response.
    calls_per_second, burst
        The call budget of this process; a watch counts as one call.

    Attributes
    ----------
    calls_by_kind
        Number of attempted calls by name; each address counts.
    failures_by_kind
        Number of calls without a response, including those denied by the
        budget.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[http_client.NetworkAddress],
        clock: clock_module.Clock,
        rng: random.Random,
        call_timeout_seconds: float = _CALL_TIMEOUT_SECONDS,
        calls_per_second: float = _CALLS_PER_SECOND,
        burst: float = _BURST,
    ) -> None:
        self._call_timeout_seconds = call_timeout_seconds
        self._pools = collections.deque(
            http_client.ConnectionPool(
                address=address,
                connect_timeout_seconds=_CONNECT_TIMEOUT_SECONDS,
                clock=clock,
            )
            for address in addresses
        )
        self._pools.rotate(rng.randrange(max(1, len(self._pools))))
        self._budget = call_budget.CallBudget(
            calls_per_second=calls_per_second,
            burst=burst,
            max_wait_seconds=call_timeout_seconds,
            clock=clock,
            rng=rng,
        )
        self._watches: set[http_client.HttpConnection] = set()
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.failures_by_kind: collections.Counter[str] = collections.Counter()

    async def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    async def close(self) -> None:
        """Close all connections; waiting watches end."""
        for pool in self._pools:
            pool.close()
        for connection in list(self._watches):
            connection.close()

    async def get(self, key: str) -> store.Item | store.Unreachable:
        """Read one key; see `KeyValueStore`."""
        return await self._read(
            "range",
            _call("/v3/kv/range", gateway_format.get_request(key)),
            parse=gateway_format.item,
        )

    async def list_prefix(
        self, prefix: str, *, keys_only: bool = False
    ) -> store.Listing | store.Unreachable:
        """Read a prefix; see `KeyValueStore`."""
        request = gateway_format.list_request(prefix, keys_only=keys_only)
        return await self._read(
            "range",
            _call("/v3/kv/range", request),
            parse=gateway_format.listing,
        )

    async def transact(
        self,
        *,
        comparisons: Sequence[store.Comparison],
        puts: Sequence[store.Put] = (),
        deletes: Sequence[str] = (),
    ) -> store.TransactionResult:
        """Compare and write; see `KeyValueStore`."""
        request = gateway_format.transaction_request(
            comparisons=comparisons, puts=puts, deletes=deletes
        )
        return await self._write(
            "txn",
            _call("/v3/kv/txn", request),
            parse=gateway_format.transaction_result,
        )

    async def grant_lease(self, *, ttl_seconds: float) -> store.LeaseResult:
        """Grant a lease; see `KeyValueStore`."""
        request = gateway_format.grant_request(ttl_seconds)
        return await self._write(
            "lease-grant",
            _call("/v3/lease/grant", request),
            parse=gateway_format.lease_granted,
        )

    async def renew_lease(self, lease: store.LeaseId) -> store.LeaseResult:
        """Renew a lease; see `KeyValueStore`."""
        request = gateway_format.lease_request(lease)
        return await self._write(
            "lease-keepalive",
            _call("/v3/lease/keepalive", request),
            parse=lambda fields: gateway_format.lease_kept(fields, lease),
        )

    async def revoke_lease(self, lease: store.LeaseId) -> store.RevokeResult:
        """Revoke a lease; see `KeyValueStore`."""
        request = gateway_format.lease_request(lease)
        return await self._write(
            "lease-revoke",
            _call("/v3/lease/revoke", request),
            parse=lambda fields: gateway_format.lease_revoked(fields, lease),
        )

    async def list_vms(
        self,
    ) -> vm_list_module.VmListing | store.Unreachable:
        """Return the platform's list of VMs; see `VmList`."""
        return await self._read(
            "vms", _call("/vms", None), parse=gateway_format.vm_listing
        )

    async def watch(
        self,
        key: str,
        *,
        prefix: bool = False,
        from_revision: store.StoreRevision = store.ABSENT,
        max_wait_seconds: float | None = None,
    ) -> AsyncIterator[store.WatchMessage]:
        """Yield changes; see `KeyValueStore`. All of them come by one call."""
        del max_wait_seconds
        request = gateway_format.watch_request(
            key, prefix=prefix, from_revision=from_revision
        )
        call = http_client.HttpRequest(
            method="POST",
            path="/v3/watch",
            body=gateway_format.encode(request),
        )
        connection = await self._open_watch(call)
        if isinstance(connection, store.Unreachable):
            yield connection
            return
        self._watches.add(connection)
        try:
            async for message in self._messages(connection):
                yield message
                if not isinstance(message, store.WatchBatch):
                    return
        finally:
            self._watches.discard(connection)
            connection.close()

    async def _open_watch(
        self, call: http_client.HttpRequest
    ) -> http_client.HttpConnection | store.Unreachable:
        denied = await self._admit("watch")
        if denied is not None:
            return denied
        detail = "no address"
        for pool in list(self._pools):
            self.calls_by_kind["watch"] += 1
            try:
                connection = await pool.connect()
            except http_client.NotSentError as error:
                detail = self._rotate_pools(pool, error)
                continue
            try:
                async with asyncio.timeout(self._call_timeout_seconds):
                    status = await connection.open_stream(call)
            except (TimeoutError, http_client.ResponseLostError) as error:
                connection.close()
                detail = self._rotate_pools(pool, error)
                continue
            except BaseException:
                connection.close()
                raise
            if status < _BAD_REQUEST:
                self._budget.succeeded()
                return connection
            connection.close()
            detail = self._rotate_pools(pool, f"status {status}")
        return self._fail_unreachable("watch", detail)

    async def _messages(
        self, connection: http_client.HttpConnection
    ) -> AsyncIterator[store.WatchMessage]:
        buffer = b""
        try:
            async with contextlib.aclosing(connection.parts()) as parts:
                async for part in parts:
                    buffer += part
                    *lines, buffer = buffer.split(b"\n")
                    for line in filter(None, lines):
                        fields = gateway_format.decode(line)
                        yield gateway_format.watch_message(fields)
        except (
            http_client.ResponseLostError,
            gateway_format.FormatError,
        ) as error:
            yield store.Unreachable(detail=f"watch lost: {error}")
            return
        yield store.Unreachable(detail="watch ended by the store")

    async def _read(
        self,
        kind: str,
        call: http_client.HttpRequest,
        *,
        parse: Callable[[dict], _T],
    ) -> _T | store.Unreachable:
        """Send a read-only call, to each address if necessary."""
        denied = await self._admit(kind)
        if denied is not None:
            return denied
        detail = "no address"
        for pool in list(self._pools):
            self.calls_by_kind[kind] += 1
            try:
                response = await pool.call(
                    call, timeout_seconds=self._call_timeout_seconds
                )
                return self._parse_response(response, parse)
            except _NO_USABLE_RESPONSE as error:
                detail = self._rotate_pools(pool, error)
        return self._fail_unreachable(kind, detail)

    async def _write(
        self,
        kind: str,
        call: http_client.HttpRequest,
        *,
        parse: Callable[[dict], _T],
    ) -> _T | store.Unknown | store.Unreachable:
        """Send a call that may change something, only once."""
        denied = await self._admit(kind)
        if denied is not None:
            return denied
        detail = "no address"
        for pool in list(self._pools):
            self.calls_by_kind[kind] += 1
            try:
                response = await pool.call(
                    call, timeout_seconds=self._call_timeout_seconds
                )
                return self._parse_response(response, parse)
            except http_client.NotSentError as error:
                detail = self._rotate_pools(pool, error)
            except _NO_USABLE_RESPONSE as error:
                # The write may have been applied: another attempt could apply
                # it twice, or report a comparison as failed because of its own
                # first write.
                return self._fail_unknown(kind, self._rotate_pools(pool, error))
        return self._fail_unreachable(kind, detail)

    async def _admit(self, kind: str) -> store.Unreachable | None:
        admitted = self._budget.admit(
            timeout_seconds=self._call_timeout_seconds
        )
        if isinstance(admitted, call_budget.Denied):
            self.failures_by_kind[kind] += 1
            return store.Unreachable(detail=admitted.detail)
        if admitted.wait_seconds > 0:
            await asyncio.sleep(admitted.wait_seconds)
        return None

    def _parse_response(
        self, response: http_client.HttpResponse, parse: Callable[[dict], _T]
    ) -> _T | store.Unreachable:
        """Return the result that a response contains.

        Raises
        ------
        http_client.ResponseLostError, gateway_format.FormatError
            If the response does not show whether the call was applied.
        """
        if response.status >= _SERVER_ERROR:
            # "Request timed out" is returned as a server error, and such a
            # request may still be applied.
            raise http_client.ResponseLostError(f"status {response.status}")
        fields = gateway_format.decode(response.body)
        self._budget.succeeded()
        if response.status >= _BAD_REQUEST and not gateway_format.is_not_found(
            fields
        ):
            # A refused call, such as one without permission or over the rate
            # limit, was certainly not applied.
            message = fields.get("message") or fields.get("error")
            return store.Unreachable(
                detail=f"status {response.status}: {message!r:.200}"
            )
        return parse(fields)

    def _rotate_pools(
        self, failed: http_client.ConnectionPool, error: Exception | str
    ) -> str:
        """Move a failed address to the end; return the error detail."""
        if len(self._pools) > 1 and self._pools[0] is failed:
            self._pools.rotate(-1)
        address = failed.address
        return f"{address.host}:{address.port}: {error or 'timeout'}"

    def _fail_unreachable(self, kind: str, detail: str) -> store.Unreachable:
        self._budget.failed()
        self.failures_by_kind[kind] += 1
        return store.Unreachable(detail=detail)

    def _fail_unknown(self, kind: str, detail: str) -> store.Unknown:
        self._budget.failed()
        self.failures_by_kind[kind] += 1
        return store.Unknown(detail=detail)


def _call(
    path: str, request: gateway_format.Json | None
) -> http_client.HttpRequest:
    if request is None:
        return http_client.HttpRequest(method="GET", path=path)
    return http_client.HttpRequest(
        method="POST", path=path, body=gateway_format.encode(request)
    )
