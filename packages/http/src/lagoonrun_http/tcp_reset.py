"""Closing a connection so that the other side sees a fault at once."""

import asyncio
import socket
import struct

_LINGER_ZERO = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Close with a TCP reset, dropping what was not sent yet.

    `Transport.abort` alone sends a FIN, which a peer may take for a half
    close or, in a body that ends with the connection, for its proper end.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()
