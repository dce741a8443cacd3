"""Shared fixtures: the platform's stand-in, and commands run in-process."""

import asyncio
import dataclasses
import hashlib
import io
import json
import pathlib
import random
from typing import Any

import pytest

from lagoonrun_cli import context as contexts
from lagoonrun_cli import main
from lagoonrun_config import settings
from lagoonrun_core import types
from lagoonrun_daemon import daemon as daemons
from lagoonrun_standins import (
    fleet,
    http_client,
    plain_service,
    platform_store,
)

KEY = "key-of-house"
KEY_DIGEST = hashlib.sha256(KEY.encode()).hexdigest()
ADMIN_TOKEN = "token-of-operators"
_MAX_RECORDING_SECONDS = 10.0
INNER_KEY = b"k" * 32

DECLARATIONS = f"""
[profiles.lookup]
tier = 1
target_seconds = 0.5
limit_seconds = 2.0

[profiles.digest]
tier = 3
target_seconds = 60.0
limit_seconds = 600.0

[organisations.house]
key_digests = ["{KEY_DIGEST}"]

[services.lookups]
kind = "plain"
pool = "portal"
profile = "lookup"
path_prefix = "/lookups"

[[pools.portal.upstreams]]
id = "portal-1"
domain = "north"
address = "127.0.0.1"
port = 9000
slots = 8

[[pools.portal.upstreams]]
id = "portal-2"
domain = "north"
address = "127.0.0.1"
port = 9001
slots = 8
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommandResult:
    """Exit code and output of one command."""

    code: int
    out: str
    err: str

    def json(self) -> dict[str, Any]:
        """Return the result of a command with `--json`."""
        return json.loads(self.out)


class Operator:
    """Runs commands against one platform and some entry VMs."""

    def __init__(self, *, platform_port: int) -> None:
        self.platform_port = platform_port
        self.entry_vm_ports: list[int] = []
        self.admin_token = ADMIN_TOKEN

    async def run(self, *arguments: str) -> CommandResult:
        """Run one command line in this process."""
        out, err = io.StringIO(), io.StringIO()
        addresses = [f"--platform=127.0.0.1:{self.platform_port}"]
        if self.entry_vm_ports:
            ports = (f"127.0.0.1:{port}" for port in self.entry_vm_ports)
            addresses.append(f"--entry_vms={','.join(ports)}")
        code = await main.execute(
            [*arguments, *addresses, "--operator=amel"],
            out=out,
            err=err,
            make_context=self._make_context,
        )
        return CommandResult(
            code=int(code), out=out.getvalue(), err=err.getvalue()
        )

    def _make_context(self, loaded, console) -> contexts.Context:
        return contexts.Context(
            settings=dataclasses.replace(loaded, admin_token=self.admin_token),
            console=console,
            rng=random.Random(7),
            first_delay_seconds=0.001,
            call_timeout_seconds=0.2,
        )


@pytest.fixture
async def platform():
    store = platform_store.PlatformStore()
    await store.start()
    yield store
    await store.close()


@pytest.fixture
async def operator(platform):
    return Operator(platform_port=platform.port)


@pytest.fixture
def secrets() -> tuple[str, ...]:
    """Return the secrets that no command and no page may print."""
    return (KEY, ADMIN_TOKEN, INNER_KEY.hex())


@pytest.fixture
def declared(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / "all.toml"
    path.write_text(DECLARATIONS)
    return path


async def _wait_recorded(
    ingress: daemons.Daemon, request_id: types.RequestId
) -> None:
    """Wait until the end is recorded, which may be after the response."""
    async with asyncio.timeout(_MAX_RECORDING_SECONDS):
        while True:
            found = ingress.explanations.find(request_id)
            if found is not None and found.ending is not None:
                return
            await asyncio.sleep(0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunningSystem:
    """Two plain services behind one entry VM, with its platform."""

    operator: Operator
    daemon: daemons.Daemon
    portals: dict[str, plain_service.PlainService]

    @staticmethod
    def make_settings(
        *, platform_port: int, entry_vm: str = "entry-1", **others
    ) -> settings.Settings:
        """Return the settings of the one entry VM."""
        any_port = settings.Address(host="127.0.0.1", port=0)
        values = {"admin": any_port, **others}
        return settings.Settings(
            entry_vm=types.EntryVmId(entry_vm),
            domain=types.FailureDomain("north"),
            caller=any_port,
            peer=fleet.free_peer_address(),
            platform=(settings.Address(host="127.0.0.1", port=platform_port),),
            inner_key=INNER_KEY,
            admin_token_digest=hashlib.sha256(ADMIN_TOKEN.encode()).hexdigest(),
            readiness_grace_seconds=0.0,
            **values,
        )

    async def look_up(
        self, *, through: daemons.Daemon | None = None
    ) -> http_client.Answer:
        """Send one caller's request, by default to the first entry VM."""
        ingress = through or self.daemon
        response = await http_client.fetch(
            "127.0.0.1",
            ingress.caller_server.port,
            "GET",
            "/lookups/page/7",
            headers=[("Authorization", f"Bearer {KEY}")],
        )
        request_id = response.head.headers["lagoonrun-request-id"]
        await _wait_recorded(ingress, types.RequestId(request_id))
        return response


@pytest.fixture
async def system(platform, operator, declared):
    portals = {
        name: plain_service.PlainService() for name in ("portal-1", "portal-2")
    }
    text = declared.read_text()
    for port, portal in zip((9000, 9001), portals.values(), strict=True):
        await portal.start()
        text = text.replace(f"port = {port}", f"port = {portal.port}")
    declared.write_text(text)
    assert (await operator.run("apply", str(declared))).code == 0
    daemon = daemons.Daemon(
        configured=RunningSystem.make_settings(platform_port=platform.port)
    )
    await daemon.start()
    await daemon.wait_ready()
    operator.entry_vm_ports.append(daemon.admin_server.port)
    yield RunningSystem(operator=operator, daemon=daemon, portals=portals)
    await daemon.close()
    for portal in portals.values():
        await portal.close()
