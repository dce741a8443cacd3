"""Collects the fields that the code logs with each numbered event."""

import ast
import itertools
import pathlib
import re
from collections.abc import Iterator, Mapping

from lagoonrun_core import events

CATALOGUE = pathlib.Path("docs/log-events.md")
_SOURCES = ("packages/*/src/**/*.py", "platform/src/**/*.py")

ROW = re.compile(r"^\| (\d+) \| `([a-z-]+)` \| (.+) \| (.*) \|$", re.M)

_NOT_FIELDS = frozenset(("level", "exc_info"))
_NO_FIELDS = "(none)"
_NOT_WRITTEN = "(not written by this build)"
_DEVELOPMENT_PACKAGE = "lagoonrun_standins"


def fields_by_event(root: pathlib.Path) -> Mapping[str, frozenset[str]]:
    """Return the fields of every `logs.emit` call in the product's code.

    Parameters
    ----------
    root
        Root of the repository.
    """
    found: dict[str, set[str]] = {}
    sources = itertools.chain.from_iterable(map(root.glob, _SOURCES))
    for path in sources:
        if _DEVELOPMENT_PACKAGE in path.parts:
            continue
        tree = ast.parse(path.read_text(encoding="utf-8"))
        for call in _emit_calls(tree):
            for event in _events_of(call, tree):
                found.setdefault(event, set()).update(_fields_of(call))
    return {event: frozenset(names) for event, names in found.items()}


def updated_catalogue(root: pathlib.Path) -> str:
    """Return the catalogue with the fields column regenerated from the code."""
    text = (root / CATALOGUE).read_text(encoding="utf-8")
    found = fields_by_event(root)
    event_by_number = {event.number: event for event in events.LogEvent}

    def rewrite(match: re.Match[str]) -> str:
        number, label, when, _ = match.groups()
        event = event_by_number.get(int(number))
        cell = _cell(found, event) if event else _NOT_WRITTEN
        return f"| {number} | `{label}` | {when} | {cell} |"

    return ROW.sub(rewrite, text)


def _cell(found: Mapping[str, frozenset[str]], event: events.LogEvent) -> str:
    names = found.get(event.name)
    if names is None:
        return _NOT_WRITTEN
    return ", ".join(f"`{name}`" for name in sorted(names)) or _NO_FIELDS


def _emit_calls(tree: ast.Module) -> Iterator[ast.Call]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and node.args:
            function = node.func
            if isinstance(function, ast.Attribute) and function.attr == "emit":
                yield node


def _events_of(call: ast.Call, tree: ast.Module) -> set[str]:
    """Return the names of events that the first argument may evaluate to.

    A plain name is resolved through the assignments in its module.
    """
    argument = call.args[0]
    searched: list[ast.AST] = [argument]
    if isinstance(argument, ast.Name):
        searched = [
            node.value
            for node in ast.walk(tree)
            if isinstance(node, ast.Assign)
            and any(
                isinstance(target, ast.Name) and target.id == argument.id
                for target in node.targets
            )
        ]
    return {
        node.attr
        for root in searched
        for node in ast.walk(root)
        if isinstance(node, ast.Attribute)
        and node.attr in events.LogEvent.__members__
    }


def _fields_of(call: ast.Call) -> set[str]:
    return {
        keyword.arg
        for keyword in call.keywords
        if keyword.arg and keyword.arg not in _NOT_FIELDS
    }
