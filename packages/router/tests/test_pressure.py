"""Lower tiers are rejected while a higher tier can't be admitted."""

import pytest

from lagoonrun_router import pressure


@pytest.fixture
def tier_pressure():
    return pressure.Pressure()


def record_rejections(tier_pressure, count, tier=1, now=0.0):
    for _ in range(count):
        tier_pressure.record_rejection("p", tier, now=now)


def reported(count, tier=1):
    return (pressure.PressedTier(pool="p", tier=tier, requests=count),)


def test_only_lower_tiers_of_the_pool_are_blocked(tier_pressure):
    record_rejections(tier_pressure, 3, tier=2)
    assert tier_pressure.higher_tier_pressed("p", 3, now=0.1)
    assert not tier_pressure.higher_tier_pressed("p", 2, now=0.1)
    assert not tier_pressure.higher_tier_pressed("p", 1, now=0.1)
    assert not tier_pressure.higher_tier_pressed("q", 3, now=0.1)


def test_single_rejection_blocks_no_tier(tier_pressure):
    """Guards against a single failure that blocks all lower tiers.

    When one caller of the highest tier gave up early, the fleet rejected all
    requests of lower tiers for 1.5 s with half of the runners idle.
    """
    record_rejections(tier_pressure, 1)
    tier_pressure.apply_report("vm-2", reported(1), now=0.0)
    assert not tier_pressure.higher_tier_pressed("p", 3, now=0.1)


def test_failures_at_all_entry_vms_count_together(tier_pressure):
    record_rejections(tier_pressure, 1)
    tier_pressure.apply_report("vm-2", reported(1), now=0.0)
    tier_pressure.apply_report("vm-3", reported(1), now=0.0)
    assert tier_pressure.higher_tier_pressed("p", 3, now=0.1)


def test_repeated_report_of_a_peer_is_not_counted_twice(tier_pressure):
    for now in (0.0, 0.1, 0.2):
        tier_pressure.apply_report("vm-2", reported(1), now=now)
    assert not tier_pressure.higher_tier_pressed("p", 3, now=0.3)


def test_pressure_expires(tier_pressure):
    record_rejections(tier_pressure, 5)
    tier_pressure.apply_report("vm-2", reported(5), now=0.0)
    later = pressure.PRESSURE_SECONDS
    assert not tier_pressure.higher_tier_pressed("p", 3, now=later)
    assert tier_pressure.recent(now=later) == ()


def test_sum_of_the_fleet_counts_own_failures_once(tier_pressure):
    """A relay reports the rejections at all entry VMs, including this one.

    Two own ones must not count twice and reach the three that block lower
    tiers.
    """
    record_rejections(tier_pressure, 2)
    tier_pressure.apply_fleet_report(reported(2), now=0.0)
    assert not tier_pressure.higher_tier_pressed("p", 3, now=0.1)
    tier_pressure.apply_fleet_report(reported(3), now=0.1)
    assert tier_pressure.higher_tier_pressed("p", 3, now=0.1)
    assert not tier_pressure.higher_tier_pressed(
        "p", 3, now=0.1 + pressure.PRESSURE_SECONDS
    )


def test_sum_of_the_fleet_replaces_reports_of_single_peers(tier_pressure):
    tier_pressure.apply_report("vm-2", reported(3), now=0.0)
    tier_pressure.apply_fleet_report((), now=0.1)
    assert not tier_pressure.higher_tier_pressed("p", 3, now=0.1)
