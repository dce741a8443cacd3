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

_FIRST_UPSTREAMS = (layout.PLAIN,) * 2 + (layout.ENGINES,) * 3
_LEAVING_SERVES_SECONDS = 3.0
"""How long an upstream serves on after it has said that it leaves: longer
than the two seconds that the platform promises."""

_SILENCE_SECONDS = 1.5
"""After so long the store drops the entry of an upstream that has crashed."""

_REPLACED_SECONDS = 1.0
"""After so long another comes for one that a request has ended."""

_READY_SECONDS = 20.0


class Fleet:
    """Everything that a soak starts.

    Parameters
    ----------
    network
        Addresses.
    vms
        Number of entry VMs.
    folder
        Where settings and logs go.
    rng
        Source of choices.
    planted
        Fault that is planted into the entry VMs; empty for none.
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
        self.seen = record.Record()
        self.network = network
        self.rng = rng
        store = network.store
        self.store = standin_store.StandInStore(
            host=store.host, port=store.port
        )
        self.vms = [
            vm.EntryVm(
                configured=network.settings_of(index, vms=vms),
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
        self.upstreams: dict[types.UpstreamId, upstream.SoakUpstream] = {}
        self._callers: list[caller.Caller] = []
        self._made_upstreams = 0
        self._revision = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start everything; return when all entry VMs take callers."""
        self.store.era = 1
        await self.store.start()
        await self.declare()
        for pool in _FIRST_UPSTREAMS:
            await self.add_upstream(pool)
        for one in self.store_links:
            await one.start()
        for one in self.vms:
            await one.start()
        await vm.wait_until_ready(self.vms, seconds=_READY_SECONDS)
        for target in self.vms:
            for kind in layout.KINDS_BY_NAME.values():
                await self.add_caller(kind, target)

    async def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(one.close() for one in self._callers))
        await asyncio.gather(*(one.close() for one in self.vms))
        for one in (*self.store_links, *self.upstream_links.values()):
            await one.close()
        for one in self.upstreams.values():
            await one.close()
        await self.store.close()

    def later(
        self, seconds: float, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Do some work after a time, if the soak still runs then."""

        async def run() -> None:
            await asyncio.sleep(seconds)
            await work()

        task = asyncio.create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def add_caller(
        self,
        kind: layout.RequestKind,
        target: vm.EntryVm,
        *,
        crashing: str = "",
    ) -> caller.Caller:
        """Start another caller; of a request that ends upstreams, if named."""
        made = caller.Caller(
            name=f"c{len(self._callers)}-{kind.name}",
            kind=kind,
            target=target,
            seen=self.seen,
            rng=random.Random(self.rng.random()),
            crashing=crashing,
        )
        self._callers.append(made)
        await made.start()
        return made

    # What operators do.

    async def declare(self) -> None:
        """Put the next revision of the declarations into the store."""
        self._revision += 1
        await self._put_declarations()
        self.seen.declared_at_by_revision[self._revision] = time.monotonic()

    async def _put_declarations(self) -> None:
        value = standin_messages.declarations_value(
            layout.declarations_at(self._revision),
            keys_by_organisation={
                layout.ORGANISATION: layout.keys_at(self._revision)
            },
        )
        await self._put(platform_layout.PlatformLayout.declarations_key, value)

    async def write_again(self) -> None:
        """Write what operators and upstreams wrote and a restored store lacks."""
        await self._put_declarations()
        for made in tuple(self.upstreams.values()):
            id = made.registration.id
            if id not in self.seen.left_at_by_upstream:
                await self._register(made.registration)

    # What upstreams do.

    async def add_upstream(self, pool: types.PoolName) -> None:
        """Start an upstream with a link before it, and register it."""
        index = self._made_upstreams
        self._made_upstreams += 1
        registration = self.network.registration(index, pool)
        made = upstream.SoakUpstream(
            registration=registration,
            address=self.network.upstream(index),
            seen=self.seen,
            on_crash=self._crash_and_replace,
        )
        self.upstream_links[registration.id] = link.FaultyLink(
            listen=self.network.upstream_link(index),
            target=self.network.upstream(index),
            rng=self.rng,
        )
        await made.start()
        await self.upstream_links[registration.id].start()
        self.upstreams[registration.id] = made
        await self._register(registration)

    async def drain(self, id: types.UpstreamId, *, silently: bool) -> None:
        """Have an upstream leave, as its entry says or by its removal."""
        registration = self.upstreams[id].registration
        if silently:
            await self._remove_entry(id)
        else:
            await self._register(
                dataclasses.replace(registration, leaving=True)
            )
        self.seen.left_at_by_upstream[id] = time.monotonic()
        self.later(_LEAVING_SERVES_SECONDS, lambda: self._end_upstream(id))

    async def end_later(self, id: types.UpstreamId) -> None:
        """Have an upstream end that has told its callers only that it leaves."""
        self.later(
            2.0 * _LEAVING_SERVES_SECONDS, lambda: self._end_upstream(id)
        )

    async def crash(self, id: types.UpstreamId) -> None:
        """End an upstream at once; its entry runs out later."""
        self.seen.disturb(str(id), time.monotonic(), float("inf"))
        await self._close_upstream(id)
        self.later(_SILENCE_SECONDS, lambda: self._remove_entry(id))

    def _crash_and_replace(self, id: types.UpstreamId) -> None:
        """Have an upstream crash, and another come a while later."""
        made = self.upstreams.get(id)
        if made is None:
            return
        pool = made.registration.pool
        self.later(0.0, lambda: self.crash(id))
        self.later(_REPLACED_SECONDS, lambda: self.add_upstream(pool))

    async def _end_upstream(self, id: types.UpstreamId) -> None:
        await self._remove_entry(id)
        self.seen.disturb(str(id), time.monotonic(), float("inf"))
        await self._close_upstream(id)

    async def _close_upstream(self, id: types.UpstreamId) -> None:
        made = self.upstreams.pop(id, None)
        if made is not None:
            await self.upstream_links.pop(id).close()
            await made.close()

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
