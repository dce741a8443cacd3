"""Seek the tenure when it is this entry VM's turn, and do the duties while it lasts.

The store alone says who holds the duties: whoever has its key under a lease. What
entry VMs tell each other only says who is to try: the relays, since they hear of
the whole fleet, in an order that all compute; and that nobody needs to try while a
holder is heard of. So a holder costs the store one renewal a second or so, and all
others cost nothing.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from lagoonrun_core import clock as clocks
from lagoonrun_core import standing_task, ticks, types
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
"""One tenure for all duties: one lease to renew, and one entry VM that hears all."""

LEASE_SECONDS = 4.0
"""Time without a holder after one is lost. Shorter ones end when the store is slow
for a second; a longer one costs windows of usage, and orders that come too late."""

MARGIN_SECONDS = 0.5
"""Taken off the end of the lease, for clocks of different rates."""

_LONGEST_PAUSE_SECONDS = 1.0
"""Longest pause between two tries while the store does not answer: a few entry VMs
try, and what is due waits."""

_RENEWALS_PER_KEY_CHECK = 6
"""A key that somebody deletes by hand is noticed within eight seconds."""

_STEP_SECONDS = 0.25
"""Time between two looks for something to do: a sixteenth of a boot time."""

_FIRST_WAIT_SECONDS = 0.3
_RANK_WAIT_SECONDS = 0.8
"""Waits until the first in the order tries, and longer for each one behind it: a
try takes some 0.02 s, and a holder is heard of within half a second."""

_LAST_STEP_SECONDS = 1.5
"""Time that a planned stop leaves a call under way to end."""


class Duties:
    """What this entry VM does for all, if it is the one.

    Parameters
    ----------
    configured
        The duties of the deployment.
    entry_vm
        This entry VM.
    store, platform
        Where the tenure is kept, and who receives the calls.
    exchange
        Counts of usage, and who is heard to hold the duties.
    rank
        Returns the place of this entry VM among those that are to try; None
        where it is not.
    is_complete
        Whether every failure domain was heard lately.
    views
        Returns the pools that may be scaled.
    eras
        Eras of the store; None where it is never restored.
    time, clock, rng, sleep
        Sources of time and of choices.
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
            random=rng,
            order_timeout_seconds=platform_calls.CALL_SECONDS,
            ttl_seconds=LEASE_SECONDS,
            margin_seconds=MARGIN_SECONDS,
            longest_pause_seconds=_LONGEST_PAUSE_SECONDS,
            reacquire_delay_seconds=configured.reacquire_delay_seconds,
            renewals_per_key_check=_RENEWALS_PER_KEY_CHECK,
            eras=eras,
            sleep=sleep,
        )
        self._seeks = False
        self._vacant_since = clock.monotonic()
        self._stopping = False
        self._stepping = asyncio.Lock()
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
        self._task = standing_task.StandingTask(
            name="duties", function=self._run
        )

    @property
    def usage_report_age(self) -> float | None:
        """Time since the platform took a report of this entry VM; None for never."""
        return self._reporter.report_age()

    async def start(self) -> None:
        """Begin to look whether it is this entry VM's turn."""
        self._task.start()

    async def stop(self) -> None:
        """Give the tenure up, for a planned stop: a successor begins at once.

        Clean only where no call is under way that could arrive in the time of
        the successor.
        """
        self._stopping = True
        clean = True
        try:
            async with asyncio.timeout(_LAST_STEP_SECONDS):
                async with self._stepping:
                    pass
        except TimeoutError:
            clean = False
        await self._task.close()
        self._exchange.is_holder = False
        await self._leadership.close(clean=clean)

    async def close(self) -> None:
        """End at once; the lease runs out by itself."""
        await self._task.close()
        await self._leadership.close(clean=False)

    async def _run(self) -> None:
        while True:
            await self.step()
            await ticks.sleep_to_tick(_STEP_SECONDS)

    async def step(self) -> None:
        """Do what is due now, if it is this entry VM that does it."""
        async with self._stepping:
            if not self._stopping:
                await self._do_what_is_due()

    async def _do_what_is_due(self) -> None:
        await self._seek()
        tenure = self._leadership.tenure
        self._exchange.is_holder = tenure is not None
        if tenure is None or self._clock.monotonic() < tenure.first_order_at:
            return
        if self._orders_runners:
            await self._orders.step(tenure)
        if self._reports_usage:
            await self._reporter.step(tenure)

    async def _seek(self) -> None:
        """Try for the tenure while it is this entry VM's turn, and only then."""
        if self._leadership.tenure is not None:
            return
        now = self._clock.monotonic()
        if self._is_turn(now) is self._seeks:
            return
        self._seeks = not self._seeks
        if self._seeks:
            await self._leadership.start()
        else:
            await self._leadership.close(clean=False)

    def _is_turn(self, now: float) -> bool:
        """Return whether nobody holds the duties and no one before tries."""
        rank = self._rank(now)
        heard_at = self._exchange.holder_heard_at
        if rank is None or now - heard_at < usage_exchange.HOLDER_SECONDS:
            self._vacant_since = now
            return False
        wait = _FIRST_WAIT_SECONDS + rank * _RANK_WAIT_SECONDS
        return now - self._vacant_since >= wait

    def _may_call(self, tenure: tenures.Tenure) -> bool:
        """Return whether a call that is begun now ends within the tenure."""
        remaining = self._leadership.remaining_seconds(tenure)
        return remaining > platform_calls.CALL_SECONDS
