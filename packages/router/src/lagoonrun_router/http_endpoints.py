"""Create the HTTP servers and the upstream client of one entry VM."""

import socket

from lagoonrun_core import clock as clocks
from lagoonrun_http import dialing
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import limits as http_limits
from lagoonrun_http import server as http_server
from lagoonrun_http import upstream as http_upstream
from lagoonrun_router import declarations, settings

_CONNECT_SECONDS = 0.4
"""Connection timeout towards an upstream: a hundred round trips."""

UNACKNOWLEDGED_SECONDS = 2.5
"""Time without a TCP acknowledgement after which a connection is closed. A sound
upstream may be silent for a second or two. Idle connections are probed once a
second, and the first probe after this time closes them."""

_MAX_SILENCE_SECONDS = 60.0
"""Sets no limit of its own: the time limits of the routes end every request."""

_MAX_HELD_BODY_BYTES = 32 * 1024 * 1024
"""Memory for request bodies; a tenth of that of the smallest VM in use."""

_MAX_HELD_RESPONSE_BYTES = 32 * 1024 * 1024
"""The same for answers and events that are buffered until they are complete."""

_SWEEP_SECONDS = 0.25
"""Interval of the check for timeouts of callers and peers, which are seconds
long."""


def upstream_client(
    *, clock: clocks.Clock, dialer: dialing.Dialer
) -> http_upstream.UpstreamClient:
    """Return an HTTP client for upstreams."""
    return http_upstream.UpstreamClient(
        limits=http_limits.ClientLimits(
            connect_seconds=_CONNECT_SECONDS,
            write_stall_seconds=_MAX_SILENCE_SECONDS,
            head_seconds=_MAX_SILENCE_SECONDS,
            body_idle_seconds=_MAX_SILENCE_SECONDS,
            unacknowledged_seconds=UNACKNOWLEDGED_SECONDS,
            held_response_bytes=_MAX_HELD_RESPONSE_BYTES,
        ),
        clock=clock,
        dialer=dialer,
    )


def server(
    address: settings.Address,
    handler: exchanges.ExchangeHandler,
    *,
    clock: clocks.Clock,
    listening: socket.socket | None = None,
) -> http_server.HttpServer:
    """Return a server with the limits that apply before any declarations.

    Parameters
    ----------
    listening
        Listening socket; None to open one.
    """
    return http_server.HttpServer(
        host=address.host,
        port=address.port,
        limits=http_limits.ServerLimits(
            held_body_bytes=_MAX_HELD_BODY_BYTES,
            sweep_seconds=_SWEEP_SECONDS,
        ),
        handler=handler,
        clock=clock,
        listening=listening,
    )


def caller_limits(
    declared: declarations.CallerLimits,
) -> http_limits.ServerLimits:
    """Return the server limits that operators declare for callers."""
    return http_limits.ServerLimits(
        header_bytes=declared.header_bytes,
        body_bytes=declared.body_bytes,
        held_body_bytes=_MAX_HELD_BODY_BYTES,
        idle_seconds=declared.idle_seconds,
        header_read_seconds=declared.header_read_seconds,
        body_read_seconds=declared.idle_seconds,
        sweep_seconds=_SWEEP_SECONDS,
    )
