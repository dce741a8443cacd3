"""How many runners of which kind a pool should have.

The load is that of a fleet of three failure domains with up to 47 runners each:
1.0 million prompt tokens a second at low load, 2.4 million in bursts, and two
domains that lose their reclaimable runners within three seconds.
"""

import dataclasses

import pytest

from lagoonrun_core import types
from lagoonrun_duties import runner_model, runner_plan

MAX_RUNNERS = 47
TOKENS_PER_SECOND = 40_000.0
"""Prefill rate of a runner."""

BURST = runner_model.PoolDemand(prompt_tokens_per_second=2.4e6)


def view(**scaling):
    values = {
        "minimum": 1,
        "maximum": MAX_RUNNERS,
        "boot_seconds": 4.0,
        "reclaimable_price": 0.18,
        "price_by_domain": {"north": 0.85, "south": 1.2, "west": 1.0},
    }
    limits = runner_model.Scaling(**{**values, **scaling})
    return runner_model.PoolView(
        pool=types.PoolName("readers"),
        scaling=limits,
        domains=tuple(
            runner_model.DomainRunners(domain=name)
            for name in limits.price_by_domain
        ),
        demand=BURST,
    )


def desired(**scaling):
    return runner_plan.MixedPlan().desired(view(**scaling))


def test_pool_outlasts_the_loss_of_two_domains_in_a_burst():
    """Guards against a third of the requests failing for ten seconds.

    They are late or refused when two of three domains lose their reclaimable
    runners in a burst, and none are available. The remaining runners must
    prefill all prompts of the burst.
    """
    first, *others = desired()
    left = first.lasting + first.reclaimable
    left += sum(one.lasting for one in others)
    assert left * TOKENS_PER_SECOND >= BURST.prompt_tokens_per_second


def test_pool_costs_a_third_of_what_it_costs_with_lasting_runners():
    """Runners are the largest cost of a day of low load."""
    price = sum(one.lasting + 0.18 * one.reclaimable for one in desired())
    assert price < 0.36 * 3 * MAX_RUNNERS


def test_no_domain_gets_more_than_the_pool_may_have():
    for maximum in range(1, 60):
        for one in desired(maximum=maximum):
            assert one.lasting + one.reclaimable == maximum
            assert one.lasting >= 1


def test_runners_that_save_nothing_are_not_ordered():
    for one in desired(reclaimable_price=1.0):
        assert (one.lasting, one.reclaimable) == (MAX_RUNNERS, 0)


@pytest.mark.parametrize("lasting", [0, 3, MAX_RUNNERS])
def test_existing_runners_change_nothing(lasting):
    """Guards against orders that follow the runners already registered.

    An earlier plan took the number of registered runners as the desired number,
    and so removed runners that registered a moment later.
    """
    known = view()
    present = dataclasses.replace(
        known,
        domains=tuple(
            dataclasses.replace(one, lasting=lasting) for one in known.domains
        ),
    )
    plan = runner_plan.MixedPlan()
    assert plan.desired(present) == plan.desired(known)
