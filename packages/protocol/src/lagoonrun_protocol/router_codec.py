"""Encode and decode the messages of `router_messages`."""

import typing

from lagoonrun_protocol import envelope_codec, router_messages

_CODEC = envelope_codec.EnvelopeCodec(
    message_types=typing.get_args(router_messages.RouterMessage)
)


def encode(message: router_messages.RouterMessage) -> bytes:
    """Return the packed bytes of `message`."""
    return _CODEC.encode(message)


def decode(body: bytes, *, peer: str = "") -> router_messages.RouterMessage:
    """Return the message in `body`; see `EnvelopeCodec.decode`."""
    return _CODEC.decode(body, peer=peer)
