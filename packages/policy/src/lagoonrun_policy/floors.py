"""Floors: a guaranteed minimum share of the grants for waiting lower classes.

Each grant that passes over a waiting class credits it with its share of a
grant. Once the credit reaches a whole grant, the class is served next,
regardless of higher tiers. Answers of a low tier may hold a slot for long, so
a share counted in grants alone could occupy most slots; requests running on
credit are therefore limited to the same share of the slots, and at least one.

Beyond its share a class is served early only if that cannot make a request of
a higher tier miss its deadline: see `keeps_higher_deadlines`.
"""

import math
from collections.abc import Iterable, Sequence

from lagoonrun_policy import class_state, estimates

MAXIMUM_TOTAL_SHARE = 0.5
"""Upper bound on the sum of all floors, as a fraction of the grants."""

_MAX_CREDIT = 1.0
_ROUNDING = 1e-9


def share_scale(classes: Iterable[class_state.ClassState]) -> float:
    """Return the factor that limits the sum of all shares to the maximum."""
    total = sum(c.policy.floor_share for c in classes)
    return min(1.0, MAXIMUM_TOTAL_SHARE / total) if total > 0 else 1.0


def reserved_share(
    state: class_state.ClassState, classes: Sequence[class_state.ClassState]
) -> float:
    """Return the share reserved for waiting classes of tiers below `state`.

    Parameters
    ----------
    classes
        All classes of the shard, in order of tier.
    """
    tier = state.policy.tier
    below = 0.0
    for other in reversed(classes):
        if other.policy.tier <= tier:
            break
        if other.queue.length:
            below += other.policy.floor_share
    return min(below, MAXIMUM_TOTAL_SHARE)


def earn_credit(
    granted: class_state.ClassState,
    classes: Sequence[class_state.ClassState],
    factor: float,
) -> None:
    """Credit every waiting class that a grant passed over."""
    for state in classes:
        passed_over = state is not granted and state.queue.length > 0
        if passed_over and state.policy.tier >= granted.policy.tier:
            earned = state.floor_credit + state.policy.floor_share * factor
            state.floor_credit = min(_MAX_CREDIT, earned)


def class_due(
    classes: Sequence[class_state.ClassState], total_capacity: int
) -> class_state.ClassState | None:
    """Return the class whose credit pays for the next grant, if any."""
    for state in classes:
        if (
            state.queue.length > 0
            and state.floor_credit >= _MAX_CREDIT - _ROUNDING
            and state.floor_running < _slot_limit(state, total_capacity)
        ):
            return state
    return None


def keeps_higher_deadlines(
    state: class_state.ClassState,
    classes: Sequence[class_state.ClassState],
    *,
    total_capacity: int,
    services: estimates.ServiceTimes,
    expected_service_by_class: dict[class_state.ClassState, float],
    now: float,
) -> bool:
    """Return whether a grant to `state` makes no higher tier miss a deadline.

    Estimated for the worst case: every other slot has just started an answer
    as long as the longest high quantile of the shard, and all requests of
    higher tiers are served in rounds of answers of that length.
    """
    higher = [
        c
        for c in classes
        if c.policy.tier < state.policy.tier and c.queue.length > 0
    ]
    longest = 0.0
    for c in classes:
        if c.running == 0 and c.queue.length == 0:
            continue
        high = services.shard_high(profile=c.policy.name, now=now)
        if high is None:
            return False
        longest = max(longest, high)
    waiting = sum(c.queue.length for c in higher)
    rounds = 1 + math.ceil(waiting / max(1, total_capacity - 1))
    needed = longest * rounds
    return all(
        _slack(c, expected_service_by_class[c], now) > needed for c in higher
    )


def _slack(
    state: class_state.ClassState, expected_service_seconds: float, now: float
) -> float:
    earliest = state.queue.earliest()
    if earliest is None:
        return math.inf
    return earliest.deadline - expected_service_seconds - now


def _slot_limit(state: class_state.ClassState, total_capacity: int) -> int:
    return max(1, int(state.policy.floor_share * total_capacity))
