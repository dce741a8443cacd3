"""Overrides that operators set: weights of organisations, held upstreams.

They are kept in the platform's store and delivered by the store replica. The
key of an override, without the prefix of the store, is `weight/ORGANISATION` or
`held/UPSTREAM`; its value is a JSON object with one field.
"""

import dataclasses
import enum
import json
import logging
from collections.abc import Mapping

from lagoonrun_core import errors, events, logs, types
from lagoonrun_router import format_error

MIN_WEIGHT = 0.01
MAX_WEIGHT = 100.0
"""Range of weights: a factor of 100 either way from the usual weight of 1."""

MAX_OVERRIDES = 4096
"""Maximum number of overrides, which bounds the memory of an entry VM. As many
organisations are tracked for the shares."""

_MAX_NAME_BYTES = 256


class Kind(enum.Enum):
    """What an override changes: the first part of its key."""

    WEIGHT = "weight"
    """Weight of an organisation in the shares of a pool."""

    HELD = "held"
    """Whether an upstream gets no new requests."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Override:
    """One override.

    Parameters
    ----------
    kind
        What it changes.
    name
        Organisation or upstream, which need not be known.
    value
        Weight of an organisation, or whether an upstream is held.
    """

    kind: Kind
    name: str
    value: float | bool

    @property
    def key(self) -> str:
        """Key in the store, without the prefix."""
        return f"{self.kind.value}/{self.name}"

    def as_json(self) -> Mapping[str, float | bool]:
        """Return the JSON object of the value."""
        return {self.kind.value: self.value}


def encode(override: Override) -> bytes:
    """Return the value in the store."""
    return json.dumps(override.as_json(), separators=(",", ":")).encode()


def parse_key(key: str) -> tuple[Kind, str]:
    """Return the kind and the name in a key without the prefix.

    Raises
    ------
    FormatError
        If it is not the key of an override.
    """
    kind_text, _, name = key.partition("/")
    if kind_text not in (one.value for one in Kind):
        raise _error(f"key {key!r}; valid: weight/ORGANISATION, held/UPSTREAM")
    is_short = len(name.encode(errors="replace")) <= _MAX_NAME_BYTES
    if not (name and is_short and name.isprintable()):
        raise _error(
            f"name {name!r}; valid: 1 to {_MAX_NAME_BYTES} bytes of printable "
            "characters"
        )
    return Kind(kind_text), name


def decode(key: str, value: bytes) -> Override:
    """Return the override in an entry of the store.

    Parameters
    ----------
    key
        Key without the prefix.

    Raises
    ------
    FormatError
        If the key or the value is invalid. Other fields of the value are
        ignored.
    """
    kind, name = parse_key(key)
    valid = (
        f'{{"weight": NUMBER}} with {MIN_WEIGHT:g} to {MAX_WEIGHT:g}'
        if kind is Kind.WEIGHT
        else '{"held": true} or {"held": false}'
    )
    try:
        table = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise _error(f"{len(value)} bytes are not JSON; valid: {valid}") from (
            error
        )
    found = table.get(kind.value) if isinstance(table, dict) else None
    if kind is Kind.HELD and isinstance(found, bool):
        return Override(kind=kind, name=name, value=found)
    is_number = isinstance(found, int | float) and not isinstance(found, bool)
    if kind is Kind.WEIGHT and is_number and MIN_WEIGHT <= found <= MAX_WEIGHT:
        return Override(kind=kind, name=name, value=float(found))
    raise _error(f"{_shortened(value)}; valid: {valid}")


class OperatorOverrides:
    """The overrides in effect at one entry VM."""

    def __init__(self) -> None:
        self._override_by_key: dict[str, Override] = {}
        self._rejected_hash_by_key: dict[str, int] = {}
        self.held: frozenset[types.UpstreamId] = frozenset()
        """Upstreams that get no new requests."""

    # Queries.

    def weight_of(self, organisation: types.OrganisationId) -> float | None:
        """Return the weight that an operator has set; None for none."""
        override = self._override_by_key.get(
            f"{Kind.WEIGHT.value}/{organisation}"
        )
        return None if override is None else override.value

    def is_held(self, upstream: types.UpstreamId) -> bool:
        """Return whether an operator holds an upstream."""
        return upstream in self.held

    def rows(self) -> tuple[Override, ...]:
        """Return all overrides, ordered by key."""
        return tuple(
            override for _, override in sorted(self._override_by_key.items())
        )

    def has_room_for(self, key: str) -> bool:
        """Return whether one more override with this key may be set."""
        return (
            key in self._override_by_key
            or len(self._override_by_key) < MAX_OVERRIDES
        )

    # Updates.

    def apply_stored(
        self, key: str, value: bytes, *, source: str = "store"
    ) -> None:
        """Apply an entry of the store.

        An unreadable entry is logged, and the previous value stays in effect.

        Parameters
        ----------
        key
            Key without the prefix.
        source
            Where this entry VM has read the entry, for the log line.
        """
        try:
            override = decode(key, value)
            if not self.has_room_for(key):
                raise _error(f"more than {MAX_OVERRIDES} overrides")
        except format_error.FormatError as error:
            self._log_rejected(key, value, error.detail, source)
            return
        self._rejected_hash_by_key.pop(key, None)
        if self._override_by_key.get(key) == override:
            return
        self._override_by_key[key] = override
        self._update_held()
        logs.emit(
            events.LogEvent.OVERRIDE_CHANGED,
            key=key,
            value=override.as_json(),
            source=source,
        )

    def apply_removed(self, key: str, *, source: str = "store") -> None:
        """Apply the removal of an entry of the store."""
        self._rejected_hash_by_key.pop(key, None)
        if self._override_by_key.pop(key, None) is None:
            return
        self._update_held()
        logs.emit(
            events.LogEvent.OVERRIDE_CHANGED,
            key=key,
            value=None,
            source=source,
        )

    def _update_held(self) -> None:
        self.held = frozenset(
            types.UpstreamId(one.name)
            for one in self._override_by_key.values()
            if one.kind is Kind.HELD and one.value
        )

    def _log_rejected(
        self, key: str, value: bytes, reason: str, source: str
    ) -> None:
        """Log an unreadable entry once, although it is delivered repeatedly."""
        value_hash = hash(value)
        if self._rejected_hash_by_key.get(key) == value_hash:
            return
        self._rejected_hash_by_key[key] = value_hash
        while len(self._rejected_hash_by_key) > MAX_OVERRIDES:
            oldest = next(iter(self._rejected_hash_by_key))
            del self._rejected_hash_by_key[oldest]
        logs.emit(
            events.LogEvent.CONFIGURATION_REJECTED,
            level=logging.ERROR,
            key=_shortened(key),
            reason=reason,
            source=source,
        )


_MAX_SHOWN = 200


def _shortened(value: str | bytes) -> str:
    text = value if isinstance(value, str) else value.decode(errors="replace")
    return text if len(text) <= _MAX_SHOWN else f"{text[:_MAX_SHOWN]}..."


def _error(detail: str) -> format_error.FormatError:
    return format_error.FormatError(
        step=errors.Step.CONFIGURATION, detail=detail
    )
