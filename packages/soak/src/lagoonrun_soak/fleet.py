"""The deployment of a soak: store, links, upstreams, entry VMs, callers."""

import asyncio
import dataclasses
import pathlib
import random
import time
from collections.abc import Awaitable, Callable

from lagoonrun_core import types
from lagoonrun_platform import store as store_module
from lagoonrun_router import upstreams
from lagoonrun_soak import caller, layout, link, record, upstream, vm
from lagoonrun_users_platform import layout as platform_layout
from lagoonrun_users_platform import standin_messages, standin_store

_INITIAL_UPSTREAM_POOLS = (layout.PLAIN,) * 2 + (layout.ENGINES,) * 3
_SERVE_AFTER_LEAVING_SECONDS = 3.0
"""Time for which a leaving upstream still serves: longer than the two seconds
that the platform guarantees."""

_ENTRY_EXPIRY_SECONDS = 1.5
"""Time after which the store drops the entry of a crashed upstream."""

_REPLACEMENT_DELAY_SECONDS = 1.0
"""Time after which an upstream that a request crashed is replaced."""

_READY_SECONDS = 20.0


class Deployment:
    """Starts, changes and stops all components of a soak.

    Parameters
    ----------
    network
        Addresses of the components.
    vms
        Number of entry VMs.
    folder
        Directory of settings and logs.
    rng
        Draws the delays of links and the seeds of callers.
    planted
        Defect planted into the entry VMs; empty for none.
    """

    def __init__(
        self,
        *,
        network: layout.Network,
        vms: int,
        folder: pathlib.Path,
        rng: random.Random,
        planted: str = "",
    ) -> None:
        self.history = record.History()
        self.network = network
        self.rng = rng
        store = network.store
        self.store = standin_store.StandInStore(
            host=store.host, port=store.port
        )
        self.vms = [
            vm.EntryVm(
                vm_settings=network.settings_of(index, vms=vms),
                link_prefixes=network.link_prefixes_of(index),
                folder=folder,
                planted=planted,
            )
            for index in range(vms)
        ]
        self.store_links = [
            link.FaultyLink(
                listen=network.store_link(index), target=store, rng=rng
            )
            for index in range(vms)
        ]
        self.upstream_links: dict[types.UpstreamId, link.FaultyLink] = {}
        self.own_links: dict[
            types.UpstreamId, dict[types.EntryVmId, link.FaultyLink]
        ] = {}
        """Links by upstream and entry VM, in front of those above."""

        self.upstreams: dict[types.UpstreamId, upstream.SoakUpstream] = {}
        self._callers: list[caller.Caller] = []
        self.crowd = vm.CrowdedVm()
        self._upstream_count = 0
        self.version_numbers = [1]
        """Numbers of the versions that new upstreams have, at random."""

        self._revision = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._adding: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start all components; return when all entry VMs accept callers."""
        self.store.era = 1
        await self.store.start()
        await self.declare()
        for pool in _INITIAL_UPSTREAM_POOLS:
            await self.add_upstream(pool)
        for store_link in self.store_links:
            await store_link.start()
        for entry_vm in self.vms:
            await entry_vm.start()
        await vm.wait_until_ready(self.vms, seconds=_READY_SECONDS)
        for target in self.vms:
            for kind in layout.KINDS_BY_NAME.values():
                await self.add_caller(kind, target)
        for index, id in enumerate(layout.KEYS_BY_OTHER_ORGANISATION):
            for kind in layout.KINDS_BY_NAME.values():
                await self.add_caller(
                    kind, self.vms[index % len(self.vms)], organisation=id
                )

    async def close(self) -> None:
        """Stop all components."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*self._adding, return_exceptions=True)
        await asyncio.gather(*(sender.close() for sender in self._callers))
        await asyncio.gather(*(entry_vm.close() for entry_vm in self.vms))
        for open_link in (*self.store_links, *self.upstream_links.values()):
            await open_link.close()
        for links_by_vm in self.own_links.values():
            for own_link in links_by_vm.values():
                await own_link.close()
        for running in tuple(self.upstreams.values()):
            await running.close()
        await self.store.close()

    def schedule(
        self, seconds: float, action: Callable[[], Awaitable[None]]
    ) -> None:
        """Run an action after a delay unless the soak ends before."""

        async def run() -> None:
            await asyncio.sleep(seconds)
            await action()

        task = asyncio.create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def add_caller(
        self,
        kind: layout.RequestKind,
        target: vm.EntryVm,
        *,
        organisation: types.OrganisationId = layout.ORGANISATION,
        crashing_request: str = "",
        crashing_part: str = "",
    ) -> caller.Caller:
        """Start a caller, of requests that crash upstreams if one is named."""
        new_caller = caller.Caller(
            name=f"c{len(self._callers)}-{kind.name}",
            kind=kind,
            target=target,
            history=self.history,
            rng=random.Random(self.rng.random()),
            organisation=organisation,
            crashing_request=crashing_request,
            crashing_part=crashing_part,
            vms=self.vms,
            crowd=self.crowd,
        )
        self._callers.append(new_caller)
        await new_caller.start()
        return new_caller

    # Actions of operators.

    async def declare(self) -> None:
        """Put the next revision of the declarations into the store."""
        self._revision += 1
        await self._put_declarations()
        self.history.declared_at_by_revision[self._revision] = time.monotonic()

    async def _put_declarations(self) -> None:
        value = standin_messages.declarations_value(
            layout.declarations_at(self._revision),
            keys_by_organisation=layout.keys_by_organisation_at(self._revision),
        )
        await self._put(platform_layout.PlatformLayout.declarations_key, value)

    async def rewrite_after_restore(self) -> None:
        """Write the declarations and registrations to a restored store."""
        await self._put_declarations()
        for running in tuple(self.upstreams.values()):
            id = running.registration.id
            if id not in self.history.left_at_by_upstream:
                await self._register(running.registration)

    # Actions of upstreams.

    async def add_upstream(
        self, pool: types.PoolName, *, version_number: int | None = None
    ) -> None:
        """Start an upstream behind links and register it.

        A cancelled fault leaves it running, so that `close` finds it.

        Parameters
        ----------
        version_number
            Number of its version; None for one of those in use.
        """
        number = version_number or self._choose_version_number()
        version = types.UpstreamVersion(f"v{number}")
        adding = asyncio.create_task(self._add_upstream(pool, version))
        self._adding.add(adding)
        adding.add_done_callback(self._adding.discard)
        await asyncio.shield(adding)

    def _choose_version_number(self) -> int:
        if len(self.version_numbers) == 1:
            # Draws nothing, so that seeds without a rollout keep their faults.
            return self.version_numbers[0]
        return self.rng.choice(self.version_numbers)

    async def _add_upstream(
        self, pool: types.PoolName, version: types.UpstreamVersion
    ) -> None:
        index = self._upstream_count
        self._upstream_count += 1
        registration = self.network.registration(index, pool, version)
        new_upstream = upstream.SoakUpstream(
            registration=registration,
            address=self.network.upstream(index),
            history=self.history,
            on_crash=self._crash_and_replace,
        )
        self.upstream_links[registration.id] = link.FaultyLink(
            listen=self.network.upstream_link(index),
            target=self.network.upstream(index),
            rng=self.rng,
        )
        links_by_vm = {
            entry_vm.vm_settings.entry_vm: link.FaultyLink(
                listen=self.network.upstream_link_of(number, index),
                target=self.network.upstream_link(index),
                rng=self.rng,
            )
            for number, entry_vm in enumerate(self.vms)
        }
        self.own_links[registration.id] = links_by_vm
        await new_upstream.start()
        await self.upstream_links[registration.id].start()
        for own_link in links_by_vm.values():
            await own_link.start()
        self.upstreams[registration.id] = new_upstream
        await self._register(registration)
        self.history.services_by_upstream[registration.id] = record.Service(
            pool=pool, version=version, start=time.monotonic()
        )

    async def drain(self, id: types.UpstreamId, *, silently: bool) -> None:
        """Have an upstream leave: mark its entry, or remove it if silently."""
        self.history.record_end_of_service(id)
        registration = self.upstreams[id].registration
        if silently:
            await self._remove_entry(id)
        else:
            await self._register(
                dataclasses.replace(registration, leaving=True)
            )
        self.history.left_at_by_upstream[id] = time.monotonic()
        self.schedule(
            _SERVE_AFTER_LEAVING_SECONDS, lambda: self._stop_upstream(id)
        )

    async def stop_later(self, id: types.UpstreamId) -> None:
        """Stop an upstream later that announced leaving only in responses."""
        self.history.record_end_of_service(id)
        self.schedule(
            2.0 * _SERVE_AFTER_LEAVING_SECONDS, lambda: self._stop_upstream(id)
        )

    async def crash(self, id: types.UpstreamId) -> None:
        """Crash an upstream; its entry in the store expires later."""
        self.history.record_end_of_service(id)
        self.history.record_disturbance(str(id), time.monotonic(), float("inf"))
        await self._close_upstream(id)
        self.schedule(_ENTRY_EXPIRY_SECONDS, lambda: self._remove_entry(id))

    def _crash_and_replace(self, id: types.UpstreamId) -> None:
        """Crash an upstream and start its replacement later."""
        crashed = self.upstreams.get(id)
        if crashed is None:
            return
        pool = crashed.registration.pool
        self.schedule(0.0, lambda: self.crash(id))
        self.schedule(
            _REPLACEMENT_DELAY_SECONDS, lambda: self.add_upstream(pool)
        )

    async def _stop_upstream(self, id: types.UpstreamId) -> None:
        await self._remove_entry(id)
        self.history.record_disturbance(str(id), time.monotonic(), float("inf"))
        await self._close_upstream(id)

    async def _close_upstream(self, id: types.UpstreamId) -> None:
        closed = self.upstreams.pop(id, None)
        if closed is not None:
            for own_link in self.own_links.pop(id).values():
                await own_link.close()
            await self.upstream_links.pop(id).close()
            await closed.close()

    async def _register(self, registration: upstreams.Registration) -> None:
        await self._put(
            self._entry_key(registration.id),
            standin_messages.upstream_entry(registration),
        )

    def _entry_key(self, id: types.UpstreamId) -> str:
        return f"{platform_layout.PlatformLayout.upstreams_prefix}{id}"

    async def _remove_entry(self, id: types.UpstreamId) -> None:
        await self.store.memory.transact(
            comparisons=(), deletes=[self._entry_key(id)]
        )

    async def _put(self, key: str, value: bytes) -> None:
        await self.store.memory.transact(
            comparisons=(), puts=[store_module.Put(key=key, value=value)]
        )
