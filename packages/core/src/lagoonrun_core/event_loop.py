"""Event loop that reads its sockets before it acts on timers that are late.

A process that was stopped, paused or short of processor time finds its timers
due and data waiting at once. `select.epoll.poll` then returns no data: it tries
again after a signal only with the time that is left, and returns an empty list
if there is none. The loop of asyncio would run the timers first, and each would
report silence where the data lies unread.
"""

import asyncio
import collections
import contextvars
import functools
import selectors
import time
from collections.abc import Callable, Sequence
from typing import Any

from lagoonrun_core import stalls as stalls_module

LATE_SECONDS = 0.05
"""Lateness above which a timer waits for the sockets to be read. Timers of an
idle process expire within 2 ms; a stop of 75 ms in each 100 ms is noticed."""

_READING_ITERATIONS = 8
"""Iterations of the loop that a late timer waits for.

The first one reads the sockets; the others run what the data wakes up. Opening
a connection takes the most in use: four iterations from the event of its socket
to the task that waits for it.
"""


_STALL_SECONDS = stalls_module.STALL_SECONDS
_StallCause = stalls_module.StallCause


_boot_time = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)


class StallAwareEventLoop(asyncio.SelectorEventLoop):
    """Selector event loop whose late timers run after the sockets were read.

    A timer that is late by more than `LATE_SECONDS` runs some iterations later:
    what had arrived by then has been read, and the tasks that wait for it have
    run. The others run as in asyncio.

    Parameters
    ----------
    stalls
        Records the times in which the loop did not read its sockets.
    """

    def __init__(self, *, stalls: stalls_module.Stalls) -> None:
        super().__init__(selector=StallRecordingSelector(stalls=stalls))
        self._stalls = stalls
        self._late_calls: collections.deque[tuple[int, _TimerCall]] = (
            collections.deque()
        )
        self._iteration = 0

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a time of the loop."""
        call = _TimerCall(self, when, callback, args)
        call.handle = super().call_at(when, call, context=context)
        return call.handle

    def must_delay(self, when: float) -> bool:
        """Return whether a timer has to wait, itself late or behind others."""
        return bool(self._late_calls) or self.time() - when > LATE_SECONDS

    def delay_late_call(self, call: "_TimerCall") -> None:
        """Run a late call once the sockets were read and tasks have run."""
        if not self._late_calls:
            self.call_soon(self._run_late_calls)
        due = self._iteration + _READING_ITERATIONS
        self._late_calls.append((due, call))
        self._stalls.late_timers += 1

    def _run_late_calls(self) -> None:
        """Run the delayed calls that are due; called once in an iteration."""
        self._iteration += 1
        while self._late_calls and self._late_calls[0][0] <= self._iteration:
            _, call = self._late_calls.popleft()
            # In the context of the call, not in the one of this function.
            self.call_soon(call.run_late, context=call.context)
        if self._late_calls:
            self.call_soon(self._run_late_calls)


class _TimerCall:
    """A callback of a timer, which may be delayed once."""

    __slots__ = ("_args", "_callback", "_loop", "_when", "context", "handle")

    def __init__(
        self,
        loop: StallAwareEventLoop,
        when: float,
        callback: Callable[..., object],
        args: Sequence[Any],
    ) -> None:
        self._loop = loop
        self._when = when
        self._callback = callback
        self._args = args

    def __call__(self) -> None:
        """Run the callback, or delay it if the timer is late."""
        if self._loop.must_delay(self._when):
            self.context = contextvars.copy_context()
            self._loop.delay_late_call(self)
            return
        # The handle refers to this object; without the reference back there is
        # no cycle that only the garbage collector could free.
        self.handle = None
        self._callback(*self._args)

    def run_late(self) -> None:
        """Run the callback unless its timer was cancelled meanwhile."""
        handle, self.handle = self.handle, None
        if not handle.cancelled():
            self._callback(*self._args)


class StallRecordingSelector(selectors.DefaultSelector):
    """Selector that records the times in which the loop read nothing.

    Parameters
    ----------
    stalls
        Records the times.
    read_clock
        Returns seconds, including suspensions.
    """

    def __init__(
        self,
        *,
        stalls: stalls_module.Stalls,
        read_clock: Callable[[], float] = _boot_time,
    ) -> None:
        super().__init__()
        self._stalls = stalls
        self._read_clock = read_clock
        self._wait_ended_at = read_clock()

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events; record whether it was late, or took too long."""
        # Called once in each iteration; what it does costs processor time.
        began_at = self._read_clock()
        if began_at - self._wait_ended_at >= _STALL_SECONDS:
            self._stalls.record(
                began_at - self._wait_ended_at, _StallCause.CALLBACKS
            )
        events = super().select(timeout)
        ended_at = self._wait_ended_at = self._read_clock()
        if timeout is not None:
            late_seconds = ended_at - began_at - max(0.0, timeout)
            if late_seconds >= _STALL_SECONDS:
                self._stalls.record(late_seconds, _StallCause.WAITING)
        return events
