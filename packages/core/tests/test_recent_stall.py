"""A stall is remembered until peers have been heard again."""

import pytest

from lagoonrun_core import recent_stall


class StallingClock:
    """Clock of a process whose stalls are set by a test."""

    def __init__(self):
        self.now = 100.0
        self.stalled = 0.0

    def running(self):
        """Return the time without stalls."""
        return self.now - self.stalled

    def stall(self, seconds):
        """Stand still."""
        self.now += seconds
        self.stalled += seconds


@pytest.fixture
def clock():
    return StallingClock()


@pytest.fixture
def stall(clock):
    return recent_stall.RecentStall(clock=clock, memory_seconds=2.0)


def test_stall_is_remembered_for_a_while(clock, stall):
    """Guards against peers counted as lost for a stall of the own process."""
    assert stall.seconds(now=clock.now) == 0.0
    clock.stall(2.5)
    assert stall.seconds(now=clock.now) == pytest.approx(2.5)
    clock.now += 1.9
    assert stall.seconds(now=clock.now) == pytest.approx(2.5)
    clock.now += 0.2
    assert stall.seconds(now=clock.now) == 0.0


def test_stalls_in_a_row_do_not_add_up(clock, stall):
    """Guards against a lost peer that a stalling process never notices."""
    for _ in range(20):
        clock.stall(0.4)
        clock.now += 0.3
        assert stall.seconds(now=clock.now) == pytest.approx(0.4)
