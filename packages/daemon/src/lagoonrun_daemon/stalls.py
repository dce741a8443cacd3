"""Detect times in which this process did not run."""

import asyncio
from collections.abc import Callable

from lagoonrun_core import clock as clocks

_TICK_SECONDS = 0.25
_STALL_SECONDS = 1.0


class StallDetector:
    """Task that detects freezes of the process by late ticks.

    When a frozen process (a paused VM, a stopped process) resumes, it reads
    messages that arrived meanwhile as if they were new, but its last tick was
    long ago. The event loop reads sockets before it runs due timers, so the
    stall is still visible when the first messages are processed.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._ticked_at = clock.monotonic()
        self._stall_ended_at = float("-inf")
        self._task: asyncio.Task[None] | None = None
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` at the end of each stall."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Start ticking."""
        self._ticked_at = self._clock.monotonic()
        self._task = asyncio.create_task(self._tick_forever())

    async def close(self) -> None:
        """Stop ticking."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def stalled_since(self, at: float) -> bool:
        """Return whether a stall has ended since `at`, or is ending now."""
        self.record_tick(self._clock.monotonic())
        return self._stall_ended_at > at

    def record_tick(self, now: float) -> None:
        """Record that the process runs at `now`; detect the end of a stall."""
        stalled = now - self._ticked_at > _STALL_SECONDS
        self._ticked_at = max(self._ticked_at, now)
        if not stalled:
            return
        self._stall_ended_at = now
        for listener in self._listeners:
            listener()

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            self.record_tick(self._clock.monotonic())
