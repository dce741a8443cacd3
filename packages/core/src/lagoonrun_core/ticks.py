"""Timers of one process that fall due together.

A small VM pays for each time that its process wakes up. Timers with intervals
that divide each other and that all count from the same moment wake it once for
all of them: a dozen timers between 0.05 and 1 s cost 20 wake-ups a second in
place of 60.
"""

import asyncio
import math

_ROUNDING = 1e-6
"""Part of an interval by which a timer may fire early, as numbers are rounded: the
tick that it was set for has passed then."""


def next_tick(
    loop: asyncio.AbstractEventLoop, interval_seconds: float
) -> float:
    """Return the loop's time of the next whole multiple of an interval."""
    passed = math.floor(loop.time() / interval_seconds + _ROUNDING)
    return (passed + 1) * interval_seconds


async def sleep_to_tick(interval_seconds: float) -> None:
    """Sleep until the next whole multiple of an interval."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(next_tick(loop, interval_seconds) - loop.time())
