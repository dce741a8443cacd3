"""Unary calls of the etcd v3 gateway on a `KeyValueState`; no I/O."""

from collections.abc import Callable
from typing import Any

from lagoonrun_standins import gateway_json
from lagoonrun_standins import key_value_state as state_lib


class GatewayCalls:
    """Executes the unary calls of the gateway, selected by path.

    Parameters
    ----------
    state
        State that the calls read and change.

    Attributes
    ----------
    read_lag_revisions
        Age, in revisions, of the state that ranges outside transactions read.
    """

    def __init__(self, *, state: state_lib.KeyValueState) -> None:
        self.read_lag_revisions = 0
        self._state = state
        self._call_by_path: dict[
            str, Callable[[gateway_json.Fields], dict[str, Any]]
        ] = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/txn": self._transact,
            "/v3/kv/deleterange": self._delete,
            "/v3/kv/compaction": self._compact,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/lease/revoke": self._revoke,
            "/v3/lease/timetolive": self._time_to_live,
            "/v3/kv/lease/timetolive": self._time_to_live,
        }

    def serves(self, path: str) -> bool:
        """Return whether `path` is that of a call."""
        return path in self._call_by_path

    def answer(self, path: str, body: Any) -> dict[str, Any]:
        """Execute one call and return the response body.

        Raises
        ------
        gateway_json.MalformedError
            If `body` does not have the published format.
        state_lib.StateError
            If the service rejects the call.
        """
        return self._call_by_path[path](gateway_json.Fields(body))

    def _header(self) -> dict[str, str]:
        return gateway_json.header(self._state.revision)

    def _range(self, fields: gateway_json.Fields) -> dict[str, Any]:
        revision = fields.integer("revision")
        if revision or not self.read_lag_revisions:
            return self._range_response(fields, revision=revision)
        oldest = max(self._state.compact_revision, 1)
        revision = max(oldest, self._state.revision - self.read_lag_revisions)
        answer = self._range_response(fields, revision=revision)
        return answer | {"header": gateway_json.header(revision)}

    def _range_response(
        self, fields: gateway_json.Fields, *, revision: int
    ) -> dict[str, Any]:
        found = self._state.get(fields.key_range(), revision=revision)
        answer: dict[str, Any] = {
            "header": self._header(),
            "count": str(len(found)),
        }
        if not found:
            del answer["count"]
        limit = fields.integer("limit")
        if limit and len(found) > limit:
            found = found[:limit]
            answer["more"] = True
        if found and not fields.flag("count_only"):
            keys_only = fields.flag("keys_only")
            answer["kvs"] = [_key_value_json(item, keys_only) for item in found]
        return answer

    def _put(self, fields: gateway_json.Fields) -> dict[str, Any]:
        answer = self._apply_put(fields)
        self._state.commit()
        return answer | {"header": self._header()}

    def _apply_put(self, fields: gateway_json.Fields) -> dict[str, Any]:
        keys = fields.key_range()
        previous = self._state.get(state_lib.KeyRange(key=keys.key))
        self._state.put(
            keys.key, fields.octets("value"), lease=fields.integer("lease")
        )
        if previous and fields.flag("prev_kv"):
            return {"prev_kv": gateway_json.key_value(previous[0])}
        return {}

    def _delete(self, fields: gateway_json.Fields) -> dict[str, Any]:
        answer = self._apply_delete(fields)
        self._state.commit()
        return answer | {"header": self._header()}

    def _apply_delete(self, fields: gateway_json.Fields) -> dict[str, Any]:
        deleted = self._state.delete(fields.key_range())
        answer: dict[str, Any] = (
            {"deleted": str(len(deleted))} if deleted else {}
        )
        if deleted and fields.flag("prev_kv"):
            answer["prev_kvs"] = [gateway_json.key_value(i) for i in deleted]
        return answer

    def _transact(self, fields: gateway_json.Fields) -> dict[str, Any]:
        conditions = [f.comparison() for f in fields.objects("compare")]
        succeeded = all(self._state.satisfies(c) for c in conditions)
        operations = fields.objects("success" if succeeded else "failure")
        for operation in operations:
            self._check_operation(operation)
        responses = [
            self._apply_operation(operation) for operation in operations
        ]
        self._state.commit()
        answer: dict[str, Any] = {"header": self._header()}
        if succeeded:
            answer["succeeded"] = True
        if responses:
            answer["responses"] = responses
        for response in responses:
            for body in response.values():
                body["header"] = {"revision": str(self._state.revision)}
        return answer

    def _check_operation(self, operation: gateway_json.Fields) -> None:
        """Raise the error that applying an operation would raise.

        Transactions are atomic, so every operation is checked before the
        first one is applied.
        """
        names = ("request_put", "request_range", "request_delete_range")
        present = [n for n in names if operation.object(n) is not None]
        if len(present) != 1:
            raise gateway_json.MalformedError(
                f"operation holds {present}; valid: exactly one of {names}"
            )
        body = operation.object(present[0])
        assert body is not None
        body.key_range()
        if present[0] == "request_put":
            self._state.check_put(
                body.octets("value"), lease=body.integer("lease")
            )

    def _apply_operation(
        self, operation: gateway_json.Fields
    ) -> dict[str, Any]:
        if body := operation.object("request_put"):
            return {"response_put": self._apply_put(body)}
        if body := operation.object("request_delete_range"):
            return {"response_delete_range": self._apply_delete(body)}
        body = operation.object("request_range")
        assert body is not None
        return {"response_range": self._range_response(body, revision=0)}

    def _compact(self, fields: gateway_json.Fields) -> dict[str, Any]:
        self._state.compact(fields.integer("revision"))
        return {"header": self._header()}

    def _grant(self, fields: gateway_json.Fields) -> dict[str, Any]:
        lease = self._state.grant(
            fields.integer("ttl"), lease_id=fields.integer("id")
        )
        return {
            "header": self._header(),
            "ID": str(lease.id),
            "TTL": str(lease.ttl_seconds),
        }

    def _keep_alive(self, fields: gateway_json.Fields) -> dict[str, Any]:
        lease_id = fields.integer("id")
        ttl_seconds = self._state.keep_alive(lease_id)
        answer = {"header": self._header(), "ID": str(lease_id)}
        if ttl_seconds:
            answer["TTL"] = str(ttl_seconds)
        return {"result": answer}

    def _revoke(self, fields: gateway_json.Fields) -> dict[str, Any]:
        self._state.revoke(fields.integer("id"))
        return {"header": self._header()}

    def _time_to_live(self, fields: gateway_json.Fields) -> dict[str, Any]:
        lease_id = fields.integer("id")
        answer: dict[str, Any] = {
            "header": self._header(),
            "ID": str(lease_id),
        }
        lease = self._state.lease_by_id.get(lease_id)
        if lease is None:
            return answer | {"TTL": "-1"}
        answer["TTL"] = str(self._state.remaining_seconds(lease))
        answer["grantedTTL"] = str(lease.ttl_seconds)
        if fields.flag("keys") and lease.keys:
            keys = sorted(lease.keys)
            answer["keys"] = [gateway_json.encoded(key) for key in keys]
        return answer


def _key_value_json(
    item: state_lib.KeyValue, keys_only: bool
) -> dict[str, str]:
    shown = gateway_json.key_value(item)
    if keys_only:
        shown.pop("value", None)
    return shown
