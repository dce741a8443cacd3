"""How much of each tier a pool can still admit. Pure functions.

All entry VMs receive the loads of all upstreams, so from the same reports they
compute the same figures, and close the same tiers.
"""

import dataclasses
import itertools
import math
import operator
from collections.abc import Callable, Iterable

from lagoonrun_core import types
from lagoonrun_router import loads

REPORT_AGE_SECONDS = 0.4
"""Age up to which entry VMs act on load reports. Two entry VMs may see states
of a pool that are this far apart."""

MIN_RATE_SHARE = 0.02
"""Share of a pool's prefill rate that counts as left for a tier even if higher
tiers ask for everything, so that each wait is finite."""

MIN_WAIT_SECONDS = 0.1
"""Minimum wait of a tier without room: the time between two load reports. A
repetition before the next report would meet the same figures."""

MAX_WAIT_SECONDS = 60.0
"""Maximum wait of a tier without room, also in a pool without upstreams."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamCapacity:
    """Capacity and load of a usable upstream.

    Parameters
    ----------
    slots
        Maximum number of concurrent requests, scaled by the relative speed.
    cache_tokens
        Capacity of its prefix cache; 0 if unknown.
    load
        Known in-flight requests there.
    tokens_per_second
        Current prefill rate.
    """

    slots: int
    cache_tokens: float
    load: loads.Load
    tokens_per_second: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class TierDemand:
    """Demand of one tier of a pool.

    Parameters
    ----------
    target_seconds
        Target for the time to the first event.
    asked_per_second
        Prompt tokens a second that callers of all entry VMs ask for.
    """

    tier: types.Tier
    target_seconds: float
    asked_per_second: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class TierRoom:
    """Room of one tier of a pool.

    Parameters
    ----------
    tokens
        Prompt tokens that can be sent now and have their first event within
        the target.
    backlog_tokens
        Queued prompt tokens of this and higher tiers.
    tokens_per_second
        Prefill rate that higher tiers leave for this one.
    higher_covered
        Whether each higher tier has the room that it asks for.
    wait_seconds
        Time until `tokens` is above zero; 0 if it is. It does not include the
        time until higher tiers have enough room for this one to open.
    """

    tier: types.Tier
    tokens: float
    backlog_tokens: float
    tokens_per_second: float
    higher_covered: bool
    wait_seconds: float

    @property
    def open(self) -> bool:
        """Whether requests of the tier may be admitted and be in time."""
        return self.higher_covered and self.tokens > 0.0


def pool_room(
    upstreams: Iterable[UpstreamCapacity],
    demands: Iterable[TierDemand],
    *,
    share_of: Callable[[types.Tier], float],
) -> tuple[TierRoom, ...]:
    """Return the room of each tier, in descending order of priority.

    The figures do not depend on the order of the upstreams or demands.

    Parameters
    ----------
    upstreams
        All usable upstreams of the pool.
    demands
        One for each tier of the pool.
    share_of
        Share of slots and cache of an upstream that a tier may use.
    """
    pool = _Columns(upstreams)
    rooms: list[TierRoom] = []
    higher: list[_HigherTier] = []
    asked_by_higher = 0.0
    for demand in sorted(demands, key=operator.attrgetter("tier")):
        pool.count_backlog_to(demand.tier)
        share = share_of(demand.tier)
        tokens = pool.room(demand.target_seconds, share)
        rate = max(
            pool.tokens_per_second - asked_by_higher,
            MIN_RATE_SHARE * pool.tokens_per_second,
        )
        wait_seconds = 0.0
        if tokens <= 0.0:
            wait_seconds = _bounded_wait(
                pool.drain_seconds(demand.target_seconds, share), pool, rate
            )
        rooms.append(
            TierRoom(
                tier=demand.tier,
                tokens=tokens,
                backlog_tokens=pool.backlog_tokens,
                tokens_per_second=rate,
                higher_covered=_all_covered(higher),
                wait_seconds=wait_seconds,
            )
        )
        asked_by_higher += demand.asked_per_second
        if demand.asked_per_second > 0.0:
            higher.append(
                _HigherTier(
                    tokens=tokens,
                    idle_tokens=pool.tokens_per_second * demand.target_seconds,
                    asked_tokens=REPORT_AGE_SECONDS * asked_by_higher,
                    drained_tokens=REPORT_AGE_SECONDS * pool.tokens_per_second,
                )
            )
    return tuple(rooms)


def room_of(rooms: tuple[TierRoom, ...], tier: types.Tier) -> TierRoom:
    """Return the room of a tier from the result of `pool_room`.

    A tier without demand has no room of its own; it gets that of the next lower
    tier, or else of the lowest one.

    Raises
    ------
    LookupError
        If there is no room of any tier.
    """
    for room in rooms:
        if room.tier >= tier:
            return room
    return rooms[-1]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _HigherTier:
    """Room of a tier with demand, as far as it closes lower tiers.

    Parameters
    ----------
    idle_tokens
        Its room in the idle pool.
    asked_tokens
        Demand of this and higher tiers over the age of the reports. Prompts of
        higher tiers use the room of this one as well.
    drained_tokens
        What the pool prefills in that time.
    """

    tokens: float
    idle_tokens: float
    asked_tokens: float
    drained_tokens: float


def _all_covered(higher: list[_HigherTier]) -> bool:
    """Return whether a tier may be admitted beside the higher ones.

    The room of a higher tier changes by at most one step (what is asked for or
    prefilled in the meantime) between the states that two entry VMs act on. A
    tier below `count` others needs `count` steps of room of the first of them:
    if the last of those is closed or has no room at some entry VM, this tier is
    closed at all of them. The steps are limited to a part of the room of the
    idle pool, because a short target would otherwise close the lower tiers of a
    pool without any queue.

    Demand that is measured late, or jumps to more than twice the prefill rate
    between two reports, changes the room by more than a step. So does a burst
    that takes the slots between the shares of two tiers within that time.
    """
    for position, one in enumerate(higher):
        count = len(higher) - position
        step = max(one.asked_tokens, one.drained_tokens)
        margin = min(count * step, one.idle_tokens * count / (count + 1))
        if one.tokens <= max(one.asked_tokens, margin):
            return False
    return True


class _Columns:
    """Figures of the upstreams of a pool, one list for each figure.

    The room is needed for each request, and operations on whole lists are
    several times as fast as a loop over the upstreams.
    """

    def __init__(self, upstreams: Iterable[UpstreamCapacity]) -> None:
        able = [
            one
            for one in upstreams
            if one.slots > 0 and one.tokens_per_second > 0.0
        ]
        upstream_loads = [one.load for one in able]
        self._speeds = [one.tokens_per_second for one in able]
        self._used = [_used_share(one) for one in able]
        self._held = [load.held_tokens for load in upstream_loads]
        self._waiting_by_tier = tuple(
            itertools.zip_longest(
                *[load.waiting_by_tier for load in upstream_loads],
                fillvalue=0.0,
            )
        )
        self._backlog = [0.0] * len(able)
        self._tiers = 0
        # `fsum` is exact, so the order of the upstreams has no effect.
        self.tokens_per_second = math.fsum(self._speeds)
        self.backlog_tokens = 0.0

    def count_backlog_to(self, tier: types.Tier) -> None:
        """Add the queued tokens of the tiers down to `tier` to the backlog."""
        for waiting in self._waiting_by_tier[self._tiers : tier]:
            self._backlog = list(map(operator.add, self._backlog, waiting))
        self._tiers = tier
        self.backlog_tokens = math.fsum(self._backlog)

    def room(self, target_seconds: float, share: float) -> float:
        """Return what can be prefilled within the target after the backlog."""
        return math.fsum(
            [
                margin
                for speed, backlog, used in zip(
                    self._speeds, self._backlog, self._used, strict=True
                )
                if used < share
                and (margin := speed * target_seconds - backlog) > 0.0
            ]
        )

    def drain_seconds(self, target_seconds: float, share: float) -> float:
        """Return the time until the first has room, if nothing else arrives.

        It is not known when requests end. An upstream whose share of slots or
        cache is used up is assumed to have room again after prefilling as many
        tokens as the excess requests hold.
        """
        queue_seconds = map(operator.truediv, self._backlog, self._speeds)
        held_seconds = map(operator.truediv, self._held, self._speeds)
        # A conditional expression takes half the time of a call of `max`.
        return min(
            [
                excess
                if used >= share > 0.0
                and (excess := (1.0 - share / used) * held)
                > queue - target_seconds
                else queue - target_seconds
                for queue, held, used in zip(
                    queue_seconds, held_seconds, self._used, strict=True
                )
            ],
            default=math.inf,
        )


def _used_share(upstream: UpstreamCapacity) -> float:
    """Return the used share of the slots or of the cache, the larger one."""
    load = upstream.load
    # An idle upstream admits a prompt of any size.
    if load.running == 0:
        return 0.0
    used = load.running / upstream.slots
    if upstream.cache_tokens > 0.0:
        return max(used, load.held_tokens / upstream.cache_tokens)
    return used


def _bounded_wait(drain_seconds: float, pool: _Columns, rate: float) -> float:
    """Return the wait of a tier to which only `rate` of the pool is left."""
    if pool.tokens_per_second <= 0.0:
        return MAX_WAIT_SECONDS
    wait_seconds = drain_seconds * pool.tokens_per_second / rate
    return min(MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, wait_seconds))
