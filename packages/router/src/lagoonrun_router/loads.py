"""Work at an upstream: what is known, and one request of it."""

import dataclasses
import itertools

from lagoonrun_core import types

LEAST_OVERDUE_SECONDS = 0.6
OVERDUE_WAITS = 3.0
"""A first event is overdue after so much time, and after so many times the
wait that was foreseen. A dark or mute runner shows in nothing else: its
connections stay open, and its callers leave after two seconds."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Work at one upstream.

    Parameters
    ----------
    waiting_by_tier
        Prompt tokens of requests without a first event, less those cached;
        the first is of the highest tier.
    running
        Requests without an end.
    sensitive
        Running streams for which a short pause is late already, in units of
        streams with a longest pause of one second.
    held_tokens
        Prompt tokens of all requests without an end, less those cached.
    overdue
        Requests whose first event should have come long ago.
    """

    waiting_by_tier: tuple[float, ...] = ()
    running: int = 0
    sensitive: float = 0.0
    held_tokens: float = 0.0
    overdue: int = 0

    @property
    def waiting_tokens(self) -> float:
        """Prompt tokens that wait, of all tiers."""
        return sum(self.waiting_by_tier)

    def waiting_before(self, tier: types.Tier) -> float:
        """Return the tokens that an engine reads before those of `tier`."""
        return sum(self.waiting_by_tier[:tier])

    def plus(self, other: "Load") -> "Load":
        """Return both together."""
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
        )

    def without(self, part: "Load") -> "Load":
        """Return the rest of this sum without a part of it."""
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
        )


NO_LOAD = Load()


@dataclasses.dataclass(kw_only=True, eq=False)
class InFlightRequest:
    """One request at one upstream, from its sending to its end.

    Two that are alike are two all the same, and each ends once.

    Parameters
    ----------
    overdue_at
        Reading of the clock from which its first event is long overdue.
    """

    upstream: types.UpstreamId
    new_tokens: float
    sensitivity: float
    tier: types.Tier = types.HIGHEST_TIER
    overdue_at: float = float("inf")
    waiting: bool = True


def overdue_at(*, now: float, expected_seconds: float) -> float:
    """Return from when a request sent now is long overdue."""
    patience = OVERDUE_WAITS * expected_seconds
    return now + max(LEAST_OVERDUE_SECONDS, patience)
