"""Listing requests that crash upstreams, and unblocking them."""

import io
import json

import pytest

from lagoonrun_cli import exit_codes, main
from lagoonrun_core import clock as clocks
from lagoonrun_http import limits as http_limits
from lagoonrun_http import server as http_server
from lagoonrun_router import crash_records, router_endpoints, running_requests
from lagoonrun_standins.router_world import free_ports

HOST = "127.0.0.1"
DIGEST = "0f" * 16


class Blocks:
    """One blocked request."""

    def __init__(self, clock):
        self._clock = clock
        self.lifted = []

    def blocks(self):
        """Return the block until it is lifted."""
        if self.lifted:
            return ()
        records = tuple(
            crash_records.CrashRecord(
                request=DIGEST,
                instance=running_requests.UpstreamInstance(
                    upstream=f"u-{n}", start=1
                ),
                route="questions",
                seen_at=self._clock.monotonic(),
            )
            for n in range(3)
        )
        return (
            crash_records.Block(
                request=DIGEST,
                records=records,
                until=self._clock.monotonic() + 120.0,
            ),
        )

    def lift(self, request):
        """Lift the block; return whether there was one."""
        known = request == DIGEST and not self.lifted
        if known:
            self.lifted.append(request)
        return known


class Router:
    """Router that only has metrics."""

    ready = True

    def metrics_text(self):
        """Return one metric."""
        return b"lagoonrun_ready 1.0\n"


@pytest.fixture
def blocks():
    return Blocks(clocks.ManualClock())


@pytest.fixture
async def address(blocks):
    (port,) = free_ports(1)
    server = http_server.HttpServer(
        host=HOST,
        port=port,
        limits=http_limits.ServerLimits(),
        handler=router_endpoints.OperatorEndpoint(
            router=Router(),
            blocks=blocks,
            overrides=None,
            clock=clocks.ManualClock(),
        ),
        clock=clocks.SystemClock(),
    )
    await server.start()
    yield f"{HOST}:{port}"
    await server.close()


async def run(*arguments):
    out, err = io.StringIO(), io.StringIO()
    code = await main.execute(
        ["blocked-requests", *arguments], out=out, err=err
    )
    return code, out.getvalue(), err.getvalue()


async def test_blocked_requests_are_listed(address):
    (dead,) = free_ports(1)
    code, out, _ = await run(
        f"--entry_vms={HOST}:{dead}", f"--entry_vms={address}", "--json"
    )
    assert code is exit_codes.ExitCode.DONE
    (row,) = json.loads(out)["blocked"]
    assert row["digest"] == DIGEST
    assert row["upstreams"] == ["u-0", "u-1", "u-2"]
    assert row["seconds_left"] == 120.0
    _, text, _ = await run(f"--entry_vms={address}")
    assert DIGEST in text
    assert "questions" in text


async def test_block_is_lifted_once(address, blocks):
    code, out, _ = await run(f"--entry_vms={address}", f"--lift={DIGEST}")
    assert (code, blocks.lifted) == (exit_codes.ExitCode.DONE, [DIGEST])
    assert "may run again" in out
    code, _, err = await run(f"--entry_vms={address}", f"--lift={DIGEST}")
    assert code is exit_codes.ExitCode.NOT_FOUND
    assert DIGEST in err


async def test_missing_address_is_reported():
    code, _, err = await run()
    assert code is exit_codes.ExitCode.UNAVAILABLE
    assert "--entry_vms" in err
