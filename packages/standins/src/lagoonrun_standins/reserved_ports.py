"""Ports that are known before whoever listens on them has started.

They lie below the range from which the system gives ports to connections and
to servers that ask for any: such a server sets the same option as these
sockets, and so may be given a port that is held here; whoever it was meant
for then fails to listen.
"""

import random
import socket

_FIRST_PORT = 10_000
_LAST_PORT = 29_999
_MAX_TRIES = 200

_kept_sockets: list[socket.socket] = []


def reserve(host: str) -> int:
    """Return a port for TCP and UDP that stays reserved in this process.

    It is kept until the process ends. With the option a server, which sets
    it too, can listen on it all the same, since this socket does not.

    Raises
    ------
    OSError
        If no such port is found.
    """
    for _ in range(_MAX_TRIES):
        port = random.randint(_FIRST_PORT, _LAST_PORT)
        if not _is_free(host, port):
            continue
        kept = socket.socket(type=socket.SOCK_STREAM)
        kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        kept.bind((host, port))
        _kept_sockets.append(kept)
        return port
    raise OSError(f"no port free for TCP and UDP in {_MAX_TRIES} tries")


def _is_free(host: str, port: int) -> bool:
    """Return whether nobody holds a port, not even without listening."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
