"""The platform's calls for duties over the wire."""

import asyncio

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_duties import platform_calls
from lagoonrun_router import settings
from lagoonrun_users_platform import duty_client, standin_duties


@pytest.fixture
def checker():
    return standin_duties.DutyChecker(reacquire_delay_seconds=3.0)


@pytest.fixture
async def platform(checker):
    made = standin_duties.StandInDuties(checker=checker)
    await made.start()
    yield made
    await made.close()


@pytest.fixture
def calls(platform):
    return duty_client.DutyClient(
        address=platform.address, entry_vm="vm-1", clock=clocks.SystemClock()
    )


def order(**changes):
    fields = {
        "pool": "readers",
        "domain": "north",
        "kind": platform_calls.RunnerKind.LASTING,
        "count": 6,
    }
    return platform_calls.RunnerOrder(**{**fields, **changes})


async def test_report_names_window_counts_and_holder(platform, checker, calls):
    report = platform_calls.UsageReport(
        window=7, count_by_organisation={"house": 3}
    )
    result = await calls.report_usage(report, fencing=12)
    assert result == platform_calls.Accepted()
    assert platform.bodies == [
        ("/usage", {"window_id": 7, "counts": {"house": 3}})
    ]
    assert (checker.calls[0].holder, checker.calls[0].fencing) == ("vm-1", 12)


async def test_only_reclaimable_runners_are_named_as_such(platform, calls):
    await calls.order_runners(order(), fencing=12)
    kind = platform_calls.RunnerKind.RECLAIMABLE
    await calls.order_runners(order(kind=kind, count=2), fencing=12)
    lasting = {"service": "readers", "zone": "north", "desired_count": 6}
    assert platform.bodies == [
        ("/scale", lasting),
        ("/scale", {**lasting, "desired_count": 2, "spot": True}),
    ]


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (409, platform_calls.NoneAvailable),
        (429, platform_calls.Refused),
        (503, platform_calls.Refused),
        (500, platform_calls.Unanswered),
    ],
)
async def test_responses_are_distinguished(platform, calls, status, outcome):
    platform.status = status
    result = await calls.order_runners(order(), fencing=12)
    assert isinstance(result, outcome)


async def test_silent_platform_leaves_the_outcome_open(
    platform, calls, monkeypatch
):
    """The call may have been accepted; it ends within its time limit."""
    monkeypatch.setattr(platform_calls, "CALL_SECONDS", 0.05)
    platform.silent = True
    result = await calls.order_runners(order(), fencing=12)
    assert isinstance(result, platform_calls.Unanswered)


async def test_unreachable_platform_has_accepted_nothing(platform, calls):
    await platform.close()
    result = await calls.order_runners(order(), fencing=12)
    assert isinstance(result, platform_calls.Refused)


async def test_cancelled_call_is_reset(monkeypatch):
    """Guards against a call that arrives during the next holder's tenure.

    The link to the platform is cut while the call is written. The call must not
    wait in the buffers of a connection that was closed normally.
    """
    ended = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        try:
            while await reader.read(1024):
                pass
            ended.set_result("closed")
        except ConnectionResetError:
            ended.set_result("reset")
        writer.close()

    monkeypatch.setattr(platform_calls, "CALL_SECONDS", 0.05)
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    calls = duty_client.DutyClient(
        address=settings.Address(host=host, port=port),
        entry_vm="vm-1",
        clock=clocks.SystemClock(),
    )
    await calls.order_runners(order(), fencing=12)
    assert await ended == "reset"
    server.close()
