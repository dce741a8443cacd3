"""Closing a connection by a TCP reset, which the peer sees as an error."""

import asyncio
import socket
import struct

_LINGER_ZERO = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Close with a TCP reset, dropping what was not sent yet.

    `Transport.abort` alone sends a FIN. The peer may take it for a half-close
    or, if the body is delimited by the end of the connection, for its end.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()
