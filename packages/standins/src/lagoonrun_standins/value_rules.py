"""Derives the valid values of each key from the readers of TOML files.

Each key is set to an invalid value; the faults that the reader reports then
state what would be valid. So the reference pages cannot differ from what the
code accepts.
"""

import pathlib
import tempfile
from collections.abc import Callable, Mapping, Sequence

import tomlkit

from lagoonrun_config import declarations, faults, settings_file

Probe = Callable[[Mapping[str, object]], Sequence[faults.Fault]]

_WRONG_TYPE = {"not": "a value"}
_WRONG_TEXT = "!"
_ANY_TEXT = "a string"
_ANY_TEXTS = "a list of strings"


def rules_by_key(keys: Sequence[str], probe: Probe) -> dict[str, str]:
    """Return the valid values of each key, from the faults of `probe`."""
    found = _collect_rules(keys, probe, dict.fromkeys(keys, _WRONG_TYPE))
    # Further rules of strings are only reported for an invalid string.
    texts: dict[str, object] = {
        key: _WRONG_TEXT for key, rule in found.items() if rule == _ANY_TEXT
    }
    lists: dict[str, object] = {
        key: [_WRONG_TEXT] for key, rule in found.items() if rule == _ANY_TEXTS
    }
    remaining = {
        key: _WRONG_TYPE for key in keys if key not in {*texts, *lists}
    }
    further = _collect_rules((*texts, *lists), probe, remaining | texts | lists)
    for key in further.keys() & lists.keys():
        further[key] = f"a list, each {further[key]}"
    return {**found, **further}


def probe_settings(table: Mapping[str, object]) -> Sequence[faults.Fault]:
    """Return the faults of a settings file that holds `table`."""
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "settings.toml"
        path.write_text(tomlkit.dumps(table), encoding="utf-8")
        try:
            settings_file.load_settings(path)
        except settings_file.SettingsError as error:
            return error.faults
    return ()


def probe_named(section: str) -> Probe:
    """Return the probe for entries of a section like `[profiles.NAME]`."""
    return lambda table: _probe({section: {"x": dict(table)}})


def probe_service(table: Mapping[str, object]) -> Sequence[faults.Fault]:
    """Return the faults of a service that holds `table`.

    Some keys are valid only for a plain service and have further rules
    there, so the table is tried as both kinds.
    """
    given, plain = dict(table), {**table, "kind": "plain"}
    return [
        *_probe({"services": {"x": given}}),
        *_probe({"services": {"x": plain}}),
    ]


def probe_upstream(table: Mapping[str, object]) -> Sequence[faults.Fault]:
    """Return the faults of one upstream that holds `table`."""
    return _probe({"pools": {"x": {"upstreams": [dict(table)]}}})


def probe_placement(table: Mapping[str, object]) -> Sequence[faults.Fault]:
    """Return the faults of one placement that holds `table`."""
    return _probe({"placements": [dict(table)]})


def _probe(document: dict[str, object]) -> Sequence[faults.Fault]:
    text = tomlkit.dumps(document)
    file = declarations.DeclarationFile(name="probe", text=text)
    result = declarations.parse_declarations([file])
    return (
        result.faults
        if isinstance(result, declarations.InvalidDeclarations)
        else ()
    )


def _collect_rules(
    keys: Sequence[str], probe: Probe, table: Mapping[str, object]
) -> dict[str, str]:
    found: dict[str, str] = {}
    for fault in probe(table):
        key = fault.key.rsplit(".", 1)[-1]
        if key in keys and not fault.valid.startswith("absent"):
            found.setdefault(key, fault.valid)
    return found
