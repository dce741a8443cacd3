"""The estimated speed of an upstream at one moment."""

import dataclasses

from lagoonrun_router import momentary_slowness


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
    mean_slowness
        Long-run mean, to which the slowness fades.
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
    mean_slowness: float = 1.0

    def tokens_per_second_over(self, tokens: float) -> float:
        """Return the prefill speed to expect for that many tokens from now on.

        A slow period ends before a long backlog is prefilled, so it matters
        less for more tokens.
        """
        seconds = tokens * self.mean_slowness / self.tokens_per_second
        return self.tokens_per_second / momentary_slowness.mean_over_interval(
            self.slowness, self.mean_slowness, seconds
        )

    @property
    def current_tokens_per_second(self) -> float:
        """Prefill speed that is expected now."""
        return self.tokens_per_second / self.slowness
