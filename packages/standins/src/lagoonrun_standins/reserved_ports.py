"""Reserves ports that must be known before their server starts.

Reserved ports lie below the range of ephemeral ports, which the system assigns
to connections and to servers that bind to port 0. Such a server sets
`SO_REUSEADDR`, as the sockets here do, so it could be assigned a port reserved
here; the server for which it was reserved would then fail to listen.
"""

import random
import socket

_FIRST_PORT = 10_000
_LAST_PORT = 29_999
_MAX_TRIES = 200

_reserving_sockets: list[socket.socket] = []


def reserve(host: str) -> int:
    """Return a port for TCP and UDP that stays reserved in this process.

    The reservation lasts until the process exits. A server that sets
    `SO_REUSEADDR` can still listen on the port, since the reserving socket
    sets it too and doesn't listen.

    Raises
    ------
    OSError
        If no free port is found.
    """
    for _ in range(_MAX_TRIES):
        port = random.randint(_FIRST_PORT, _LAST_PORT)
        if not _is_free(host, port):
            continue
        reserving = socket.socket(type=socket.SOCK_STREAM)
        reserving.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserving.bind((host, port))
        _reserving_sockets.append(reserving)
        return port
    raise OSError(f"no port free for TCP and UDP in {_MAX_TRIES} tries")


def _is_free(host: str, port: int) -> bool:
    """Return whether no socket is bound to a port, listening or not."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
