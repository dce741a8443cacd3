"""Requests sent to upstreams, and calls that run past their limit."""

import asyncio
import dataclasses

import pytest

from lagoonrun_config import settings
from lagoonrun_core import types
from lagoonrun_daemon import delivery
from lagoonrun_http import messages
from lagoonrun_standins import deployment, fleet

from .conftest import declare

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
    """A caller sends its own priority header with a low-tier request.

    If it were forwarded before the router's header, the engine would use it,
    and the request would overtake those of higher classes.
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
    """A warning is sent to a service that hangs.

    At the warning's limit, the caller gets the outcome "unknown". When the
    service resumes, it runs the warning once; a retry with the same key gets
    its outcome and does not run it again.
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


async def test_call_that_may_run_once_goes_on_from_an_unreachable_upstream(
    small_deployment,
):
    """One of two servers for warnings has crashed.

    No byte of a warning that is granted there is sent. It must be sent to the
    other server, once, instead of being reported as "not-run".
    """
    await _add_unreachable_portal(small_deployment)
    for _ in range(6):
        answer = await small_deployment.ask("/warnings/spill")
        assert answer.status == 200
        assert answer.head.headers["lagoonrun-outcome"] == "complete"
    assert small_deployment.portal.counters()["runs"] == 6


async def _add_unreachable_portal(small):
    draft = declare(
        writer_port=small.writer.port, portal_port=small.portal.port
    )
    portal = draft.upstreams_by_id["portal-1"]
    lost = dataclasses.replace(
        portal, id="portal-0", port=fleet.free_peer_address().port
    )
    upstreams = {**draft.upstreams_by_id, lost.id: lost}
    revision = await deployment.apply_declarations(
        dataclasses.replace(draft, upstreams_by_id=upstreams),
        platform=settings.Address(host="127.0.0.1", port=small.platform.port),
        base=types.Revision(1),
    )
    async with asyncio.timeout(_BOUND_SECONDS):
        while small.daemon.fleet.configuration.revision < revision:
            await small.ask_admin("/readyz")
