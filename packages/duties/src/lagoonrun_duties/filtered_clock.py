"""Wall time of a VM whose clock may be set wrong for a while.

Windows of usage follow true time. A VM's clock is near to it, but may jump by
seconds and jump back. A count in the wrong window is wrong in two of them, and a
holder whose clock is ahead would settle a window before it is over.

Believed is the wall clock as it was read at the start, carried on by the steady
clock, with small differences taken over as they come. A jump is believed only
once it has lasted: a clock that was set right stays so, one that was set wrong is
mended by then.
"""

from lagoonrun_core import clock as clocks

_SMALL_SECONDS = 0.25
"""Difference that is no jump: drift between two readings, or a late reading."""

LASTING_SECONDS = 60.0
"""Time after which a jump is believed. Wrong clocks are mended within seconds to
a minute; until then a window would be off by the jump."""


class FilteredClock:
    """Readings of the wall clock without its short jumps.

    Parameters
    ----------
    clock
        The steady and the wall clock of this VM.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._offset = clock.wall() - clock.monotonic()
        self._jumped_at: float | None = None

    def now(self) -> float:
        """Return seconds since the Unix epoch."""
        steady = self._clock.monotonic()
        offset = self._clock.wall() - steady
        if abs(offset - self._offset) < _SMALL_SECONDS:
            self._offset = offset
            self._jumped_at = None
        elif self._jumped_at is None:
            self._jumped_at = steady
        elif steady - self._jumped_at >= LASTING_SECONDS:
            self._offset = offset
            self._jumped_at = None
        return steady + self._offset
