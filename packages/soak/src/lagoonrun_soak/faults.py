"""Faults from outside, in series that overlap, by a seed."""

import asyncio
import enum
import random
import signal
import time
from collections.abc import Sequence

from lagoonrun_core import types
from lagoonrun_soak import (
    checks,
    fleet,
    layout,
    link,
    notices,
    record,
    upstream,
    vm,
)

_MEAN_PAUSE_SECONDS = 0.9
"""Time between the beginnings of two faults; most last longer, and overlap."""

_SERIES = (1, 1, 1, 2, 4)
"""How many times a fault comes in a row, drawn at random."""

_SERIES_PAUSE_SECONDS = 0.4
_SETTLING_SECONDS = checks.CONTACT_SECONDS
_RESTART_SECONDS = 0.3
_LEAST_OF_POOL = 2
_COPY_SECONDS = 4.0
"""Age that the copy has at most from which the store comes back."""

_LIMITED_SECONDS = (4.0, 7.0)
_BURST_CALLERS = 24
_BURST_SECONDS = 2.5
_CRASHING_SECONDS = 2.0 * checks.CONTACT_SECONDS


class FaultKind(enum.Enum):
    """What happens."""

    VM_KILLED = "vm-killed"
    VM_STOPPED = "vm-stopped"
    VM_PAUSED = "vm-paused"
    SETTINGS_WRITTEN = "settings-written"
    STORE_LINK = "store-link"
    STORE_AWAY = "store-away"
    STORE_FORGETS = "store-forgets"
    STORE_RESTORED = "store-restored"
    UPSTREAM_LINK = "upstream-link"
    UPSTREAM_CRASHED = "upstream-crashed"
    UPSTREAM_LEAVES = "upstream-leaves"
    UPSTREAM_VANISHES = "upstream-vanishes"
    DECLARED = "declared"
    BURST = "burst"
    CRASHING_REQUEST = "crashing-request"
    UPSTREAM_LIMITS = "upstream-limits"
    POOL_RESTS = "pool-rests"
    UPSTREAM_SAYS_IT_LEAVES = "upstream-says-it-leaves"


_FAULTY = tuple(
    one for one in link.LinkState if one is not link.LinkState.SOUND
)


