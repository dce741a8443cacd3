"""Faults of declarations and settings, and the typed reader of their tables.

The reader does not stop at a fault: it records the fault and returns a
placeholder value of the right type, so that an operator sees all faults.
"""

import dataclasses
import enum
import ipaddress
import re
from collections.abc import Mapping
from typing import TypeVar

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_HEXADECIMAL_PATTERN = re.compile(r"(?:[0-9a-f]{2})*")
_MAX_PORT = 65535
_MAX_SHOWN_LENGTH = 80

NAME_RULE = (
    "1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit"
)

_E = TypeVar("_E", bound=enum.Enum)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """An invalid value, with a description of valid values.

    Parameters
    ----------
    key
        Dotted path of the entry, like `profiles.lookup.tier`.
    value
        The invalid value as text; secrets are redacted.
    valid
        Description of valid values.
    source
        Name of the file; empty if the fault is not in a single file.
    """

    key: str
    value: str
    valid: str
    source: str = ""

    def __str__(self) -> str:
        """Return the fault as one line."""
        where = f"{self.source}: " if self.source else ""
        return f"{where}{self.key} = {self.value}; valid: {self.valid}"


def is_name(text: str) -> bool:
    """Return whether `text` follows `NAME_RULE`."""
    return _NAME_PATTERN.fullmatch(text) is not None


