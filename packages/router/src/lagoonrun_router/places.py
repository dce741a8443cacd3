"""Places at rate-limited upstreams: requesting, forwarding and allocating them.

A place is the right to send one request to a rate-limited upstream. A limit
applies to all entry VMs together. Static shares don't work: a small share of a
small limit is less than one request at a time, and an entry VM with all the
callers would get no more than idle ones. So each request acquires a place from
the entry VM that allocates places for that upstream (the giver); an entry VM
that can't reach it uses a share of its own.
"""

import asyncio
import dataclasses
import enum
import logging
import random

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, patience, types
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
"""Maximum wait for the answer to a place request: a dozen round trips."""

_FALLBACK_SECONDS = 1.0
"""Time for which the own share is used after a missing answer; a new relay has
taken over by its end."""

_MAX_CLOSED_SECONDS = 1.0
"""Maximum time without another place request after a refusal."""

_MIN_CLOSED_SECONDS = 0.02
"""Minimum time without another place request after a refusal: a few round
trips."""

_NUMBER_BITS = 48

_MAX_TIER = 16
"""Lowest tier that is distinguished; those below count as this one."""


class Giver(enum.Enum):
    """Which entry VM allocated or refused a place."""

    FLEET = "fleet"
    """The giver of the whole fleet."""

    DOMAIN = "domain"
    """The relay of a failure domain that can't reach the giver."""

    SELF = "self"
    """An entry VM that can't reach its relay."""


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
    """Requests places, forwards the requests of others, and allocates places.

    Parameters
    ----------
    configured
        Settings of the process.
    limits
        Rate limits that upstreams have announced.
    routing
        Finds the giver.
    send
        Sends a message to each address.
    counters
        Metrics; counts places.
    clock, rng
        Sources of time and of randomness.
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
            # Random initial levels: if all buckets of a fleet began empty, the
            # small shares of many entry VMs would become available together,
            # much later.
            Giver.SELF: place_buckets.PlaceBuckets(limits=limits, rng=rng),
        }
        self._own_share_used_at = float("-inf")
        self._fallback_until = float("-inf")
        # Random, so that an answer to the previous process is not accepted.
        self._number = rng.getrandbits(_NUMBER_BITS)
        self._waiting_by_number: dict[
            int, asyncio.Future[router_messages.PlaceAnswer]
        ] = {}
        self._closure_by_instance: dict[
            running_requests.UpstreamInstance, _Closure
        ] = {}

    # Requesting places.

    def is_limited(self, upstream: upstreams.Registration) -> bool:
        """Return whether a request needs a place at an upstream."""
        instance = running_requests.instance_of(upstream)
        return self._limits.limit_of(instance) is not None

    def closed_seconds(
        self, upstream: upstreams.Registration, tier: types.Tier, *, now: float
    ) -> float:
        """Return how long no place can be acquired; 0 if one may be."""
        instance = running_requests.instance_of(upstream)
        closure = self._closure_by_instance.get(instance)
        if closure is None or now >= closure.until or tier < closure.tier:
            return 0.0
        return closure.until - now if self._limits.limit_of(instance) else 0.0

    def has_closed(self, *, now: float) -> bool:
        """Return whether any upstream is closed after a refusal."""
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
        """Acquire a place at an upstream, if it has announced a limit."""
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
            # A place that a higher tier can't get, a lower one can't either.
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
            limit=limit_news.to_upstream_limit(statement, now=now),
            upstream_domain=upstream.domain,
            tier=tier,
        )

    async def _request_place(
        self, request: router_messages.PlaceRequest, address: settings.Address
    ) -> router_messages.PlaceAnswer | None:
        """Return the answer; None if it does not arrive in time."""
        answer_future = asyncio.get_running_loop().create_future()
        self._waiting_by_number[request.number] = answer_future
        try:
            self._send(request, (address,))
            async with patience.PatienceTimeout(
                _ANSWER_SECONDS, clock=self._clock
            ):
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

    # Messages of peers.

    def receive_answer(self, answer: router_messages.PlaceAnswer) -> None:
        """Receive the answer to a place request of this entry VM."""
        waiting = self._waiting_by_number.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def receive_request(self, request: router_messages.PlaceRequest) -> None:
        """Answer a place request, or forward it as the relay of its sender."""
        now = self._clock.monotonic()
        self._limits.apply_report(
            limit_news.from_upstream_limit(request.limit, now=now),
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
            # The sender assumes another giver than this entry VM does. Without
            # an answer it uses its own share.
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

    # Allocating places.

    def _allocate(
        self,
        giver: Giver,
        instance: running_requests.UpstreamInstance,
        tier: types.Tier,
        now: float,
    ) -> place_bucket.PlaceDecision:
        """Allocate or refuse a place here, for the fleet or a share of it."""
        if giver is Giver.SELF:
            self._reset_unused_own_share(now)
        fleet_counts = self._routing.fleet_counts(now=now)
        return self._buckets_by_giver[giver].acquire(
            instance, tier, share=_SHARE_BY_GIVER[giver](fleet_counts), now=now
        )

    def _reset_unused_own_share(self, now: float) -> None:
        """Drop places that accrued while another entry VM allocated them."""
        if now - self._own_share_used_at > place_bucket.FLOOR_SECONDS:
            self._buckets_by_giver[Giver.SELF].clear()
        self._own_share_used_at = now


def _decision_of(
    answer: router_messages.PlaceAnswer,
) -> place_bucket.PlaceDecision:
    if answer.granted:
        return place_bucket.Granted()
    return place_bucket.Refused(wait_seconds=answer.wait_milliseconds / 1000.0)
