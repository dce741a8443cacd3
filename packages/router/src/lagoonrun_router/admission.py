"""Whether a request is let in, in an overload. Pure decisions.

A runner that is given all that comes serves nobody: prompts wait until their
callers have left, and urgent streams find no place beside earlier ones. So
lower tiers use only a part of each runner, and what would wait for longer
than its caller does is refused at once, with a time to come back.
"""

import dataclasses
import enum
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_router import placement

LOWEST_TIER_SHARE = 0.5
"""Part of a runner's places and memory that the lowest tier may fill.

The rest is for higher tiers; those in between get parts in between.
"""

MAX_PATIENCE_FRACTION = 0.7
"""Part of a caller's patience that may pass before the first event.

The estimate of the wait is rough; above this part most callers have left
when their first event comes.
"""


LATE_TARGET_FACTOR = 1.2
"""Part of the target from which a foreseen wait counts as late.

Above 1, since the reading is foreseen as a little slower than it is. With 0.8
the lowest tier came in time more often and the most urgent one less (97 of 639
streams late on a day of bursts, 57 with 1.2, 54 where nothing stands back).
"""


class Refusal(enum.Enum):
    """Why a request is not let in."""

    NO_ROOM = "no-room"
    HIGHER_TIER = "higher-tier"
    TOO_LATE = "too-late"


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionRequest:
    """What admission needs to know of a request.

    Parameters
    ----------
    tiers
        Tiers of all classes of the pool.
    patience_seconds
        How long the caller waits for the first event or the whole answer.
    higher_turned_away
        Whether a request of a higher tier found no room or no time just now.
    floor_due
        Whether one request of the class is let in whatever else is.
    """

    tier: types.Tier
    tiers: tuple[types.Tier, ...]
    patience_seconds: float
    higher_tier_pressed: bool = False
    floor_due: bool = False


def share_of(tier: types.Tier, tiers: Iterable[types.Tier]) -> float:
    """Return the part of a runner that `tier` may fill."""
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
    """Return whether a request waits behind all others of its pool.

    In an overload the lowest tier waits for longer than its target. If all of
    it waits in turn, all of it is late, and a queue that once is as long as
    the target never makes room again. A request that would come late anyway
    lets pass those that can still come in time; it is read when nothing else
    is. Only of the lowest tier: a higher one would come behind a lower one.

    On two overloaded fleets of 22 entry VMs the worth of a day rose from 0.42
    to 0.48 and from 0.53 to 0.54 (two runs each); on eight days of a fleet of 9
    it made no difference (0.808 and 0.812).

    Parameters
    ----------
    tiers
        Tiers of all classes of the pool.
    wait_seconds
        Estimated time to the first event at the cheapest upstream.
    target_seconds
        Time to the first event that is on time.
    """
    lowest = tier >= max(tiers, default=tier)
    return lowest and wait_seconds > LATE_TARGET_FACTOR * target_seconds


def admit(
    request: AdmissionRequest, ranked: tuple[placement.Ranked, ...]
) -> placement.Ranked | Refusal:
    """Return the cheapest upstream that may take the request, or why none.

    Parameters
    ----------
    ranked
        At least one candidate, the cheapest first.
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
    if candidate.load.running >= share * candidate.slots:
        return False
    if not candidate.cache_tokens:
        return True
    used_tokens = candidate.load.held_tokens + ranked.new_tokens
    # One request alone is always let in, however large its prompt is.
    return (
        candidate.load.running == 0
        or used_tokens <= share * candidate.cache_tokens
    )
