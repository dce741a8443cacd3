"""Canonical encoding of a draft: equal content has equal bytes.

The digest is computed from the canonical JSON before compression, so that it
does not depend on the version of zlib.
"""

import dataclasses
import enum
import hashlib
import json
import zlib
from collections.abc import Sequence
from typing import NewType

from lagoonrun_config import draft as draft_module
from lagoonrun_config import faults, model
from lagoonrun_core import errors

Digest = NewType("Digest", str)
"""SHA-256 of the canonical JSON of a draft, in lower-case hexadecimal."""

MAXIMUM_SNAPSHOT_BYTES = 900_000
"""Maximum size; the platform's store accepts values up to a megabyte."""

_MAX_JSON_BYTES = 32_000_000
_FORMAT = 1
_COMPRESSION_LEVEL = 9

_CLASS_BY_SECTION: dict[str, type] = {
    "profiles": model.Profile,
    "organisations": model.Organisation,
    "services": model.Service,
    "upstreams": model.Upstream,
    "placements": model.Placement,
    "domains": model.Domain,
}

_OPTIONAL_SECTIONS = frozenset({"domains"})
"""Sections added later within this format; older builds lack them."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """Encoded content of one configuration."""

    digest: Digest
    content: bytes


class SnapshotError(errors.LagoonrunError):
    """Bytes are not a valid snapshot, or not the expected one."""

    def __init__(self, *, detail: str, peer: str = "") -> None:
        super().__init__(
            step=errors.Step.CONFIGURATION, peer=peer, detail=detail
        )


def encode_snapshot(draft: draft_module.Draft) -> Snapshot:
    """Return the snapshot of `draft`."""
    text = _canonical_json(draft)
    return Snapshot(
        digest=Digest(hashlib.sha256(text).hexdigest()),
        content=zlib.compress(text, _COMPRESSION_LEVEL),
    )


def check_size(snapshot: Snapshot) -> tuple[faults.Fault, ...]:
    """Return a fault if the snapshot is too large for the platform's store."""
    size = len(snapshot.content)
    if size <= MAXIMUM_SNAPSHOT_BYTES:
        return ()
    return (
        faults.Fault(
            key="(snapshot)",
            value=f"{size} bytes",
            valid=f"at most {MAXIMUM_SNAPSHOT_BYTES} bytes when compressed",
        ),
    )


def decode_snapshot(
    snapshot: Snapshot, *, peer: str = ""
) -> draft_module.Draft:
    """Return the draft of a snapshot after checking its digest.

    Parameters
    ----------
    peer
        Source of the bytes, for the error message.

    Raises
    ------
    SnapshotError
        If the bytes are damaged, too large or have another digest.
    """
    text = _decompress(snapshot.content, peer)
    actual = hashlib.sha256(text).hexdigest()
    if actual != snapshot.digest:
        raise SnapshotError(
            peer=peer,
            detail=f"content has digest {actual}; valid: {snapshot.digest}",
        )
    try:
        return _draft_from(json.loads(text))
    except (KeyError, TypeError, ValueError) as error:
        raise SnapshotError(
            peer=peer,
            detail=f"snapshot cannot be read: {error!r}; valid: format "
            f"{_FORMAT} of this build",
        ) from error


def _decompress(content: bytes, peer: str) -> bytes:
    # The output is limited, since a few bytes from a faulty peer could
    # otherwise expand to gigabytes and exhaust the memory of a small VM.
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(content, _MAX_JSON_BYTES)
    except zlib.error as error:
        raise SnapshotError(
            peer=peer, detail=f"not compressed JSON: {error}"
        ) from error
    if not inflater.eof:
        raise SnapshotError(
            peer=peer,
            detail=f"truncated, or over {_MAX_JSON_BYTES} bytes of JSON",
        )
    return text


def _canonical_json(draft: draft_module.Draft) -> bytes:
    tables: dict[str, object] = {"format": _FORMAT}
    sections: dict[str, Sequence[draft_module.Entry]] = {
        "profiles": _sorted_values(draft.profiles_by_name),
        "organisations": _sorted_values(draft.organisations_by_id),
        "services": _sorted_values(draft.services_by_name),
        "upstreams": _sorted_values(draft.upstreams_by_id),
        "placements": sorted(
            draft.placements,
            key=lambda one: draft_module.placement_name(one).name,
        ),
        "domains": _sorted_values(draft.domains_by_name),
    }
    for section, entries in sections.items():
        # Omitted if empty, so that content without the section has the same
        # digest as in older builds and can be read by them.
        if section in _OPTIONAL_SECTIONS and not entries:
            continue
        tables[section] = _columns(_CLASS_BY_SECTION[section], entries)
    text = json.dumps(tables, sort_keys=True, separators=(",", ":"))
    return text.encode("ascii")


def _sorted_values(entries_by_key: dict) -> list:
    return [entries_by_key[key] for key in sorted(entries_by_key)]


def _columns(
    kind: type, entries: Sequence[draft_module.Entry]
) -> dict[str, list]:
    """Return one list per field, so that field names are not repeated."""
    return {
        field.name: [_plain(getattr(entry, field.name)) for entry in entries]
        for field in dataclasses.fields(kind)
    }


def _plain(value: object) -> object:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return list(value)
    return value


def _draft_from(tables: dict) -> draft_module.Draft:
    if tables["format"] != _FORMAT:
        raise ValueError(f"format {tables['format']!r}")
    unknown = tables.keys() - _CLASS_BY_SECTION.keys() - {"format"}
    if unknown:
        # If an older build of an operator ignored a section, it would write
        # the merged content without it and lose an accepted change.
        raise ValueError(f"unknown sections {sorted(unknown)}")
    read = {
        section: _entries(kind, _section(tables, section))
        for section, kind in _CLASS_BY_SECTION.items()
    }
    return draft_module.Draft(
        profiles_by_name={one.name: one for one in read["profiles"]},
        organisations_by_id={one.id: one for one in read["organisations"]},
        services_by_name={one.name: one for one in read["services"]},
        upstreams_by_id={one.id: one for one in read["upstreams"]},
        placements=tuple(read["placements"]),
        domains_by_name={one.name: one for one in read["domains"]},
    )


def _section(tables: dict, section: str) -> dict[str, list]:
    if section in _OPTIONAL_SECTIONS:
        return tables.get(section, {})
    return tables[section]


def _entries(kind: type, columns: dict[str, list]) -> list:
    names = list(columns)
    rows = zip(*(columns[name] for name in names), strict=True)
    return [kind(**_typed(dict(zip(names, row, strict=True)))) for row in rows]


def _typed(values: dict[str, object]) -> dict[str, object]:
    typed: dict[str, object] = {}
    for name, value in values.items():
        if name == "kind":
            typed[name] = model.ServiceKind(value)
        elif name == "target_kind":
            typed[name] = model.TargetKind(value)
        elif isinstance(value, list):
            typed[name] = tuple(value)
        else:
            typed[name] = value
    return typed
