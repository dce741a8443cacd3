"""The estimated speed of an upstream at one moment."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class SpeedEstimate:
    """Estimated speed and reported load of an upstream.

    Parameters
    ----------
    tokens_per_second
        Lasting prefill speed at usual slowness.
    relative_speed
        Lasting speed relative to the median of the known upstreams.
    slowness
        Expected now; 1.0 is usual.
    service_seconds
        Usual service time of a plain service at usual slowness; None if
        unknown.
    running, waiting
        Reported number of requests; None if unknown or outdated.
    age_seconds
        Age of the newest load report; None without one.
    samples
        Number of measurements behind the lasting speed or the service time.
    """

    tokens_per_second: float
    relative_speed: float
    slowness: float
    service_seconds: float | None
    running: int | None
    waiting: int | None
    age_seconds: float | None
    samples: int

    @property
    def current_tokens_per_second(self) -> float:
        """Prefill speed that is expected now."""
        return self.tokens_per_second / self.slowness
