"""Listing and changing overrides, and showing the load."""

import io
import json

import pytest

from lagoonrun_cli import exit_codes, main
from lagoonrun_core import clock as clocks
from lagoonrun_http import limits as http_limits
from lagoonrun_http import server as http_server
from lagoonrun_platform import memory_store
from lagoonrun_router import (
    operator_overrides,
    override_endpoint,
    override_writer,
    router_endpoints,
)
from lagoonrun_standins.router_world import free_ports

HOST = "127.0.0.1"
PREFIX = "overrides/"

LOAD = {
    "upstreams": [
        {
            "upstream": "u-1",
            "pool": "runners",
            "tokens_per_second": 41234.5,
            "relative_speed": 1.0625,
            "slowness": 2.5,
            "age_seconds": None,
            "samples": 12,
            "running": None,
        }
    ],
    "shares": [
        {
            "pool": "runners",
            "tier": 3,
            "organisation": "acme",
            "asked": 900.0,
            "admitted": 450.0,
            "weight": 2.0,
        }
    ],
    "room": [
        {
            "pool": "runners",
            "tier": 3,
            "tokens": 0.0,
            "open": False,
            "wait_seconds": 0.25,
        }
    ],
    "invitations": [
        {"pool": "runners", "tier": 3, "count": 7, "tokens": 5600.0}
    ],
}


class LoadView:
    """Load of one pool."""

    def as_json(self, *, now):
        """Return the load."""
        del now
        return LOAD


class EntryVm:
    """Metrics address of one entry VM."""

    def __init__(self, store, load_view):
        (port,) = free_ports(1)
        self.address = f"{HOST}:{port}"
        self.overrides = operator_overrides.OperatorOverrides()
        self._server = http_server.HttpServer(
            host=HOST,
            port=port,
            limits=http_limits.ServerLimits(),
            handler=router_endpoints.OperatorEndpoint(
                router=None,
                blocks=None,
                overrides=override_endpoint.OverrideEndpoint(
                    overrides=self.overrides,
                    writer=override_writer.OverrideWriter(
                        store=store, prefix=PREFIX
                    ),
                ),
                clock=clocks.ManualClock(),
                load_view=load_view,
            ),
            clock=clocks.SystemClock(),
        )
        self.start = self._server.start
        self.close = self._server.close


@pytest.fixture
def store():
    return memory_store.MemoryStore()


@pytest.fixture
async def entry_vm_of():
    """Return a function that starts entry VMs, closed after the test."""
    started = []

    async def start(store, load_view=None):
        entry_vm = EntryVm(store, load_view)
        await entry_vm.start()
        started.append(entry_vm)
        return entry_vm

    yield start
    for one in started:
        await one.close()


@pytest.fixture
async def entry_vm(entry_vm_of, store):
    return await entry_vm_of(store)


async def run(*arguments):
    out, err = io.StringIO(), io.StringIO()
    code = await main.execute(list(arguments), out=out, err=err)
    return code, out.getvalue(), err.getvalue()


async def stored(store):
    listing = await store.list_prefix(PREFIX)
    return {
        item.key.removeprefix(PREFIX): json.loads(item.value)
        for item in listing.items
    }


async def test_overrides_are_listed(entry_vm):
    """Guards against overrides that operators can't see."""
    (dead,) = free_ports(1)
    entry_vm.overrides.apply_stored("weight/acme", b'{"weight": 3}')
    entry_vm.overrides.apply_stored("held/u-1", b'{"held": true}')
    code, out, _ = await run(
        "overrides",
        f"--entry_vms={HOST}:{dead}",
        f"--entry_vms={entry_vm.address}",
        "--json",
    )
    assert code is exit_codes.ExitCode.DONE
    assert json.loads(out)["overrides"] == [
        {"key": "held/u-1", "value": {"held": True}},
        {"key": "weight/acme", "value": {"weight": 3.0}},
    ]
    _, text, _ = await run("overrides", f"--entry_vms={entry_vm.address}")
    assert "weight/acme" in text
    assert '{"weight": 3.0}' in text


