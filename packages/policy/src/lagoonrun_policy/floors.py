"""Grants set aside for lower classes that wait.

Each grant that passes over a waiting class earns it its share of a grant.
With a whole one earned, the class is served next, whatever waits above it.
Answers of a low tier may hold a slot for long, so a share counted in grants
alone could take most slots; the work granted on credit is therefore limited
to the same share of the slots as well, and at least one.

Above its share a class is served early only where that does no more than
delay: see `is_harmless`.
"""

import math
from collections.abc import Iterable, Sequence

from lagoonrun_policy import class_state, estimates

MAXIMUM_TOTAL_SHARE = 0.5
"""All floors together never take more than this part of the grants."""

_MAX_CREDIT = 1.0
_ROUNDING = 1e-9


def share_scale(classes: Iterable[class_state.ClassState]) -> float:
    """Return the factor that keeps all shares together below the maximum."""
    total = sum(c.policy.floor_share for c in classes)
    return min(1.0, MAXIMUM_TOTAL_SHARE / total) if total > 0 else 1.0


def reserved_share(
    state: class_state.ClassState, classes: Sequence[class_state.ClassState]
) -> float:
    """Return the share set aside for classes below `state` that wait.

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
    """Credit every waiting class that a grant has passed over."""
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


def is_harmless(
    state: class_state.ClassState,
    classes: Sequence[class_state.ClassState],
    *,
    total_capacity: int,
    services: estimates.ServiceTimes,
    expected_service_by_class: dict[class_state.ClassState, float],
    now: float,
) -> bool:
    """Return whether a grant to `state` makes no higher request miss a limit.

    Reckoned for the worst case: every slot but the given one has just begun
    an answer as long as the longest high quantile of the shard, and all that
    waits above must be served one such answer after the other.
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
