"""What one entry VM knows of one start of an upstream."""

import dataclasses

from lagoonrun_core import types
from lagoonrun_router import momentary_slowness, robust_rate


@dataclasses.dataclass(kw_only=True, slots=True)
class UpstreamState:
    """What is known of one start of an upstream.

    Parameters
    ----------
    speed, service
        Prefill speed in tokens a second, and inverse of the service time.
    small_tokens, small_seconds
        Of short prefills that do not make a sample yet.
    states_slowness
        Whether the newest report stated the slowness.
    reported_at
        Time of the newest report; None without one.
    """

    start: types.UpstreamStart
    speed: robust_rate.RobustRate = dataclasses.field(
        default_factory=robust_rate.RobustRate
    )
    service: robust_rate.RobustRate = dataclasses.field(
        default_factory=robust_rate.RobustRate
    )
    slowness: momentary_slowness.MomentarySlowness = dataclasses.field(
        default_factory=momentary_slowness.MomentarySlowness
    )
    small_tokens: float = 0.0
    small_seconds: float = 0.0
    states_slowness: bool = False
    running: int | None = None
    waiting: int | None = None
    reported_at: float | None = None
