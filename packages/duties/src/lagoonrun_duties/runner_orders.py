"""Send the orders that a plan asks for, as the holder of the duty."""

import dataclasses
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, types
from lagoonrun_duties import platform_calls, runner_model
from lagoonrun_orders import tenure as tenures

_KINDS = (
    # Reclaimable ones first: they are cheap, and serve before others leave.
    platform_calls.RunnerKind.RECLAIMABLE,
    platform_calls.RunnerKind.LASTING,
)

UNAVAILABLE_SECONDS = 2.0
"""Time for which an answer that none are to be had is believed. Each try is a call
that is paid for; a shortage lasts for some ten seconds."""

_REFUSED_SECONDS = 1.0
"""Pause after a call that was refused or not answered."""

_OVERDUE_SECONDS = 2.0
"""Time beyond the boot time after which runners that were ordered and have not come
are ordered again: they were taken away again, or the order was lost."""


class RunnerPlan(Protocol):
    """Decides how many runners there are to be."""

    def wanted(
        self, view: runner_model.PoolView
    ) -> tuple[runner_model.WantedRunners, ...]:
        """Return what each failure domain of a pool is to have."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Place:
    pool: types.PoolName
    domain: types.FailureDomain
    kind: platform_calls.RunnerKind


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Ordered:
    count: int
    at: float


class RunnerOrders:
    """Compares what is wanted with what was ordered.

    Parameters
    ----------
    platform
        Receives the orders.
    views
        Returns the pools that may be scaled, as they are now.
    plan
        Decides how many runners there are to be.
    may_call
        Whether the tenure lasts for a call from now on.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        platform: platform_calls.DutyPlatform,
        views: Callable[[], Sequence[runner_model.PoolView]],
        plan: RunnerPlan,
        may_call: Callable[[tenures.Tenure], bool],
        clock: clocks.Clock,
    ) -> None:
        self._platform = platform
        self._views = views
        self._plan = plan
        self._may_call = may_call
        self._clock = clock
        self._tenure: tenures.Tenure | None = None
        self._ordered_by_place: dict[_Place, _Ordered] = {}
        self._not_before_by_place: dict[_Place, float] = {}

    async def step(self, tenure: tenures.Tenure) -> None:
        """Send what is due now; called a few times a second."""
        if tenure != self._tenure:
            # What others ordered meanwhile shows in the runners that there are.
            self._tenure = tenure
            self._ordered_by_place.clear()
            self._not_before_by_place.clear()
        for view in self._views():
            await self._bring_up(view, tenure)

    async def _bring_up(
        self, view: runner_model.PoolView, tenure: tenures.Tenure
    ) -> None:
        now = self._clock.monotonic()
        wanted = self._plan.wanted(view)
        present_by_domain = {one.domain: one for one in view.domains}
        for kind in _KINDS:
            for one in wanted:
                place = _Place(pool=view.pool, domain=one.domain, kind=kind)
                present = present_by_domain[one.domain].of_kind(kind)
                count = one.of_kind(kind)
                if not self._is_due(place, count, present, view, now):
                    continue
                if not self._may_call(tenure):
                    return
                await self._send(place, count, present, view, tenure)

    def _is_due(
        self,
        place: _Place,
        count: int,
        present: int,
        view: runner_model.PoolView,
        now: float,
    ) -> bool:
        if now < self._not_before_by_place.get(place, 0.0):
            return False
        ordered = self._ordered_by_place.get(place)
        if ordered is None:
            return count != present
        if ordered.count != count:
            return True
        patience = view.scaling.boot_seconds + _OVERDUE_SECONDS
        return present < count and now - ordered.at > patience

    async def _send(
        self,
        place: _Place,
        count: int,
        present: int,
        view: runner_model.PoolView,
        tenure: tenures.Tenure,
    ) -> None:
        result = await self._platform.order_runners(
            platform_calls.RunnerOrder(
                pool=place.pool,
                domain=place.domain,
                kind=place.kind,
                count=count,
            ),
            fencing=tenure.fencing,
        )
        now = self._clock.monotonic()
        accepted = isinstance(result, platform_calls.Accepted)
        if accepted:
            self._ordered_by_place[place] = _Ordered(count=count, at=now)
        elif isinstance(result, platform_calls.NoneAvailable):
            self._not_before_by_place[place] = now + UNAVAILABLE_SECONDS
        else:
            self._not_before_by_place[place] = now + _REFUSED_SECONDS
        logs.emit(
            events.LogEvent.RUNNERS_ORDERED,
            level=logging.INFO if accepted else logging.WARNING,
            pool=place.pool,
            domain=place.domain,
            kind=place.kind.value,
            count=count,
            present=present,
            fencing=tenure.fencing,
            prompt_tokens_per_second=round(
                view.demand.prompt_tokens_per_second
            ),
            running=view.demand.running,
            waiting_tokens=round(view.demand.waiting_tokens),
            result=type(result).__name__,
            detail=getattr(result, "detail", ""),
        )
