"""How many runners of which kind: calm, bursts, and domains that lose theirs.

The figures are those of a fleet of three failure domains with up to 47 runners
each, of which a runner reads some 40,000 prompt tokens a second: 1.0 million
tokens a second in calm, 2.4 million in the bursts of its heaviest days.
"""

import dataclasses

import pytest

from lagoonrun_core import types
from lagoonrun_duties import runner_model, runner_plan

MOST = 47
CALM = runner_model.PoolDemand(prompt_tokens_per_second=1.0e6)
BURST = runner_model.PoolDemand(prompt_tokens_per_second=2.4e6)


class _Pool:
    def __init__(self):
        self.plan = runner_plan.ReclaimablePlan()
        self.now = 0.0
        self.demand = CALM
        self.by_domain = {
            name: runner_model.DomainRunners(domain=name, reclaimable=MOST)
            for name in ("north", "south", "west")
        }

    def change(self, domain, **changes):
        known = self.by_domain[domain]
        self.by_domain[domain] = dataclasses.replace(known, **changes)

    def wanted(self, seconds=0.25):
        self.now += seconds
        view = runner_model.PoolView(
            pool=types.PoolName("readers"),
            scaling=runner_model.Scaling(
                minimum=1,
                maximum=MOST,
                boot_seconds=4.0,
                reclaimable_price=0.18,
                price_by_domain=dict.fromkeys(self.by_domain, 1.0),
            ),
            domains=tuple(self.by_domain.values()),
            demand=self.demand,
        )
        wanted = self.plan.wanted(view, now=self.now)
        return {one.domain: one for one in wanted}

    def lasting(self, seconds=0.25):
        return {name: one.lasting for name, one in self.wanted(seconds).items()}


@pytest.fixture
def pool():
    return _Pool()


def test_whole_pool_is_reclaimable_while_nothing_is_lost(pool):
    for demand in (CALM, BURST):
        pool.demand = demand
        for one in pool.wanted().values():
            assert (one.lasting, one.reclaimable) == (0, MOST)


def test_domain_that_loses_its_runners_in_a_burst_gets_lasting_ones(pool):
    """A second domain loses its runners three seconds after the first.

    Within seconds of the notice two thirds of the pool are gone, in a burst,
    and none are to be had for ten seconds: a third of the callers of the next
    ten seconds were late or refused.
    """
    pool.demand = BURST
    pool.wanted()
    pool.change("north", reclaimable=0, leaving_reclaimable=MOST)
    lasting = pool.lasting()
    assert lasting["south"] == lasting["west"] == 0
    # 75 runners for the burst, of which 47 would be left.
    assert lasting["north"] == MOST // 2
    pool.change("south", reclaimable=0, leaving_reclaimable=MOST)
    lasting = pool.lasting()
    assert lasting["north"] == MOST // 2
    assert lasting["north"] + lasting["south"] >= 75 - MOST


def test_calm_pool_bears_the_loss_of_a_domain_without_lasting_runners(pool):
    pool.wanted()
    pool.change("north", reclaimable=0, leaving_reclaimable=MOST)
    assert pool.lasting()["north"] == 0


def test_first_news_of_leaving_runners_count_for_the_whole_domain(pool):
    """News of leaving runners come one by one, within a second."""
    pool.demand = BURST
    pool.wanted()
    pool.change("north", reclaimable=MOST - 12, leaving_reclaimable=12)
    assert pool.lasting()["north"] > 0


@pytest.mark.parametrize("leaving", [1, 5])
def test_few_runners_that_leave_are_no_loss_of_a_domain(pool, leaving):
    """Runners that are replaced in turn, or taken away by operators."""
    pool.demand = BURST
    pool.wanted()
    pool.change(
        "north", reclaimable=MOST - leaving, leaving_reclaimable=leaving
    )
    assert pool.lasting()["north"] == 0


def test_lasting_runners_stay_until_reclaimable_ones_serve(pool):
    """Lasting ones are sent away when cheaper ones are ordered.

    Those take four seconds to boot, and for so long there were neither.
    """
    pool.demand = BURST
    pool.wanted()
    pool.change("north", reclaimable=0, unavailable=True)
    assert pool.lasting()["north"] > 0
    pool.change("north", lasting=23, unavailable=False)
    assert pool.lasting(4.0)["north"] > 0
    pool.change("north", reclaimable=MOST - 23)
    assert pool.lasting()["north"] == 0


def test_burst_is_remembered_when_a_domain_is_lost_after_it(pool):
    pool.demand = BURST
    pool.wanted()
    pool.demand = CALM
    pool.change("north", reclaimable=0, leaving_reclaimable=MOST)
    assert pool.lasting(2.0)["north"] > 20
    pool.change("north", reclaimable=MOST, leaving_reclaimable=0)
    assert pool.lasting(60.0)["north"] == 0
    pool.change("north", reclaimable=0, leaving_reclaimable=MOST)
    assert pool.lasting()["north"] == 0


def test_lasting_runners_do_not_leave_while_their_domain_is_short(pool):
    """What they have read is lost, and is read again by others in a burst."""
    pool.demand = BURST
    pool.wanted()
    pool.change("north", reclaimable=0, unavailable=True)
    before = pool.lasting()["north"]
    pool.demand = CALM
    pool.change("south", reclaimable=0, unavailable=True)
    assert pool.lasting(15.0)["north"] == before


def test_both_kinds_together_stay_within_the_limit(pool):
    """Reclaimable runners don't come back, as lasting ones fill the domain."""
    pool.demand = runner_model.PoolDemand(prompt_tokens_per_second=1.0e9)
    for name in pool.by_domain:
        pool.change(name, reclaimable=0, unavailable=True)
    for one in pool.wanted().values():
        assert one.lasting > 0
        assert one.reclaimable >= MOST // 2
        assert one.lasting + one.reclaimable == MOST
