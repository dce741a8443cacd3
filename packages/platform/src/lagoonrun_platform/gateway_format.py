"""The published JSON format of the etcd v3 gateway, both directions; no I/O.

Keys and values are base64, 64-bit integers are strings, and responses omit
fields that have their default value.
"""

import base64
import json
import math
from collections.abc import Mapping, Sequence

from lagoonrun_core import errors, types
from lagoonrun_platform import store, vm_list

Json = Mapping[str, object]

_NOT_FOUND_CODE = 5
"""gRPC status of a call with a lease that the store does not have."""


class FormatError(errors.LagoonrunError):
    """A response that does not have the published format."""

    def __init__(self, *, detail: str) -> None:
        super().__init__(step=errors.Step.PLATFORM_CALL, detail=detail)


def encode(fields: Json) -> bytes:
    """Return a request as JSON."""
    return json.dumps(fields, separators=(",", ":")).encode()


def decode(body: bytes) -> dict:
    """Return the JSON object of a response."""
    try:
        fields = json.loads(body)
    except ValueError as error:
        raise FormatError(detail=f"not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise FormatError(detail=f"{fields!r:.80}; valid: a JSON object")
    return fields


def get_request(key: str) -> Json:
    """Return a range request for one key."""
    return {"key": _encoded(key)}


def list_request(prefix: str, *, keys_only: bool) -> Json:
    """Return a range request for a prefix."""
    return {
        "key": _encoded(prefix),
        "range_end": _range_end(prefix),
        "keys_only": keys_only,
    }


def transaction_request(
    *,
    comparisons: Sequence[store.Comparison],
    puts: Sequence[store.Put],
    deletes: Sequence[str],
) -> Json:
    """Return a transaction that on failure reads the compared keys."""
    writes = [{"request_put": _put(put)} for put in puts]
    removals = [
        {"request_delete_range": {"key": _encoded(key)}} for key in deletes
    ]
    return {
        "compare": [_comparison(one) for one in comparisons],
        "success": writes + removals,
        "failure": [
            {"request_range": {"key": _encoded(one.key)}} for one in comparisons
        ],
    }


def grant_request(ttl_seconds: float) -> Json:
    """Return a request for a lease; its duration is in whole seconds."""
    return {"TTL": str(max(1, math.ceil(ttl_seconds))), "ID": "0"}


def lease_request(lease: store.LeaseId) -> Json:
    """Return a request that names a lease."""
    return {"ID": str(lease.number)}


def watch_request(
    key: str, *, prefix: bool, from_revision: store.StoreRevision
) -> Json:
    """Return the request that creates a watch."""
    create: dict[str, object] = {
        "key": _encoded(key),
        "start_revision": str(from_revision),
        "progress_notify": True,
    }
    if prefix:
        create["range_end"] = _range_end(key)
    return {"create_request": create}


def header_revision(fields: Json) -> store.StoreRevision:
    """Return the store's revision from the header of a response."""
    header = fields.get("header")
    if not isinstance(header, dict) or not header.get("revision"):
        # Without this check, "{}" would be read as an absent key.
        raise FormatError(detail=f"header: {header!r:.80}; valid: a revision")
    return store.StoreRevision(_integer(header, "revision"))


def key_values(fields: Json) -> tuple[store.KeyValue, ...]:
    """Return the keys of a range response."""
    return tuple(_key_value(one) for one in _objects(fields, "kvs"))


def item(fields: Json) -> store.Item:
    """Return the result of reading one key."""
    items = key_values(fields)
    return store.Item(
        found=items[0] if items else None, revision=header_revision(fields)
    )


def listing(fields: Json) -> store.Listing:
    """Return the result of listing a prefix."""
    return store.Listing(
        items=key_values(fields), revision=header_revision(fields)
    )


def is_not_found(fields: Json) -> bool:
    """Return whether the store does not have a lease of the call."""
    return fields.get("code") == _NOT_FOUND_CODE


def transaction_result(fields: Json) -> store.Committed | store.Rejected:
    """Return the result of a transaction."""
    if is_not_found(fields):
        # A put names an expired lease; nothing was written.
        return store.Rejected(items=(), revision=store.ABSENT)
    revision = header_revision(fields)
    if fields.get("succeeded"):
        return store.Committed(revision=revision)
    items: list[store.KeyValue] = []
    for response in _objects(fields, "responses"):
        items.extend(key_values(response.get("response_range") or {}))
    return store.Rejected(items=tuple(items), revision=revision)


def lease_granted(fields: Json) -> store.LeaseGranted:
    """Return the result of a grant."""
    ttl_seconds = _integer(fields, "TTL")
    if ttl_seconds <= 0:
        raise FormatError(detail=f"TTL: {ttl_seconds}; valid: above 0")
    return store.LeaseGranted(
        lease=store.LeaseId(number=_integer(fields, "ID")),
        ttl_seconds=float(ttl_seconds),
    )


def lease_kept(
    fields: Json, lease: store.LeaseId
) -> store.LeaseGranted | store.LeaseLost:
    """Return the result of a renewal; a lost lease has no time left."""
    result = fields.get("result")
    if not isinstance(result, dict) and not is_not_found(fields):
        raise FormatError(detail=f"result: {result!r:.80}; valid: an object")
    ttl_seconds = _integer(result or {}, "TTL")
    if ttl_seconds <= 0:
        return store.LeaseLost(lease=lease)
    return store.LeaseGranted(lease=lease, ttl_seconds=float(ttl_seconds))


def lease_revoked(
    fields: Json, lease: store.LeaseId
) -> store.LeaseRevoked | store.LeaseLost:
    """Return the result of a revocation."""
    if is_not_found(fields):
        return store.LeaseLost(lease=lease)
    return store.LeaseRevoked(lease=lease)


def watch_message(
    fields: Json,
) -> store.WatchBatch | store.WatchCompacted | store.Unreachable:
    """Return the message in one line of a watch."""
    result = fields.get("result")
    if not isinstance(result, dict):
        return store.Unreachable(detail=f"watch failed: {fields!r:.200}")
    if result.get("canceled"):
        oldest = _integer(result, "compact_revision")
        if oldest:
            return store.WatchCompacted(oldest=store.StoreRevision(oldest))
        return store.Unreachable(detail="watch cancelled by the store")
    return store.WatchBatch(
        events=tuple(_event(one) for one in _objects(result, "events")),
        revision=header_revision(result),
    )


def vm_listing(fields: Json) -> vm_list.VmListing:
    """Return the list of VMs, without VMs of unknown states."""
    states = {state.value: state for state in vm_list.VmState}
    vms_by_id = {}
    for one in _objects(fields, "vms"):
        state = states.get(one.get("state", ""))
        if state is None or not one.get("id"):
            continue
        vms_by_id[one["id"]] = vm_list.Vm(
            id=one["id"],
            role=_role(one),
            state=state,
            domain=types.FailureDomain(one.get("domain", "")),
            address=one.get("address", ""),
            port=_integer(one, "port"),
        )
    return vm_list.VmListing(vms_by_id=vms_by_id)


def _role(fields: Json) -> vm_list.VmRole:
    if fields.get("role") == vm_list.VmRole.ENTRY.value:
        return vm_list.VmRole.ENTRY
    return vm_list.VmRole.UPSTREAM


def _put(put: store.Put) -> Json:
    fields: dict[str, object] = {
        "key": _encoded(put.key),
        "value": base64.b64encode(put.value).decode(),
    }
    if put.lease is not None:
        fields["lease"] = str(put.lease.number)
    return fields


def _comparison(comparison: store.Comparison) -> Json:
    return {
        "key": _encoded(comparison.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(comparison.modified),
    }


def _event(fields: Json) -> store.Event:
    item = _key_value(fields.get("kv") or {})
    deleted = fields.get("type") == "DELETE"
    return store.Event(
        key=item.key,
        value=None if deleted else item.value,
        modified=item.modified,
    )


def _key_value(fields: Json) -> store.KeyValue:
    lease = _integer(fields, "lease")
    return store.KeyValue(
        key=_decoded(fields, "key").decode(),
        value=_decoded(fields, "value"),
        modified=store.StoreRevision(_integer(fields, "mod_revision")),
        created=store.StoreRevision(_integer(fields, "create_revision")),
        lease=store.LeaseId(number=lease) if lease else None,
    )


def _encoded(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _decoded(fields: Json, name: str) -> bytes:
    try:
        return base64.b64decode(fields.get(name) or "", validate=True)
    except (TypeError, ValueError) as error:
        raise FormatError(detail=f"{name}: {error}; valid: base64") from error


def _objects(fields: Json, name: str) -> list[dict]:
    found = fields.get(name) or []
    if isinstance(found, list) and all(isinstance(one, dict) for one in found):
        return found
    raise FormatError(detail=f"{name}: {found!r:.80}; valid: objects")


def _integer(fields: Json, name: str) -> int:
    value = fields.get(name) or 0
    try:
        return int(value)
    except (TypeError, ValueError) as error:
        raise FormatError(
            detail=f"{name}: {value!r:.80}; valid: a whole number"
        ) from error


def _range_end(prefix: str) -> str:
    """Return the first key after all keys that start with `prefix`."""
    octets = prefix.encode()
    end = octets[:-1] + bytes([octets[-1] + 1]) if octets else b"\x00"
    return base64.b64encode(end).decode()
