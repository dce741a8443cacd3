"""Acquire the lease of the duties when due, and perform them while it lasts.

A duty is a task that exactly one entry VM, the lease holder, performs for the
whole fleet. Its tenure is one uninterrupted period of holding the lease.

Only the store decides who holds the duties: whoever has written the holder's
key under a lease. Messages between entry VMs only decide who tries: the relays,
since they receive the state of the whole fleet, in an order that all of them
compute; and nobody while a holder is reported. So a holder costs the store
about one renewal a second, and all other entry VMs cost it nothing.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from lagoonrun_core import clock as clocks
from lagoonrun_core import supervised_task, ticks, types
from lagoonrun_duties import (
    filtered_clock,
    platform_calls,
    runner_model,
    runner_orders,
    runner_plan,
    usage_exchange,
    usage_reporter,
)
from lagoonrun_orders import leadership
from lagoonrun_orders import tenure as tenures
from lagoonrun_platform import store as store_module
from lagoonrun_platform import store_eras

DUTY = types.DutyName("lagoonrun/duties")
"""One tenure for all duties: one lease to renew, and one entry VM that receives
all counts."""

LEASE_SECONDS = 4.0
"""Time without a holder after one is lost. A shorter lease expires when the
store is slow for a second; a longer one loses windows of usage and delays
orders too much."""

MARGIN_SECONDS = 0.5
"""Subtracted from the end of the lease, for clocks that run at different
rates."""

_MAX_PAUSE_SECONDS = 1.0
"""Longest pause between two attempts while the store does not answer. Only a
few entry VMs try, and due work waits for them."""

_RENEWALS_PER_KEY_CHECK = 6
"""The deletion of a key by hand is detected within eight seconds."""

_STEP_SECONDS = 0.25
"""Interval between two checks for due work: a sixteenth of a runner's boot
time."""

_FIRST_WAIT_SECONDS = 0.3
_RANK_WAIT_SECONDS = 0.8
"""Wait before the first candidate tries, and the additional wait for each rank
behind it. An attempt takes about 0.02 s, and a new holder is reported within
half a second."""

_STOP_TIMEOUT_SECONDS = 1.5
"""Time that a planned stop allows a call in progress to finish."""


class Duties:
    """The duties, performed by this entry VM while it holds their lease.

    Parameters
    ----------
    configured
        The duties of the deployment.
    entry_vm
        This entry VM.
    store, platform
        Where the lease is kept, and what receives the calls.
    exchange
        Usage counts, and the reported holder of the duties.
    rank
        Returns the position of this entry VM among the candidates; None where
        it is not one.
    is_complete
        Whether every failure domain has reported recently.
    views
        Returns the pools that may be scaled.
    eras
        Eras of the store; None where it is never restored.
    time, clock, rng, sleep
        Wall-clock time, monotonic time, random numbers and sleep.
    """

    def __init__(
        self,
        *,
        configured: platform_calls.DutySettings,
        entry_vm: types.EntryVmId,
        store: store_module.KeyValueStore,
        platform: platform_calls.DutyPlatform,
        exchange: usage_exchange.UsageExchange,
        rank: Callable[[float], int | None],
        is_complete: Callable[[], bool],
        views: Callable[[], Sequence[runner_model.PoolView]],
        time: filtered_clock.FilteredClock,
        clock: clocks.Clock,
        rng: random.Random,
        eras: store_eras.StoreEras | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._exchange = exchange
        self._rank = rank
        self._clock = clock
        self._leadership = leadership.Leadership(
            store=store,
            duty=DUTY,
            entry_vm=entry_vm,
            clock=clock,
            rng=rng,
            order_timeout_seconds=platform_calls.CALL_SECONDS,
            ttl_seconds=LEASE_SECONDS,
            margin_seconds=MARGIN_SECONDS,
            longest_pause_seconds=_MAX_PAUSE_SECONDS,
            reacquire_delay_seconds=configured.reacquire_delay_seconds,
            renewals_per_key_check=_RENEWALS_PER_KEY_CHECK,
            eras=eras,
            sleep=sleep,
        )
        self._is_campaigning = False
        self._vacant_since = clock.monotonic()
        self._stopping = False
        self._step_lock = asyncio.Lock()
        self._reporter = usage_reporter.UsageReporter(
            configured=configured,
            store=store,
            platform=platform,
            may_call=self._may_call,
            counts_of=exchange.counts,
            is_complete=is_complete,
            eras=eras or store_eras.StoreEras(clock=clock),
            clock=clock,
            time=time,
        )
        self._orders = runner_orders.RunnerOrders(
            platform=platform,
            views=views,
            plan=runner_plan.MixedPlan(),
            may_call=self._may_call,
            clock=clock,
        )
        self._reports_usage = platform_calls.Duty.USAGE in configured.duties
        self._orders_runners = platform_calls.Duty.RUNNERS in configured.duties
        self._task = supervised_task.SupervisedTask(
            name="duties", function=self._run
        )

    @property
    def usage_report_age(self) -> float | None:
        """Age of the last report that the platform accepted, or None."""
        return self._reporter.report_age()

    async def start(self) -> None:
        """Start to check regularly whether it is this entry VM's turn."""
        self._task.start()

    async def stop(self) -> None:
        """Release the lease for a planned stop: a successor starts at once.

        The release is clean only if no call is in progress that could arrive
        during the successor's tenure.
        """
        self._stopping = True
        clean = True
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_SECONDS):
                async with self._step_lock:
                    pass
        except TimeoutError:
            clean = False
        await self._task.close()
        self._exchange.is_holder = False
        await self._leadership.close(clean=clean)

    async def close(self) -> None:
        """Stop at once and leave the lease to expire."""
        await self._task.close()
        await self._leadership.close(clean=False)

    async def _run(self) -> None:
        while True:
            await self.step()
            await ticks.sleep_to_tick(_STEP_SECONDS)

    async def step(self) -> None:
        """Perform the work that is due now, if this VM holds the lease."""
        async with self._step_lock:
            if not self._stopping:
                await self._perform_due_work()

    async def _perform_due_work(self) -> None:
        await self._update_campaign()
        tenure = self._leadership.tenure
        self._exchange.is_holder = tenure is not None
        if tenure is None or self._clock.monotonic() < tenure.first_order_at:
            return
        if self._orders_runners:
            await self._orders.step(tenure)
        if self._reports_usage:
            await self._reporter.step(tenure)

    async def _update_campaign(self) -> None:
        """Try to acquire the lease only while it is this VM's turn."""
        if self._leadership.tenure is not None:
            return
        now = self._clock.monotonic()
        if self._is_turn(now) is self._is_campaigning:
            return
        self._is_campaigning = not self._is_campaigning
        if self._is_campaigning:
            await self._leadership.start()
        else:
            await self._leadership.close(clean=False)

    def _is_turn(self, now: float) -> bool:
        """Return whether nobody holds the duties and lower ranks had time."""
        rank = self._rank(now)
        reported_at = self._exchange.holder_reported_at
        if (
            rank is None
            or now - reported_at < usage_exchange.HOLDER_TIMEOUT_SECONDS
        ):
            self._vacant_since = now
            return False
        wait = _FIRST_WAIT_SECONDS + rank * _RANK_WAIT_SECONDS
        return now - self._vacant_since >= wait

    def _may_call(self, tenure: tenures.Tenure) -> bool:
        """Return whether a call started now would end within the tenure."""
        remaining = self._leadership.remaining_seconds(tenure)
        return remaining > platform_calls.CALL_SECONDS
