"""Lower tiers stand back while a higher one is turned away."""

import pytest

from lagoonrun_router import pressure


@pytest.fixture
def pressed():
    return pressure.Pressure()


def test_only_lower_tiers_of_the_pool_are_kept_out(pressed):
    pressed.note("p", 2, now=0.0)
    assert pressed.keeps_out("p", 3, now=0.1)
    assert not pressed.keeps_out("p", 2, now=0.1)
    assert not pressed.keeps_out("p", 1, now=0.1)
    assert not pressed.keeps_out("q", 3, now=0.1)


def test_pressure_ends_by_itself(pressed):
    pressed.note("p", 1, now=0.0)
    assert not pressed.keeps_out("p", 3, now=pressure.PRESSURE_SECONDS)
    assert pressed.recent(now=pressure.PRESSURE_SECONDS) == ()


def test_what_peers_met_counts_by_its_age(pressed):
    told = pressure.Pressed(pool="p", tier=1, age_seconds=1.0)
    pressed.take_told(told, now=10.0)
    assert pressed.keeps_out("p", 3, now=10.0)
    assert not pressed.keeps_out("p", 3, now=10.6)


def test_told_pressure_is_not_made_younger_by_telling_it_on(pressed):
    """Two entry VMs tell each other of one failure again and again.

    Were it as new each time, it would never end.
    """
    pressed.note("p", 1, now=0.0)
    (told,) = pressed.recent(now=1.0)
    pressed.take_told(told, now=1.0)
    assert not pressed.keeps_out("p", 3, now=1.6)
