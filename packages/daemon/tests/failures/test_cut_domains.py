"""Network partitions between failure domains and from the platform.

The test machines have no network to partition. Therefore all entry VMs are
daemons in one process: messages between them are dropped at the sender, and
the platform is reached through a TCP relay that can be closed.
"""

import asyncio
import contextlib
import hashlib

import pytest

from lagoonrun_config import settings
from lagoonrun_core import types
from lagoonrun_daemon import daemon as daemons
from lagoonrun_standins import (
    deployment,
    fleet,
    http_client,
    plain_service,
    platform_store,
)

from .conftest import HOUSE, parse, reported, until

_LOOPBACK = "127.0.0.1"
_DOMAIN_BY_VM = {
    types.EntryVmId("north-1"): types.FailureDomain("north"),
    types.EntryVmId("north-2"): types.FailureDomain("north"),
    types.EntryVmId("south-1"): types.FailureDomain("south"),
}
_ARCHIVE_SHARD = "archives@south/0"
_DECLARATIONS = """
[profiles.lookup]
tier = 1
target_seconds = 0.5
limit_seconds = 5.0

[profiles.warning]
tier = 1
target_seconds = 0.5
limit_seconds = 5.0
idempotent = false

[organisations.house]
key_digests = ["{digest}"]
weight = {weight}

[services.lookups]
kind = "plain"
pool = "portal"
profile = "lookup"
path_prefix = "/lookups"

[services.warnings]
kind = "plain"
pool = "portal"
profile = "warning"
path_prefix = "/warnings"

[services.archives]
kind = "plain"
pool = "archives"
profile = "lookup"
path_prefix = "/archives"

[pools.portal]
[[pools.portal.upstreams]]
id = "portal-1"
domain = "north"
address = "127.0.0.1"
port = {ports[0]}
slots = 8

[[pools.portal.upstreams]]
id = "portal-2"
domain = "south"
address = "127.0.0.1"
port = {ports[1]}
slots = 8

[pools.archives]
[[pools.archives.upstreams]]
id = "archive-1"
domain = "south"
address = "127.0.0.1"
port = {ports[2]}
slots = 8
"""


