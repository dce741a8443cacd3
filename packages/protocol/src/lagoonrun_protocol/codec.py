"""Encode and decode the membership and permit messages of `messages`."""

import typing

from lagoonrun_protocol import envelope_codec, messages

_CODEC = envelope_codec.EnvelopeCodec(
    message_types=typing.get_args(messages.Message)
)


def encode(message: messages.Message) -> bytes:
    """Return the packed bytes of `message`."""
    return _CODEC.encode(message)


def decode(body: bytes, *, peer: str = "") -> messages.Message:
    """Return the message in `body`; see `EnvelopeCodec.decode`."""
    return _CODEC.decode(body, peer=peer)
