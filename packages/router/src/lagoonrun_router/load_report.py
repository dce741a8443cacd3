"""The load that an upstream reports in the head of an answer."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Load of one upstream at the time of an answer.

    Parameters
    ----------
    running, waiting
        Number of requests that run and that wait there.
    slots
        Number of requests that can run at once.
    slowness
        How long work takes at this moment, relative to the usual time: 1.0 is
        usual, 2.5 is two and a half times as long. None if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None
