"""Waits for answers don't count stalls of the own process."""

import asyncio
import time

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_core import event_loop, patience, stalls

_STALL_SECONDS = 0.4


def run_in_loop(main):
    """Run a coroutine function with a clock that knows the loop's stalls."""
    recorder = stalls.Stalls()
    clock = clocks.SuspendAwareClock(stalls=recorder)
    with asyncio.Runner(
        loop_factory=lambda: event_loop.StallAwareEventLoop(stalls=recorder)
    ) as runner:
        return runner.run(main(clock))


def test_answer_to_what_was_sent_after_a_stall_is_awaited():
    """Guards against patience that is used up before the request was sent."""

    async def main(clock):
        loop = asyncio.get_running_loop()
        answer = loop.create_future()

        def send_after_stall():
            time.sleep(_STALL_SECONDS)
            loop.call_later(0.1, answer.set_result, "answer")

        loop.call_soon(send_after_stall)
        async with patience.PatienceTimeout(0.2, clock=clock):
            return await answer

    assert run_in_loop(main) == "answer"


def test_silence_after_a_stall_ends_the_wait():
    """Guards against a wait that a stall makes endless."""

    async def main(clock):
        loop = asyncio.get_running_loop()
        loop.call_soon(time.sleep, _STALL_SECONDS)
        began_at = loop.time()
        with pytest.raises(TimeoutError):
            async with patience.PatienceTimeout(0.1, clock=clock):
                await loop.create_future()
        return loop.time() - began_at

    # A stall adds no more than the whole wait.
    assert run_in_loop(main) < _STALL_SECONDS + 0.1 + 0.15


def test_wait_without_a_stall_ends_in_time():
    """Guards against a longer wait in a process that runs all along."""

    async def main(clock):
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        with pytest.raises(TimeoutError):
            async with patience.PatienceTimeout(0.05, clock=clock):
                await loop.create_future()
        return loop.time() - began_at

    assert 0.05 <= run_in_loop(main) < 0.15


def test_no_limit_never_ends():
    """Guards against a limit where none was asked for."""

    async def main(clock):
        async with patience.PatienceTimeout(None, clock=clock):
            await asyncio.sleep(0.01)
        return True

    assert run_in_loop(main)


def test_clock_of_running_time_leaves_out_stalls():
    """Guards against silence that is counted while nothing was read."""
    recorder = stalls.Stalls()
    clock = clocks.SuspendAwareClock(stalls=recorder)
    before = clock.running()
    recorder.record(5.0, stalls.StallCause.WAITING)
    assert clock.running() - before == pytest.approx(-5.0, abs=0.1)
