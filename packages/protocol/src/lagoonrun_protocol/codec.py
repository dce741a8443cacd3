"""Carry messages to packed Cap'n Proto bytes and back.

The schema is loaded at run time from this package, so the build needs no
generator. Conversions are worked out once per message type, at import.
"""

import dataclasses
import enum
import pathlib
import types
import typing
from collections.abc import Callable
from typing import Any

import capnp

from lagoonrun_core import errors
from lagoonrun_protocol import messages, router_messages

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("schema.capnp")))


class _Shape(enum.Enum):
    """How a field's value is written."""

    PLAIN = "plain"
    ENUM = "enum"
    LIST = "list"
    STRUCT = "struct"
    STRUCT_LIST = "struct-list"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _FieldCodec:
    name: str
    wire_name: str
    shape: _Shape = _Shape.PLAIN
    from_wire: Callable[[Any], Any] | None = None


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.title() for part in rest)


def _variant_name(message_type: type) -> str:
    name = message_type.__name__
    return name[0].lower() + name[1:]


def _field_codec(name: str, field_type: Any) -> _FieldCodec:
    shape = _Shape.PLAIN
    from_wire: Callable[[Any], Any] | None = None
    if typing.get_origin(field_type) is tuple:
        item = typing.get_args(field_type)[0]
        if dataclasses.is_dataclass(item):
            shape = _Shape.STRUCT_LIST
            from_wire = _struct_list_reader(typing.cast(type, item))
        else:
            shape = _Shape.LIST
            from_wire = tuple
    elif dataclasses.is_dataclass(field_type):
        shape = _Shape.STRUCT
        from_wire = _struct_reader(typing.cast(type, field_type))
    elif isinstance(field_type, type) and issubclass(field_type, enum.Enum):
        shape = _Shape.ENUM
        from_wire = field_type
    elif field_type is bytes:
        from_wire = bytes
    return _FieldCodec(
        name=name,
        wire_name=_camel_case(name),
        shape=shape,
        from_wire=from_wire,
    )


def _struct_reader(struct_type: type) -> Callable[[Any], Any]:
    def read(struct: Any) -> Any:
        return _from_wire(struct_type, struct)

    return read


def _struct_list_reader(item_type: type) -> Callable[[Any], Any]:
    def read(items: Any) -> tuple[Any, ...]:
        return tuple(_from_wire(item_type, item) for item in items)

    return read


def _codecs_of(message_type: type) -> tuple[_FieldCodec, ...]:
    hints = typing.get_type_hints(message_type)
    return tuple(
        _field_codec(field.name, hints[field.name])
        for field in dataclasses.fields(message_type)
    )


_CODECS_BY_TYPE: dict[type, tuple[_FieldCodec, ...]] = {
    value: _codecs_of(value)
    for module in (messages, router_messages)
    for value in vars(module).values()
    if isinstance(value, type) and dataclasses.is_dataclass(value)
}

_TYPES_BY_VARIANT: types.MappingProxyType[str, type] = types.MappingProxyType(
    {_variant_name(t): t for t in typing.get_args(messages.Message)}
)


_VARIANTS_BY_TYPE: types.MappingProxyType[type, str] = types.MappingProxyType(
    {t: variant for variant, t in _TYPES_BY_VARIANT.items()}
)


def _write(builder: Any, message: Any) -> None:
    """Set the fields of a struct one by one.

    Building the struct from a dictionary of all fields costs seven times as
    much; zero and empty values are the defaults and need no bytes.
    """
    for codec in _CODECS_BY_TYPE[type(message)]:
        value = getattr(message, codec.name)
        if not value:
            continue
        if codec.shape is _Shape.PLAIN:
            setattr(builder, codec.wire_name, value)
        elif codec.shape is _Shape.ENUM:
            setattr(builder, codec.wire_name, value.value)
        elif codec.shape is _Shape.STRUCT:
            _write(builder.init(codec.wire_name), value)
        elif codec.shape is _Shape.LIST:
            setattr(builder, codec.wire_name, list(value))
        else:
            items = builder.init(codec.wire_name, len(value))
            for position, item in enumerate(value):
                _write(items[position], item)


def _from_wire(message_type: type, reader: Any) -> Any:
    fields = {}
    for codec in _CODECS_BY_TYPE[message_type]:
        value = getattr(reader, codec.wire_name)
        fields[codec.name] = (
            codec.from_wire(value) if codec.from_wire else value
        )
    return message_type(**fields)


def encode(message: messages.Message) -> bytes:
    """Return the packed bytes of `message`."""
    envelope = _SCHEMA.Envelope.new_message()
    _write(envelope.init(_VARIANTS_BY_TYPE[type(message)]), message)
    return envelope.to_bytes_packed()


def decode(body: bytes, *, peer: str = "") -> messages.Message:
    """Return the message in `body`.

    Parameters
    ----------
    body
        Packed bytes as `encode` gives them.
    peer
        Sender, for errors.

    Raises
    ------
    lagoonrun_core.errors.LagoonrunError
        If the bytes are no message of a known kind.
    """
    try:
        envelope = _SCHEMA.Envelope.from_bytes_packed(body)
        variant = str(envelope.which())
        message_type = _TYPES_BY_VARIANT[variant]
        return _from_wire(message_type, getattr(envelope, variant))
    except (capnp.KjException, KeyError, ValueError, UnicodeError) as error:
        raise errors.LagoonrunError(
            step=errors.Step.PEER_FRAME,
            peer=peer,
            detail=f"{len(body)} bytes are no valid message: {error}",
        ) from error
