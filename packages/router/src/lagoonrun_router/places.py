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
    place_giver,
    place_routing,
    running_requests,
    settings,
    upstream_limits,
    upstreams,
)

_ANSWER_SECONDS = 0.1
"""Longest wait for a place: a dozen round trips. The request goes elsewhere then."""

_UNANSWERED_SECONDS = 1.0
"""Time in which nobody is asked again after an answer did not come: until then the
next relay is known."""

_LONGEST_CLOSED_SECONDS = 1.0
"""Longest time without another question after a place was refused."""

_LEAST_CLOSED_SECONDS = 0.02
"""Shortest time of the same: a few round trips."""

_NUMBER_BITS = 48

_MOST_TIERS = 16
"""Tiers that are told apart; those below count as the last."""


class Giver(enum.Enum):
    """Who decided on a place."""

    FLEET = "fleet"
    """The entry VM that gives them out for all."""

    DOMAIN = "domain"
    """The relay of a failure domain that can't ask that one."""

    SELF = "self"
    """An entry VM that can't ask its relay."""


_PART_OF = {
    Giver.FLEET: limit_shares.giver_share,
    Giver.DOMAIN: limit_shares.domain_share,
    Giver.SELF: limit_shares.single_share,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Closed:
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
        self._giver_by_kind = {
            Giver.FLEET: place_giver.PlaceGiver(limits=limits),
            Giver.DOMAIN: place_giver.PlaceGiver(limits=limits),
            # Levels by chance: were all buckets of a fleet empty at first, the
            # small parts of many entry VMs would come up together much later.
            Giver.SELF: place_giver.PlaceGiver(limits=limits, rng=rng),
        }
        self._own_used_at = float("-inf")
        self._unanswered_until = float("-inf")
        # By chance: an answer to the process before must not be taken for one.
        self._number = rng.getrandbits(_NUMBER_BITS)
        self._waiting_by_number: dict[
            int, asyncio.Future[router_messages.PlaceAnswer]
        ] = {}
        self._closed_by_start: dict[
            running_requests.UpstreamInstance, _Closed
        ] = {}

    # As the entry VM that has a request.

    def is_limited(self, upstream: upstreams.Registration) -> bool:
        """Return whether a request needs a place at an upstream."""
        at = running_requests.instance_of(upstream)
        return self._limits.limit_of(at) is not None

    def closed_seconds(
        self, upstream: upstreams.Registration, tier: types.Tier, *, now: float
    ) -> float:
        """Return for how long no place is to be had there; 0 where one may be."""
        at = running_requests.instance_of(upstream)
        closed = self._closed_by_start.get(at)
        if closed is None or now >= closed.until or tier < closed.tier:
            return 0.0
        return closed.until - now if self._limits.limit_of(at) else 0.0

    def has_closed(self, *, now: float) -> bool:
        """Return whether any upstream has refused a place a moment ago."""
        for at, closed in tuple(self._closed_by_start.items()):
            if now >= closed.until:
                del self._closed_by_start[at]
        return bool(self._closed_by_start)

    async def acquire(
        self,
        upstream: upstreams.Registration,
        tier: types.Tier,
        *,
        request_id: types.RequestId,
    ) -> place_bucket.PlaceDecision:
        """Take a place at an upstream, where it has named a limit."""
        at = running_requests.instance_of(upstream)
        limit = self._limits.limit_of(at)
        if limit is None:
            return place_bucket.Granted()
        tier = types.Tier(min(tier, _MOST_TIERS))
        giver, verdict = await self._ask(upstream, at, tier)
        granted = isinstance(verdict, place_bucket.Granted)
        wait_seconds = 0.0 if granted else verdict.wait_seconds
        if not granted:
            self._close_for(at, tier, wait_seconds)
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
        return verdict

    def _close_for(
        self,
        at: running_requests.UpstreamInstance,
        tier: types.Tier,
        wait_seconds: float,
    ) -> None:
        now = self._clock.monotonic()
        seconds = min(_LONGEST_CLOSED_SECONDS, wait_seconds)
        until = now + max(_LEAST_CLOSED_SECONDS, seconds)
        closed = self._closed_by_start.get(at)
        if closed is not None and now < closed.until and closed.tier < tier:
            # What a higher tier can't have, a lower one can't have either.
            until = min(until, closed.until)
            tier = closed.tier
        self._closed_by_start[at] = _Closed(tier=tier, until=until)

    async def _ask(
        self,
        upstream: upstreams.Registration,
        at: running_requests.UpstreamInstance,
        tier: types.Tier,
    ) -> tuple[Giver, place_bucket.PlaceDecision]:
        now = self._clock.monotonic()
        relay = self._routing.own_relay(now=now)
        if relay is None and self._routing.gives(upstream.domain):
            return Giver.FLEET, self._give(Giver.FLEET, at, tier, now)
        if now < self._unanswered_until:
            return Giver.SELF, self._give(Giver.SELF, at, tier, now)
        asked = self._question(upstream, at, tier, now)
        to = relay or self._routing.giver(upstream.domain, now=now)
        if to is None:
            return Giver.DOMAIN, self._give(Giver.DOMAIN, at, tier, now)
        answer = await self._exchange(asked, to)
        if answer is None:
            now = self._clock.monotonic()
            self._unanswered_until = now + _UNANSWERED_SECONDS
            return Giver.SELF, self._give(Giver.SELF, at, tier, now)
        return Giver(answer.giver), _verdict_of(answer)

    def _question(
        self,
        upstream: upstreams.Registration,
        at: running_requests.UpstreamInstance,
        tier: types.Tier,
        now: float,
    ) -> router_messages.PlaceRequest:
        self._number += 1
        statement = self._limits.statement_of(at)
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

    async def _exchange(
        self, asked: router_messages.PlaceRequest, to: settings.Address
    ) -> router_messages.PlaceAnswer | None:
        """Return the answer; None where none comes in time."""
        answered = asyncio.get_running_loop().create_future()
        self._waiting_by_number[asked.number] = answered
        try:
            self._send(asked, (to,))
            async with asyncio.timeout(_ANSWER_SECONDS):
                return await answered
        except TimeoutError:
            logs.emit(
                events.LogEvent.PLACE_UNANSWERED,
                level=logging.WARNING,
                upstream=asked.limit.upstream,
                peer=f"{to.host}:{to.port}",
                waited_seconds=_ANSWER_SECONDS,
            )
            return None
        finally:
            del self._waiting_by_number[asked.number]

    # What peers send.

    def receive_answer(self, answer: router_messages.PlaceAnswer) -> None:
        """Take in what was decided on a question of this entry VM."""
        waiting = self._waiting_by_number.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def receive_question(self, asked: router_messages.PlaceRequest) -> None:
        """Answer a question, or pass it on as the relay of who asks."""
        now = self._clock.monotonic()
        self._limits.apply_report(
            limit_news.statement_of(asked.limit, now=now),
            source=asked.entry_vm,
            now=now,
        )
        at = running_requests.UpstreamInstance(
            upstream=asked.limit.upstream, start=asked.limit.start
        )
        tier = types.Tier(asked.tier)
        if self._routing.gives(asked.upstream_domain):
            verdict = self._give(Giver.FLEET, at, tier, now)
            self._answer(asked, Giver.FLEET, verdict)
            return
        if asked.domain != self._configured.domain:
            # Its sender takes another domain for the giver than this one does;
            # no answer makes it use its own part.
            return
        giver = self._routing.giver(asked.upstream_domain, now=now)
        if giver is not None:
            self._send(asked, (giver,))
            return
        verdict = self._give(Giver.DOMAIN, at, tier, now)
        self._answer(asked, Giver.DOMAIN, verdict)

    def _answer(
        self,
        asked: router_messages.PlaceRequest,
        giver: Giver,
        verdict: place_bucket.PlaceDecision,
    ) -> None:
        refused = isinstance(verdict, place_bucket.Refused)
        wait_seconds = verdict.wait_seconds if refused else 0.0
        answer = router_messages.PlaceAnswer(
            number=asked.number,
            granted=not refused,
            wait_milliseconds=round(wait_seconds * 1000.0),
            giver=giver.value,
        )
        address = settings.Address(host=asked.host, port=asked.port)
        self._send(answer, (address,))

    # Giving.

    def _give(
        self,
        giver: Giver,
        at: running_requests.UpstreamInstance,
        tier: types.Tier,
        now: float,
    ) -> place_bucket.PlaceDecision:
        """Decide on a place here, for the fleet or a part of it."""
        if giver is Giver.SELF:
            self._begin_own_part(now)
        view = self._routing.view(now=now)
        return self._giver_by_kind[giver].take(
            at, tier, part=_PART_OF[giver](view), now=now
        )

    def _begin_own_part(self, now: float) -> None:
        """Save nothing up while others give the places out."""
        if now - self._own_used_at > place_bucket.FLOOR_SECONDS:
            self._giver_by_kind[Giver.SELF].forget()
        self._own_used_at = now


def _verdict_of(
    answer: router_messages.PlaceAnswer,
) -> place_bucket.PlaceDecision:
    if answer.granted:
        return place_bucket.Granted()
    return place_bucket.Refused(wait_seconds=answer.wait_milliseconds / 1000.0)
