"""Admission to adaptive pools, beyond that of `admission`. Pure functions.

Entry VMs with different reports used to judge the capacity of a pool
differently: one admitted a lower tier while another refused a higher one, one
organisation could use the capacity of all, and callers that returned were
refused again because newcomers had taken the capacity meanwhile.
"""

import dataclasses
from collections.abc import Callable

from lagoonrun_router import (
    admission,
    organisation_shares,
    placement,
    return_schedule,
    shared_room,
)

SHORT_TARGET_FRACTION = 0.7
"""Expected wait, as a fraction of the target, from which a pool is short of
capacity for a request.

Below 1, so that an organisation is held to its share before the requests of the
others are late.
"""

MAX_HOLD_TARGET_FRACTION = 0.125
"""Longest time for which an entry VM holds a request, as a fraction of its
target."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdaptiveRequest:
    """Attributes of a request to an adaptive pool that decide on its admission.

    Parameters
    ----------
    tokens
        Prompt tokens that have to be prefilled.
    arrival
        Whether the caller was told to return, and whether it is in time.
    room
        Room of the request's tier in the pool.
    reserved_tokens
        Part of the room that is reserved for callers that were told to return.
    recently_short
        Whether the pool was short of capacity for the tier a moment ago.
    floor_due
        Whether the admission floor of the class is due.
    """

    tokens: float
    target_seconds: float
    arrival: return_schedule.Arrival
    room: shared_room.TierRoom
    reserved_tokens: float = 0.0
    recently_short: bool = False
    floor_due: bool = False

    @property
    def invited(self) -> bool:
        """Whether the caller was told to return now."""
        return self.arrival is return_schedule.Arrival.INVITED


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The request may be sent to an upstream.

    Parameters
    ----------
    share
        The decision on the organisation's share; None if there was none.
    """

    upstream: placement.Ranked
    share: organisation_shares.ShareDecision | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """The request is rejected.

    Parameters
    ----------
    share
        The decision on the organisation's share; None if there was none.
    """

    refusal: admission.Refusal
    share: organisation_shares.ShareDecision | None = None


def admit(
    request: AdaptiveRequest,
    base: placement.Ranked | admission.Refusal,
    *,
    decide_share: Callable[[], organisation_shares.ShareDecision],
) -> Admitted | Rejected:
    """Decide on a request that `admission.admit` has admitted or refused.

    Parameters
    ----------
    base
        The upstream that admits the request, or the refusal.
    decide_share
        Decides on the share of the request's organisation; called only while
        the pool is short of capacity.
    """
    if isinstance(base, admission.Refusal):
        return Rejected(refusal=base)
    if request.floor_due:
        return Admitted(upstream=base)
    if not request.room.higher_covered:
        return Rejected(refusal=admission.Refusal.HIGHER_TIER)
    if not is_short(request, base):
        return Admitted(upstream=base)
    share = decide_share()
    if not share.admitted:
        return Rejected(refusal=admission.Refusal.OVER_SHARE, share=share)
    # While others exceed their shares, an organisation within its own is not
    # refused for what they were promised.
    within_share = share.scarce and share.fraction >= 1.0
    if (
        not within_share
        and not request.invited
        and _uses_reserved_room(request)
    ):
        return Rejected(refusal=admission.Refusal.RESERVED, share=share)
    return Admitted(upstream=base, share=share)


def is_short(request: AdaptiveRequest, best: placement.Ranked) -> bool:
    """Return whether the pool is short of capacity for a request.

    It stays short for a moment after there was no room: freed slots would
    otherwise go to the organisation that asks most often.
    """
    if request.recently_short:
        return True
    max_wait = SHORT_TARGET_FRACTION * request.target_seconds
    return best.wait_seconds > max_wait or _uses_reserved_room(request)


def _uses_reserved_room(request: AdaptiveRequest) -> bool:
    if not request.reserved_tokens:
        return False
    return request.room.tokens < request.reserved_tokens + request.tokens


def hold_seconds(
    room: shared_room.TierRoom, *, target_seconds: float
) -> float | None:
    """Return how long a refused request waits for room; None for not at all."""
    max_hold = MAX_HOLD_TARGET_FRACTION * target_seconds
    return room.wait_seconds if 0.0 < room.wait_seconds <= max_hold else None
