"""The duties of this entry VM: assembled, and told what they ask of the router."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_duties import (
    filtered_clock,
    platform_calls,
    runner_model,
    usage_exchange,
)
from lagoonrun_platform import store as store_module
from lagoonrun_platform import store_eras
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    declarations,
    load_ledger,
    metrics,
    peer_exchange,
    reach,
    roster,
    settings,
    upstreams,
)

_TRYING_DOMAINS = 3
"""Failure domains whose relays try for the duties, one after the other: one may be
cut off and the next be restarted at that moment."""

_COMPLETE_SECONDS = 1.0
"""Silence of a failure domain from which its counts are waited for: five of its
relay's messages."""

_GONE_SECONDS = 20.0
"""Silence from which a failure domain is not waited for any more: longer than a
report may be late, so that what it still has to tell has come or is worth nothing."""


class UsageCounting:
    """Counts of usage, which are told whether or not this entry VM holds duties.

    Parameters
    ----------
    configured
        Settings of the process, with duties.
    clock
        Source of time.

    Attributes
    ----------
    send
        Sends counts to the holder; set once there is a socket.
    """

    def __init__(
        self, *, configured: settings.RouterSettings, clock: clocks.Clock
    ) -> None:
        self.time = filtered_clock.FilteredClock(clock=clock)
        self.send: Callable[
            [router_messages.UsageNews, types.EntryVmId], None
        ] = _send_nowhere
        self.exchange = usage_exchange.UsageExchange(
            entry_vm=configured.entry_vm,
            domain=configured.domain,
            current_window=lambda: configured.duties.window_at(self.time.now()),
            send=lambda news, to: self.send(news, to),
        )


def _send_nowhere(news: router_messages.UsageNews, to: types.EntryVmId) -> None:
    del news, to


class FleetDuties:
    """The duties of one entry VM, which does them when it is its turn.

    Parameters
    ----------
    configured
        Settings of the process, with duties.
    counting
        What this entry VM counts and hears of usage.
    store, platform
        Where the tenure is kept, and who receives the calls.
    view
        What the duties ask of the router.
    ready
        Returns whether the router knows enough to act for the fleet.
    eras
        Eras of the store; None where it is never restored.
    clock, rng
        Sources of time and of choices.
    """

    def __init__(
        self,
        *,
        configured: settings.RouterSettings,
        counting: UsageCounting,
        store: store_module.KeyValueStore,
        platform: platform_calls.DutyPlatform,
        view: "DutyInputs",
        ready: Callable[[], bool],
        clock: clocks.Clock,
        rng: random.Random,
        eras: store_eras.StoreEras | None = None,
    ) -> None:
        # Only here: a deployment without duties starts without them.
        from lagoonrun_duties import duties

        self.view = view
        self._exchange = counting.exchange
        self._clock = clock
        self._duties = duties.Duties(
            configured=configured.duties,
            entry_vm=configured.entry_vm,
            store=store,
            platform=platform,
            exchange=counting.exchange,
            rank=lambda now: view.rank(now) if ready() else None,
            is_complete=view.is_complete,
            views=view.views,
            time=counting.time,
            clock=clock,
            rng=rng,
            eras=eras,
        )

    async def start(self) -> None:
        """Begin to look whether it is this entry VM's turn."""
        await self._duties.start()

    async def stop(self, *, within_seconds: float) -> None:
        """Have another entry VM take the duties over before this one ends.

        A store that does not answer must not hold the stop up: the lease runs
        out then.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_seconds):
                await self._duties.stop()

    async def close(self) -> None:
        """End at once."""
        await self._duties.close()

    def update_gauges(self, into: metrics.RouterMetrics) -> None:
        """Set the gauges of the duties."""
        into.holds_duties.set(self._exchange.is_holder)
        vacant_seconds = self._exchange.vacant_seconds(
            now=self._clock.monotonic()
        )
        into.duties_vacant.set(vacant_seconds)
        into.usage_report_age.set(self._duties.usage_report_age or 0.0)


class DutyInputs:
    """Answers what the duties ask.

    Parameters
    ----------
    configured
        Settings of the process.
    exchange, domains
        The relays of the own failure domain, and the other domains.
    directory, ledger
        The upstreams, and the work there.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        configured: settings.RouterSettings,
        exchange: peer_exchange.PeerExchange,
        domains: reach.DomainReach,
        directory: upstreams.UpstreamDirectory,
        ledger: load_ledger.LoadLedger,
        clock: clocks.Clock,
    ) -> None:
        self._entry_vm = configured.entry_vm
        self._domain = configured.domain
        self._exchange = exchange
        self._domains = domains
        self._directory = directory
        self._ledger = ledger
        self._clock = clock
        self._pools: tuple[declarations.Pool, ...] = ()
        self._order = roster.Roster(
            duty="duties",
            wanted_count=_TRYING_DOMAINS,
            own=configured.domain,
            others=domains,
        )

    def use(self, pools: Iterable[declarations.Pool]) -> None:
        """Take in the pools that are declared now."""
        self._pools = tuple(one for one in pools if one.scaling is not None)

    def rank(self, now: float) -> int | None:
        """Return the place among those that are to try; None for not at all."""
        near = self._exchange.relays_on_duty(now=now)
        domains = self._order.on_duty(now=now)
        if self._entry_vm not in near or self._domain not in domains:
            return None
        return domains.index(self._domain) * len(near) + near.index(
            self._entry_vm
        )

    def is_complete(self) -> bool:
        """Return whether every other failure domain was heard lately.

        The own one is heard by its neighbours, and may have no other.
        """
        now = self._clock.monotonic()
        silent_by_domain = self._domains.silent_seconds(now=now)
        silent_by_domain.pop(self._domain, None)
        return not any(
            _COMPLETE_SECONDS < one < _GONE_SECONDS
            for one in silent_by_domain.values()
        )

    def views(self) -> tuple[runner_model.PoolView, ...]:
        """Return the pools whose runners may be ordered, as they are now."""
        return tuple(self._view(pool) for pool in self._pools)

    def _view(self, pool: declarations.Pool) -> runner_model.PoolView:
        now = self._clock.monotonic()
        serving = self._directory.usable(pool.name, now=now)
        return runner_model.PoolView(
            pool=pool.name,
            scaling=pool.scaling,
            domains=tuple(
                _runners(domain, serving)
                for domain in pool.scaling.price_by_domain
            ),
            demand=self._demand(serving, now),
        )

    def _demand(
        self, serving: Iterable[upstreams.Registration], now: float
    ) -> runner_model.PoolDemand:
        tokens_per_second = 0.0
        running = 0
        waiting_tokens = 0.0
        for one in serving:
            load = self._ledger.load_of(one.id, now=now)
            running += load.running
            waiting_tokens += load.waiting_tokens
            tokens_per_second += self._ledger.recent_prefill(one.id, now=now)
        return runner_model.PoolDemand(
            prompt_tokens_per_second=tokens_per_second,
            running=running,
            waiting_tokens=waiting_tokens,
        )


def _runners(
    domain: types.FailureDomain,
    serving: Iterable[upstreams.Registration],
) -> runner_model.DomainRunners:
    here = [one for one in serving if one.domain == domain]
    reclaimable = sum(one.reclaimable for one in here)
    return runner_model.DomainRunners(
        domain=domain,
        lasting=len(here) - reclaimable,
        reclaimable=reclaimable,
    )
