"""Fault controls: frozen dataclasses that are changed by JSON objects."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any, TypeVar

Control = TypeVar("Control")


def changed(control: Control, body: Any) -> Control:
    """Return `control` with the fields that `body` names replaced.

    Parameters
    ----------
    control
        Frozen dataclass whose fields are numbers, strings, booleans or
        enumerations by value.
    body
        Decoded JSON object.

    Raises
    ------
    ValueError
        If a field does not exist or has another type.
    """
    if not isinstance(body, Mapping):
        raise ValueError(f"{body!r} is not a JSON object")
    values = {
        name: _converted(control, name, value) for name, value in body.items()
    }
    return dataclasses.replace(control, **values)


def as_json(control: Any) -> dict[str, Any]:
    """Return the fields of `control` as a JSON object."""
    return {
        field.name: _plain(getattr(control, field.name))
        for field in dataclasses.fields(control)
    }


def _converted(control: Any, name: str, value: Any) -> Any:
    valid = [field.name for field in dataclasses.fields(control)]
    if name not in valid:
        raise ValueError(f"unknown field {name!r}; valid: {valid}")
    present = getattr(control, name)
    if isinstance(present, enum.Enum):
        return type(present)(value)
    if isinstance(present, float) and type(value) is int:
        return float(value)
    if type(value) is not type(present):
        kind = type(present).__name__
        raise ValueError(f"{name}: {value!r} is not of type {kind}")
    return value


def _plain(value: Any) -> Any:
    return value.value if isinstance(value, enum.Enum) else value