def is_ip_address(text: str) -> bool:
    """Return whether `text` is an IPv4 or IPv6 address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def format_value(value: object) -> str:
    """Return `value` as text for a fault, truncated if long."""
    text = repr(value)
    if len(text) > _MAX_SHOWN_LENGTH:
        return text[:_MAX_SHOWN_LENGTH] + "..."
    return text


class TableReader:
    """Reads a TOML table with checked types and records all faults.

    Parameters
    ----------
    table
        The parsed table.
    path
        Dotted path of the table; empty for the root.
    source
        File name for the faults.
    faults
        List to which faults are appended.
    """

    def __init__(
        self,
        *,
        table: Mapping[str, object],
        path: str,
        source: str,
        faults: list[Fault],
    ) -> None:
        self._table = table
        self._path = path
        self._source = source
        self._faults = faults
        self._requested_keys: set[str] = set()

    def has(self, key: str) -> bool:
        """Return whether the table contains `key`."""
        return key in self._table

    def add_fault(self, key: str, value: object, valid: str) -> None:
        """Add a fault at `key` of this table."""
        self.add_redacted_fault(key, format_value(value), valid)

    def add_redacted_fault(self, key: str, shown: str, valid: str) -> None:
        """Add a fault with `shown` as its value, for example for secrets."""
        path = f"{self._path}.{key}" if self._path else key
        self._faults.append(
            Fault(key=path, value=shown, valid=valid, source=self._source)
        )

    def text(self, key: str, *, default: str | None = None) -> str:
        """Return a string; without a default it is required."""
        value = self._get(key, default, "a string")
        if value is None:
            return ""
        if not isinstance(value, str):
            self.add_fault(key, value, "a string")
            return default or ""
        return value

    def name(self, key: str, *, default: str | None = None) -> str:
        """Return a name that follows `NAME_RULE`."""
        value = self.text(key, default=default)
        if self.has(key) and not is_name(value):
            self._add_fault_if_string(key, value, NAME_RULE)
        return value

    def names(self, key: str) -> tuple[str, ...]:
        """Return an optional list of names."""
        found = self.texts(key)
        for value in found:
            if not is_name(value):
                self.add_fault(key, value, NAME_RULE)
        return found

    def texts(self, key: str, *, required: bool = False) -> tuple[str, ...]:
        """Return a list of strings; empty if it is missing."""
        value = self._get(key, None if required else [], "a list of strings")
        if value is None:
            return ()
        if not isinstance(value, list) or not all(
            isinstance(one, str) for one in value
        ):
            self.add_fault(key, value, "a list of strings")
            return ()
        return tuple(value)

    def number(
        self,
        key: str,
        *,
        default: float | None = None,
        minimum: float,
        maximum: float,
        above_minimum: bool = False,
    ) -> float:
        """Return a number between `minimum` and `maximum`.

        Parameters
        ----------
        above_minimum
            Whether the minimum itself is excluded.
        """
        lower = f"above {minimum:g}" if above_minimum else f"from {minimum:g}"
        valid = f"a number {lower} to {maximum:g}"
        value = self._get(key, default, valid)
        if value is None:
            return maximum
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.add_fault(key, value, valid)
            return maximum if default is None else default
        # NaN fails both comparisons, so it is rejected, too.
        high_enough = value > minimum if above_minimum else value >= minimum
        if not (high_enough and value <= maximum):
            self.add_fault(key, value, valid)
            return maximum if default is None else default
        return float(value)

    def integer(
        self,
        key: str,
        *,
        default: int | None = None,
        minimum: int,
        maximum: int,
    ) -> int:
        """Return an integer between `minimum` and `maximum`."""
        valid = f"a whole number from {minimum} to {maximum}"
        value = self._get(key, default, valid)
        if value is None:
            return maximum
        if isinstance(value, bool) or not isinstance(value, int):
            self.add_fault(key, value, valid)
            return maximum if default is None else default
        if not minimum <= value <= maximum:
            self.add_fault(key, value, valid)
            return maximum if default is None else default
        return value

    def boolean(self, key: str, *, default: bool) -> bool:
        """Return a boolean."""
        value = self._get(key, default, "true or false")
        if not isinstance(value, bool):
            self.add_fault(key, value, "true or false")
            return default
        return value

    def choice(self, key: str, kind: type[_E], *, default: _E | None) -> _E:
        """Return the member of the enum `kind` with the table's value."""
        members = list(kind)
        valid = " or ".join(repr(member.value) for member in members)
        fallback = default or members[0]
        value = self._get(key, fallback.value if default else None, valid)
        if value is None:
            return fallback
        for member in members:
            if member.value == value:
                return member
        self.add_fault(key, value, valid)
        return fallback

    def ip_address(self, key: str, *, default: str | None = None) -> str:
        """Return an IPv4 or IPv6 address."""
        value = self.text(key, default=default)
        if self.has(key) and not is_ip_address(value):
            self._add_fault_if_string(key, value, "an IP number, like 10.0.0.1")
        return value

    def address(self, key: str, *, lowest_port: int) -> tuple[str, int]:
        """Return the IP address and port of an `IP:PORT` string."""
        text = self.text(key)
        if not self.has(key) or not isinstance(self._table[key], str):
            return ("", 0)
        return self.split_address(key, text, lowest_port=lowest_port)

    def split_address(
        self, key: str, text: str, *, lowest_port: int
    ) -> tuple[str, int]:
        """Split `text` into IP address and port; add a fault if invalid."""
        host, _, port = text.rpartition(":")
        if host.startswith("[") and host.endswith("]"):
            host = host[1:-1]
        if is_ip_address(host) and port.isdecimal():
            number = int(port)
            if lowest_port <= number <= _MAX_PORT:
                return (host, number)
        self.add_fault(
            key,
            text,
            f"IP:PORT with an IP number and a port from {lowest_port} to "
            f"{_MAX_PORT}, like '10.0.0.1:8080'",
        )
        return ("", 0)

    def secret(self, key: str, *, minimum_bytes: int) -> bytes:
        """Return the bytes of a secret in lower-case hexadecimal.

        Faults contain only the length of a secret.
        """
        text = self.text(key)
        valid = (
            f"at least {minimum_bytes} bytes in lower-case hexadecimal "
            f"({2 * minimum_bytes} digits)"
        )
        if not self.has(key) or not isinstance(self._table[key], str):
            return b""
        if not _HEXADECIMAL_PATTERN.fullmatch(text):
            self.add_redacted_fault(
                key, f"(hidden, {len(text)} characters)", valid
            )
            return b""
        if len(text) < 2 * minimum_bytes:
            self.add_redacted_fault(
                key, f"(hidden, {len(text)} characters)", valid
            )
        return bytes.fromhex(text)

    def digest(self, key: str, text: str) -> None:
        """Add a fault unless `text` is a hexadecimal SHA-256 digest."""
        if len(text) == 64 and _HEXADECIMAL_PATTERN.fullmatch(text):
            return
        # The value may be the key itself by mistake, so it is redacted.
        self.add_redacted_fault(
            key,
            f"(hidden, {len(text)} characters)",
            "the SHA-256 of the key, 64 lower-case hexadecimal digits",
        )

    def table(self, key: str) -> Mapping[str, object]:
        """Return an optional subtable; empty if it is missing."""
        value = self._get(key, {}, "a table")
        if not isinstance(value, Mapping):
            self.add_fault(key, value, "a table")
            return {}
        return value

    def tables(self, key: str) -> tuple[Mapping[str, object], ...]:
        """Return an optional array of tables."""
        value = self._get(key, [], "an array of tables")
        if not isinstance(value, list) or not all(
            isinstance(one, Mapping) for one in value
        ):
            self.add_fault(key, value, "an array of tables")
            return ()
        return tuple(value)

    def subtable(self, key: str) -> "TableReader":
        """Return a reader of an optional subtable."""
        return TableReader(
            table=self.table(key),
            path=f"{self._path}.{key}" if self._path else key,
            source=self._source,
            faults=self._faults,
        )

    def finish(self) -> None:
        """Add a fault for each key that was not read."""
        for key, value in self._table.items():
            if key not in self._requested_keys:
                known = ", ".join(sorted(self._requested_keys))
                self.add_fault(key, value, f"only the keys {known}")

    def _get(self, key: str, default: object, valid: str) -> object:
        self._requested_keys.add(key)
        if key in self._table:
            return self._table[key]
        if default is None:
            self.add_redacted_fault(key, "(missing)", valid)
        return default

    def _add_fault_if_string(self, key: str, value: object, valid: str) -> None:
        if isinstance(self._table[key], str):
            self.add_fault(key, value, valid)
