"""Apply the statements of upstreams about themselves: limits, rests, shutdown.

Connects the known rate limits, rests (back-offs that upstreams ask for) and
shutdowns, their exchange with peers, and the decision which upstreams may get a
request.
"""

import logging
import random
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    availability,
    brittle_upstreams,
    limit_news,
    metrics,
    news_broadcaster,
    place_routing,
    places,
    rest_news,
    running_requests,
    settings,
    upstream_limits,
    upstream_notice,
    upstream_rests,
    upstreams,
)


class NoticeExchange(Protocol):
    """What is used of the exchange with the other entry VMs."""

    broadcaster: news_broadcaster.NewsBroadcaster
    routing: place_routing.PlaceRouting
    send: news_broadcaster.Sender


class UpstreamNotices:
    """Applies notices of upstreams and messages of peers about them.

    Parameters
    ----------
    configured
        Settings of the process.
    directory
        The upstreams.
    exchange
        Sends messages to peers.
    counters
        Counts the places that are asked for.
    own_requests
        Requests of this entry VM.
    clock, rng
        Sources of time and of randomness.

    Attributes
    ----------
    limits, rests, brittle
        The known limits, rests and brittle upstreams.
    places
        Places: rights to send one request to a rate-limited upstream.
    availability
        Which upstreams may get a request.
    """

    def __init__(
        self,
        *,
        configured: settings.RouterSettings,
        directory: upstreams.UpstreamDirectory,
        exchange: NoticeExchange,
        counters: metrics.RouterMetrics,
        own_requests: brittle_upstreams.OwnRequests,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self.limits = upstream_limits.UpstreamLimits()
        self.rests = upstream_rests.UpstreamRests(rng=rng)
        self.brittle = brittle_upstreams.BrittleUpstreams(
            own_requests=own_requests
        )
        self._routing = exchange.routing
        self._limit_news = limit_news.LimitNewsExchange(
            entry_vm=configured.entry_vm,
            domain=configured.domain,
            limits=self.limits,
            broadcaster=exchange.broadcaster,
        )
        self._rest_news = rest_news.RestNewsExchange(
            entry_vm=configured.entry_vm,
            domain=configured.domain,
            rests=self.rests,
            broadcaster=exchange.broadcaster,
        )
        self.places = places.Places(
            configured=configured,
            limits=self.limits,
            routing=exchange.routing,
            send=exchange.send,
            counters=counters,
            clock=clock,
            rng=rng,
        )
        self.availability = availability.Availability(
            limited=self.places,
            rests=self.rests,
            brittle=self.brittle,
            routing=exchange.routing,
        )

    def apply_answer(
        self,
        upstream: upstreams.Registration,
        notice: upstream_notice.UpstreamNotice,
        *,
        sent_at: float,
    ) -> None:
        """Apply what the answer to a request of this entry VM states.

        Parameters
        ----------
        sent_at
            Reading of the clock when the request was written.
        """
        now = self._clock.monotonic()
        instance = running_requests.instance_of(upstream)
        if notice.unreadable:
            logs.emit(
                events.LogEvent.UPSTREAM_NOTICE_REJECTED,
                level=logging.WARNING,
                upstream=upstream.id,
                fields=notice.unreadable,
            )
        if notice.leaving:
            self._directory.mark_leaving(
                upstream.id, start=upstream.start, source="answer", now=now
            )
        limit = self.limits.apply_answer(
            instance, notice, sent_at=sent_at, now=now
        )
        if limit is not None:
            self._limit_news.send(limit, now=now)
        notice = self.brittle.apply_answer(
            instance,
            notice,
            count_entry_vms=lambda: self._routing.fleet_counts(now=now).known,
        )
        rest = self.rests.apply_answer(instance, notice, now=now)
        if rest is not None:
            self._rest_news.send(rest, now=now)

    def receive_message(
        self, message: router_messages.RouterMessage, *, now: float
    ) -> bool:
        """Apply a peer's message; return whether it was about notices."""
        if isinstance(message, router_messages.LimitNews):
            self._limit_news.receive(message, now=now)
        elif isinstance(message, router_messages.RestNews):
            self._rest_news.receive(message, now=now)
        elif isinstance(message, router_messages.PlaceRequest):
            self.places.receive_request(message)
        elif isinstance(message, router_messages.PlaceAnswer):
            self.places.receive_answer(message)
        else:
            return False
        return True

    def tick(self, *, now: float) -> None:
        """Resend limits that peers may have missed, several times a second."""
        self._limit_news.tick(now=now)

    def may_write(
        self, upstream: upstreams.Registration, *, has_place: bool, now: float
    ) -> bool:
        """Return whether a request may be written to an upstream now.

        It may have stated a limit or asked for a rest since it was chosen.
        """
        if not has_place and self.places.is_limited(upstream):
            return False
        return not self.availability.is_resting(upstream, now=now)

    def forget_instance(self, upstream: upstreams.Registration) -> None:
        """Forget the statements of an instance that has been replaced."""
        instance = running_requests.instance_of(upstream)
        self.limits.forget_instance(instance)
        self.rests.forget_instance(instance)
        self.brittle.forget_instance(instance)
