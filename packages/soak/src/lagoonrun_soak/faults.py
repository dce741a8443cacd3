"""Injects overlapping series of faults, drawn from a seed."""

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
"""Mean time between the starts of two series; most faults last longer, so that
they overlap."""

_SERIES_LENGTHS = (1, 1, 1, 2, 4)
"""Numbers of times that a fault is injected in a row, chosen at random."""

_SERIES_PAUSE_SECONDS = 0.4
_RECOVERY_SECONDS = checks.RECOVERY_SECONDS
_RESTART_SECONDS = 0.3
_MIN_POOL_UPSTREAMS = 2
_MAX_BACKUP_AGE_SECONDS = 4.0
"""Maximum age of the backup from which the store is restored."""

_LIMIT_SECONDS_RANGE = (4.0, 7.0)
_BURST_CALLERS = 24
_BURST_SECONDS = 2.5
_SLOW_SECONDS_RANGE = (2.0, 5.0)
_SLOWNESS = 2.5
"""Slowness of an engine in its slow periods, as in the uneven deployment."""

_SILENT_BEFORE_CHANGE_SECONDS = 0.6
"""Time from the silence of connections to a change. Lost connections excuse a
delay for three seconds, and a change has to be active 2.4 s after it."""

_SILENCE_SECONDS_RANGE = (1.2, 2.5)
_SILENCE_INTERVAL_SECONDS = 6.0

_CRASHING_SECONDS = 2.0 * checks.RECOVERY_SECONDS


class FaultKind(enum.Enum):
    """Kinds of faults that can be injected."""

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
    ORGANISATION_BURST = "organisation-burst"
    CRASHING_REQUEST = "crashing-request"
    UPSTREAM_LIMITS = "upstream-limits"
    POOL_RESTS = "pool-rests"
    UPSTREAM_SAYS_IT_LEAVES = "upstream-says-it-leaves"
    UPSTREAM_SLOW = "upstream-slow"
    VM_CUT_FROM_UPSTREAMS = "vm-cut-from-upstreams"
    STORE_CONNECTIONS_SILENT = "store-connections-silent"
    VERSION_ROLLED_OUT = "version-rolled-out"
    CALLERS_LOST = "callers-lost"
    CRASHING_PART = "crashing-part"
    CALLERS_AT_ONE_VM = "callers-at-one-vm"
    UPSTREAMS_SILENT = "upstreams-silent"
    VM_STOPPED_WHILE_STALLED = "vm-stopped-while-stalled"


_UNDISTURBING_KINDS = frozenset(
    (
        FaultKind.BURST,
        FaultKind.ORGANISATION_BURST,
        FaultKind.UPSTREAM_SLOW,
        FaultKind.DECLARED,
        FaultKind.SETTINGS_WRITTEN,
    )
)
"""Kinds that are no disturbance for the callers of other organisations."""

_FAULTY_STATES = tuple(
    state for state in link.LinkState if state is not link.LinkState.SOUND
)
_OPEN_FAULTY_STATES = tuple(
    state for state in _FAULTY_STATES if state not in link.PARTITIONED_STATES
)
"""States of a link behind another one, which opens connections first."""

_CALLERS_LOST_SECONDS = 3.0
_NEW_VERSION_UPSTREAMS = 2
_SIDE_BY_SIDE_SECONDS_RANGE = (1.0, 4.0)

_CROWD_SECONDS_RANGE = (5.0, 7.0)

_CUT_SECONDS_RANGE = (6.0, 8.0)
"""Duration of a cut: the recovery time, and as long to measure."""


_STALLS = 3
_STALL_SECONDS_RANGE = (1.6, 1.9)
"""Longer than the silence after which a stream is moved, and shorter than the
shortest time limit of a request."""

_BETWEEN_STALLS_SECONDS_RANGE = (0.1, 0.3)


