"""Send runner orders according to a plan, as the holder of the duty."""

import dataclasses
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, types
from lagoonrun_duties import platform_calls, runner_model
from lagoonrun_orders import tenure as tenures

_KINDS = (
    # Reclaimable runners first: they are cheap, and serve before lasting ones
    # are removed.
    platform_calls.RunnerKind.RECLAIMABLE,
    platform_calls.RunnerKind.LASTING,
)

SHORTAGE_PAUSE_SECONDS = 2.0
"""Pause after the platform had no runners available. Each attempt is a billed
call, and a shortage lasts about ten seconds."""

_FAILURE_PAUSE_SECONDS = 1.0
"""Pause after a call that was refused or had no response."""

_BOOT_SLACK_SECONDS = 2.0
"""Time beyond the boot time after which missing runners are ordered again: they
were reclaimed while booting, or the order was lost."""


class RunnerPlan(Protocol):
    """Computes the desired number of runners."""

    def desired(
        self, view: runner_model.PoolView
    ) -> tuple[runner_model.DesiredRunners, ...]:
        """Return the desired runners of a pool in each failure domain."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Target:
    pool: types.PoolName
    domain: types.FailureDomain
    kind: platform_calls.RunnerKind


@dataclasses.dataclass(frozen=True, kw_only=True)
class _LastOrder:
    count: int
    at: float


class RunnerOrders:
    """Compares the desired runners with the last orders, and sends new orders.

    Parameters
    ----------
    platform
        Receives the orders.
    views
        Returns the current state of the pools that may be scaled.
    plan
        Computes the desired number of runners.
    may_call
        Whether a call started now would end within the tenure.
    clock
        Source of monotonic time.
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
        self._last_order_by_target: dict[_Target, _LastOrder] = {}
        self._retry_at_by_target: dict[_Target, float] = {}

    async def step(self, tenure: tenures.Tenure) -> None:
        """Send the orders that are due now; called a few times a second."""
        if tenure != self._tenure:
            # Orders of earlier holders show in the number of serving runners.
            self._tenure = tenure
            self._last_order_by_target.clear()
            self._retry_at_by_target.clear()
        for view in self._views():
            await self._reconcile(view, tenure)

    async def _reconcile(
        self, view: runner_model.PoolView, tenure: tenures.Tenure
    ) -> None:
        now = self._clock.monotonic()
        desired = self._plan.desired(view)
        present_by_domain = {one.domain: one for one in view.domains}
        for kind in _KINDS:
            for runners in desired:
                target = _Target(
                    pool=view.pool, domain=runners.domain, kind=kind
                )
                present = present_by_domain[runners.domain].of_kind(kind)
                count = runners.of_kind(kind)
                if not self._is_due(target, count, present, view, now):
                    continue
                if not self._may_call(tenure):
                    return
                await self._send(target, count, present, view, tenure)

    def _is_due(
        self,
        target: _Target,
        count: int,
        present: int,
        view: runner_model.PoolView,
        now: float,
    ) -> bool:
        if now < self._retry_at_by_target.get(target, 0.0):
            return False
        last_order = self._last_order_by_target.get(target)
        if last_order is None:
            return count != present
        if last_order.count != count:
            return True
        boot_timeout = view.scaling.boot_seconds + _BOOT_SLACK_SECONDS
        return present < count and now - last_order.at > boot_timeout

    async def _send(
        self,
        target: _Target,
        count: int,
        present: int,
        view: runner_model.PoolView,
        tenure: tenures.Tenure,
    ) -> None:
        result = await self._platform.order_runners(
            platform_calls.RunnerOrder(
                pool=target.pool,
                domain=target.domain,
                kind=target.kind,
                count=count,
            ),
            fencing=tenure.fencing,
        )
        now = self._clock.monotonic()
        accepted = isinstance(result, platform_calls.Accepted)
        if accepted:
            self._last_order_by_target[target] = _LastOrder(count=count, at=now)
        elif isinstance(result, platform_calls.NoneAvailable):
            self._retry_at_by_target[target] = now + SHORTAGE_PAUSE_SECONDS
        else:
            self._retry_at_by_target[target] = now + _FAILURE_PAUSE_SECONDS
        logs.emit(
            events.LogEvent.RUNNERS_ORDERED,
            level=logging.INFO if accepted else logging.WARNING,
            pool=target.pool,
            domain=target.domain,
            kind=target.kind.value,
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
