"""A function called periodically on the event loop, to check deadlines."""

import asyncio
from collections.abc import Callable

from lagoonrun_core import ticks


class PeriodicCall:
    """Calls a function at an interval between `start` and `close`.

    One sweep over all connections replaces a timer per read and write, which
    would cost more than relaying the data itself.

    Parameters
    ----------
    interval_seconds
        Time between two calls.
    function
        Function to call; must not block.
    """

    def __init__(
        self, *, interval_seconds: float, function: Callable[[], None]
    ) -> None:
        self._interval_seconds = interval_seconds
        self._function = function
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start calling; does nothing if already started."""
        if self._timer is None:
            self._schedule()

    def close(self) -> None:
        """Stop calling."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        due = ticks.next_tick(loop, self._interval_seconds)
        self._timer = loop.call_at(due, self._run)

    def _run(self) -> None:
        self._schedule()
        self._function()
