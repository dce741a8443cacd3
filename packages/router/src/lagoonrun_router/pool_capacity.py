"""Decisions on one request to an adaptive pool, with the state they rest on."""

import dataclasses

import xxhash

from lagoonrun_core import types
from lagoonrun_router import (
    adaptive_admission,
    adaptive_load,
    admission,
    demand_row,
    load_ledger,
    organisation_shares,
    placement,
    return_schedule,
    shared_room,
    upstreams,
)
from lagoonrun_router import call as calls

_HASH_RANGE = float(1 << 64)
_MAX_RETURN_FRACTION = 0.3
"""Latest time to return, as a fraction of the remaining time limit: callers
honour a Retry-After of up to a third of it."""

_SHORT_SECONDS = 1.0
"""Time for which a pool stays short of capacity for a tier after it had no room:
twice the time in which all entry VMs learn of freed capacity."""

_SHARED_CAPACITY = 0.95
"""Capacity that is shared out, relative to what was admitted recently, while
requests are refused for a lack of slots or cache. Below 1, so that slots become
free for organisations within their share; it ends a second after the last such
refusal, since without them what was admitted says nothing of the capacity."""

_MAX_ROOM_SECONDS = 0.4
"""Longest time for which the room of a large pool is used: the age of the
reports that it is computed from."""

_MAX_RECOMPUTED_UPSTREAMS = 100
"""Size of a pool up to which its room is computed for each refusal, which takes
half a millisecond there."""

_DRAIN_SECONDS = 1.0
"""Time in which a backlog that makes requests late is drained."""

_MIN_CAPACITY_SHARE = 0.25
"""Smallest part of the prefill rate that is shared out while a backlog drains,
or after nothing was admitted: the demand would otherwise be refused altogether,
and what is admitted could not grow from nothing."""

_HIGHER_TIER_SECONDS = 0.5
"""Earliest time to return after a refusal for a higher tier: the backlog of the
higher tier has to drain, and the entry VMs have to learn of it."""

_MIN_RETURN_SECONDS = 0.25
"""Earliest time to return: the invitation has to reach the other entry VMs, with
the next state after 0.05 s and with the relay's news 0.1 s later, and one lost
message must not matter in a small failure domain."""

_CAPACITY_REFUSALS = (admission.Refusal.NO_ROOM, admission.Refusal.TOO_LATE)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejection:
    """A rejected request, with what its Retry-After and log line need.

    Parameters
    ----------
    refusal
        Why it is rejected.
    room
        Room of its tier; None for a pool that is not adaptive.
    share
        The decision on the share of its organisation, if there was one.
    arrival
        Whether the caller was told to return.
    tokens
        Prompt tokens that would have to be prefilled.
    """

    refusal: admission.Refusal
    room: shared_room.TierRoom | None = None
    share: organisation_shares.ShareDecision | None = None
    arrival: return_schedule.Arrival = return_schedule.Arrival.NEW
    tokens: float = 0.0


