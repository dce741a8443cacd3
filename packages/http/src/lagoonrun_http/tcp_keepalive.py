"""TCP keep-alive probes that detect a peer that is no longer reachable."""

import asyncio
import contextlib
import socket

_PROBES = 2


def enable(transport: asyncio.Transport, *, within_seconds: float) -> None:
    """Make the system close a connection whose peer acknowledges nothing.

    A VM that lost its power or its network sends no reset. Without probes an
    idle connection to it looks open for ever, and a request written to it
    waits for the whole time limit of its route.

    Parameters
    ----------
    within_seconds
        About how long the peer may acknowledge nothing.
    """
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    interval = max(1, round(within_seconds / (_PROBES + 1)))
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(within_seconds * 1000),
        ),
    )
    with contextlib.suppress(OSError):
        # A system without one of the options detects a lost peer later.
        for level, option, value in options:
            raw.setsockopt(level, option, value)


def set_unacknowledged_limit(
    transport: asyncio.Transport, seconds: float | None
) -> None:
    """Set how long sent bytes may stay unacknowledged; None for no limit.

    The system counts the time of a closed receive window as well, although the
    peer's host acknowledges each probe of the window. Keep-alive probes go on
    without a limit, and their number decides then.
    """
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    with contextlib.suppress(OSError):
        raw.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int((seconds or 0.0) * 1000),
        )
