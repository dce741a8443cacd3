"""Wall time that ignores the short jumps of a VM's clock."""

import pytest

from lagoonrun_duties import filtered_clock


class _JumpingClock:
    def __init__(self):
        self.steady = 100.0
        self.ahead = 0.0

    def monotonic(self):
        return self.steady

    def wall(self):
        return 1_000_000.0 + self.steady + self.ahead


@pytest.fixture
def jumping():
    return _JumpingClock()


def test_jump_that_is_mended_changes_nothing(jumping):
    """A window of usage is settled seconds before it is over.

    The clock of the holder jumps forwards by seconds and back again a moment
    later, as a wrong time server would make it.
    """
    time = filtered_clock.FilteredClock(clock=jumping)
    for _ in range(50):
        jumping.steady += 1.0
        jumping.ahead = 4.0
        assert time.now() == pytest.approx(1_000_000.0 + jumping.steady)
    jumping.ahead = 0.0
    jumping.steady += 100.0
    assert time.now() == pytest.approx(1_000_000.0 + jumping.steady)


def test_jump_that_lasts_is_believed(jumping):
    """The clock was wrong at the start and is set right later."""
    time = filtered_clock.FilteredClock(clock=jumping)
    jumping.ahead = -4.0
    time.now()
    jumping.steady += filtered_clock.LASTING_SECONDS
    assert time.now() == pytest.approx(1_000_000.0 + jumping.steady - 4.0)


def test_drift_is_followed_at_once(jumping):
    time = filtered_clock.FilteredClock(clock=jumping)
    for _ in range(20):
        jumping.steady += 1.0
        jumping.ahead += 0.1
        assert time.now() == jumping.wall()
