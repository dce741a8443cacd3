"""What goes to upstreams, and calls that outlive their limit."""

import asyncio

import pytest

from lagoonrun_core import types
from lagoonrun_daemon import delivery
from lagoonrun_http import messages

_BOUND_SECONDS = 20.0


@pytest.mark.parametrize(
    "forged",
    [
        ("X-Request-Priority", "0"),
        ("x-resume-offset", "7"),
        ("X-Request-Id", "another"),
        ("Authorization", "Bearer secret"),
        ("Transfer-Encoding", "chunked"),
    ],
)
def test_callers_cannot_forge_what_the_router_sets(forged):
    """A caller sends a priority of its own with a low-tier request.

    Passed on before the router's, it would win at the engine, and the
    caller's work would go before that of the classes above it.
    """
    headers = delivery.request_headers(
        messages.Headers(pairs=[forged, ("Accept", "text/plain")]),
        tier=types.Tier(3),
        delivered_events=0,
    )
    assert list(headers) == [
        ("Accept", "text/plain"),
        ("X-Request-Priority", "3"),
    ]


def test_resumed_stream_names_what_was_delivered():
    headers = delivery.request_headers(
        messages.Headers(), tier=types.Tier(1), delivered_events=5
    )
    assert headers.get("X-Resume-Offset") == "5"


async def test_call_past_its_limit_is_told_at_once_and_recorded_later(
    small_deployment,
):
    """A warning is sent, and the service that takes it hangs.

    The caller is told at the warning's limit that its end is not known. The
    service wakes and runs the warning once; a retry with the same key is
    told how it ended and does not run it again.
    """
    headers = (("Idempotency-Key", "spill-9"),)
    small_deployment.portal.control({"frozen": True})
    first = await small_deployment.ask("/brief/spill", headers=headers)
    assert first.status == 504
    assert first.head.headers["lagoonrun-outcome"] == "unknown"
    assert small_deployment.portal.counters()["completed"] == 0
    small_deployment.portal.control({"frozen": False})
    async with asyncio.timeout(_BOUND_SECONDS):
        while True:
            retry = await small_deployment.ask("/brief/spill", headers=headers)
            assert retry.status == 409
            if b"its outcome: complete" in retry.body:
                break
    assert small_deployment.portal.counters()["runs"] == 1