class FaultInjector:
    """Injects faults into a deployment until it is closed.

    Parameters
    ----------
    deployment
        Deployment that the faults affect.
    rng
        Draws kinds, targets and times.
    kinds
        Kinds of faults that may be injected.
    """

    def __init__(
        self,
        *,
        deployment: fleet.Deployment,
        rng: random.Random,
        kinds: tuple[FaultKind, ...] = tuple(FaultKind),
    ) -> None:
        self._deployment = deployment
        self._history = deployment.history
        self._rng = rng
        self._kinds = kinds
        self._task: asyncio.Task[None] | None = None
        self._busy_vms: set[str] = set()
        self._crashing_count = 0
        self._silenced_at = float("-inf")
        self._upstreams_silenced_at = float("-inf")
        self._running: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start injecting faults."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop without repairing the faults that are still active.

        Raises
        ------
        Exception
            If injecting a fault failed.
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
            for _ in range(self._rng.choice(_SERIES_LENGTHS)):
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
            FaultKind.STORE_AWAY: self._break_all_store_links,
            FaultKind.STORE_FORGETS: self._compact_store,
            FaultKind.STORE_RESTORED: self._restore_store,
            FaultKind.UPSTREAM_LINK: self._break_upstream_link,
            FaultKind.UPSTREAM_CRASHED: self._crash_upstream,
            FaultKind.UPSTREAM_LEAVES: self._drain_upstream,
            FaultKind.UPSTREAM_VANISHES: self._remove_upstream,
            FaultKind.DECLARED: self._deployment.declare,
            FaultKind.BURST: self._burst,
            FaultKind.ORGANISATION_BURST: self._burst_of_organisation,
            FaultKind.CRASHING_REQUEST: self._send_crashing,
            FaultKind.UPSTREAM_LIMITS: self._limit_upstream,
            FaultKind.POOL_RESTS: self._rest_pool,
            FaultKind.UPSTREAM_SAYS_IT_LEAVES: self._announce_leaving,
            FaultKind.UPSTREAM_SLOW: self._slow_upstream,
            FaultKind.VM_CUT_FROM_UPSTREAMS: self._cut_vm_from_upstreams,
            FaultKind.STORE_CONNECTIONS_SILENT: self._silence_store_connections,
            FaultKind.VERSION_ROLLED_OUT: self._roll_out_version,
            FaultKind.CALLERS_LOST: self._lose_callers,
            FaultKind.CRASHING_PART: self._send_crashing_part,
            FaultKind.CALLERS_AT_ONE_VM: self._crowd_vm,
            FaultKind.UPSTREAMS_SILENT: self._silence_upstreams,
            FaultKind.VM_STOPPED_WHILE_STALLED: self._stop_stalled_vm,
        }
        now = time.monotonic()
        self._history.faults.append(f"{now:.3f} {kind.value}")
        try:
            await actions[kind]()
        except asyncio.CancelledError:
            if kind not in _UNDISTURBING_KINDS:
                self._history.unfinished_faults.append(
                    record.Disturbance(start=now, end=float("inf"))
                )
            raise

    # Entry VMs.

    def _reserve_vm(self) -> vm.EntryVm | None:
        """Reserve an entry VM for a fault; at least one stays undisturbed."""
        free = [
            entry_vm
            for entry_vm in self._deployment.vms
            if entry_vm.name not in self._busy_vms
        ]
        if len(free) < 2:
            return None
        entry_vm = self._rng.choice(free)
        self._busy_vms.add(entry_vm.name)
        return entry_vm

    def _release_vm(
        self, entry_vm: vm.EntryVm, since: float, *, planned: bool
    ) -> None:
        self._busy_vms.discard(entry_vm.name)
        end = time.monotonic() + _RECOVERY_SECONDS
        self._history.record_disturbance(entry_vm.name, since, end)
        if not planned:
            self._history.record_disturbance(
                f"{entry_vm.name} unplanned", since, end
            )

    async def _kill_vm(self) -> None:
        entry_vm = self._reserve_vm()
        if entry_vm is None:
            return
        since = time.monotonic()
        self._history.record_disturbance(
            f"{entry_vm.name} unplanned", since, since
        )
        entry_vm.send(signal.SIGKILL)
        await entry_vm.wait_for_exit(_RESTART_SECONDS)
        await asyncio.sleep(_RESTART_SECONDS)
        await entry_vm.start()
        self._release_vm(entry_vm, since, planned=False)

    async def _stop_vm(self) -> None:
        entry_vm = self._reserve_vm()
        if entry_vm is None:
            return
        since = time.monotonic()
        self._history.stop_times_by_vm[entry_vm.name].append(since)
        entry_vm.send(signal.SIGTERM)
        if not await entry_vm.wait_for_exit(layout.STOP_SECONDS):
            entry_vm.send(signal.SIGKILL)
            await entry_vm.wait_for_exit(_RESTART_SECONDS)
        await entry_vm.start()
        self._release_vm(entry_vm, since, planned=True)

    async def _stop_stalled_vm(self) -> None:
        """Stop an entry VM that gets no processor time for seconds.

        Its upstreams go on, so the stalls are no excuse for streams that are
        cut: what they sent waits in its sockets.
        """
        entry_vm = self._reserve_vm()
        if entry_vm is None:
            return
        since = time.monotonic()
        self._history.stop_times_by_vm[entry_vm.name].append(since)
        entry_vm.send(signal.SIGTERM)
        try:
            for _ in range(_STALLS):
                await asyncio.sleep(
                    self._rng.uniform(*_BETWEEN_STALLS_SECONDS_RANGE)
                )
                entry_vm.send(signal.SIGSTOP)
                await asyncio.sleep(self._rng.uniform(*_STALL_SECONDS_RANGE))
                entry_vm.send(signal.SIGCONT)
        finally:
            entry_vm.send(signal.SIGCONT)
        remaining_seconds = since + layout.STOP_SECONDS - time.monotonic()
        if not await entry_vm.wait_for_exit(remaining_seconds):
            entry_vm.send(signal.SIGKILL)
            await entry_vm.wait_for_exit(_RESTART_SECONDS)
        await entry_vm.start()
        self._release_vm(entry_vm, since, planned=True)

    async def _lose_callers(self) -> None:
        """Break the connections over which callers receive streams.

        The entry VM goes on; its callers take their streams up elsewhere.
        """
        entry_vm = self._reserve_vm()
        if entry_vm is None:
            return
        since = time.monotonic()
        entry_vm.loses_callers = True
        await asyncio.sleep(_CALLERS_LOST_SECONDS)
        entry_vm.loses_callers = False
        self._busy_vms.discard(entry_vm.name)
        # Excuses streams that are cut there, and nothing else.
        self._history.record_disturbance(
            f"{entry_vm.name} unplanned", since, time.monotonic()
        )

    async def _pause_vm(self) -> None:
        entry_vm = self._reserve_vm()
        if entry_vm is None:
            return
        since = time.monotonic()
        self._history.record_disturbance(
            f"{entry_vm.name} unplanned", since, since
        )
        entry_vm.send(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        entry_vm.send(signal.SIGCONT)
        self._release_vm(entry_vm, since, planned=False)

    async def _cut_vm_from_upstreams(self) -> None:
        """Cut an entry VM from all upstreams that the others reach."""
        entry_vm = self._reserve_vm()
        if entry_vm is None:
            return
        state = self._rng.choice(link.PARTITIONED_STATES)
        began_at = time.monotonic()
        ends_at = began_at + self._rng.uniform(*_CUT_SECONDS_RANGE)
        while time.monotonic() < ends_at:
            # Upstreams that are added meanwhile are cut off as well.
            self._set_own_links(entry_vm, state)
            await asyncio.sleep(_SERIES_PAUSE_SECONDS)
        self._set_own_links(entry_vm, link.LinkState.SOUND)
        self._busy_vms.discard(entry_vm.name)
        self._history.cuts.append(
            record.Cut(vm=entry_vm.name, start=began_at, end=time.monotonic())
        )

    def _set_own_links(
        self, entry_vm: vm.EntryVm, state: link.LinkState
    ) -> None:
        for links_by_vm in self._deployment.own_links.values():
            own_link = links_by_vm[entry_vm.vm_settings.entry_vm]
            if own_link.state is not state:
                own_link.set_state(state)

    async def _write_settings(self) -> None:
        entry_vm = self._rng.choice(self._deployment.vms)
        entry_vm.write_settings(f"changed {self._rng.random()}")
        if self._rng.random() < 0.5:
            entry_vm.send(signal.SIGHUP)

    # The store.

    async def _break_store_link(self) -> None:
        index = self._rng.randrange(len(self._deployment.vms))
        await self._break_links(
            [self._deployment.store_links[index]],
            subjects=(self._deployment.vms[index].name,),
        )

    async def _break_all_store_links(self) -> None:
        await self._break_links(
            self._deployment.store_links, subjects=(record.STORE,)
        )

    async def _break_links(
        self, links: list[link.FaultyLink], *, subjects: tuple[str, ...]
    ) -> None:
        since = time.monotonic()
        state = self._rng.choice(_FAULTY_STATES)
        for faulty_link in links:
            faulty_link.set_state(state)
        await asyncio.sleep(self._rng.uniform(0.3, 4.0))
        for faulty_link in links:
            faulty_link.set_state(link.LinkState.SOUND)
        end = time.monotonic() + _RECOVERY_SECONDS
        for subject in subjects:
            self._history.record_disturbance(subject, since, end)

    async def _silence_store_connections(self) -> None:
        """Silence all open connections to the store, then declare a change.

        The change is due when the time has passed for which lost connections
        excuse a delay, so this is no disturbance. Only one at a time: a second
        one would excuse the entry VMs for longer.
        """
        now = time.monotonic()
        if now - self._silenced_at < 2.0 * _RECOVERY_SECONDS:
            return
        self._silenced_at = now
        for store_link in self._deployment.store_links:
            store_link.set_state(link.LinkState.SILENT)
            store_link.set_state(link.LinkState.SOUND)
        await asyncio.sleep(_SILENT_BEFORE_CHANGE_SECONDS)
        await self._deployment.declare()

    async def _compact_store(self) -> None:
        since = time.monotonic()
        self._deployment.store.compacted = True
        await asyncio.sleep(1.0)
        self._deployment.store.compacted = False
        self._history.record_disturbance(
            record.STORE, since, time.monotonic() + _RECOVERY_SECONDS
        )

    async def _restore_store(self) -> None:
        """Restore the store from a backup that is some seconds old."""
        since = time.monotonic()
        backup_revision = self._deployment.store.memory.revision
        await asyncio.sleep(self._rng.uniform(0.0, _MAX_BACKUP_AGE_SECONDS))
        self._deployment.store.restore(backup_revision)
        await self._deployment.rewrite_after_restore()
        self._history.record_disturbance(
            record.STORE, since, time.monotonic() + _RECOVERY_SECONDS
        )

    # Upstreams.

    async def _break_upstream_link(self) -> None:
        """Break the link to an upstream that is running requests.

        The router concentrates requests of a class on few upstreams, and a
        fault on a link without traffic has no effect.
        """
        upstreams = sorted(self._deployment.upstreams)
        if not upstreams:
            # Requests crashed all of them; replacements start soon.
            return
        id = self._choose_busy(upstreams)
        self._history.record_disturbance(
            str(id), time.monotonic(), float("inf")
        )
        faulty_link = self._deployment.upstream_links[id]
        faulty_link.set_state(self._rng.choice(_OPEN_FAULTY_STATES))
        await asyncio.sleep(self._rng.uniform(0.1, 2.0))
        faulty_link.set_state(link.LinkState.SOUND)

    def _choose_busy(self, ids: Sequence[types.UpstreamId]) -> types.UpstreamId:
        """Return an upstream that is running a request, or else any."""
        upstreams = self._deployment.upstreams
        busy = [id for id in ids if upstreams[id].busy]
        return self._rng.choice(busy or ids)

    async def _choose_removable_upstream(self) -> types.UpstreamId | None:
        """Add an upstream, then return another that may be removed."""
        free = [
            id
            for id in sorted(self._deployment.upstreams)
            if id not in self._history.left_at_by_upstream
        ]
        if not free:
            return None
        upstream_id = self._choose_busy(free)
        pool = self._deployment.upstreams[upstream_id].registration.pool
        await self._deployment.add_upstream(pool)
        others = [
            id
            for id in free
            if (upstream := self._deployment.upstreams.get(id)) is not None
            and upstream.registration.pool == pool
        ]
        return upstream_id if len(others) >= _MIN_POOL_UPSTREAMS else None

    async def _crash_upstream(self) -> None:
        upstream_id = await self._choose_removable_upstream()
        if (
            upstream_id is not None
            and upstream_id in self._deployment.upstreams
        ):
            await self._deployment.crash(upstream_id)

    async def _drain_upstream(self) -> None:
        await self._leave(silently=False)

    async def _remove_upstream(self) -> None:
        await self._leave(silently=True)

    async def _leave(self, *, silently: bool) -> None:
        upstream_id = await self._choose_removable_upstream()
        if (
            upstream_id is not None
            and upstream_id in self._deployment.upstreams
        ):
            await self._deployment.drain(upstream_id, silently=silently)

    async def _roll_out_version(self) -> None:
        """Start engines of a new version; they replace some or all others.

        Two versions serve side by side for a while, or from then on.
        """
        numbers = self._deployment.version_numbers
        new_number = numbers[-1] + 1
        numbers[:] = [numbers[-1], new_number]
        older = [
            id
            for id, engine in sorted(self._deployment.upstreams.items())
            if engine.registration.pool == layout.ENGINES
            and id not in self._history.left_at_by_upstream
        ]
        replaced = self._rng.sample(
            older, self._rng.choice((len(older), len(older) // 2))
        )
        for _ in range(_NEW_VERSION_UPSTREAMS):
            await self._deployment.add_upstream(
                layout.ENGINES, version_number=new_number
            )
        await asyncio.sleep(self._rng.uniform(*_SIDE_BY_SIDE_SECONDS_RANGE))
        for id in replaced:
            is_serving = id not in self._history.left_at_by_upstream
            if id in self._deployment.upstreams and is_serving:
                await self._deployment.drain(id, silently=False)
                await asyncio.sleep(_SERIES_PAUSE_SECONDS)

    # Notices of upstreams.

    async def _limit_upstream(self) -> None:
        """Have an upstream announce one or two limits, then none again."""
        upstreams = self._deployment.upstreams
        if not upstreams:
            return
        limited = upstreams[self._choose_busy(sorted(upstreams))]
        since = time.monotonic()
        for _ in range(self._rng.choice((1, 1, 2))):
            per_second = self._rng.choice((0.5, 1.0, 1.4))
            limited.notice = notices.Notice(per_second=per_second)
            await asyncio.sleep(self._rng.uniform(*_LIMIT_SECONDS_RANGE))
        self._clear_notice(limited, since)

    async def _rest_pool(self) -> None:
        """Have all upstreams of a pool reject requests with a back-off."""
        pool = self._rng.choice((layout.PLAIN, layout.ENGINES))
        seconds = self._rng.choice((0.5, 1.5, 2.5))
        resting_upstreams = [
            resting
            for resting in self._deployment.upstreams.values()
            if resting.registration.pool == pool
        ]
        since = time.monotonic()
        for resting in resting_upstreams:
            resting.notice = notices.Notice(rest_seconds=seconds)
        await asyncio.sleep(1.5 * seconds)
        for resting in resting_upstreams:
            self._clear_notice(resting, since)

    def _clear_notice(
        self, sender: upstream.SoakUpstream, since: float
    ) -> None:
        """Clear the notice of an upstream and record the disturbance.

        Requests that waited for the upstream start together with new ones.
        """
        sender.notice = notices.NO_NOTICE
        end = time.monotonic() + _RECOVERY_SECONDS
        self._history.record_disturbance(
            str(sender.registration.id), since, end
        )

    async def _announce_leaving(self) -> None:
        """Have an upstream announce in its responses only that it leaves."""
        upstream_id = await self._choose_removable_upstream()
        if (
            upstream_id is not None
            and upstream_id in self._deployment.upstreams
        ):
            self._deployment.upstreams[upstream_id].notice = notices.Notice(
                leaving=True
            )
            await self._deployment.stop_later(upstream_id)

    async def _slow_upstream(self) -> None:
        """Slow down one engine, which reports it; others keep their speed.

        This is no disturbance: the router has to select upstreams by their
        speed.
        """
        usual = [
            engine
            for _, engine in sorted(self._deployment.upstreams.items())
            if engine.registration.pool == layout.ENGINES
            and engine.slowness == 1.0
        ]
        if len(usual) < _MIN_POOL_UPSTREAMS:
            return
        slow = self._rng.choice(usual)
        slow.slowness = _SLOWNESS
        await asyncio.sleep(self._rng.uniform(*_SLOW_SECONDS_RANGE))
        slow.slowness = 1.0

    async def _silence_upstreams(self) -> None:
        """Let one, some or all engines send nothing for a while, then go on.

        Not again within the time limit of a stream, which would then end it.
        """
        now = time.monotonic()
        if now - self._upstreams_silenced_at < _SILENCE_INTERVAL_SECONDS:
            return
        self._upstreams_silenced_at = now
        engines = [
            engine
            for _, engine in sorted(self._deployment.upstreams.items())
            if engine.registration.pool == layout.ENGINES
        ]
        if not engines:
            return
        seconds = self._rng.uniform(*_SILENCE_SECONDS_RANGE)
        count = self._rng.choice((1, len(engines) // 2 or 1, len(engines)))
        for engine in self._rng.sample(engines, count):
            engine.silent_until = now + seconds
        self._history.record_disturbance(
            record.SILENCE, now, now + seconds + _RECOVERY_SECONDS
        )

    # Callers.

    async def _burst(self) -> None:
        await self._send_summaries(layout.ORGANISATION)

    async def _burst_of_organisation(self) -> None:
        """Have one organisation send many times its usual, if it doesn't yet.

        Bursts of a series would add up to load that delays all processes of
        the soak.
        """
        organisation = layout.BURSTING_ORGANISATION
        now = time.monotonic()
        if not any(
            burst.organisation == organisation and burst.end >= now
            for burst in self._history.bursts
        ):
            await self._send_summaries(organisation)

    async def _send_summaries(self, organisation: types.OrganisationId) -> None:
        """Have many callers of an organisation request summaries at once."""
        now = time.monotonic()
        self._history.bursts.append(
            record.Burst(
                organisation=organisation, start=now, end=now + _BURST_SECONDS
            )
        )
        callers = [
            await self._deployment.add_caller(
                layout.SUMMARY,
                self._rng.choice(self._deployment.vms),
                organisation=organisation,
            )
            for _ in range(_BURST_CALLERS)
        ]
        await asyncio.sleep(_BURST_SECONDS)
        for caller in callers:
            await caller.close()

    async def _send_crashing(self) -> None:
        """Send a crashing request through all entry VMs for a while."""
        self._crashing_count += 1
        kind = self._rng.choice(tuple(layout.KINDS_BY_NAME.values()))
        callers = [
            await self._deployment.add_caller(
                kind, target, crashing_request=f"request-{self._crashing_count}"
            )
            for target in self._deployment.vms
        ]
        await asyncio.sleep(_CRASHING_SECONDS)
        for caller in callers:
            await caller.close()

    async def _send_crashing_part(self) -> None:
        """Send different requests with a crashing part for a while."""
        self._crashing_count += 1
        callers = [
            await self._deployment.add_caller(
                self._rng.choice(layout.ENGINE_KINDS),
                target,
                crashing_part=layout.crashing_part(self._crashing_count),
            )
            for target in self._deployment.vms
        ]
        await asyncio.sleep(_CRASHING_SECONDS)
        for caller in callers:
            await caller.close()

    async def _crowd_vm(self) -> None:
        """Have one entry VM get most new connections for a while."""
        if self._deployment.crowd.name:
            return
        target = self._rng.choice(self._deployment.vms)
        seconds = self._rng.uniform(*_CROWD_SECONDS_RANGE)
        start = time.monotonic()
        self._deployment.crowd.name = target.name
        try:
            await asyncio.sleep(seconds)
        finally:
            self._deployment.crowd.name = ""
        self._history.crowds.append(
            record.Crowd(vm=target.name, start=start, end=time.monotonic())
        )