async def test_overrides_are_set_and_removed(entry_vm, store):
    """Guards against names that are changed on the way to the store."""
    address = f"--entry_vms={entry_vm.address}"
    for change in ("--weight=a=b/c ü=0.5", "--hold=u-1"):
        code, out, _ = await run("overrides", address, change)
        assert code is exit_codes.ExitCode.DONE
        assert "is stored" in out
    assert await stored(store) == {
        "weight/a=b/c ü": {"weight": 0.5},
        "held/u-1": {"held": True},
    }
    code, out, _ = await run("overrides", address, "--remove=held/u-1")
    assert code is exit_codes.ExitCode.DONE
    assert "is removed" in out
    assert list(await stored(store)) == ["weight/a=b/c ü"]
    code, _, err = await run("overrides", address, "--remove=held/u-1")
    assert code is exit_codes.ExitCode.NOT_FOUND
    assert "held/u-1" in err


@pytest.mark.parametrize(
    ("arguments", "valid"),
    [
        (["--weight=acme=101"], "0.01 to 100"),
        (["--weight=acme=nan"], "0.01 to 100"),
        (["--weight=acme"], "ORGANISATION=WEIGHT"),
        (["--weight==2"], "ORGANISATION=WEIGHT"),
        (["--weight=acme=much"], "ORGANISATION=WEIGHT"),
        (["--hold="], "1 to 256 bytes"),
        (["--remove=acme"], "weight/ORGANISATION"),
        (["--hold=u-1", "--remove=held/u-2"], "one of"),
    ],
)
async def test_invalid_change_is_reported(entry_vm, store, arguments, valid):
    """Guards against invalid changes, and errors without what is valid."""
    code, _, err = await run(
        "overrides", f"--entry_vms={entry_vm.address}", *arguments
    )
    assert code is exit_codes.ExitCode.USAGE
    assert valid in err
    assert await stored(store) == {}


async def test_change_that_cannot_be_stored_is_reported(entry_vm, store):
    """Guards against a change that seems to be made while the store is away."""
    store.stop()
    code, _, err = await run(
        "overrides", f"--entry_vms={entry_vm.address}", "--hold=u-1"
    )
    assert code is exit_codes.ExitCode.UNAVAILABLE
    assert "nothing has changed" in err
    store.resume()
    assert await stored(store) == {}


async def test_lost_replies_are_reported_as_unknown(entry_vm, store):
    """Guards against a stored change that is reported as not made."""
    store.lost_replies = 2
    code, _, err = await run(
        "overrides", f"--entry_vms={entry_vm.address}", "--hold=u-1"
    )
    assert code is exit_codes.ExitCode.UNKNOWN
    assert "safe to repeat" in err
    assert list(await stored(store)) == ["held/u-1"]


async def test_another_entry_vm_is_asked_if_one_cannot_store(
    entry_vm_of, entry_vm, store
):
    """Guards against a failed command while one entry VM is cut off."""
    away = memory_store.MemoryStore()
    away.stop()
    cut_off = await entry_vm_of(away)
    code, _, _ = await run(
        "overrides",
        f"--entry_vms={cut_off.address}",
        f"--entry_vms={entry_vm.address}",
        "--hold=u-1",
    )
    assert code is exit_codes.ExitCode.DONE
    assert list(await stored(store)) == ["held/u-1"]


@pytest.mark.parametrize("command", ["overrides", "load"])
async def test_missing_address_is_reported(command):
    """Guards against an empty answer in place of a missing setting."""
    code, _, err = await run(command)
    assert code is exit_codes.ExitCode.UNAVAILABLE
    assert "--entry_vms" in err


async def test_load_is_shown(entry_vm_of, store):
    """Guards against columns that are missing or shown under other names."""
    entry_vm = await entry_vm_of(store, LoadView())
    code, out, _ = await run(
        "load", f"--entry_vms={entry_vm.address}", "--json"
    )
    assert code is exit_codes.ExitCode.DONE
    shown = json.loads(out)
    assert {name: shown[name] for name in LOAD} == LOAD
    _, text, _ = await run("load", f"--entry_vms={entry_vm.address}")
    rows = [line.split() for line in text.splitlines()]
    assert ["u-1", "runners", "41234", "1.06", "2.5", "-", "12", "-"] in rows
    assert ["runners", "3", "acme", "900", "450", "2"] in rows
    assert ["runners", "3", "0", "no", "0.25"] in rows
    assert ["runners", "3", "7", "5600"] in rows


async def test_missing_view_of_the_load_is_reported(entry_vm):
    """Guards against empty tables where no load is known."""
    code, _, err = await run("load", f"--entry_vms={entry_vm.address}")
    assert code is exit_codes.ExitCode.NOT_FOUND
    assert "no view of the load" in err
