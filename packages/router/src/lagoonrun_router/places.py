"""Places for requests at upstreams that have named a limit.

A limit is for all entry VMs together. Shares for each would be of no use: a small part
of a small limit is less than one request at a time, and the entry VM at which the
callers are would have no more than the idle ones. So each request takes a place of
whoever gives them out for that upstream; who can't ask has a part of its own.
"""

import asyncio
import dataclasses
import enum
import logging
import random

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, types
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    limit_news,
    limit_shares,
    metrics,
    news_broadcaster,
    place_bucket,
    place_buckets,
    place_routing,
    running_requests,
    settings,
    upstream_limits,
    upstreams,
)

_ANSWER_SECONDS = 0.1
"""Longest wait for a place: a dozen round trips. The request goes elsewhere then."""

_FALLBACK_SECONDS = 1.0
"""Time in which nobody is asked again after an answer did not come: until then the
next relay is known."""

_MAX_CLOSED_SECONDS = 1.0
"""Longest time without another question after a place was refused."""

_MIN_CLOSED_SECONDS = 0.02
"""Shortest time of the same: a few round trips."""

_NUMBER_BITS = 48

_MAX_TIER = 16
"""Tiers that are told apart; those below count as the last."""


class Giver(enum.Enum):
    """Who decided on a place."""

    FLEET = "fleet"
    """The entry VM that gives them out for all."""

    DOMAIN = "domain"
    """The relay of a failure domain that can't ask that one."""

    SELF = "self"
    """An entry VM that can't ask its relay."""


