"""Renders a draft as TOML declarations, which parse to the same draft."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

import tomlkit

from lagoonrun_config import draft as draft_module
from lagoonrun_config import model


def render_declarations(draft: draft_module.Draft) -> str:
    """Return the declarations of `draft`, sorted by name.

    Default values are included, so that a later change of a default does not
    change a configuration in force.
    """
    document: dict[str, Any] = {}
    _add_named(document, "profiles", draft.profiles_by_name, "name")
    _add_named(document, "organisations", draft.organisations_by_id, "id")
    _add_named(document, "services", draft.services_by_name, "name")
    _add_named(document, "domains", draft.domains_by_name, "name")
    pools = _pools(draft)
    if pools:
        document["pools"] = pools
    if draft.placements:
        document["placements"] = [
            _fields(placement, without=()) for placement in draft.placements
        ]
    return tomlkit.dumps(document)


def _add_named(
    document: dict[str, Any],
    section: str,
    entries_by_name: Mapping[str, draft_module.Entry],
    key: str,
) -> None:
    if entries_by_name:
        document[section] = {
            name: _fields(entries_by_name[name], without=(key,))
            for name in sorted(entries_by_name)
        }


def _pools(draft: draft_module.Draft) -> dict[str, Any]:
    upstreams_by_pool: dict[str, list[model.Upstream]] = {}
    for upstream in draft.upstreams_by_id.values():
        upstreams_by_pool.setdefault(upstream.pool, []).append(upstream)
    return {
        pool: {
            "upstreams": [
                _fields(upstream, without=("pool",))
                for upstream in sorted(
                    upstreams_by_pool[pool], key=lambda one: one.id
                )
            ]
        }
        for pool in sorted(upstreams_by_pool)
    }


def _fields(
    entry: draft_module.Entry, *, without: tuple[str, ...]
) -> dict[str, Any]:
    """Return the fields as TOML values.

    Empty strings and lists are omitted: they are the defaults of keys that are
    valid for only one kind of service.
    """
    values: dict[str, Any] = {}
    for field in dataclasses.fields(entry):
        value = _plain(getattr(entry, field.name))
        if field.name not in without and value not in ("", []):
            values[field.name] = value
    return values


def _plain(value: Any) -> Any:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return list(value)
    return value
