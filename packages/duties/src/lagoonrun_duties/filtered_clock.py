"""Wall-clock time of a VM, with short steps of its clock filtered out.

Windows of usage follow wall-clock time. The clock of a VM is close to it, but
may be stepped by seconds and back again. A count in the wrong window makes two
windows wrong, and a holder whose clock is ahead would settle a window before
its end.

The filtered time is the wall clock as read at the start, advanced by the
monotonic clock. Small differences between the two are followed as they occur. A
step is accepted only once it has lasted: a correction persists, while a wrong
step has been corrected by then.
"""

from lagoonrun_core import clock as clocks

_MAX_DRIFT_SECONDS = 0.25
"""Largest difference that is not a step but drift or a delayed reading."""

STEP_ACCEPTANCE_SECONDS = 60.0
"""Time after which a step is accepted. Wrong clocks are corrected within
seconds to a minute; until then a window would be off by the step."""


class FilteredClock:
    """The wall clock without its short steps.

    Parameters
    ----------
    clock
        The monotonic clock and the wall clock of this VM.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._offset = clock.wall() - clock.monotonic()
        self._stepped_at: float | None = None

    def now(self) -> float:
        """Return seconds since the Unix epoch."""
        monotonic = self._clock.monotonic()
        offset = self._clock.wall() - monotonic
        if abs(offset - self._offset) < _MAX_DRIFT_SECONDS:
            self._offset = offset
            self._stepped_at = None
        elif self._stepped_at is None:
            self._stepped_at = monotonic
        elif monotonic - self._stepped_at >= STEP_ACCEPTANCE_SECONDS:
            self._offset = offset
            self._stepped_at = None
        return monotonic + self._offset