class PoolCapacity:
    """Admits requests to adaptive pools and tells callers when to return.

    Parameters
    ----------
    load
        State of the adaptive pools.
    ledger
        Known loads of the upstreams.
    """

    def __init__(
        self,
        *,
        load: adaptive_load.AdaptiveLoad,
        ledger: load_ledger.LoadLedger,
    ) -> None:
        self._load = load
        self._ledger = ledger
        self._short_until_by_key: dict[demand_row.ShareKey, float] = {}
        self._full_until_by_key: dict[demand_row.ShareKey, float] = {}

    def record_arrival(
        self, call: calls.Call, *, tokens: float, now: float
    ) -> return_schedule.Arrival:
        """Count what a call asks for, unless it repeats a refused one."""
        arrival = self._load.schedule.arrival_of(call.digest, now=now)
        self._load.shares.record_arrival(
            self._share_key(call),
            _organisation_of(call),
            cost=max(1.0, tokens),
            # A caller that returns in its time or later was refused then, and
            # asks for capacity now. One that repeats early gains nothing.
            repeated=arrival is return_schedule.Arrival.EARLY,
            now=now,
        )
        return arrival

    def record_admission(
        self, call: calls.Call, *, tokens: float, now: float
    ) -> None:
        """Count what was admitted, and end the call's invitation."""
        self._load.shares.record_admission(
            self._share_key(call),
            _organisation_of(call),
            cost=max(1.0, tokens),
            now=now,
        )
        self._load.schedule.redeem(call.digest, now=now)

    def admit(
        self,
        call: calls.Call,
        base: placement.Ranked | admission.Refusal,
        pool_upstreams: tuple[upstreams.Registration, ...],
        *,
        tokens: float,
        floor_due: bool,
        now: float,
    ) -> placement.Ranked | Rejection:
        """Return the upstream that admits a call, or why it is rejected.

        Parameters
        ----------
        base
            The decision of `admission.admit`.
        pool_upstreams
            All usable upstreams of the pool, also those that this call was
            sent to or that are closed for it: the room is that of all calls.
        """
        room = self.room(
            call,
            pool_upstreams,
            # The times in a refusal must not be those before the last requests.
            recompute=isinstance(base, admission.Refusal)
            and len(pool_upstreams) <= _MAX_RECOMPUTED_UPSTREAMS,
            now=now,
        )
        arrival = self._load.schedule.arrival_of(call.digest, now=now)
        key = self._share_key(call)
        has_no_room = room.tokens <= 0.0 or base is admission.Refusal.NO_ROOM
        # A prompt that is too long for its own time limit says nothing of the
        # capacity.
        if has_no_room and base in _CAPACITY_REFUSALS:
            self._full_until_by_key[key] = now + _SHORT_SECONDS
        if has_no_room:
            self._short_until_by_key[key] = now + _SHORT_SECONDS
        request = adaptive_admission.AdaptiveRequest(
            tokens=tokens,
            target_seconds=call.route.profile.target_seconds,
            arrival=arrival,
            room=room,
            reserved_tokens=self._reserved_tokens(call, now),
            recently_short=now < self._short_until_by_key.get(key, 0.0),
            floor_due=floor_due,
        )
        verdict = adaptive_admission.admit(
            request,
            base,
            decide_share=lambda: self._decide_share(call, room, tokens, now),
        )
        if isinstance(verdict, adaptive_admission.Admitted):
            return verdict.upstream
        return Rejection(
            refusal=verdict.refusal,
            room=room,
            share=verdict.share,
            arrival=arrival,
            tokens=tokens,
        )

    def room(
        self,
        call: calls.Call,
        pool_upstreams: tuple[upstreams.Registration, ...],
        *,
        recompute: bool = False,
        now: float,
    ) -> shared_room.TierRoom:
        """Return the room that a pool has for the tier of a call."""
        rooms = self._load.rooms(
            call.pool.name,
            compute=lambda: self._compute_rooms(call, pool_upstreams, now),
            recompute=recompute,
            max_age_seconds=_room_seconds(len(pool_upstreams)),
            now=now,
        )
        return shared_room.room_of(rooms, call.tier)

    def _reserved_tokens(self, call: calls.Call, now: float) -> float:
        """Return the tokens to leave to callers that are expected to return.

        Invitations count in proportion to how many are redeemed: callers that
        never return would otherwise leave capacity unused.
        """
        schedule = self._load.schedule
        return schedule.reserved_tokens(
            call.pool.name, call.tier, now=now
        ) * schedule.redeemed_fraction(now=now)

    def return_seconds(
        self, call: calls.Call, rejection: Rejection, *, now: float
    ) -> float | None:
        """Return the Retry-After of a rejected call, and reserve its capacity.

        None for a pool that is not adaptive.
        """
        room = rejection.room
        if room is None:
            return None
        within = _MAX_RETURN_FRACTION * max(0.0, call.limit_at - now)
        after_seconds = max(_MIN_RETURN_SECONDS, room.wait_seconds)
        tokens_per_second = room.tokens_per_second
        if rejection.refusal is admission.Refusal.OVER_SHARE:
            # The organisation's callers return at the rate of its share.
            after_seconds = max(after_seconds, rejection.share.retry_seconds)
            tokens_per_second = rejection.share.fair_rate
        elif rejection.refusal is admission.Refusal.HIGHER_TIER:
            after_seconds = max(after_seconds, _HIGHER_TIER_SECONDS)
        key = self._share_key(call)
        invitation = self._load.schedule.invite(
            call.digest,
            pool=call.pool.name,
            tier=call.tier,
            tokens=max(1.0, rejection.tokens),
            tokens_per_second=tokens_per_second
            * self._load.shares.own_part(key, now=now),
            after_seconds=after_seconds,
            within_seconds=within,
            now=now,
        )
        return max(0.01, invitation.due_at - now)

    def _compute_rooms(
        self,
        call: calls.Call,
        pool_upstreams: tuple[upstreams.Registration, ...],
        now: float,
    ) -> tuple[shared_room.TierRoom, ...]:
        engine = call.pool.engine
        shares = self._load.shares
        return shared_room.pool_room(
            tuple(
                self._capacity(one, engine.cache_tokens if engine else 0.0, now)
                for one in pool_upstreams
            ),
            tuple(
                shared_room.TierDemand(
                    tier=tier,
                    target_seconds=target_seconds,
                    asked_per_second=shares.demand_of(
                        self._load.share_key(call.pool.name, tier), now=now
                    ),
                )
                for tier, target_seconds in sorted(_targets_of(call).items())
            ),
            share_of=lambda tier: admission.share_of(tier, call.pool_tiers),
        )

    def _capacity(
        self, upstream: upstreams.Registration, cache_tokens: float, now: float
    ) -> shared_room.UpstreamCapacity:
        speeds = self._load.speeds
        slots = upstream.slots
        if speeds.states_slowness(upstream.id):
            estimate = speeds.estimate(upstream.id, now=now)
            slots = scaled_slots(slots, estimate.relative_speed)
            tokens_per_second = estimate.current_tokens_per_second
        else:
            tokens_per_second = speeds.median_tokens_per_second(
                upstream.id, now=now
            )
        return shared_room.UpstreamCapacity(
            slots=slots,
            cache_tokens=cache_tokens,
            load=self._ledger.load_of(upstream.id, now=now),
            tokens_per_second=tokens_per_second,
        )

    def _decide_share(
        self,
        call: calls.Call,
        room: shared_room.TierRoom,
        tokens: float,
        now: float,
    ) -> organisation_shares.ShareDecision:
        key = self._share_key(call)
        capacity = _drained_capacity(
            room, target_seconds=call.route.profile.target_seconds
        )
        if now < self._full_until_by_key.get(key, 0.0):
            # Slots or cache may bind before the prefill rate does.
            admitted = self._load.shares.admitted_of(key, now=now)
            probed = max(
                _SHARED_CAPACITY * admitted,
                _MIN_CAPACITY_SHARE * room.tokens_per_second,
            )
            capacity = min(capacity, probed)
        return self._load.shares.decide(
            key,
            _organisation_of(call),
            cost=max(1.0, tokens),
            capacity=capacity,
            weights=self._load.weight_of,
            draw=_draw_of(
                call.request_id,
                self._load.schedule.arrival_of(call.digest, now=now),
            ),
            now=now,
        )

    def _share_key(self, call: calls.Call) -> demand_row.ShareKey:
        return self._load.share_key(call.pool.name, call.tier)