class _Relay:
    """TCP relay to the platform that can be cut."""

    def __init__(self, *, port: int) -> None:
        self._target_port = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._cut = False

    async def start(self) -> settings.Address:
        self._server = await asyncio.start_server(self._serve, _LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        return settings.Address(host=_LOOPBACK, port=port)

    def cut(self) -> None:
        self._cut = True
        for task in self._tasks:
            task.cancel()

    def heal(self) -> None:
        self._cut = False

    async def close(self) -> None:
        self.cut()
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            if not self._cut:
                await self._pass_on(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _pass_on(self, reader, writer) -> None:
        there = await asyncio.open_connection(_LOOPBACK, self._target_port)
        try:
            await asyncio.wait(
                [
                    asyncio.create_task(_copy(reader, there[1])),
                    asyncio.create_task(_copy(there[0], writer)),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            there[1].transport.abort()


async def _copy(reader, writer) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()


class _Domains:
    """Two failure domains that can be partitioned."""

    def __init__(self) -> None:
        self.daemons_by_vm: dict[types.EntryVmId, daemons.Daemon] = {}
        self.relays_by_domain: dict[types.FailureDomain, _Relay] = {}
        self.platform = platform_store.PlatformStore()
        self.services = [plain_service.PlainService() for _ in range(3)]
        self._vm_by_port: dict[int, types.EntryVmId] = {}
        self._cut_ways: set[tuple[str, str]] = set()

    async def start(self) -> None:
        for part in (self.platform, *self.services):
            await part.start()
        await self.apply(base=0, weight=1.0)
        peers = {vm: fleet.free_peer_address() for vm in _DOMAIN_BY_VM}
        self._vm_by_port = {peer.port: vm for vm, peer in peers.items()}
        addresses = {}
        for domain in set(_DOMAIN_BY_VM.values()):
            relay = _Relay(port=self.platform.port)
            addresses[domain] = await relay.start()
            self.relays_by_domain[domain] = relay
        any_port = settings.Address(host=_LOOPBACK, port=0)
        for vm, domain in _DOMAIN_BY_VM.items():
            daemon = daemons.Daemon(
                configured=settings.Settings(
                    entry_vm=vm,
                    domain=domain,
                    caller=any_port,
                    admin=any_port,
                    peer=peers[vm],
                    platform=(addresses[domain],),
                    seeds=tuple(p for v, p in peers.items() if v != vm),
                    inner_key=b"k" * 32,
                    readiness_grace_seconds=0.0,
                )
            )
            self._make_cuttable(vm, daemon)
            self.daemons_by_vm[vm] = daemon
            await daemon.start()
        for daemon in self.daemons_by_vm.values():
            await daemon.wait_ready()
        await until(self.is_joined)

    async def close(self) -> None:
        for daemon in self.daemons_by_vm.values():
            await daemon.close()
        for relay in self.relays_by_domain.values():
            await relay.close()
        for part in (*self.services, self.platform):
            await part.close()

    async def apply(self, *, base: int, weight: float) -> types.Revision:
        key = deployment.organisation_key(HOUSE)
        text = _DECLARATIONS.format(
            digest=hashlib.sha256(key.encode()).hexdigest(),
            weight=weight,
            ports=[service.port for service in self.services],
        )
        return await deployment.apply_declarations(
            parse(text),
            platform=settings.Address(host=_LOOPBACK, port=self.platform.port),
            base=types.Revision(base),
        )

    def cut(self, *ways: tuple[str, str]) -> None:
        """Drop messages in the given (sender, receiver) directions."""
        self._cut_ways = set(ways)

    def heal(self) -> None:
        self._cut_ways = set()

    async def ask(self, entry_vm, path, headers=()) -> http_client.Answer:
        key = deployment.organisation_key(HOUSE)
        return await http_client.fetch(
            _LOOPBACK,
            self.daemons_by_vm[entry_vm].caller_server.port,
            "POST",
            path,
            headers=[("Authorization", f"Bearer {key}"), *headers],
        )

    async def serves(self, entry_vm, path) -> bool:
        """Return whether a request was served rather than refused."""
        answer = await self.ask(entry_vm, path)
        assert reported(answer) in ((200, "complete"), (503, "not-run"))
        return answer.status == 200

    async def is_joined(self) -> bool:
        """Return whether all daemons see all others and agree on the owner."""
        for daemon in self.daemons_by_vm.values():
            live = [
                vm
                for domain in set(_DOMAIN_BY_VM.values())
                for vm in daemon.members.eligible_in(domain)
            ]
            if len(live) != len(_DOMAIN_BY_VM):
                return False
        owners = {
            daemon.fleet.owner_of(_ARCHIVE_SHARD)
            for daemon in self.daemons_by_vm.values()
        }
        return len(owners) == 1

    async def is_idle(self) -> bool:
        """Return whether no scheduler has running or waiting requests."""
        return not any(
            scheduler.running_count + scheduler.waiting_count
            for daemon in self.daemons_by_vm.values()
            for shard in daemon.dispatcher.owned_shards
            if (scheduler := daemon.dispatcher.scheduler_of(shard))
        )

    def revisions(self) -> set[int]:
        return {
            daemon.fleet.configuration.revision
            for daemon in self.daemons_by_vm.values()
        }

    def _make_cuttable(self, vm, daemon) -> None:
        hub_send = daemon.hub.send
        members_send = daemon.members._send

        def send(to, message):
            return self._is_cut(vm, to) or hub_send(to, message)

        def send_datagrams(outgoing):
            members_send(
                [
                    item
                    for item in outgoing
                    if not self._is_cut(vm, self._vm_by_port[item.address.port])
                ]
            )

        daemon.hub.send = send
        daemon.members._send = send_datagrams

    def _is_cut(self, vm, to) -> bool:
        way = (_DOMAIN_BY_VM[vm], _DOMAIN_BY_VM[to])
        return way in self._cut_ways


@pytest.fixture
async def domains():
    """Start two failure domains."""
    started = _Domains()
    try:
        await started.start()
        yield started
    finally:
        await started.close()


_NORTH_TO_SOUTH = ("north", "south")
_SOUTH_TO_NORTH = ("south", "north")


@pytest.mark.parametrize(
    "ways",
    [
        [_NORTH_TO_SOUTH, _SOUTH_TO_NORTH],
        [_NORTH_TO_SOUTH],
        [_SOUTH_TO_NORTH],
    ],
)
async def test_cut_domains_serve_and_converge(domains, ways):
    """The two domains are partitioned in one or both directions.

    Each domain must always serve requests that its own upstreams can serve.
    Requests for shards of the other domain are refused truthfully until the
    partition is detected and the shards are dispatched here. After it heals,
    all daemons agree again without a restart and no slot is leaked.
    """
    assert await domains.serves("north-1", "/archives/page")
    domains.cut(*ways)
    for _ in range(20):
        for vm in _DOMAIN_BY_VM:
            assert await domains.serves(vm, "/lookups/page")

    async def north_serves_archives():
        return await domains.serves("north-1", "/archives/page")

    await until(north_serves_archives)
    key = [("Idempotency-Key", "cut")]
    answers = await asyncio.gather(
        *(domains.ask(vm, "/warnings/spill", key) for vm in _DOMAIN_BY_VM)
    )
    assert sorted(answer.status for answer in answers) == [200, 409, 409]
    runs = [
        service.runs.by_idempotency_key["cut"] for service in domains.services
    ]
    assert sum(runs) == 1
    domains.heal()
    await until(domains.is_joined)
    await until(domains.is_idle)
    for vm in _DOMAIN_BY_VM:
        assert await domains.serves(vm, "/archives/page")


async def test_domain_cut_from_all_keeps_its_configuration(domains):
    """One domain is cut off from the other domain and from the platform.

    It continues with the configuration in force and refuses requests that need
    a claim. A change made meanwhile reaches it after the partition heals.
    """
    domains.cut(_NORTH_TO_SOUTH, _SOUTH_TO_NORTH)
    domains.relays_by_domain["north"].cut()
    changed = await domains.apply(base=1, weight=2.0)

    async def south_changed():
        return changed in domains.revisions()

    await until(south_changed)
    for vm in ("north-1", "north-2"):
        assert await domains.serves(vm, "/lookups/page")
        refused = await domains.ask(
            vm, "/warnings/spill", [("Idempotency-Key", "alone")]
        )
        assert reported(refused) == (503, "not-run")
    assert domains.revisions() == {1, changed}
    domains.heal()
    domains.relays_by_domain["north"].heal()

    async def all_changed():
        return domains.revisions() == {changed}

    await until(all_changed)
    await until(domains.is_joined)
