"""Fault controls: frozen dataclasses whose fields JSON objects replace."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any, Protocol, TypeVar

from lagoonrun_standins import http_server as http_lib

Control = TypeVar("Control")


def with_fields(control: Control, body: Mapping[str, Any]) -> Control:
    """Return a copy of `control` with the fields in `body` replaced.

    Parameters
    ----------
    control
        Frozen dataclass whose fields are numbers, strings, booleans or
        enumerations, which JSON gives by value.
    body
        New values by field name.

    Raises
    ------
    ValueError
        If a field does not exist or has another type.
    """
    values = {
        name: _converted(control, name, value) for name, value in body.items()
    }
    return dataclasses.replace(control, **values)


def split_action(body: Any, action: str) -> tuple[dict[str, Any], bool]:
    """Separate an action, such as a crash, from the fields to change.

    Returns
    -------
    tuple
        The other fields, and whether the action is requested.

    Raises
    ------
    ValueError
        If `body` is not a JSON object.
    """
    if not isinstance(body, Mapping):
        raise ValueError(f"{body!r} is not a JSON object")
    fields = dict(body)
    requested = fields.pop(action, False)
    return fields, requested is True


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
    current = getattr(control, name)
    if isinstance(current, enum.Enum):
        return type(current)(value)
    if isinstance(current, float) and type(value) is int:
        return float(value)
    if type(value) is not type(current):
        kind = type(current).__name__
        raise ValueError(f"{name}: {value!r} is not of type {kind}")
    return value


def _plain(value: Any) -> Any:
    return value.value if isinstance(value, enum.Enum) else value


def consume_count(control: Control, name: str) -> tuple[Control, bool]:
    """Decrement the count in field `name` if it is above zero.

    Returns
    -------
    tuple
        The updated control, and whether the count was above zero.
    """
    left = getattr(control, name)
    if left <= 0:
        return control, False
    return dataclasses.replace(control, **{name: left - 1}), True


class Controllable(Protocol):
    """A stand-in whose faults are set through `/control`."""

    @property
    def faults(self) -> Any:
        """Return the faults in effect."""

    def control(
        self, body: Any, *, exchange: http_lib.Exchange | None = None
    ) -> None:
        """Apply the JSON object of a control call."""

    def counters(self) -> dict[str, Any]:
        """Return the totals since the start."""


def is_control(request: http_lib.Request) -> bool:
    """Return whether a request is a control call; see `answer`."""
    return request.path.startswith("/control")


def answer(
    request: http_lib.Request,
    exchange: http_lib.Exchange,
    *,
    target: Controllable,
) -> None:
    """Answer a control call.

    `POST /control` changes the faults, `GET /control` returns them and
    `GET /control/counters` returns the totals.
    """
    if request.path == "/control/counters":
        exchange.respond_json(200, target.counters())
        return
    if request.method == "POST":
        try:
            target.control(request.json(), exchange=exchange)
        except ValueError as error:
            exchange.respond_json(400, {"error": str(error)})
            return
    exchange.respond_json(200, as_json(target.faults))
