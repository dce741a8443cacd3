"""The published JSON format of the etcd v3 gateway.

Bytes are base64, 64-bit integers are strings, field names may be in snake or
camel case, and fields at their default are omitted from responses.
"""

import base64
import binascii
import re
from collections.abc import Mapping
from typing import Any

from lagoonrun_standins import key_value_state as state_lib

_CAMEL_HUMP = re.compile(r"(?<=[a-z])([A-Z])")
_TARGETS_BY_NUMBER = ("VERSION", "CREATE", "MOD", "VALUE", "LEASE")
_RELATIONS_BY_NUMBER = ("EQUAL", "GREATER", "LESS", "NOT_EQUAL")
_OPERAND_FIELDS = {
    state_lib.Target.VERSION: "version",
    state_lib.Target.CREATE: "create_revision",
    state_lib.Target.MOD: "mod_revision",
    state_lib.Target.VALUE: "value",
    state_lib.Target.LEASE: "lease",
}


class MalformedError(ValueError):
    """A request body that does not have the published format."""


class Fields:
    """Typed access to the fields of one JSON object.

    Parameters
    ----------
    body
        Decoded JSON; its field names are converted to snake case.
    """

    def __init__(self, body: Any) -> None:
        if not isinstance(body, Mapping):
            raise MalformedError(f"{body!r} is not a JSON object")
        self._value_by_name = {
            _CAMEL_HUMP.sub(r"_\1", name).lower(): value
            for name, value in body.items()
        }

    def integer(self, name: str) -> int:
        """Return a 64-bit integer, encoded as a string or a number."""
        value = self._value_by_name.get(name, 0)
        try:
            return int(value)
        except (TypeError, ValueError):
            raise MalformedError(f"{name}: {value!r} is no integer") from None

    def octets(self, name: str) -> bytes:
        """Return bytes, encoded as base64."""
        value = self._value_by_name.get(name, "")
        try:
            return base64.b64decode(value, validate=True)
        except (TypeError, ValueError, binascii.Error):
            raise MalformedError(f"{name}: {value!r} is no base64") from None

    def flag(self, name: str) -> bool:
        """Return a boolean."""
        return bool(self._value_by_name.get(name, False))

    def enumeration(self, name: str, names: tuple[str, ...]) -> str:
        """Return the name of an enumerator, encoded by name or number."""
        return _enumerator(name, self._value_by_name.get(name, 0), names)

    def enumerations(
        self, name: str, names: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Return the names of a list of enumerators."""
        values = self._value_by_name.get(name, [])
        if not isinstance(values, list):
            raise MalformedError(f"{name}: {values!r} is no list")
        return tuple(_enumerator(name, value, names) for value in values)

    def objects(self, name: str) -> list["Fields"]:
        """Return a list of objects."""
        value = self._value_by_name.get(name, [])
        if not isinstance(value, list):
            raise MalformedError(f"{name}: {value!r} is no list")
        return [Fields(item) for item in value]

    def object(self, name: str) -> "Fields | None":
        """Return an object, or None if it is absent."""
        value = self._value_by_name.get(name)
        return None if value is None else Fields(value)

    def key_range(self) -> state_lib.KeyRange:
        """Return the range that `key` and `range_end` specify."""
        key = self.octets("key")
        if not key:
            raise MalformedError("etcdserver: key is not provided")
        return state_lib.KeyRange(key=key, end=self.octets("range_end"))

    def comparison(self) -> state_lib.Comparison:
        """Return the object as a condition of a transaction."""
        target = state_lib.Target(
            self.enumeration("target", _TARGETS_BY_NUMBER)
        )
        field = _OPERAND_FIELDS[target]
        is_value = target is state_lib.Target.VALUE
        return state_lib.Comparison(
            keys=self.key_range(),
            target=target,
            relation=state_lib.Relation(
                self.enumeration("result", _RELATIONS_BY_NUMBER)
            ),
            operand=self.octets(field) if is_value else self.integer(field),
        )


def header(revision: int) -> dict[str, str]:
    """Return the header of every response."""
    return {
        "cluster_id": "1",
        "member_id": "1",
        "revision": str(revision),
        "raft_term": "1",
    }


def key_value(item: state_lib.KeyValue) -> dict[str, str]:
    """Return one key and its value as JSON."""
    numbers = {
        "create_revision": item.create_revision,
        "mod_revision": item.mod_revision,
        "version": item.version,
        "lease": item.lease,
    }
    answer = {"key": encoded(item.key)}
    answer.update({n: str(value) for n, value in numbers.items() if value})
    if item.value:
        answer["value"] = encoded(item.value)
    return answer


def event(change: state_lib.Change, *, previous: bool) -> dict[str, Any]:
    """Return one event of a watch as JSON."""
    answer: dict[str, Any] = {"kv": key_value(change.present)}
    if change.is_deletion:
        answer["type"] = "DELETE"
    if previous and change.previous:
        answer["prev_kv"] = key_value(change.previous)
    return answer


def encoded(value: bytes) -> str:
    """Return `value` encoded as base64."""
    return base64.b64encode(value).decode()


def _enumerator(name: str, value: Any, names: tuple[str, ...]) -> str:
    if type(value) is int and 0 <= value < len(names):
        return names[value]
    if value in names:
        return value
    raise MalformedError(f"{name}: {value!r}; valid: {names}")
