"""Admission control of overloaded pools. Pure functions.

A runner that accepts every request serves none in time: prompts queue until
their callers have given up, and urgent streams find no capacity beside earlier
ones. So lower tiers may use only a share of each runner, and a request that
would wait for longer than its caller does is rejected at once with a
Retry-After time.
"""

import dataclasses
import enum
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_router import placement

LOWEST_TIER_SHARE = 0.5
"""Share of a runner's slots and prefix cache that the lowest tier may use.

The rest is reserved for higher tiers; the shares of the tiers between the
lowest and the highest are evenly spaced.
"""

MAX_PATIENCE_FRACTION = 0.7
"""Maximum expected wait for the first event, as a fraction of the patience.

The estimate of the wait is rough; above this fraction most callers have
disconnected by the time of their first event.
"""


LATE_TARGET_FACTOR = 1.2
"""Expected wait, relative to the target, from which a request counts as late.

Above 1, because the assumed prefill rate is a little below the real one. With
0.8 the lowest tier met its target more often and the most urgent tier less
often: on a day with bursts 97 of 639 urgent streams were late, against 57 with
1.2 and 54 without yielding.
"""


class Refusal(enum.Enum):
    """Why a request is rejected."""

    NO_ROOM = "no-room"
    HIGHER_TIER = "higher-tier"
    TOO_LATE = "too-late"
    OVER_SHARE = "over-share"
    """The organisation exceeds its share of a pool that is short of
    capacity."""
    RESERVED = "reserved"
    """The remaining capacity is reserved for callers that were told to
    return."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionRequest:
    """Attributes of a request that decide on its admission.

    Parameters
    ----------
    tiers
        Tiers of all request classes of the pool.
    patience_seconds
        How long the caller waits for the first event or the whole answer.
    higher_tier_pressed
        Whether requests of a higher tier could not be admitted recently.
    floor_due
        Whether the admission floor of the class is due: the request is
        admitted regardless of capacity.
    """

    tier: types.Tier
    tiers: tuple[types.Tier, ...]
    patience_seconds: float
    higher_tier_pressed: bool = False
    floor_due: bool = False


def share_of(tier: types.Tier, tiers: Iterable[types.Tier]) -> float:
    """Return the share of a runner's capacity that `tier` may use."""
    ordered = sorted({*tiers, tier})
    if len(ordered) == 1:
        return 1.0
    position = ordered.index(tier) / (len(ordered) - 1)
    return 1.0 - (1.0 - LOWEST_TIER_SHARE) * position


def stands_back(
    tier: types.Tier,
    tiers: Iterable[types.Tier],
    *,
    wait_seconds: float,
    target_seconds: float,
) -> bool:
    """Return whether a request yields to all others of its pool.

    In an overload the lowest tier waits for longer than its target. In FIFO
    order all of its requests are then late, because a queue as long as the
    target never drains. So a request that would miss its target anyway is
    queued behind those that can still meet theirs. Only the lowest tier
    yields: a request of a higher tier would end up behind a lower one.

    On two overloaded fleets of 22 entry VMs this raised the score of a day of
    traffic from 0.42 to 0.48 and from 0.53 to 0.54 (two runs each); on eight
    days of a fleet of 9 it made no difference (0.808 and 0.812).

    Parameters
    ----------
    tiers
        Tiers of all request classes of the pool.
    wait_seconds
        Estimated time to the first event at the cheapest upstream.
    target_seconds
        Target for the time to the first event.
    """
    lowest = tier >= max(tiers, default=tier)
    return lowest and wait_seconds > LATE_TARGET_FACTOR * target_seconds


def admit(
    request: AdmissionRequest, ranked: tuple[placement.Ranked, ...]
) -> placement.Ranked | Refusal:
    """Return the cheapest upstream that admits the request, or the refusal.

    Parameters
    ----------
    ranked
        At least one candidate, in ascending order of cost.
    """
    if request.floor_due:
        return ranked[0]
    if request.higher_tier_pressed:
        return Refusal.HIGHER_TIER
    share = share_of(request.tier, request.tiers)
    with_capacity = [
        one for one in ranked if _has_capacity(one, request, share)
    ]
    in_time = [
        one
        for one in with_capacity
        if one.wait_seconds <= MAX_PATIENCE_FRACTION * request.patience_seconds
    ]
    if in_time:
        return in_time[0]
    return Refusal.TOO_LATE if with_capacity else Refusal.NO_ROOM


def _has_capacity(
    ranked: placement.Ranked, request: AdmissionRequest, share: float
) -> bool:
    candidate = ranked.candidate
    # Requests of lower tiers don't count: engines serve higher tiers first, so
    # a backlog of a lower tier must not cause the refusal of a higher one.
    running = candidate.load.running_through(request.tier)
    if running >= share * candidate.slots:
        return False
    if not candidate.cache_tokens:
        return True
    used_tokens = candidate.load.held_tokens + ranked.new_tokens
    # An idle upstream admits a prompt of any size.
    return (
        candidate.load.running == 0
        or used_tokens <= share * candidate.cache_tokens
    )
