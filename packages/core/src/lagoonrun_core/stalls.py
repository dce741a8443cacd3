"""Times in which the event loop of this process read no sockets."""

import collections
import enum
import logging

from lagoonrun_core import events, logs

STALL_SECONDS = 0.25
"""Time without a read above which the loop counts as stalled. It is the interval
at which connections are checked; the patience with peers is a second or more."""


class StallCause(enum.Enum):
    """What the event loop was doing during a stall."""

    WAITING = "waiting"
    """It waited for events for longer than it had asked for: the process was
    stopped or suspended, or got no processor time."""

    CALLBACKS = "callbacks"
    """It ran the callbacks of one iteration: they took so long, or the process
    was not run meanwhile."""


class Stalls:
    """Counts the stalls of one event loop.

    Time that the VM was suspended counts as well, so that the result can be
    subtracted from a clock that includes suspensions.

    Attributes
    ----------
    total_seconds
        Duration of all stalls.
    count_by_cause
        Number of stalls.
    late_timers
        Timers that waited for the sockets to be read.
    """

    def __init__(self) -> None:
        self.total_seconds = 0.0
        self.count_by_cause: collections.Counter[StallCause] = (
            collections.Counter()
        )
        self.late_timers = 0

    def record(self, seconds: float, cause: StallCause) -> None:
        """Count and log a stall."""
        self.total_seconds += seconds
        self.count_by_cause[cause] += 1
        logs.emit(
            events.LogEvent.EVENT_LOOP_STALLED,
            level=logging.WARNING,
            seconds=round(seconds, 3),
            cause=cause.value,
            late_timers=self.late_timers,
        )
