"""Select the upstream of each attempt by placement and admission."""

import dataclasses
from collections.abc import Container

from lagoonrun_core import events, logs, types
from lagoonrun_router import (
    admission,
    availability,
    candidates,
    placement,
    pool_capacity,
    stream_origin,
    upstreams,
)
from lagoonrun_router import call as calls
from lagoonrun_router import components as router_components

_MAX_LOGGED_CANDIDATES = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class AllClosed:
    """All remaining upstreams are rate-limited or have asked for a rest.

    Parameters
    ----------
    closed
        At least one, in the order in which they open again.
    """

    closed: tuple[availability.ClosedUpstream, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """The selected upstream and the inputs of its selection.

    Parameters
    ----------
    new_tokens
        Prompt tokens that the upstream has to prefill.
    wait_seconds
        Estimated time to the first event.
    tier
        Tier in which the request is queued there.
    stands_back
        Whether the request yields to all others of the pool.
    decided_at
        Monotonic time of the decision.
    ahead_tokens
        Prompt tokens that were queued there before those of the request.
    adaptive
        Whether the pool is adaptive.
    has_place
        Whether a place was acquired, the right to send one request to a
        rate-limited upstream.
    """

    upstream: upstreams.Registration
    new_tokens: float
    wait_seconds: float
    tier: types.Tier
    stands_back: bool
    decided_at: float
    ahead_tokens: float = 0.0
    adaptive: bool = False
    has_place: bool = False


class Chooser:
    """Selects the upstream of each attempt.

    Parameters
    ----------
    components
        Shared components of the process.
    """

    def __init__(self, *, components: router_components.Components) -> None:
        self._components = components
        self._candidates = candidates.CandidateBuilder(components=components)

    def choose(
        self,
        call: calls.Call,
        *,
        excluded: Container[types.UpstreamId],
        admitted_before: bool = False,
        origin: stream_origin.StreamOrigin | None = None,
    ) -> Choice | pool_capacity.Rejection | AllClosed | None:
        """Return the upstream of the next attempt; None if none is usable.

        Parameters
        ----------
        excluded
            Upstreams of earlier attempts.
        admitted_before
            Whether the call was admitted before. Its share and its invitation
            are used up then, and are not decided on again.
        origin
            Where the stream to be continued began; None for a new request. A
            stream that its caller already has part of takes precedence over new
            requests: it is always admitted, and has the share of the highest
            tier at upstreams that restrict the requests they accept.
        """
        now = self._components.clock.monotonic()
        registered = self._usable(call, now, origin=origin)
        by_id = {one.id: one for one in registered if one.id not in excluded}
        if not by_id and origin is not None:
            by_id = self._leaving_by_id(call, origin, excluded, now)
            registered = tuple(by_id.values())
        if not by_id:
            return None
        available = self._components.notices.availability.partition(
            by_id, tier_of(call, origin), now=now
        )
        if not available.open_by_id:
            return AllClosed(closed=available.closed)
        usable = tuple(available.open_by_id.values())
        adaptive = self._components.adaptive.is_adaptive(call.pool, usable)
        sampled = self._candidates.sample(call, usable, now, adaptive=adaptive)
        ranking = self._rank(
            call, sampled, usable, now, adaptive=adaptive, origin=origin
        )
        best = self._admit(call, ranking.ranked, now, origin=origin)
        if isinstance(best, admission.Refusal) and len(sampled) < len(usable):
            # A request is rejected only if no upstream of the pool has
            # capacity for it, so all of them are tried.
            ranking = self._rank(
                call, usable, usable, now, adaptive=adaptive, origin=origin
            )
            best = self._admit(call, ranking.ranked, now, origin=origin)
        admitted = self._admit_adaptive(
            call,
            best,
            ranking,
            registered,
            admitted_before=admitted_before or origin is not None,
            now=now,
        )
        if isinstance(admitted, pool_capacity.Rejection):
            self._log(
                call,
                ranking,
                chosen="",
                refusal=admitted.refusal.value,
                closed=available.closed,
            )
            return admitted
        best = admitted
        reread_tokens = ranking.reread_tokens(best)
        self._components.metrics.reread_tokens.labels(call.pool.name).inc(
            reread_tokens
        )
        self._log(
            call,
            ranking,
            chosen=best.candidate.upstream,
            version=by_id[best.candidate.upstream].version,
            reread_tokens=reread_tokens,
            closed=available.closed,
        )
        return Choice(
            upstream=by_id[best.candidate.upstream],
            new_tokens=best.new_tokens,
            wait_seconds=best.wait_seconds,
            tier=ranking.request.tier,
            stands_back=ranking.stands_back,
            decided_at=now,
            ahead_tokens=placement.waiting_tokens(
                best.candidate.load, ranking.request.tier
            ),
            adaptive=adaptive,
        )

    def remaining(
        self,
        call: calls.Call,
        *,
        excluded: Container[types.UpstreamId],
        origin: stream_origin.StreamOrigin | None,
    ) -> tuple[upstreams.Registration, ...]:
        """Return the open upstreams that a call may still be sent to.

        Parameters
        ----------
        excluded, origin
            As of `choose`.
        """
        now = self._components.clock.monotonic()
        usable = self._usable(call, now, origin=origin)
        by_id = {one.id: one for one in usable if one.id not in excluded}
        if not by_id and origin is not None:
            by_id = self._leaving_by_id(call, origin, excluded, now)
        available = self._components.notices.availability.partition(
            by_id, tier_of(call, origin), now=now
        )
        return tuple(available.open_by_id.values())

    def _usable(
        self,
        call: calls.Call,
        now: float,
        *,
        origin: stream_origin.StreamOrigin | None = None,
    ) -> tuple[upstreams.Registration, ...]:
        """Return the usable upstreams; without held ones if others are left."""
        usable = self._components.directory.usable(call.pool.name, now=now)
        if origin is not None:
            crash_watch = self._components.crash_watch
            usable = tuple(
                one
                for one in usable
                if origin.may_continue_at(one)
                and not crash_watch.may_have_restarted(one)
            )
        held = self._components.overrides.held
        if not held:
            return usable
        return tuple(one for one in usable if one.id not in held) or usable

    def _leaving_by_id(
        self,
        call: calls.Call,
        origin: stream_origin.StreamOrigin,
        excluded: Container[types.UpstreamId],
        now: float,
    ) -> dict[types.UpstreamId, upstreams.Registration]:
        """Return the leaving upstreams that can still continue a stream."""
        leaving = self._components.directory.leaving_recently(
            call.pool.name, now=now
        )
        return {
            one.id: one
            for one in leaving
            if one.id not in excluded and origin.may_continue_at(one)
        }

    def all_closed(
        self,
        call: calls.Call,
        *,
        origin: stream_origin.StreamOrigin | None = None,
    ) -> tuple[availability.ClosedUpstream, ...]:
        """Return the upstreams of the pool if all are closed, else none."""
        now = self._components.clock.monotonic()
        registered = self._usable(call, now, origin=origin)
        available = self._components.notices.availability.partition(
            {one.id: one for one in registered},
            tier_of(call, origin),
            now=now,
        )
        return () if available.open_by_id else available.closed

    def _rank(
        self,
        call: calls.Call,
        registered: tuple[upstreams.Registration, ...],
        usable: tuple[upstreams.Registration, ...],
        now: float,
        *,
        adaptive: bool,
        origin: stream_origin.StreamOrigin | None,
    ) -> "_Ranking":
        """Rank some usable upstreams.

        A request that would be late is ranked as one of an additional tier
        below all others, unless it continues a stream.
        """
        request = _request_of(
            call, shared_recently=self._candidates.shared_recently(call)
        )
        built = self._candidates.build(
            call, registered, usable, now, adaptive=adaptive
        )
        pool = self._candidates.pool_order(usable)
        ranked = placement.rank(request, built, pool=pool)
        stands_back = (
            call.pool.engine is not None
            and origin is None
            and admission.stands_back(
                call.tier,
                call.pool_tiers,
                wait_seconds=ranked[0].wait_seconds,
                target_seconds=call.route.profile.target_seconds,
            )
        )
        if stands_back:
            lowest_tier = types.Tier(call.tier + 1)
            request = dataclasses.replace(request, tier=lowest_tier)
            ranked = placement.rank(request, built, pool=pool)
        return _Ranking(
            request=request,
            ranked=ranked,
            stands_back=stands_back,
            adaptive=adaptive,
        )

    def _admit(
        self,
        call: calls.Call,
        ranked: tuple[placement.Ranked, ...],
        now: float,
        *,
        origin: stream_origin.StreamOrigin | None,
    ) -> placement.Ranked | admission.Refusal:
        """Return the upstream that admits the call, or the refusal.

        Admission control applies to inference engines only: they accept more
        requests than they can serve, while plain services reject excess
        requests themselves.
        """
        if call.pool.engine is None or origin is not None:
            return ranked[0]
        profile = call.route.profile.name
        active_tiers = self._components.active_tiers
        active_tiers.record_request(call.pool.name, call.tier, now=now)
        for one in ranked:
            active_tiers.record_load(
                call.pool.name, one.candidate.load, now=now
            )
        admission_request = admission.AdmissionRequest(
            tier=call.tier,
            tiers=active_tiers.relevant(
                call.pool.name, call.tier, call.pool_tiers, now=now
            ),
            patience_seconds=call.patience_seconds,
            higher_tier_pressed=self._components.pressure.higher_tier_pressed(
                call.pool.name, call.tier, now=now
            ),
            floor_due=self._components.admission_floor.is_due(profile, now=now),
        )
        return admission.admit(admission_request, ranked)

    def _admit_adaptive(
        self,
        call: calls.Call,
        best: placement.Ranked | admission.Refusal,
        ranking: "_Ranking",
        registered: tuple[upstreams.Registration, ...],
        *,
        admitted_before: bool,
        now: float,
    ) -> placement.Ranked | pool_capacity.Rejection:
        """Apply the admission of adaptive pools to the decision so far."""
        if isinstance(best, admission.Refusal) and not ranking.adaptive:
            return pool_capacity.Rejection(refusal=best)
        if not ranking.adaptive or call.pool.engine is None:
            return best
        if admitted_before and not isinstance(best, admission.Refusal):
            return best
        return self._components.capacity.admit(
            call,
            best,
            registered,
            tokens=self.new_tokens(call),
            floor_due=self._components.admission_floor.is_due(
                call.route.profile.name, now=now
            ),
            now=now,
        )

    def new_tokens(self, call: calls.Call) -> float:
        """Return the prompt tokens of a call that are probably not cached."""
        return self._candidates.new_tokens(call)

    def _log(
        self,
        call: calls.Call,
        ranking: "_Ranking",
        *,
        chosen: str,
        version: str = "",
        refusal: str = "",
        reread_tokens: int = 0,
        closed: tuple[availability.ClosedUpstream, ...] = (),
    ) -> None:
        logs.emit(
            events.LogEvent.REQUEST_ROUTED,
            request_id=call.request_id,
            resumes=call.attributes.resumes_request,
            chosen=chosen,
            version=version,
            refusal=refusal,
            route=call.route.name,
            organisation=call.organisation.id if call.organisation else "",
            pool=call.pool.name,
            revision=call.revision,
            digest=call.digest,
            prompt_tokens=call.attributes.prompt_tokens,
            shared_tokens=call.shared_tokens,
            parts=call.parts,
            reread_tokens=reread_tokens,
            stands_back=ranking.stands_back,
            closed={
                one.upstream: one.reason.value
                for one in closed[:_MAX_LOGGED_CANDIDATES]
            },
            candidates=[
                {
                    "upstream": one.candidate.upstream,
                    "cost": round(one.cost, 3),
                    "has_shared": one.candidate.has_shared,
                    "waiting_tokens": round(one.candidate.load.waiting_tokens),
                    "running": one.candidate.load.running,
                    "failures": round(one.candidate.failures, 2),
                    **self._logged_speed(one, ranking),
                }
                for one in ranking.ranked[:_MAX_LOGGED_CANDIDATES]
            ],
        )

    def _logged_speed(
        self, ranked: placement.Ranked, ranking: "_Ranking"
    ) -> dict[str, float]:
        if not ranking.adaptive:
            return {}
        estimate = self._components.adaptive.speeds.estimate(
            ranked.candidate.upstream, now=self._components.clock.monotonic()
        )
        return {
            "wait_seconds": round(ranked.wait_seconds, 3),
            "tokens_per_second": round(estimate.tokens_per_second),
            "slowness": round(estimate.slowness, 2),
        }


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Ranking:
    """The candidates of one attempt, in ascending order of cost.

    Parameters
    ----------
    request
        Request for which they were ranked.
    stands_back
        Whether the request yields to all others of the pool.
    adaptive
        Whether the pool is adaptive.
    """

    request: placement.Request
    ranked: tuple[placement.Ranked, ...]
    stands_back: bool
    adaptive: bool = False

    def reread_tokens(self, chosen: placement.Ranked) -> int:
        """Return the shared tokens that another upstream prefilled recently."""
        if chosen.candidate.has_shared or not self.request.shared_recently:
            return 0
        return round(self.request.shared_tokens)


def _request_of(
    call: calls.Call, *, shared_recently: bool
) -> placement.Request:
    affinity_part = call.affinity_part
    return placement.Request(
        affinity=affinity_part.id if affinity_part else call.request_id,
        tier=call.tier,
        prompt_tokens=call.attributes.prompt_tokens,
        shared_tokens=call.shared_tokens,
        target_seconds=call.route.profile.target_seconds,
        sensitivity=sensitivity_of(call),
        tightest_pause_seconds=call.tightest_pause_seconds,
        shared_recently=shared_recently,
        body_bytes=len(call.body),
    )


def tier_of(
    call: calls.Call, origin: stream_origin.StreamOrigin | None
) -> types.Tier:
    """Return the tier in which a call gets places at restricted upstreams."""
    return call.tier if origin is None else types.HIGHEST_TIER


def sensitivity_of(call: calls.Call) -> float:
    """Return the inverse of the longest pause allowed in a call's stream."""
    pause = call.route.longest_pause_seconds
    return 1.0 / pause if pause else 0.0
