"""Starts a small deployment on loopback from its declarations."""

import asyncio
import dataclasses
import hashlib
import random
import secrets
from collections.abc import Awaitable, Callable, Mapping, Sequence

from lagoonrun_config import (
    change_outcomes,
    configuration_store,
    model,
    settings,
)
from lagoonrun_config import draft as draft_module
from lagoonrun_core import clock, types
from lagoonrun_platform import etcd_gateway
from lagoonrun_standins import fleet as fleets
from lagoonrun_standins import http_client, managed_process

_LOOPBACK = "127.0.0.1"
_NO_REVISION = types.Revision(0)
_ANY_PORT = settings.Address(host=_LOOPBACK, port=0)
_POLL_SECONDS = 0.05
_INNER_KEY_BYTES = 32

EngineFlags = Mapping[str, fleets.FlagValue]
EngineStart = Callable[
    [model.Upstream], Awaitable[managed_process.ManagedProcess]
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryVm:
    """Id and failure domain of an entry VM to start."""

    id: types.EntryVmId
    domain: types.FailureDomain


class Deployment:
    """A platform, upstreams and entry VMs, each a child process.

    Parameters
    ----------
    fleet
        Starts and stops the processes.
    declared
        Declarations. A stand-in is started for each upstream, and replaces
        the declared address by its own.
    entry_vms
        Entry VMs to start.
    engine_flags
        Command-line flags of every model engine.
    engine_flags_by_id
        Additional flags of individual engines.
    start_engine
        Starts an upstream other than the model engine stand-in.
    experiment
        Experiment settings of the entry VMs: policy and features.
    adjust_settings
        Called with the settings of each entry VM; returns those to use.
    """

    def __init__(
        self,
        *,
        fleet: fleets.Fleet,
        declared: draft_module.Draft,
        entry_vms: Sequence[EntryVm],
        engine_flags: EngineFlags | None = None,
        engine_flags_by_id: Mapping[types.UpstreamId, EngineFlags]
        | None = None,
        start_engine: EngineStart | None = None,
        experiment: settings.Experiment | None = None,
        adjust_settings: Callable[[settings.Settings], settings.Settings]
        | None = None,
    ) -> None:
        self._adjust_settings = adjust_settings or (lambda one: one)
        self._experiment = experiment or settings.Experiment()
        self.fleet = fleet
        self.declared = declared
        self._entry_vms = tuple(entry_vms)
        self._engine_flags = dict(engine_flags or {})
        self._engine_flags_by_id = dict(engine_flags_by_id or {})
        self._start_engine = start_engine or self._start_model_engine
        self._inner_key = secrets.token_bytes(_INNER_KEY_BYTES)
        self._peers_by_id: dict[types.EntryVmId, settings.Address] = {}
        self.platform: managed_process.ManagedProcess | None = None

    async def start(self) -> None:
        """Start everything and wait until each entry VM is ready."""
        self.platform = await self.fleet.start_platform_store()
        self.declared = await self._start_upstreams()
        await self.apply(self.declared)
        for entry_vm in self._entry_vms:
            self._peers_by_id[entry_vm.id] = fleets.free_peer_address()
        await asyncio.gather(
            *(self.start_entry_vm(entry_vm) for entry_vm in self._entry_vms)
        )
        for entry_vm in self._entry_vms:
            await self.wait_ready(entry_vm.id)
        await self.wait_members(len(self._entry_vms))

    async def apply(
        self,
        draft: draft_module.Draft,
        *,
        base: types.Revision = _NO_REVISION,
    ) -> types.Revision:
        """Apply `draft` as the next revision after `base`."""
        assert self.platform is not None
        return await apply_declarations(
            draft, platform=self.platform.address(), base=base
        )

    async def start_entry_vm(
        self, entry_vm: EntryVm
    ) -> managed_process.ManagedProcess:
        """Start one entry VM, or the replacement of a lost one."""
        configured = settings.Settings(
            entry_vm=entry_vm.id,
            domain=entry_vm.domain,
            caller=_ANY_PORT,
            admin=_ANY_PORT,
            peer=self._peers_by_id[entry_vm.id],
            platform=(self.platform.address(),),
            seeds=tuple(
                address
                for vm, address in self._peers_by_id.items()
                if vm != entry_vm.id
            ),
            inner_key=self._inner_key,
            readiness_grace_seconds=0.2,
            experiment=self._experiment,
        )
        return await self.fleet.start_daemon(self._adjust_settings(configured))

    def process(self, name: str) -> managed_process.ManagedProcess:
        """Return the process of an entry VM or upstream."""
        return self.fleet.processes_by_name[name]

    async def wait_ready(self, entry_vm: types.EntryVmId) -> None:
        """Wait until an entry VM is ready: it has applied a configuration."""
        while True:
            answer = await self.ask_admin(entry_vm, "/readyz")
            if answer.status == 200:
                return
            await asyncio.sleep(_POLL_SECONDS)

    async def wait_members(self, count: int) -> None:
        """Wait until each entry VM lists `count` live ones, itself included."""
        for entry_vm in self._entry_vms:
            while True:
                if await self._count_live(entry_vm.id) >= count:
                    break
                await asyncio.sleep(_POLL_SECONDS)

    async def ask_admin(
        self, entry_vm: types.EntryVmId, path: str
    ) -> http_client.Answer:
        """Send one request to an entry VM's admin address."""
        address = self.process(entry_vm).address("admin")
        return await http_client.fetch(address.host, address.port, "GET", path)

    async def ask(
        self,
        entry_vm: types.EntryVmId,
        path: str,
        *,
        organisation: types.OrganisationId,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
        method: str = "POST",
        timeout_seconds: float = http_client.DEFAULT_TIMEOUT_SECONDS,
    ) -> http_client.Answer:
        """Send one request to an entry VM's caller address."""
        address = self.process(entry_vm).address("caller")
        key = organisation_key(organisation)
        return await http_client.fetch(
            address.host,
            address.port,
            method,
            path,
            body=body,
            headers=[("Authorization", f"Bearer {key}"), *headers],
            timeout_seconds=timeout_seconds,
        )

    async def _count_live(self, entry_vm: types.EntryVmId) -> int:
        status = (await self.ask_admin(entry_vm, "/status")).json()
        states = [member["state"] for member in status["members"]]
        return states.count("alive")

    async def _start_upstreams(self) -> draft_module.Draft:
        plain_pools = {
            service.pool
            for service in self.declared.services_by_name.values()
            if service.kind is model.ServiceKind.PLAIN
        }
        started = await asyncio.gather(
            *(
                self._start_upstream(
                    upstream, plain=upstream.pool in plain_pools
                )
                for upstream in self.declared.upstreams_by_id.values()
            )
        )
        organisations = {
            organisation.id: dataclasses.replace(
                organisation, key_digests=(_key_digest(organisation.id),)
            )
            for organisation in self.declared.organisations_by_id.values()
        }
        return dataclasses.replace(
            self.declared,
            upstreams_by_id={upstream.id: upstream for upstream in started},
            organisations_by_id=organisations,
        )

    async def _start_upstream(
        self, upstream: model.Upstream, *, plain: bool
    ) -> model.Upstream:
        if plain:
            process = await self.fleet.start_plain_service(upstream.id)
        else:
            process = await self._start_engine(upstream)
        return dataclasses.replace(
            upstream, address=process.host, port=process.port
        )

    async def _start_model_engine(
        self, upstream: model.Upstream
    ) -> managed_process.ManagedProcess:
        return await self.fleet.start_engine(
            upstream.id, **self._flags_of(upstream)
        )

    def _flags_of(
        self, upstream: model.Upstream
    ) -> dict[str, fleets.FlagValue]:
        declared: dict[str, fleets.FlagValue] = {
            "slots": upstream.slots,
            "resumes": upstream.resumes,
            "checks_fencing": upstream.checks_fencing,
        }
        own = self._engine_flags_by_id.get(upstream.id, {})
        return {**declared, **self._engine_flags, **own}


def organisation_key(organisation: types.OrganisationId) -> str:
    """Return the bearer key of an organisation in a `Deployment`."""
    return f"key-of-{organisation}"


def _key_digest(organisation: types.OrganisationId) -> str:
    return hashlib.sha256(organisation_key(organisation).encode()).hexdigest()


async def apply_declarations(
    draft: draft_module.Draft,
    *,
    platform: settings.Address,
    base: types.Revision = _NO_REVISION,
) -> types.Revision:
    """Apply `draft` on top of `base` and return its revision.

    Raises
    ------
    RuntimeError
        If the platform does not accept the declarations.
    """
    gateway = etcd_gateway.EtcdGateway(
        addresses=[platform],
        clock=clock.SystemClock(),
        rng=random.Random(0),
    )
    store = configuration_store.ConfigurationStore(
        store=gateway, rng=random.Random(0)
    )
    try:
        outcome = await store.apply(
            draft,
            base=base,
            change_id=types.ChangeId(secrets.token_hex(8)),
            operator="deployment",
        )
    finally:
        await gateway.close()
    if not isinstance(outcome, change_outcomes.Accepted):
        raise RuntimeError(f"the declarations were not accepted: {outcome}")
    return outcome.revision
