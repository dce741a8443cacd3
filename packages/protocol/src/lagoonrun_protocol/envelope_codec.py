"""Convert message dataclasses to and from packed Cap'n Proto bytes.

The schema is loaded at run time from this package, so the build runs no code
generator. The field conversions are computed once per message type. Each
program has a codec for the messages that it uses: defining the messages of the
other programs and computing their conversions would add a tenth to the startup
time of an entry VM.
"""

import dataclasses
import enum
import functools
import pathlib
import typing
from collections.abc import Callable, Iterable
from typing import Any

import capnp

from lagoonrun_core import errors

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("schema.capnp")))


class _FieldKind(enum.Enum):
    """How the value of a field is encoded."""

    PLAIN = "plain"
    ENUM = "enum"
    LIST = "list"
    STRUCT = "struct"
    STRUCT_LIST = "struct-list"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _FieldCodec:
    name: str
    wire_name: str
    kind: _FieldKind = _FieldKind.PLAIN
    from_wire: Callable[[Any], Any] | None = None


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.title() for part in rest)


def _variant_name(message_type: type) -> str:
    name = message_type.__name__
    return name[0].lower() + name[1:]


def _field_codec(name: str, field_type: Any) -> _FieldCodec:
    kind = _FieldKind.PLAIN
    from_wire: Callable[[Any], Any] | None = None
    if typing.get_origin(field_type) is tuple:
        item_type = typing.get_args(field_type)[0]
        if dataclasses.is_dataclass(item_type):
            kind = _FieldKind.STRUCT_LIST
            from_wire = _struct_list_reader(typing.cast(type, item_type))
        else:
            kind = _FieldKind.LIST
            from_wire = tuple
    elif dataclasses.is_dataclass(field_type):
        kind = _FieldKind.STRUCT
        from_wire = _struct_reader(typing.cast(type, field_type))
    elif isinstance(field_type, type) and issubclass(field_type, enum.Enum):
        kind = _FieldKind.ENUM
        from_wire = field_type
    elif field_type is bytes:
        from_wire = bytes
    return _FieldCodec(
        name=name,
        wire_name=_camel_case(name),
        kind=kind,
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


@functools.cache
def _codecs_of(message_type: type) -> tuple[_FieldCodec, ...]:
    hints = typing.get_type_hints(message_type)
    return tuple(
        _field_codec(field.name, hints[field.name])
        for field in dataclasses.fields(message_type)
    )


class EnvelopeCodec:
    """Encodes and decodes messages of the given types.

    Parameters
    ----------
    message_types
        Message dataclasses; each is a member of the schema's `Envelope` union.
    """

    def __init__(self, *, message_types: Iterable[type]) -> None:
        self._type_by_variant = {_variant_name(t): t for t in message_types}
        self._variant_by_type = {
            message_type: variant
            for variant, message_type in self._type_by_variant.items()
        }

    def encode(self, message: Any) -> bytes:
        """Return the packed bytes of `message`."""
        envelope = _SCHEMA.Envelope.new_message()
        _write(envelope.init(self._variant_by_type[type(message)]), message)
        return envelope.to_bytes_packed()

    def decode(self, body: bytes, *, peer: str = "") -> Any:
        """Return the message in `body`.

        Parameters
        ----------
        body
            Packed bytes, as returned by `encode`.
        peer
            Name of the sender, for error messages.

        Raises
        ------
        lagoonrun_core.errors.LagoonrunError
            If the bytes are not a message of one of the types.
        """
        try:
            envelope = _SCHEMA.Envelope.from_bytes_packed(body)
            variant = str(envelope.which())
            message_type = self._type_by_variant[variant]
            return _from_wire(message_type, getattr(envelope, variant))
        except (capnp.KjException, KeyError, ValueError, UnicodeError) as error:
            raise errors.LagoonrunError(
                step=errors.Step.PEER_FRAME,
                peer=peer,
                detail=f"{len(body)} bytes are no valid message: {error}",
            ) from error


def _write(builder: Any, message: Any) -> None:
    """Set the fields of a struct one by one.

    Building the struct from a dictionary of all fields takes seven times as
    long. Zero and empty values are skipped: they are the schema's defaults.
    """
    for codec in _codecs_of(type(message)):
        value = getattr(message, codec.name)
        if not value:
            continue
        if codec.kind is _FieldKind.PLAIN:
            setattr(builder, codec.wire_name, value)
        elif codec.kind is _FieldKind.ENUM:
            setattr(builder, codec.wire_name, value.value)
        elif codec.kind is _FieldKind.STRUCT:
            _write(builder.init(codec.wire_name), value)
        elif codec.kind is _FieldKind.LIST:
            setattr(builder, codec.wire_name, list(value))
        else:
            items = builder.init(codec.wire_name, len(value))
            for position, item in enumerate(value):
                _write(items[position], item)


def _from_wire(message_type: type, reader: Any) -> Any:
    fields = {}
    for codec in _codecs_of(message_type):
        value = getattr(reader, codec.wire_name)
        fields[codec.name] = (
            codec.from_wire(value) if codec.from_wire else value
        )
    return message_type(**fields)
