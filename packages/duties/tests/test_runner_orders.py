"""Runner orders: few, not repeated, and based on the existing runners."""

import dataclasses

import pytest

from lagoonrun_core import types
from lagoonrun_duties import platform_calls, runner_model, runner_orders
from lagoonrun_orders import tenure as tenures

LASTING = platform_calls.RunnerKind.LASTING
RECLAIMABLE = platform_calls.RunnerKind.RECLAIMABLE
BOOT_SECONDS = 4.0


class _Platform:
    def __init__(self):
        self.result = platform_calls.Accepted()
        self.orders = []

    async def order_runners(self, order, *, fencing):
        self.orders.append((order.domain, order.kind, order.count, fencing))
        return self.result


class _Plan:
    def __init__(self):
        self.lasting = 2
        self.reclaimable = 0

    def desired(self, view):
        return tuple(
            runner_model.DesiredRunners(
                domain=one.domain,
                lasting=self.lasting,
                reclaimable=self.reclaimable,
            )
            for one in view.domains
        )


class _Holder:
    def __init__(self, clock):
        self.clock = clock
        self.platform = _Platform()
        self.plan = _Plan()
        self.may_call = True
        self.north = runner_model.DomainRunners(domain="north", lasting=2)
        self.tenure = tenures.Tenure(
            duty=types.DutyName("duties"), fencing=7, first_order_at=0.0
        )
        self.orders = runner_orders.RunnerOrders(
            platform=self.platform,
            views=lambda: (self.view(),),
            plan=self.plan,
            may_call=lambda tenure: self.may_call,
            clock=clock,
        )

    def view(self):
        return runner_model.PoolView(
            pool=types.PoolName("readers"),
            scaling=runner_model.Scaling(
                minimum=1,
                maximum=8,
                boot_seconds=BOOT_SECONDS,
                reclaimable_price=0.2,
                price_by_domain={"north": 1.0},
            ),
            domains=(self.north,),
        )

    async def pass_time(self, seconds):
        for _ in range(round(seconds / 0.25)):
            await self.orders.step(self.tenure)
            self.clock.advance(0.25)

    def counts(self, kind):
        return [one[2] for one in self.platform.orders if one[1] is kind]


@pytest.fixture
def holder(clock):
    return _Holder(clock)


async def test_nothing_is_ordered_where_all_is_as_desired(holder):
    await holder.pass_time(30.0)
    assert not holder.platform.orders


async def test_one_order_for_each_change(holder):
    holder.plan.reclaimable = 5
    await holder.pass_time(BOOT_SECONDS)
    holder.north = dataclasses.replace(holder.north, reclaimable=5)
    await holder.pass_time(30.0)
    assert holder.counts(RECLAIMABLE) == [5]


async def test_reclaimable_ones_are_ordered_before_lasting_ones_leave(holder):
    holder.plan.lasting, holder.plan.reclaimable = 1, 6
    await holder.pass_time(0.25)
    kinds = [one[1] for one in holder.platform.orders]
    assert kinds == [RECLAIMABLE, LASTING]


async def test_runners_that_do_not_appear_are_ordered_again(holder):
    """Guards against a pool that stays too small.

    The platform accepts an order and reclaims the runners before they serve,
    without any message.
    """
    holder.plan.reclaimable = 5
    await holder.pass_time(BOOT_SECONDS + 1.0)
    assert holder.counts(RECLAIMABLE) == [5]
    await holder.pass_time(2.0)
    assert holder.counts(RECLAIMABLE) == [5, 5]


async def test_shortage_is_not_queried_again_and_again(holder):
    """Each attempt is a billed call, and a shortage lasts ten seconds."""
    holder.plan.reclaimable = 5
    holder.platform.result = platform_calls.NoneAvailable()
    await holder.pass_time(10.0)
    assert 4 <= len(holder.platform.orders) <= 6
    holder.platform.result = platform_calls.Accepted()
    tries = len(holder.platform.orders)
    await holder.pass_time(BOOT_SECONDS)
    assert len(holder.platform.orders) == tries + 1


@pytest.mark.parametrize(
    "result",
    [
        platform_calls.Unanswered(detail="lost"),
        platform_calls.Refused(detail="429"),
    ],
)
async def test_call_without_effect_is_made_again_after_a_pause(holder, result):
    holder.plan.reclaimable = 5
    holder.platform.result = result
    await holder.pass_time(3.0)
    assert 2 <= len(holder.platform.orders) <= 4


async def test_nothing_is_sent_at_the_end_of_a_tenure(holder):
    holder.may_call = False
    holder.plan.reclaimable = 5
    await holder.pass_time(3.0)
    assert not holder.platform.orders


async def test_new_tenure_starts_from_the_existing_runners(holder):
    """Guards against a new holder that removes runners just ordered."""
    holder.plan.reclaimable = 5
    await holder.pass_time(1.0)
    holder.north = dataclasses.replace(holder.north, reclaimable=5)
    holder.tenure = dataclasses.replace(holder.tenure, fencing=9)
    await holder.pass_time(10.0)
    assert [one[3] for one in holder.platform.orders] == [7]
