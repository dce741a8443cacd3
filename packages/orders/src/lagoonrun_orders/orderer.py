"""The orderer of a failure domain: reads states, plans, and sends orders.

Orders bring upstreams to their declared placement. Every entry VM runs an
orderer; only the holder of the duty's lease is active. An upstream that checks
fencing numbers rejects orders of an earlier holder. To one that does not, an
order is sent only while the lease outlasts the order's time limit by a margin,
and a new tenure first waits until its predecessor's orders can no longer take
effect.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Mapping,
    Sequence,
)

from lagoonrun_config import model
from lagoonrun_core import clock as clock_module
from lagoonrun_core import events, logs, types
from lagoonrun_orders import leadership as leadership_module
from lagoonrun_orders import plan as plan_module
from lagoonrun_orders import tenure as tenure_module
from lagoonrun_orders import upstream_orders, weight_budget

DEFAULT_ORDER_TIMEOUT_SECONDS = 10.0
_ROUND_SECONDS = 1.0
_FORGET_SECONDS = 60.0
_MARGIN_SECONDS = 2.0


class Orderer:
    """Sends the orders that bring upstreams to their declared placement.

    Parameters
    ----------
    leadership
        Started and closed by the orderer; started once there are placements.
    placements, upstreams
        Return those currently in force.
    is_leaving
        Whether any source reports that an upstream is leaving.
    order_timeout_seconds
        The same as for the leadership.
    forget_seconds
        How long an upstream that does not answer stays in the plan, so that a
        short silence moves no models.
    """

    def __init__(
        self,
        *,
        domain: types.FailureDomain,
        leadership: leadership_module.Leadership,
        upstream_orders: upstream_orders.UpstreamOrders,
        placements: Callable[[], Sequence[model.Placement]],
        upstreams: Callable[[], Mapping[types.UpstreamId, model.Upstream]],
        is_leaving: Callable[[types.UpstreamId], bool],
        budget: weight_budget.WeightBudget,
        clock: clock_module.Clock,
        order_timeout_seconds: float = DEFAULT_ORDER_TIMEOUT_SECONDS,
        margin_seconds: float = _MARGIN_SECONDS,
        round_seconds: float = _ROUND_SECONDS,
        forget_seconds: float = _FORGET_SECONDS,
        reloading_share: float = plan_module.DEFAULT_RELOADING_SHARE,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._domain = domain
        self._leadership = leadership
        self._upstream_orders = upstream_orders
        self._placements = placements
        self._upstreams = upstreams
        self._is_leaving = is_leaving
        self._budget = budget
        self._clock = clock
        self._order_timeout_seconds = order_timeout_seconds
        self._margin_seconds = margin_seconds
        self._round_seconds = round_seconds
        self._forget_seconds = forget_seconds
        self._reloading_share = reloading_share
        self._sleep = sleep
        self._task: asyncio.Task[None] | None = None
        self._last_state_by_id: dict[types.UpstreamId, _LastState] = {}
        self._sending_by_id: dict[types.UpstreamId, asyncio.Task[None]] = {}
        self._uncertain_until_by_id: dict[types.UpstreamId, float] = {}
        self._logged_by_id: dict[types.UpstreamId, plan_module.Decision] = {}

    @property
    def fencing(self) -> types.FencingNumber | None:
        """The fencing number of orders sent now; None if none may be sent."""
        tenure = self._leadership.tenure
        return None if tenure is None else tenure.fencing

    async def start(self) -> None:
        """Start the rounds; the lease is acquired once there are placements."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Finish the orders in progress and release the lease."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
            self._task = None
        if self._sending_by_id:
            await asyncio.wait(self._sending_by_id.values())
        now = self._clock.monotonic()
        uncertain = self._uncertain_until_by_id.values()
        await self._leadership.close(
            clean=all(until <= now for until in uncertain)
        )

    async def _run(self) -> None:
        while not self._has_work():
            await self._sleep(self._round_seconds)
        await self._leadership.start()
        while True:
            tenure = self._leadership.tenure
            if tenure is not None:
                try:
                    await self._run_round(tenure)
                except Exception as error:
                    # A fault in one round must not stop the orderer while its
                    # process keeps holding the lease.
                    logs.emit(
                        events.LogEvent.TASK_FAILED,
                        task="orderer",
                        error=repr(error),
                    )
            await self._sleep(self._round_seconds)

    def _has_work(self) -> bool:
        """Return whether the domain has placements.

        Without any, none of its entry VMs acquires a lease or watches for one.
        """
        return any(one.domain == self._domain for one in self._placements())

    async def _run_round(self, tenure: tenure_module.Tenure) -> None:
        placements = [
            one for one in self._placements() if one.domain == self._domain
        ]
        upstreams = self._upstreams_of_pools({one.pool for one in placements})
        reading = self._begin_reading(tenure)
        states = await asyncio.gather(
            *(self._upstream_orders.state(one) for one in upstreams)
        )
        views = []
        unknown_pools = set()
        for upstream, state in zip(upstreams, states, strict=True):
            view = self._view(upstream, state, reading)
            if view is not None:
                views.append(view)
            elif not self._is_forgotten(upstream):
                unknown_pools.add(upstream.pool)
        available = self._budget.available_bytes()
        planned = plan_module.plan(
            domain=self._domain,
            placements=[
                one for one in placements if one.pool not in unknown_pools
            ],
            views=views,
            allows=lambda size, spent: self._budget.allows(
                size, available=available - spent
            ),
            reloading_share=self._reloading_share,
        )
        upstream_by_id = {one.id: one for one in upstreams}
        for decision in planned.decisions:
            upstream = upstream_by_id[decision.order.upstream]
            self._execute(tenure, upstream, decision)
        self._forget_finished(planned)

    def _upstreams_of_pools(
        self, pools: Collection[types.PoolName]
    ) -> list[model.Upstream]:
        return [
            upstream
            for upstream in self._upstreams().values()
            if upstream.domain == self._domain and upstream.pool in pools
        ]

    def _begin_reading(self, tenure: tenure_module.Tenure) -> "_Reading":
        """Record what could make the states that are read now outdated."""
        now = self._clock.monotonic()
        uncertain = self._uncertain_until_by_id
        return _Reading(
            changing=frozenset(self._sending_by_id)
            | {one for one, until in uncertain.items() if until > now},
            predecessor_done=now >= tenure.first_order_at,
        )

    def _view(
        self,
        upstream: model.Upstream,
        state: upstream_orders.StateResult,
        reading: "_Reading",
    ) -> plan_module.View | None:
        """Return the known state of an upstream, or None."""
        now = self._clock.monotonic()
        current = isinstance(state, upstream_orders.UpstreamState)
        if current:
            self._last_state_by_id[upstream.id] = _LastState(
                state=state, at=now
            )
        last_state = self._last_state_by_id.setdefault(
            upstream.id, _LastState(state=None, at=now)
        )
        if last_state.state is None or self._is_forgotten(upstream):
            return None
        # The predecessor's last orders may still change an upstream that does
        # not check fencing numbers, so its state is not final until then.
        is_final = upstream.checks_fencing or reading.predecessor_done
        leaving = last_state.state.leaving or self._is_leaving(upstream.id)
        return plan_module.View(
            upstream=upstream,
            state=dataclasses.replace(last_state.state, leaving=leaving),
            current=current and is_final,
            changing=upstream.id in reading.changing,
        )

    def _is_forgotten(self, upstream: model.Upstream) -> bool:
        """Return whether an upstream has been silent for too long."""
        last_state = self._last_state_by_id[upstream.id]
        return self._clock.monotonic() - last_state.at > self._forget_seconds

    def _execute(
        self,
        tenure: tenure_module.Tenure,
        upstream: model.Upstream,
        decision: plan_module.Decision,
    ) -> None:
        if decision.verdict is not plan_module.Verdict.SEND:
            self._log_decision(tenure, decision)
            return
        if not self._may_send(tenure, upstream):
            return
        self._log_decision(tenure, decision)
        self._budget.spend(decision.weight_bytes)
        self._sending_by_id[upstream.id] = asyncio.create_task(
            self._send(tenure, upstream, decision)
        )

    def _may_send(
        self, tenure: tenure_module.Tenure, upstream: model.Upstream
    ) -> bool:
        """Return whether an order's first byte may be written now.

        An upstream that does not check fencing numbers accepts an order
        whenever it arrives. So the order must take effect before the lease
        expires in the store, and those of the predecessor must have taken
        effect: its lease had expired when this tenure began, and the time limit
        of its orders is waited for in addition.
        """
        remaining = self._leadership.remaining_seconds(tenure)
        if upstream.checks_fencing:
            return remaining > 0
        needed = self._order_timeout_seconds + self._margin_seconds
        return (
            remaining >= needed
            and self._clock.monotonic() >= tenure.first_order_at
        )

    async def _send(
        self,
        tenure: tenure_module.Tenure,
        upstream: model.Upstream,
        decision: plan_module.Decision,
    ) -> None:
        try:
            result = await self._upstream_orders.send(
                upstream,
                decision.order,
                fencing=tenure.fencing,
                timeout_seconds=self._order_timeout_seconds,
                may_send=lambda: self._may_send(tenure, upstream),
            )
        except Exception as error:
            result = upstream_orders.OrderUnknown(detail=repr(error))
        finally:
            del self._sending_by_id[upstream.id]
        if isinstance(
            result,
            upstream_orders.OrderUnknown | upstream_orders.RefusedOldFencing,
        ):
            # The order may take effect until its time limit has passed; only a
            # state read after that shows the result. A refused order is not
            # repeated every round either.
            self._uncertain_until_by_id[upstream.id] = (
                self._clock.monotonic() + self._order_timeout_seconds
            )
        if isinstance(result, upstream_orders.NotSent):
            self._budget.spend(-decision.weight_bytes)
        self._logged_by_id.pop(upstream.id, None)
        logs.emit(
            events.LogEvent.ORDER_ENDED,
            fencing=tenure.fencing,
            result=type(result).__name__,
            detail=getattr(result, "detail", ""),
            **_fields(decision.order),
        )

    def _log_decision(
        self, tenure: tenure_module.Tenure, decision: plan_module.Decision
    ) -> None:
        """Log a decision once, not in each round that repeats it."""
        upstream = decision.order.upstream
        if self._logged_by_id.get(upstream) == decision:
            return
        self._logged_by_id[upstream] = decision
        logs.emit(
            events.LogEvent.ORDER_DECIDED,
            domain=self._domain,
            fencing=tenure.fencing,
            verdict=decision.verdict.value,
            weight_bytes=decision.weight_bytes,
            **_fields(decision.order),
        )

    def _forget_finished(self, planned: plan_module.Plan) -> None:
        due = {one.order.upstream for one in planned.decisions}
        for upstream in list(self._logged_by_id):
            if upstream not in due and upstream not in self._sending_by_id:
                del self._logged_by_id[upstream]
        now = self._clock.monotonic()
        for upstream, until in list(self._uncertain_until_by_id.items()):
            if until <= now:
                del self._uncertain_until_by_id[upstream]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _LastState:
    """Last state of an upstream and the monotonic time of its arrival.

    Without a state, it is the time of the first request that had no response.
    """

    state: upstream_orders.UpstreamState | None
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Reading:
    """What was in progress when a round requested the states."""

    changing: frozenset[types.UpstreamId]
    predecessor_done: bool


def _fields(order: upstream_orders.Order) -> dict[str, str]:
    return {
        "upstream": order.upstream,
        "kind": order.kind.value,
        "model": order.model,
        "version": order.version,
        "role": order.role,
    }
