"""Fault controls: frozen dataclasses that are changed by JSON objects."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any, Protocol, TypeVar

from lagoonrun_standins import http_server as http_lib

Control = TypeVar("Control")


def with_fields(control: Control, body: Mapping[str, Any]) -> Control:
    """Return `control` with the fields that `body` names replaced.

    Parameters
    ----------
    control
        Frozen dataclass whose fields are numbers, strings, booleans or
        enumerations by value.
    body
        New values by the names of fields.

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
    """Split an action, such as a crash, off the fields to change.

    Returns
    -------
    tuple
        The other fields, and whether the action is asked for.

    Raises
    ------
    ValueError
        If `body` is not a JSON object.
    """
    if not isinstance(body, Mapping):
        raise ValueError(f"{body!r} is not a JSON object")
    fields = dict(body)
    asked = fields.pop(action, False)
    return fields, asked is True


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


def consume_count(control: Control, name: str) -> tuple[Control, bool]:
    """Lower the count in field `name` by one, where it is above zero.

    Returns
    -------
    tuple
        The control as it is now, and whether the count was above zero.
    """
    left = getattr(control, name)
    if left <= 0:
        return control, False
    return dataclasses.replace(control, **{name: left - 1}), True


class Controllable(Protocol):
    """A stand-in whose faults are set at `/control`."""

    @property
    def faults(self) -> Any:
        """Return what goes wrong at present."""

    def control(
        self, body: Any, *, exchange: http_lib.Exchange | None = None
    ) -> None:
        """Apply the JSON object of a control call."""

    def counters(self) -> dict[str, Any]:
        """Return the totals."""


def is_control(request: http_lib.Request) -> bool:
    """Return whether a request is for `answer`."""
    return request.path.startswith("/control")


def answer(
    request: http_lib.Request,
    exchange: http_lib.Exchange,
    *,
    target: Controllable,
) -> None:
    """Answer a control call.

    `POST /control` changes the faults, `GET /control` shows them and
    `GET /control/counters` the totals.
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
