"""Lower tiers stand back while a higher one is turned away."""

import pytest

from lagoonrun_router import pressure


@pytest.fixture
def tier_pressure():
    return pressure.Pressure()


def note(tier_pressure, count, tier=1, now=0.0):
    for _ in range(count):
        tier_pressure.record_rejection("p", tier, now=now)


def told(count, tier=1):
    return (pressure.PressedTier(pool="p", tier=tier, requests=count),)


def test_only_lower_tiers_of_the_pool_are_kept_out(tier_pressure):
    note(tier_pressure, 3, tier=2)
    assert tier_pressure.higher_tier_pressed("p", 3, now=0.1)
    assert not tier_pressure.higher_tier_pressed("p", 2, now=0.1)
    assert not tier_pressure.higher_tier_pressed("p", 1, now=0.1)
    assert not tier_pressure.higher_tier_pressed("q", 3, now=0.1)


def test_single_failure_keeps_nobody_out(tier_pressure):
    """One caller of the highest tier gives up early.

    All requests of lower tiers in the fleet were refused for a second and a
    half, with half of the runners free.
    """
    note(tier_pressure, 1)
    tier_pressure.apply_report("vm-2", told(1), now=0.0)
    assert not tier_pressure.higher_tier_pressed("p", 3, now=0.1)


def test_failures_at_all_entry_vms_count_together(tier_pressure):
    note(tier_pressure, 1)
    tier_pressure.apply_report("vm-2", told(1), now=0.0)
    tier_pressure.apply_report("vm-3", told(1), now=0.0)
    assert tier_pressure.higher_tier_pressed("p", 3, now=0.1)


def test_peer_that_tells_again_is_not_counted_twice(tier_pressure):
    for now in (0.0, 0.1, 0.2):
        tier_pressure.apply_report("vm-2", told(1), now=now)
    assert not tier_pressure.higher_tier_pressed("p", 3, now=0.3)


def test_pressure_ends_by_itself(tier_pressure):
    note(tier_pressure, 5)
    tier_pressure.apply_report("vm-2", told(5), now=0.0)
    later = pressure.PRESSURE_SECONDS
    assert not tier_pressure.higher_tier_pressed("p", 3, now=later)
    assert tier_pressure.recent(now=later) == ()


def test_sum_of_the_fleet_counts_own_failures_once(tier_pressure):
    """A relay tells the failures of all, and those of this entry VM with them.

    Two of its own must not become the three that keep lower tiers out.
    """
    note(tier_pressure, 2)
    tier_pressure.apply_fleet_report(told(2), now=0.0)
    assert not tier_pressure.higher_tier_pressed("p", 3, now=0.1)
    tier_pressure.apply_fleet_report(told(3), now=0.1)
    assert tier_pressure.higher_tier_pressed("p", 3, now=0.1)
    assert not tier_pressure.higher_tier_pressed(
        "p", 3, now=0.1 + pressure.PRESSURE_SECONDS
    )


def test_sum_of_the_fleet_replaces_what_single_peers_told(tier_pressure):
    tier_pressure.apply_report("vm-2", told(3), now=0.0)
    tier_pressure.apply_fleet_report((), now=0.1)
    assert not tier_pressure.higher_tier_pressed("p", 3, now=0.1)
