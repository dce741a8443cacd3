"""Timers with intervals that divide each other expire together."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_core import ticks


class Loop:
    """Event loop that has only a time."""

    def __init__(self, now):
        self._now = now

    def time(self):
        """Return the time."""
        return self._now


@given(now=st.floats(0.0, 1e7), interval=st.sampled_from([0.05, 0.25, 1.0]))
def test_next_tick_is_ahead_by_one_interval_at_most(now, interval):
    ahead = ticks.next_tick(Loop(now), interval) - now
    assert 0.0 < ahead <= interval * (1.0 + 2e-6)


@given(now=st.floats(0.0, 1e5))
def test_ticks_of_intervals_that_divide_each_other_coincide(now):
    """Otherwise each timer of a process needs a wake-up of its own."""
    second = ticks.next_tick(Loop(now), 1.0)
    before = Loop(second - 0.01)
    for interval in (0.05, 0.25):
        assert ticks.next_tick(before, interval) == pytest.approx(
            second, abs=1e-6
        )


async def test_sleep_ends_at_a_tick():
    loop = asyncio.get_running_loop()
    wanted = ticks.next_tick(loop, 0.05)
    await ticks.sleep_to_tick(0.05)
    assert loop.time() >= wanted - 1e-3
