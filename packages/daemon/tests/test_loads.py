"""Tests of reading the load reports of upstreams."""

import asyncio

import pytest

from lagoonrun_config import model
from lagoonrun_core import clock, types
from lagoonrun_daemon import loads
from lagoonrun_http import limits, upstream
from lagoonrun_standins import plain_service

_WAIT_SECONDS = 10.0


@pytest.fixture
async def services():
    """Start two upstreams."""
    started = [plain_service.PlainService(), plain_service.PlainService()]
    for service in started:
        await service.start()
    yield started
    for service in started:
        await service.close()


@pytest.fixture
async def client():
    """Provide a client of upstreams."""
    made = upstream.UpstreamClient(
        limits=limits.ClientLimits(), clock=clock.SystemClock()
    )
    yield made
    await made.close()


def _declared(name: str, service) -> model.Upstream:
    return model.Upstream(
        id=types.UpstreamId(name),
        pool=types.PoolName("portal"),
        domain=types.FailureDomain("north"),
        address=service.host,
        port=service.port,
        slots=8,
        resumes=False,
        checks_fencing=False,
    )


async def test_frozen_upstream_does_not_hide_anothers_leaving(
    services, client, monkeypatch
):
    """One upstream hangs while another starts to leave.

    Requests were still sent to the leaving one, because the reader waited for
    the frozen one's report before it read any other again.
    """
    monkeypatch.setattr(loads, "_REPORT_TIMEOUT_SECONDS", 60.0)
    frozen, leaving = services
    frozen.control({"frozen": True})
    reported_leaving: asyncio.Queue[types.UpstreamId] = asyncio.Queue()
    reported_serving: asyncio.Queue[types.UpstreamId] = asyncio.Queue()

    def on_leaving(name, incarnation, is_leaving):
        assert incarnation > 0
        (reported_leaving if is_leaving else reported_serving).put_nowait(name)

    reader = loads.LoadReader(
        client=client,
        upstreams=lambda: [
            _declared("frozen", frozen),
            _declared("leaving", leaving),
        ],
        on_report=lambda report: None,
        on_leaving=on_leaving,
    )
    await reader.start()
    async with asyncio.timeout(_WAIT_SECONDS):
        assert await reported_serving.get() == "leaving"
        leaving.control({"leaving": True})
        assert await reported_leaving.get() == "leaving"
    await reader.close()
