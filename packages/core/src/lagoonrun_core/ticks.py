"""Aligned timers of one process, which save wake-ups.

Each wake-up of a process costs processor time, which matters on a small VM.
Timers whose intervals divide each other expire together if they count from the
same origin: a dozen timers between 0.05 and 1 s then need 20 wake-ups a second
instead of 60.
"""

import asyncio
import math

_ROUNDING = 1e-6
"""Fraction of an interval by which a timer may expire early by rounding. Its
tick then counts as passed."""


def next_tick(
    loop: asyncio.AbstractEventLoop, interval_seconds: float
) -> float:
    """Return the loop time of the next integer multiple of an interval."""
    passed = math.floor(loop.time() / interval_seconds + _ROUNDING)
    return (passed + 1) * interval_seconds


async def sleep_to_tick(interval_seconds: float) -> None:
    """Sleep until the next integer multiple of an interval."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(next_tick(loop, interval_seconds) - loop.time())
