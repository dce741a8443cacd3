"""Timeouts that don't count the time in which this process read nothing."""

import asyncio
import types

from lagoonrun_core import clock as clocks
from lagoonrun_core import stalls

_MIN_ADDED_SECONDS = stalls.STALL_SECONDS / 2
"""Below any stall that is recorded, and above the time between two readings."""


class PatienceTimeout:
    """Asynchronous context manager like `asyncio.timeout`.

    For waits for somebody else's answer: an answer can't be missed before this
    process was able to read it. The time limits of requests and the ages of
    data are real time and use `asyncio.timeout` and `Clock.monotonic`.

    Parameters
    ----------
    seconds
        Time to wait; None for no limit.
    clock
        Clock that knows the stalls of this process.
    """

    def __init__(self, seconds: float | None, *, clock: clocks.Clock) -> None:
        self._seconds = seconds
        self._clock = clock
        self._scope = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        """Start the timeout."""
        await self._scope.__aenter__()
        if self._seconds is not None:
            self._stalled_seconds = self._read_stalled()
            self._schedule(self._seconds)

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> bool | None:
        """End the timeout; raises `TimeoutError` if it has expired."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        return await self._scope.__aexit__(error_type, error, trace)

    def _schedule(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._expire_or_extend)

    def _expire_or_extend(self) -> None:
        stalled_seconds = self._read_stalled()
        added_seconds = stalled_seconds - self._stalled_seconds
        if added_seconds >= _MIN_ADDED_SECONDS:
            self._stalled_seconds = stalled_seconds
            # A suspension may be long, and did not count in the first place.
            self._schedule(min(added_seconds, self._seconds))
        else:
            self._timer = None
            self._scope.reschedule(asyncio.get_running_loop().time())

    def _read_stalled(self) -> float:
        return self._clock.monotonic() - self._clock.running()
