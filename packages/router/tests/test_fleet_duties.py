"""Two routers, one of which reports usage and orders runners for both."""

import dataclasses

import pytest

from lagoonrun_duties import duties, platform_calls, runner_model
from lagoonrun_router import declarations
from lagoonrun_standins.router_world import wait_for

SHORT_WINDOWS = platform_calls.DutySettings(
    duties=frozenset(platform_calls.Duty),
    window_seconds=0.5,
    report_deadline_seconds=5.0,
    reacquire_delay_seconds=0.1,
)


@dataclasses.dataclass
class _Platform:
    """A platform that accepts all calls."""

    holders: list
    reports: list
    orders: list

    def of(self, holder):
        """Return the platform as seen by one entry VM."""
        return _Caller(platform=self, holder=holder)

    def reported(self):
        """Return the number of requests in all windows, each counted once."""
        counts = {
            one.window: sum(one.count_by_organisation.values())
            for one in self.reports
        }
        return sum(counts.values())


@dataclasses.dataclass
class _Caller:
    platform: _Platform
    holder: str

    async def report_usage(self, report, *, fencing):
        self.platform.holders.append((fencing, self.holder))
        self.platform.reports.append(report)
        return platform_calls.Accepted()

    async def order_runners(self, order, *, fencing):
        self.platform.holders.append((fencing, self.holder))
        self.platform.orders.append(order)
        return platform_calls.Accepted()


@pytest.fixture
def platform():
    return _Platform(holders=[], reports=[], orders=[])


@pytest.fixture
async def pair(world_of, platform, monkeypatch):
    """Return two routers of one failure domain, with an upstream."""
    monkeypatch.setattr(duties, "_RANK_WAIT_SECONDS", 0.2)
    first = await world_of(
        "vm-1", platform=platform.of("vm-1"), duties=SHORT_WINDOWS
    )
    second = await world_of(
        "vm-2",
        seeds=(first.settings.peer,),
        platform=platform.of("vm-2"),
        duties=SHORT_WINDOWS,
    )
    pool = declarations.Pool(
        name="portal",
        maximum_connections=64,
        scaling=runner_model.Scaling(
            minimum=1,
            maximum=10,
            boot_seconds=4.0,
            reclaimable_price=0.2,
            price_by_domain={"north": 1.0},
        ),
    )
    for world in (first, second):
        await world.declare(pools_by_name={"portal": pool})
    await first.add_upstream()
    for world in (first, second):
        await world.ready()
    return first, second


async def test_one_entry_vm_reports_the_counts_of_both(pair, platform):
    for world in pair:
        for number in range(5):
            answer = await world.ask(f"/lookups/{number}")
            assert answer.status == 200
    await wait_for(lambda: platform.reported() == 10)
    assert len(set(platform.holders)) == 1
    texts = [world.router.metrics_text().decode() for world in pair]
    assert sum("lagoonrun_holds_duties 1.0" in text for text in texts) == 1


async def test_one_entry_vm_orders_runners(pair, platform):
    await wait_for(lambda: len(platform.orders) >= 2)
    first = platform.orders[0]
    assert (first.pool, first.domain, first.count) == ("portal", "north", 8)
    assert first.kind is platform_calls.RunnerKind.RECLAIMABLE
    second = platform.orders[1]
    assert second.kind is platform_calls.RunnerKind.LASTING
    assert second.count == 2


async def test_planned_stop_hands_the_duties_over(pair, platform):
    """Without it, nobody would report for seconds after a planned stop."""
    await wait_for(lambda: platform.reports)
    fencing, holder = platform.holders[-1]
    stopping, other = pair
    if holder != "vm-1":
        stopping, other = other, stopping
    await stopping.router.stop()
    await wait_for(lambda: platform.holders[-1][1] != holder)
    assert platform.holders[-1][0] > fencing
    # It is alone now, and waits for no other of its failure domain.
    before = platform.reported()
    await other.ask("/lookups/1")
    await wait_for(lambda: platform.reported() > before)


async def test_router_without_duties_makes_no_calls_for_them(world, store):
    """Guards against leases, which cost calls to the store, without duties."""
    await world.add_upstream()
    await world.ready()
    assert (await world.ask("/lookups/1")).status == 200
    assert "lease" not in store.calls_by_kind
    assert world.router.metrics_text()