_SHARE_BY_GIVER = {
    Giver.FLEET: limit_shares.giver_share,
    Giver.DOMAIN: limit_shares.domain_share,
    Giver.SELF: limit_shares.single_share,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Closure:
    tier: types.Tier
    until: float


class Places:
    """Asks for places, passes questions on, and gives places out.

    Parameters
    ----------
    configured
        Settings of the process.
    limits
        Limits that upstreams have named.
    routing
        Where to ask.
    send
        Sends a message to each address.
    counters
        Receives the number of places.
    clock, rng
        Sources of time and of choices.
    """

    def __init__(
        self,
        *,
        configured: settings.RouterSettings,
        limits: upstream_limits.UpstreamLimits,
        routing: place_routing.PlaceRouting,
        send: news_broadcaster.Sender,
        counters: metrics.RouterMetrics,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._configured = configured
        self._limits = limits
        self._routing = routing
        self._send = send
        self._metrics = counters
        self._clock = clock
        self._buckets_by_giver = {
            Giver.FLEET: place_buckets.PlaceBuckets(limits=limits),
            Giver.DOMAIN: place_buckets.PlaceBuckets(limits=limits),
            # Levels by chance: were all buckets of a fleet empty at first, the
            # small parts of many entry VMs would come up together much later.
            Giver.SELF: place_buckets.PlaceBuckets(limits=limits, rng=rng),
        }
        self._own_share_used_at = float("-inf")
        self._fallback_until = float("-inf")
        # By chance: an answer to the process before must not be taken for one.
        self._number = rng.getrandbits(_NUMBER_BITS)
        self._waiting_by_number: dict[
            int, asyncio.Future[router_messages.PlaceAnswer]
        ] = {}
        self._closure_by_instance: dict[
            running_requests.UpstreamInstance, _Closure
        ] = {}

    # As the entry VM that has a request.

    def is_limited(self, upstream: upstreams.Registration) -> bool:
        """Return whether a request needs a place at an upstream."""
        instance = running_requests.instance_of(upstream)
        return self._limits.limit_of(instance) is not None

    def closed_seconds(
        self, upstream: upstreams.Registration, tier: types.Tier, *, now: float
    ) -> float:
        """Return for how long no place is to be had there; 0 where one may be."""
        instance = running_requests.instance_of(upstream)
        closure = self._closure_by_instance.get(instance)
        if closure is None or now >= closure.until or tier < closure.tier:
            return 0.0
        return closure.until - now if self._limits.limit_of(instance) else 0.0

    def has_closed(self, *, now: float) -> bool:
        """Return whether any upstream has refused a place a moment ago."""
        for instance, closure in tuple(self._closure_by_instance.items()):
            if now >= closure.until:
                del self._closure_by_instance[instance]
        return bool(self._closure_by_instance)

    async def acquire(
        self,
        upstream: upstreams.Registration,
        tier: types.Tier,
        *,
        request_id: types.RequestId,
    ) -> place_bucket.PlaceDecision:
        """Take a place at an upstream, where it has named a limit."""
        instance = running_requests.instance_of(upstream)
        limit = self._limits.limit_of(instance)
        if limit is None:
            return place_bucket.Granted()
        tier = types.Tier(min(tier, _MAX_TIER))
        giver, decision = await self._ask(upstream, instance, tier)
        granted = isinstance(decision, place_bucket.Granted)
        wait_seconds = 0.0 if granted else decision.wait_seconds
        if not granted:
            self._record_refusal(instance, tier, wait_seconds)
        self._metrics.places.labels(
            upstream.pool, "granted" if granted else "refused", giver.value
        ).inc()
        logs.emit(
            events.LogEvent.PLACE_DECIDED,
            request_id=request_id,
            upstream=upstream.id,
            start=upstream.start,
            tier=tier,
            per_second=limit,
            granted=granted,
            wait_seconds=round(wait_seconds, 3),
            giver=giver.value,
        )
        return decision

    def _record_refusal(
        self,
        instance: running_requests.UpstreamInstance,
        tier: types.Tier,
        wait_seconds: float,
    ) -> None:
        now = self._clock.monotonic()
        seconds = min(_MAX_CLOSED_SECONDS, wait_seconds)
        until = now + max(_MIN_CLOSED_SECONDS, seconds)
        closure = self._closure_by_instance.get(instance)
        if closure is not None and now < closure.until and closure.tier < tier:
            # What a higher tier can't have, a lower one can't have either.
            until = min(until, closure.until)
            tier = closure.tier
        self._closure_by_instance[instance] = _Closure(tier=tier, until=until)

    async def _ask(
        self,
        upstream: upstreams.Registration,
        instance: running_requests.UpstreamInstance,
        tier: types.Tier,
    ) -> tuple[Giver, place_bucket.PlaceDecision]:
        now = self._clock.monotonic()
        relay = self._routing.own_relay(now=now)
        if relay is None and self._routing.is_giver_for(upstream.domain):
            return Giver.FLEET, self._allocate(Giver.FLEET, instance, tier, now)
        if now < self._fallback_until:
            return Giver.SELF, self._allocate(Giver.SELF, instance, tier, now)
        request = self._make_request(upstream, instance, tier, now)
        address = relay or self._routing.giver(upstream.domain, now=now)
        if address is None:
            return Giver.DOMAIN, self._allocate(
                Giver.DOMAIN, instance, tier, now
            )
        answer = await self._request_place(request, address)
        if answer is None:
            now = self._clock.monotonic()
            self._fallback_until = now + _FALLBACK_SECONDS
            return Giver.SELF, self._allocate(Giver.SELF, instance, tier, now)
        return Giver(answer.giver), _decision_of(answer)

    def _make_request(
        self,
        upstream: upstreams.Registration,
        instance: running_requests.UpstreamInstance,
        tier: types.Tier,
        now: float,
    ) -> router_messages.PlaceRequest:
        self._number += 1
        statement = self._limits.statement_of(instance)
        return router_messages.PlaceRequest(
            entry_vm=self._configured.entry_vm,
            host=self._configured.peer.host,
            port=self._configured.peer.port,
            domain=self._configured.domain,
            number=self._number,
            limit=limit_news.told(statement, now=now),
            upstream_domain=upstream.domain,
            tier=tier,
        )

    async def _request_place(
        self, request: router_messages.PlaceRequest, address: settings.Address
    ) -> router_messages.PlaceAnswer | None:
        """Return the answer; None where none comes in time."""
        answer_future = asyncio.get_running_loop().create_future()
        self._waiting_by_number[request.number] = answer_future
        try:
            self._send(request, (address,))
            async with asyncio.timeout(_ANSWER_SECONDS):
                return await answer_future
        except TimeoutError:
            logs.emit(
                events.LogEvent.PLACE_UNANSWERED,
                level=logging.WARNING,
                upstream=request.limit.upstream,
                peer=f"{address.host}:{address.port}",
                waited_seconds=_ANSWER_SECONDS,
            )
            return None
        finally:
            del self._waiting_by_number[request.number]

    # What peers send.

    def receive_answer(self, answer: router_messages.PlaceAnswer) -> None:
        """Take in what was decided on a question of this entry VM."""
        waiting = self._waiting_by_number.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def receive_question(self, request: router_messages.PlaceRequest) -> None:
        """Answer a question, or pass it on as the relay of who asks."""
        now = self._clock.monotonic()
        self._limits.apply_report(
            limit_news.statement_of(request.limit, now=now),
            source=request.entry_vm,
            now=now,
        )
        instance = running_requests.UpstreamInstance(
            upstream=request.limit.upstream, start=request.limit.start
        )
        tier = types.Tier(request.tier)
        if self._routing.is_giver_for(request.upstream_domain):
            decision = self._allocate(Giver.FLEET, instance, tier, now)
            self._answer(request, Giver.FLEET, decision)
            return
        if request.domain != self._configured.domain:
            # Its sender takes another domain for the giver than this one does;
            # no answer makes it use its own part.
            return
        giver = self._routing.giver(request.upstream_domain, now=now)
        if giver is not None:
            self._send(request, (giver,))
            return
        decision = self._allocate(Giver.DOMAIN, instance, tier, now)
        self._answer(request, Giver.DOMAIN, decision)

    def _answer(
        self,
        request: router_messages.PlaceRequest,
        giver: Giver,
        decision: place_bucket.PlaceDecision,
    ) -> None:
        refused = isinstance(decision, place_bucket.Refused)
        wait_seconds = decision.wait_seconds if refused else 0.0
        answer = router_messages.PlaceAnswer(
            number=request.number,
            granted=not refused,
            wait_milliseconds=round(wait_seconds * 1000.0),
            giver=giver.value,
        )
        address = settings.Address(host=request.host, port=request.port)
        self._send(answer, (address,))

    # Giving.

    def _allocate(
        self,
        giver: Giver,
        instance: running_requests.UpstreamInstance,
        tier: types.Tier,
        now: float,
    ) -> place_bucket.PlaceDecision:
        """Decide on a place here, for the fleet or a part of it."""
        if giver is Giver.SELF:
            self._reset_unused_own_share(now)
        fleet_counts = self._routing.fleet_counts(now=now)
        return self._buckets_by_giver[giver].acquire(
            instance, tier, share=_SHARE_BY_GIVER[giver](fleet_counts), now=now
        )

    def _reset_unused_own_share(self, now: float) -> None:
        """Save nothing up while others give the places out."""
        if now - self._own_share_used_at > place_bucket.FLOOR_SECONDS:
            self._buckets_by_giver[Giver.SELF].clear()
        self._own_share_used_at = now


def _decision_of(
    answer: router_messages.PlaceAnswer,
) -> place_bucket.PlaceDecision:
    if answer.granted:
        return place_bucket.Granted()
    return place_bucket.Refused(wait_seconds=answer.wait_milliseconds / 1000.0)