def _room_seconds(upstream_count: int) -> float:
    """Return how long the room of a pool is used, longer for a large pool.

    That of 1,100 upstreams takes some milliseconds to compute, and changes less
    with each request.
    """
    scale = max(1.0, upstream_count / _MAX_RECOMPUTED_UPSTREAMS)
    return min(_MAX_ROOM_SECONDS, adaptive_load.ROOM_SECONDS * scale)


def _drained_capacity(
    room: shared_room.TierRoom, *, target_seconds: float
) -> float:
    """Return the capacity to share out, in tokens a second.

    It is less than the prefill rate while the backlog is longer than requests
    in time allow, so that the backlog shrinks.
    """
    rate = room.tokens_per_second
    allowed = adaptive_admission.SHORT_TARGET_FRACTION * target_seconds * rate
    excess = max(0.0, room.backlog_tokens - allowed)
    return max(_MIN_CAPACITY_SHARE * rate, rate - excess / _DRAIN_SECONDS)


def scaled_slots(slots: int, relative_speed: float) -> int:
    """Return the slots of an upstream, fewer if it is slower than others."""
    return max(1, round(slots * min(1.0, relative_speed)))


def _organisation_of(call: calls.Call) -> types.OrganisationId:
    if call.organisation is None:
        return demand_row.PUBLIC
    return call.organisation.id


def _targets_of(call: calls.Call) -> dict[types.Tier, float]:
    return {call.tier: call.route.profile.target_seconds, **call.tier_targets}


def _draw_of(
    request_id: types.RequestId, arrival: return_schedule.Arrival
) -> float:
    """Return a number from 0 to 1 that differs by request.

    A caller that returns in its time is drawn anew: with its first draw it would
    be refused again, although it counts as demand again. One that repeats a
    request at another time is not.
    """
    returned = arrival is return_schedule.Arrival.INVITED
    named = f"{'return' if returned else 'share'} {request_id}"
    drawn = xxhash.xxh3_64_intdigest(named.encode())
    return drawn / _HASH_RANGE