class FaultInjector:
    """Injects faults until it is closed.

    Parameters
    ----------
    world
        Where they happen.
    rng
        Source of all choices.
    kinds
        What may happen.
    """

    def __init__(
        self,
        *,
        world: fleet.Fleet,
        rng: random.Random,
        kinds: tuple[FaultKind, ...] = tuple(FaultKind),
    ) -> None:
        self._world = world
        self._seen = world.seen
        self._rng = rng
        self._kinds = kinds
        self._task: asyncio.Task[None] | None = None
        self._busy_vms: set[str] = set()
        self._crashing = 0
        self._running: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begin."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """End; what is broken stays broken.

        Raises
        ------
        Exception
            What went wrong in the injector itself.
        """
        if self._task is None:
            return
        tasks = [self._task, *self._running]
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    async def _run(self) -> None:
        while True:
            pause = self._rng.expovariate(1.0 / _MEAN_PAUSE_SECONDS)
            await asyncio.sleep(pause)
            kind = self._rng.choice(self._kinds)
            for _ in range(self._rng.choice(_SERIES)):
                task = asyncio.create_task(self._inject(kind))
                self._running.add(task)
                await asyncio.sleep(_SERIES_PAUSE_SECONDS)

    async def _inject(self, kind: FaultKind) -> None:
        actions = {
            FaultKind.VM_KILLED: self._kill_vm,
            FaultKind.VM_STOPPED: self._stop_vm,
            FaultKind.VM_PAUSED: self._pause_vm,
            FaultKind.SETTINGS_WRITTEN: self._write_settings,
            FaultKind.STORE_LINK: self._break_store_link,
            FaultKind.STORE_AWAY: self._break_store,
            FaultKind.STORE_FORGETS: self._forget,
            FaultKind.STORE_RESTORED: self._restore,
            FaultKind.UPSTREAM_LINK: self._break_upstream_link,
            FaultKind.UPSTREAM_CRASHED: self._crash_upstream,
            FaultKind.UPSTREAM_LEAVES: self._drain_upstream,
            FaultKind.UPSTREAM_VANISHES: self._remove_upstream,
            FaultKind.DECLARED: self._world.declare,
            FaultKind.BURST: self._burst,
            FaultKind.CRASHING_REQUEST: self._send_crashing,
            FaultKind.UPSTREAM_LIMITS: self._limit_upstream,
            FaultKind.POOL_RESTS: self._rest_pool,
            FaultKind.UPSTREAM_SAYS_IT_LEAVES: self._leave_by_word,
        }
        now = time.monotonic()
        self._seen.faults.append(f"{now:.3f} {kind.value}")
        await actions[kind]()

    # Entry VMs.

    def _take_vm(self) -> vm.EntryVm | None:
        """Return an entry VM to disturb; at least one is left alone."""
        free = [
            one for one in self._world.vms if one.name not in self._busy_vms
        ]
        if len(free) < 2:
            return None
        taken = self._rng.choice(free)
        self._busy_vms.add(taken.name)
        return taken

    def _free_vm(
        self, taken: vm.EntryVm, since: float, *, planned: bool
    ) -> None:
        self._busy_vms.discard(taken.name)
        end = time.monotonic() + _SETTLING_SECONDS
        self._seen.disturb(taken.name, since, end)
        if not planned:
            self._seen.disturb(f"{taken.name} unplanned", since, end)

    async def _kill_vm(self) -> None:
        taken = self._take_vm()
        if taken is None:
            return
        since = time.monotonic()
        self._seen.disturb(f"{taken.name} unplanned", since, since)
        taken.send(signal.SIGKILL)
        await taken.ended(_RESTART_SECONDS)
        await asyncio.sleep(_RESTART_SECONDS)
        await taken.start()
        self._free_vm(taken, since, planned=False)

    async def _stop_vm(self) -> None:
        taken = self._take_vm()
        if taken is None:
            return
        since = time.monotonic()
        self._seen.stops_by_vm[taken.name].append(since)
        taken.send(signal.SIGTERM)
        if not await taken.ended(layout.STOP_SECONDS):
            taken.send(signal.SIGKILL)
            await taken.ended(_RESTART_SECONDS)
        await taken.start()
        self._free_vm(taken, since, planned=True)

    async def _pause_vm(self) -> None:
        taken = self._take_vm()
        if taken is None:
            return
        since = time.monotonic()
        self._seen.disturb(f"{taken.name} unplanned", since, since)
        taken.send(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        taken.send(signal.SIGCONT)
        self._free_vm(taken, since, planned=False)

    async def _write_settings(self) -> None:
        taken = self._rng.choice(self._world.vms)
        taken.write_settings(f"changed {self._rng.random()}")
        if self._rng.random() < 0.5:
            taken.send(signal.SIGHUP)

    # The store.

    async def _break_store_link(self) -> None:
        index = self._rng.randrange(len(self._world.vms))
        await self._break_links(
            [self._world.store_links[index]],
            subjects=(self._world.vms[index].name,),
        )

    async def _break_store(self) -> None:
        await self._break_links(
            self._world.store_links, subjects=(record.STORE,)
        )

    async def _break_links(
        self, links: list[link.FaultyLink], *, subjects: tuple[str, ...]
    ) -> None:
        since = time.monotonic()
        state = self._rng.choice(_FAULTY)
        for one in links:
            one.use(state)
        await asyncio.sleep(self._rng.uniform(0.3, 4.0))
        for one in links:
            one.use(link.LinkState.SOUND)
        end = time.monotonic() + _SETTLING_SECONDS
        for subject in subjects:
            self._seen.disturb(subject, since, end)

    async def _forget(self) -> None:
        since = time.monotonic()
        self._world.store.compacted = True
        await asyncio.sleep(1.0)
        self._world.store.compacted = False
        self._seen.disturb(
            record.STORE, since, time.monotonic() + _SETTLING_SECONDS
        )

    async def _restore(self) -> None:
        """Have the store come back from a copy that is some seconds old."""
        since = time.monotonic()
        copy = self._world.store.memory.revision
        await asyncio.sleep(self._rng.uniform(0.0, _COPY_SECONDS))
        self._world.store.restore(copy)
        await self._world.write_again()
        self._seen.disturb(
            record.STORE, since, time.monotonic() + _SETTLING_SECONDS
        )

    # Upstreams.

    async def _break_upstream_link(self) -> None:
        """Break the link to an upstream at work.

        The router gathers requests of a class at few upstreams; a link that
        carries nothing breaks without anybody noticing.
        """
        upstreams = sorted(self._world.upstreams)
        if not upstreams:
            # Requests have ended them all; others come in a moment.
            return
        id = self._choose_at_work(upstreams)
        self._seen.disturb(str(id), time.monotonic(), float("inf"))
        broken = self._world.upstream_links[id]
        broken.use(self._rng.choice(_FAULTY))
        await asyncio.sleep(self._rng.uniform(0.1, 2.0))
        broken.use(link.LinkState.SOUND)

    def _choose_at_work(
        self, ids: Sequence[types.UpstreamId]
    ) -> types.UpstreamId:
        """Return an upstream that has a request, if any has."""
        upstreams = self._world.upstreams
        busy = [one for one in ids if upstreams[one].busy]
        return self._rng.choice(busy or ids)

    async def _take_upstream(self) -> types.UpstreamId | None:
        """Return an upstream that may go, after another has come."""
        free = [
            one
            for one in sorted(self._world.upstreams)
            if one not in self._seen.left_at_by_upstream
        ]
        if not free:
            return None
        taken = self._choose_at_work(free)
        pool = self._world.upstreams[taken].registration.pool
        await self._world.add_upstream(pool)
        others = [
            one
            for one in free
            if self._world.upstreams[one].registration.pool == pool
        ]
        return taken if len(others) >= _LEAST_OF_POOL else None

    async def _crash_upstream(self) -> None:
        taken = await self._take_upstream()
        if taken is not None and taken in self._world.upstreams:
            await self._world.crash(taken)

    async def _drain_upstream(self) -> None:
        await self._leave(silently=False)

    async def _remove_upstream(self) -> None:
        await self._leave(silently=True)

    async def _leave(self, *, silently: bool) -> None:
        taken = await self._take_upstream()
        if taken is not None and taken in self._world.upstreams:
            await self._world.drain(taken, silently=silently)

    # What upstreams say of themselves.

    async def _limit_upstream(self) -> None:
        """Have an upstream name a limit, another one, and none again."""
        upstreams = self._world.upstreams
        if not upstreams:
            return
        made = upstreams[self._choose_at_work(sorted(upstreams))]
        since = time.monotonic()
        for _ in range(self._rng.choice((1, 1, 2))):
            per_second = self._rng.choice((0.5, 1.0, 1.4))
            made.notice = notices.Notice(per_second=per_second)
            await asyncio.sleep(self._rng.uniform(*_LIMITED_SECONDS))
        self._end_notice(made, since)

    async def _rest_pool(self) -> None:
        """Have all upstreams of a pool turn requests away and ask for rest."""
        pool = self._rng.choice((layout.PLAIN, layout.ENGINES))
        seconds = self._rng.choice((0.5, 1.5, 2.5))
        resting = [
            one
            for one in self._world.upstreams.values()
            if one.registration.pool == pool
        ]
        since = time.monotonic()
        for one in resting:
            one.notice = notices.Notice(rest_seconds=seconds)
        await asyncio.sleep(1.5 * seconds)
        for one in resting:
            self._end_notice(one, since)

    def _end_notice(self, made: upstream.SoakUpstream, since: float) -> None:
        """End what an upstream says of itself.

        Requests that found no place before begin beside those that come now.
        """
        made.notice = notices.NO_NOTICE
        end = time.monotonic() + _SETTLING_SECONDS
        self._seen.disturb(str(made.registration.id), since, end)

    async def _leave_by_word(self) -> None:
        """Have an upstream leave that can't tell the store."""
        taken = await self._take_upstream()
        if taken is not None and taken in self._world.upstreams:
            self._world.upstreams[taken].notice = notices.Notice(leaving=True)
            await self._world.end_later(taken)

    # Callers.

    async def _burst(self) -> None:
        """Have many ask for summaries at once."""
        made = [
            await self._world.add_caller(
                layout.SUMMARY, self._rng.choice(self._world.vms)
            )
            for _ in range(_BURST_CALLERS)
        ]
        await asyncio.sleep(_BURST_SECONDS)
        for one in made:
            await one.close()

    async def _send_crashing(self) -> None:
        """Send a request that ends upstreams at all entry VMs for a while."""
        self._crashing += 1
        kind = self._rng.choice(tuple(layout.KINDS_BY_NAME.values()))
        made = [
            await self._world.add_caller(
                kind, target, crashing=f"request-{self._crashing}"
            )
            for target in self._world.vms
        ]
        await asyncio.sleep(_CRASHING_SECONDS)
        for one in made:
            await one.close()
