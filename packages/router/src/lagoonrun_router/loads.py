"""Load at an upstream, and the in-flight requests that it consists of."""

import dataclasses
import itertools

from lagoonrun_core import types

MIN_OVERDUE_SECONDS = 0.6
OVERDUE_WAIT_FACTOR = 3.0
"""The first event of an answer is overdue after the longer of this minimum and
this multiple of the expected wait. It is the only sign of a runner whose host
is gone or that no longer answers: its connections stay open, and its callers
leave after two seconds."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Load at one upstream.

    Parameters
    ----------
    waiting_by_tier
        Prompt tokens, except cached ones, of requests without a first event;
        the first element is that of the highest tier.
    running
        Number of requests that have not ended.
    sensitive
        Number of running streams weighted by their sensitivity to pauses: a
        stream whose longest allowed pause is one second counts as one.
    held_tokens
        Prompt tokens, except cached ones, of requests that have not ended.
    overdue
        Number of requests whose first event is overdue.
    running_by_tier
        The part of `running` whose tier is known, by tier; the first element
        is that of the highest tier.
    """

    waiting_by_tier: tuple[float, ...] = ()
    running: int = 0
    sensitive: float = 0.0
    held_tokens: float = 0.0
    overdue: int = 0
    running_by_tier: tuple[int, ...] = ()

    def running_through(self, tier: types.Tier) -> int:
        """Return the requests of `tier` and higher ones, or of unknown tier."""
        return self.running - sum(self.running_by_tier[tier:])

    @property
    def waiting_tokens(self) -> float:
        """Waiting prompt tokens of all tiers."""
        return sum(self.waiting_by_tier)

    def waiting_before(self, tier: types.Tier) -> float:
        """Return the waiting tokens that precede new ones of `tier`."""
        return sum(self.waiting_by_tier[:tier])

    def plus(self, other: "Load") -> "Load":
        """Return the sum of both loads."""
        return Load(
            waiting_by_tier=tuple(
                own + more
                for own, more in itertools.zip_longest(
                    self.waiting_by_tier, other.waiting_by_tier, fillvalue=0.0
                )
            ),
            running=self.running + other.running,
            sensitive=self.sensitive + other.sensitive,
            held_tokens=self.held_tokens + other.held_tokens,
            overdue=self.overdue + other.overdue,
            running_by_tier=tuple(
                own + more
                for own, more in itertools.zip_longest(
                    self.running_by_tier, other.running_by_tier, fillvalue=0
                )
            ),
        )

    def without(self, part: "Load") -> "Load":
        """Return this load without a part of it, clamped to be non-negative."""
        return Load(
            waiting_by_tier=tuple(
                max(0.0, whole - less)
                for whole, less in itertools.zip_longest(
                    self.waiting_by_tier, part.waiting_by_tier, fillvalue=0.0
                )
            ),
            running=max(0, self.running - part.running),
            sensitive=max(0.0, self.sensitive - part.sensitive),
            held_tokens=max(0.0, self.held_tokens - part.held_tokens),
            overdue=max(0, self.overdue - part.overdue),
            running_by_tier=tuple(
                max(0, whole - less)
                for whole, less in itertools.zip_longest(
                    self.running_by_tier, part.running_by_tier, fillvalue=0
                )
            ),
        )


NO_LOAD = Load()


@dataclasses.dataclass(kw_only=True, eq=False)
class InFlightRequest:
    """One request at one upstream, from its sending to its end.

    Compared by identity: two requests with equal fields are counted, and end,
    separately.

    Parameters
    ----------
    new_tokens
        Prompt tokens, except cached ones.
    sensitivity
        Its part of `Load.sensitive`.
    overdue_at
        Monotonic time from which its first event is overdue.
    waiting
        Whether it has no first event yet.
    moved
        Whether it was moved here from an upstream that was silent.
    """

    upstream: types.UpstreamId
    new_tokens: float
    sensitivity: float
    tier: types.Tier = types.HIGHEST_TIER
    overdue_at: float = float("inf")
    waiting: bool = True
    moved: bool = False


def overdue_at(*, now: float, expected_seconds: float) -> float:
    """Return when the first event of a request sent now becomes overdue."""
    overdue_wait = OVERDUE_WAIT_FACTOR * expected_seconds
    return now + max(MIN_OVERDUE_SECONDS, overdue_wait)
