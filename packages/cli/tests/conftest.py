"""Shared fixtures: the platform's stand-in, and commands run in process."""

import dataclasses
import io
import json
import pathlib
import random
from typing import Any

import pytest

from lagoonrun_cli import context as contexts
from lagoonrun_cli import main
from lagoonrun_standins import platform_store

KEY_DIGEST = "ab" * 32

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
class Ran:
    """How one command ended and what it wrote."""

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

    async def run(self, *arguments: str) -> Ran:
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
            make_context=_fast_context,
        )
        return Ran(code=int(code), out=out.getvalue(), err=err.getvalue())


def _fast_context(settings, console) -> contexts.Context:
    return contexts.Context(
        settings=settings,
        console=console,
        chance=random.Random(7),
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
def declared(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / "all.toml"
    path.write_text(DECLARATIONS)
    return path
