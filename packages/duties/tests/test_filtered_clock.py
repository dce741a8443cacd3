"""Wall-clock time without the short steps of a VM's clock."""

import pytest

from lagoonrun_duties import filtered_clock


class _SteppingClock:
    def __init__(self):
        self.monotonic_seconds = 100.0
        self.offset = 0.0

    def monotonic(self):
        return self.monotonic_seconds

    def wall(self):
        return 1_000_000.0 + self.monotonic_seconds + self.offset


@pytest.fixture
def stepping():
    return _SteppingClock()


def test_step_that_is_reverted_changes_nothing(stepping):
    """Guards against settling a usage window seconds before its end.

    The clock of the holder steps forward by seconds and back a moment later, as
    a wrong time server would make it.
    """
    time = filtered_clock.FilteredClock(clock=stepping)
    for _ in range(50):
        stepping.monotonic_seconds += 1.0
        stepping.offset = 4.0
        assert time.now() == pytest.approx(
            1_000_000.0 + stepping.monotonic_seconds
        )
    stepping.offset = 0.0
    stepping.monotonic_seconds += 100.0
    assert time.now() == pytest.approx(1_000_000.0 + stepping.monotonic_seconds)


def test_step_that_lasts_is_accepted(stepping):
    """The clock was wrong at the start and is corrected later."""
    time = filtered_clock.FilteredClock(clock=stepping)
    stepping.offset = -4.0
    time.now()
    stepping.monotonic_seconds += filtered_clock.STEP_ACCEPTANCE_SECONDS
    assert time.now() == pytest.approx(
        1_000_000.0 + stepping.monotonic_seconds - 4.0
    )


def test_drift_is_followed_at_once(stepping):
    time = filtered_clock.FilteredClock(clock=stepping)
    for _ in range(20):
        stepping.monotonic_seconds += 1.0
        stepping.offset += 0.1
        assert time.now() == stepping.wall()
