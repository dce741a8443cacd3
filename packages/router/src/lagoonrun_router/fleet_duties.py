"""The duties of an entry VM, connected to the router.

The duties report usage to the platform and order runners. One entry VM at a
time, the holder of a lease in the store, performs them for the whole fleet.
"""

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

_CANDIDATE_DOMAINS = 3
"""Number of failure domains whose relays try to acquire the duties, one after
the other: one may be cut off while the next is being restarted."""

_INCOMPLETE_AFTER_SECONDS = 1.0
"""Silence of a failure domain after which its usage counts are incomplete: five
times the interval between its relay's messages."""

_REMOVED_AFTER_SECONDS = 20.0
"""Silence after which a failure domain's counts are no longer waited for:
longer than a report may be late, so that anything it still had to send would
come too late."""


class UsageCounting:
    """Usage counts, which are sent whether or not duties are held.

    Parameters
    ----------
    configured
        Settings of the process, with duties.
    clock
        Source of time.

    Attributes
    ----------
    send
        Sends counts to the holder of the duties; set when the socket is open.
    """

    def __init__(
        self, *, configured: settings.RouterSettings, clock: clocks.Clock
    ) -> None:
        self.time = filtered_clock.FilteredClock(clock=clock)
        self.send: Callable[
            [router_messages.UsageNews, types.EntryVmId], None
        ] = _discard_news
        self.exchange = usage_exchange.UsageExchange(
            entry_vm=configured.entry_vm,
            domain=configured.domain,
            current_window=lambda: configured.duties.window_at(self.time.now()),
            send=lambda news, to: self.send(news, to),
        )


def _discard_news(news: router_messages.UsageNews, to: types.EntryVmId) -> None:
    del news, to


class FleetDuties:
    """The duties of one entry VM, which performs them while it holds the lease.

    Parameters
    ----------
    configured
        Settings of the process, with duties.
    usage_counting
        Usage counts of this entry VM and of others.
    store, platform
        Store of the tenure, which records who holds the duties; and the
        receiver of the calls.
    duty_inputs
        State of the router that the duties depend on.
    ready
        Returns whether the router has enough state to act for the fleet.
    eras
        Restore epochs (eras) of the store; None if it is never restored.
    clock, rng
        Sources of time and of randomness.
    """

    def __init__(
        self,
        *,
        configured: settings.RouterSettings,
        usage_counting: UsageCounting,
        store: store_module.KeyValueStore,
        platform: platform_calls.DutyPlatform,
        duty_inputs: "DutyInputs",
        ready: Callable[[], bool],
        clock: clocks.Clock,
        rng: random.Random,
        eras: store_eras.StoreEras | None = None,
    ) -> None:
        # Imported here so that a deployment without duties does not load them.
        from lagoonrun_duties import duties

        self.duty_inputs = duty_inputs
        self._exchange = usage_counting.exchange
        self._clock = clock
        self._duties = duties.Duties(
            configured=configured.duties,
            entry_vm=configured.entry_vm,
            store=store,
            platform=platform,
            exchange=usage_counting.exchange,
            rank=lambda now: duty_inputs.rank(now) if ready() else None,
            is_complete=duty_inputs.is_complete,
            views=duty_inputs.views,
            time=usage_counting.time,
            clock=clock,
            rng=rng,
            eras=eras,
        )

    async def start(self) -> None:
        """Begin to check periodically whether to acquire the duties."""
        await self._duties.start()

    async def stop(self, *, within_seconds: float) -> None:
        """Release the duties, so that another entry VM can acquire them.

        A store that does not answer must not delay the stop; the lease expires
        then.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_seconds):
                await self._duties.stop()

    async def close(self) -> None:
        """Stop at once."""
        await self._duties.close()

    def update_gauges(self, gauges: metrics.RouterMetrics) -> None:
        """Set the gauges of the duties."""
        gauges.holds_duties.set(self._exchange.is_holder)
        vacant_seconds = self._exchange.vacant_seconds(
            now=self._clock.monotonic()
        )
        gauges.duties_vacant.set(vacant_seconds)
        gauges.usage_report_age.set(self._duties.usage_report_age or 0.0)


class DutyInputs:
    """State of the router that the duties depend on.

    Parameters
    ----------
    configured
        Settings of the process.
    exchange, domains
        The relays of the own failure domain, and the other failure domains.
    directory, ledger
        The upstreams and their loads.
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
        self._domain_roster = roster.Roster(
            duty="duties",
            wanted_count=_CANDIDATE_DOMAINS,
            own=configured.domain,
            others=domains,
        )

    def use(self, pools: Iterable[declarations.Pool]) -> None:
        """Replace the declared pools."""
        self._pools = tuple(one for one in pools if one.scaling is not None)

    def rank(self, now: float) -> int | None:
        """Return the position among the candidates; None if not one."""
        relays = self._exchange.relays_on_duty(now=now)
        domains = self._domain_roster.on_duty(now=now)
        if self._entry_vm not in relays or self._domain not in domains:
            return None
        return domains.index(self._domain) * len(relays) + relays.index(
            self._entry_vm
        )

    def is_complete(self) -> bool:
        """Return whether all other failure domains' counts are complete.

        The own failure domain is left out: it may consist of this entry VM
        alone, which then receives nothing.
        """
        now = self._clock.monotonic()
        silent_by_domain = self._domains.silent_seconds(now=now)
        silent_by_domain.pop(self._domain, None)
        return not any(
            _INCOMPLETE_AFTER_SECONDS < one < _REMOVED_AFTER_SECONDS
            for one in silent_by_domain.values()
        )

    def views(self) -> tuple[runner_model.PoolView, ...]:
        """Return the state of the pools whose runners may be ordered."""
        return tuple(self._view(pool) for pool in self._pools)

    def _view(self, pool: declarations.Pool) -> runner_model.PoolView:
        now = self._clock.monotonic()
        serving = self._directory.usable(pool.name, now=now)
        return runner_model.PoolView(
            pool=pool.name,
            scaling=pool.scaling,
            domains=tuple(
                _domain_runners(domain, serving)
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


def _domain_runners(
    domain: types.FailureDomain,
    serving: Iterable[upstreams.Registration],
) -> runner_model.DomainRunners:
    in_domain = [one for one in serving if one.domain == domain]
    reclaimable = sum(one.reclaimable for one in in_domain)
    return runner_model.DomainRunners(
        domain=domain,
        lasting=len(in_domain) - reclaimable,
        reclaimable=reclaimable,
    )
