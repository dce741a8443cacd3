"""Options of the connections that the router opens."""

import asyncio
import itertools
import socket

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_http import dialing
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream
from lagoonrun_router import http_endpoints
from lagoonrun_standins.router_samples import HOST
from lagoonrun_standins.router_upstream import answer_whole

MAX_UNNOTICED_SECONDS = 4.0
"""Time after the last answer from which a request must not be written to a
connection whose upstream has lost its power."""


@pytest.fixture
async def options(upstream_of):
    """Return the socket options of an idle connection to an upstream."""
    upstream = await upstream_of(answer_whole)
    client = http_endpoints.upstream_client(
        clock=clocks.SystemClock(), dialer=dialing.DirectDialer()
    )
    response = await client.send(
        http_upstream.UpstreamRequest(
            head=http_messages.RequestHead(
                method="GET", target="/", headers=http_messages.Headers()
            ),
            body=b"",
            request_id=types.RequestId("r-1"),
        ),
        address=HOST,
        port=upstream.port,
    )
    await response.read_all(100)
    (connection,) = client._connections
    raw = connection._transport.get_extra_info("socket")
    yield {
        name: raw.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
        for name in ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_USER_TIMEOUT")
    }
    await client.close()
    await asyncio.sleep(0)


def closed_after(options):
    """Return the time after the last segment at which Linux gives up.

    With `TCP_USER_TIMEOUT` the number of probes plays no part: the first probe
    that is due after that time, with another one unanswered, closes.
    """
    user_timeout = options["TCP_USER_TIMEOUT"] / 1000.0
    for probes in itertools.count(1):
        idle = options["TCP_KEEPIDLE"] + probes * options["TCP_KEEPINTVL"]
        if idle >= user_timeout:
            return idle


@pytest.mark.parametrize("silent_seconds", [0.8, 1.2, 1.8])
def test_idle_connection_survives_a_short_silence_of_its_upstream(
    options, silent_seconds
):
    """Guards against resets of sound upstreams that fall silent for a second.

    The silence may begin just before the first probe is due.
    """
    survives = closed_after(options) - options["TCP_KEEPIDLE"]
    assert survives > silent_seconds


@pytest.mark.parametrize("silent_seconds", [0.8, 1.2, 1.8])
def test_request_in_flight_survives_a_short_silence_of_its_upstream(
    options, silent_seconds
):
    """Guards against requests that are lost while their upstream is silent."""
    assert options["TCP_USER_TIMEOUT"] / 1000.0 > silent_seconds


def test_connection_to_a_lost_upstream_is_closed_in_time(options):
    """Guards against connections that look open after a loss of power."""
    assert closed_after(options) <= MAX_UNNOTICED_SECONDS
