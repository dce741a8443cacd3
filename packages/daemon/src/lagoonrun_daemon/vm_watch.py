"""Poll the platform's list of VMs on behalf of the failure domain."""

import asyncio
import random
from collections.abc import Sequence
from typing import Protocol

from lagoonrun_config import follower_interfaces
from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_platform import store as store_module
from lagoonrun_platform import vm_list
from lagoonrun_protocol import hub

_PERIOD_SECONDS = 1.0
_MAX_PERIOD_SECONDS = 30.0
_JITTER = 0.2


class VmListener(Protocol):
    """Receives the contents of the list."""

    def report_upstream(
        self,
        upstream: types.UpstreamId,
        incarnation: types.Incarnation,
        leaving: bool,
    ) -> None:
        """Report whether an upstream is leaving."""

    def add_seeds(self, addresses: list[hub.PeerAddress]) -> None:
        """Add entry VMs through which to join."""


class VmWatch:
    """Task that polls the list; only the domain's two watchers do.

    Upstreams listed as leaving are announced by the membership. Upstreams
    listed as live are ignored: the list lags, so an upstream's own report that
    it is leaving is newer.

    Parameters
    ----------
    vms
        The platform's list.
    members
        Receives the contents of the list.
    watchers
        Decides whether this entry VM polls the list.
    clock
        Source of the time at which an upstream was first listed as leaving.
    rng
        Source of jitter.
    """

    def __init__(
        self,
        *,
        vms: vm_list.VmList,
        members: VmListener,
        watchers: follower_interfaces.WatcherChoice,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._vms = vms
        self._members = members
        self._watchers = watchers
        self._clock = clock
        self._random = rng
        self._leaving_since_by_id: dict[
            types.UpstreamId, types.Incarnation
        ] = {}
        self._failures = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start polling."""
        self._task = asyncio.create_task(self._read_forever())

    async def close(self) -> None:
        """Stop polling."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _read_forever(self) -> None:
        while True:
            if self._watchers.is_watcher():
                await self._read()
            await asyncio.sleep(self._pause_seconds())

    def _pause_seconds(self) -> float:
        """Return the pause, which grows while the platform is unreachable.

        The jitter prevents the watchers of all domains from polling at the
        same time when an outage ends.
        """
        pause = _PERIOD_SECONDS * 2.0 ** min(self._failures, 5)
        pause = min(pause, _MAX_PERIOD_SECONDS)
        return pause * self._random.uniform(1.0 - _JITTER, 1.0 + _JITTER)

    async def _read(self) -> None:
        listing = await self._vms.list_vms()
        if isinstance(listing, store_module.Unreachable):
            self._failures += 1
            return
        self._failures = 0
        self._members.add_seeds(
            [
                hub.PeerAddress(host=vm.address, port=vm.port)
                for vm in listing.vms_by_id.values()
                if vm.role is vm_list.VmRole.ENTRY
            ]
        )
        self._report_leaving(
            [
                types.UpstreamId(vm.id)
                for vm in listing.vms_by_id.values()
                if vm.role is vm_list.VmRole.UPSTREAM
                and vm.state is vm_list.VmState.LEAVING
            ]
        )

    def _report_leaving(self, leaving: Sequence[types.UpstreamId]) -> None:
        """Report upstreams with the time at which they were first listed.

        An upstream's own incarnation is the start time of its process. Thus
        the list overrides the reports of the process that is leaving, which
        may not know it, but not those of a process that started later, even
        though the list lags and still shows the old one.
        """
        now = types.Incarnation(int(self._clock.wall() * 1000))
        self._leaving_since_by_id = {
            upstream: self._leaving_since_by_id.get(upstream, now)
            for upstream in leaving
        }
        for upstream, since in self._leaving_since_by_id.items():
            self._members.report_upstream(upstream, since, True)
