"""The datagram socket of the exchange between entry VMs.

Each datagram carries an authentication tag made with the fleet's key, so that
those of other fleets, which may have had the same addresses before, are
rejected.
"""

import asyncio
import hashlib
import hmac
import logging
from collections.abc import Iterable
from typing import Protocol

from lagoonrun_core import errors, events, logs
from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import settings

_TAG_BYTES = 16
_MAX_DATAGRAM_BYTES = 16_384


class MessageListener(Protocol):
    """Receives the messages of other entry VMs."""

    def __call__(
        self, message: router_messages.RouterMessage, host: str
    ) -> None:
        """Receive a message; raises `LagoonrunError` if it is invalid."""


class PeerSocket:
    """Sends and receives authenticated messages.

    Parameters
    ----------
    key
        Key of the fleet, from which the authentication tags are made.
    on_message
        Receives each valid message.
    """

    def __init__(self, *, key: bytes, on_message: MessageListener) -> None:
        self._key = hashlib.blake2b(key, digest_size=32).digest()
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: settings.Address) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(owner=self),
            local_addr=(address.host, address.port),
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(
        self,
        message: router_messages.RouterMessage,
        addresses: Iterable[settings.Address],
    ) -> None:
        """Send a message to each address, without confirmation of delivery."""
        if self._transport is None or self._transport.is_closing():
            return
        body = router_codec.encode(message)
        data = self._tag(body) + body
        for address in addresses:
            self._transport.sendto(data, (address.host, address.port))

    def receive(self, data: bytes, host: str) -> None:
        """Verify, decode and pass on a datagram."""
        tag, body = data[:_TAG_BYTES], data[_TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(body)):
            _reject(host, f"{len(data)} bytes with a wrong tag")
            return
        try:
            self._on_message(router_codec.decode(body, peer=host), host)
        except errors.LagoonrunError as error:
            _reject(host, error.detail)
        except Exception as error:
            # A message of another release may have values that are not valid
            # here; it concerns nothing but itself.
            _reject(host, repr(error))

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            body, key=self._key, digest_size=_TAG_BYTES
        ).digest()


def _reject(host: str, detail: str) -> None:
    logs.emit(
        events.LogEvent.PEER_FRAME_REJECTED,
        level=logging.WARNING,
        peer=host,
        detail=detail,
    )


class _Receiver(asyncio.DatagramProtocol):
    """Passes datagrams to their socket; oversized ones are dropped."""

    def __init__(self, *, owner: PeerSocket) -> None:
        self._owner = owner

    def datagram_received(self, data: bytes, address: tuple) -> None:
        if len(data) <= _MAX_DATAGRAM_BYTES:
            self._owner.receive(data, address[0])

    def error_received(self, error: Exception) -> None:
        # The peer's process does not run; the next tick sends to it again.
        del error
