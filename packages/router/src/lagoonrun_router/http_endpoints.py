"""Servers and the upstream client of one entry VM, with their bounds."""

import socket

from lagoonrun_core import clock as clocks
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import limits as http_limits
from lagoonrun_http import server as http_server
from lagoonrun_http import upstream as http_upstream
from lagoonrun_router import declarations, settings

_CONNECT_SECONDS = 0.4
"""Longest wait for a connection to an upstream: a hundred round trips."""

_UNACKNOWLEDGED_SECONDS = 1.5
"""Silence on the network after which an upstream counts as dark."""

_LONGEST_SILENCE_SECONDS = 60.0
"""No bound of its own: the limits of the routes end every request."""

_HELD_BODIES_BYTES = 32 * 1024 * 1024
"""Request bodies held at a time; a tenth of the smallest VM in use."""

_SWEEP_SECONDS = 0.25
"""Time between two looks at what callers and peers take too long for; the bounds
are seconds."""


def upstream_client(*, clock: clocks.Clock) -> http_upstream.UpstreamClient:
    """Return the client towards upstreams."""
    return http_upstream.UpstreamClient(
        limits=http_limits.ClientLimits(
            connect_seconds=_CONNECT_SECONDS,
            write_stall_seconds=_LONGEST_SILENCE_SECONDS,
            head_seconds=_LONGEST_SILENCE_SECONDS,
            body_idle_seconds=_LONGEST_SILENCE_SECONDS,
            unacknowledged_seconds=_UNACKNOWLEDGED_SECONDS,
        ),
        clock=clock,
    )


def server(
    address: settings.Address,
    handler: exchanges.ExchangeHandler,
    *,
    clock: clocks.Clock,
    listening: socket.socket | None = None,
) -> http_server.HttpServer:
    """Return a server with the bounds that hold before any declarations.

    Parameters
    ----------
    listening
        Socket that listens already; None to open one.
    """
    return http_server.HttpServer(
        host=address.host,
        port=address.port,
        limits=http_limits.ServerLimits(
            held_body_bytes=_HELD_BODIES_BYTES,
            sweep_seconds=_SWEEP_SECONDS,
        ),
        handler=handler,
        clock=clock,
        listening=listening,
    )


def caller_limits(
    declared: declarations.CallerLimits,
) -> http_limits.ServerLimits:
    """Return the bounds on callers that operators declare."""
    return http_limits.ServerLimits(
        header_bytes=declared.header_bytes,
        body_bytes=declared.body_bytes,
        held_body_bytes=_HELD_BODIES_BYTES,
        idle_seconds=declared.idle_seconds,
        header_read_seconds=declared.header_read_seconds,
        body_read_seconds=declared.idle_seconds,
        sweep_seconds=_SWEEP_SECONDS,
    )
