"""The stall of this process that ended last, while peers report again."""

from lagoonrun_core import clock as clocks
from lagoonrun_core import stalls

_MIN_STALL_SECONDS = stalls.STALL_SECONDS / 2
"""Below any stall that is recorded, and above the time between two readings."""


class RecentStall:
    """Remembers the last stall for a while.

    For checks of when a peer was heard last: after a stall a peer is silent by
    the clock, until its next message is read.

    Parameters
    ----------
    clock
        Clock that knows the stalls of this process.
    memory_seconds
        How long after its end a stall is remembered.
    """

    def __init__(self, *, clock: clocks.Clock, memory_seconds: float) -> None:
        self._clock = clock
        self._memory_seconds = memory_seconds
        self._total_seconds = 0.0
        self._last_seconds = 0.0
        self._noticed_at = float("-inf")

    def seconds(self, *, now: float) -> float:
        """Return the duration of the last stall; 0 if it is long over.

        Only the last one: a process that stalls again and again notices a lost
        peer later, but does notice it.
        """
        total_seconds = now - self._clock.running()
        added_seconds = total_seconds - self._total_seconds
        if added_seconds >= _MIN_STALL_SECONDS:
            self._total_seconds = total_seconds
            self._last_seconds = added_seconds
            self._noticed_at = now
        if now - self._noticed_at >= self._memory_seconds:
            return 0.0
        return self._last_seconds
