"""Reports to the other entry VMs of upstreams that have asked for a rest.

A rest is a back-off that an upstream asks for by Retry-After. It is sent once:
it ends within seconds, and an entry VM that misses it is asked by the upstream
itself.
"""

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import news_broadcaster, running_requests, upstream_rests

_MIN_REST_SECONDS = 0.3
"""Minimum duration of a rest that is sent: shorter ones are over when it
arrives."""

_MIN_INTERVAL_SECONDS = 0.3
"""Minimum time between two messages about one upstream."""


class RestNewsExchange:
    """Sends and forwards rests.

    Parameters
    ----------
    entry_vm, domain
        This entry VM and its failure domain.
    rests
        Known rests of the upstreams.
    broadcaster
        Sends messages.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        domain: types.FailureDomain,
        rests: upstream_rests.UpstreamRests,
        broadcaster: news_broadcaster.NewsBroadcaster,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._rests = rests
        self._broadcaster = broadcaster
        self._sent_at_by_instance: dict[
            running_requests.UpstreamInstance, float
        ] = {}

    def send(self, rest: upstream_rests.Rest, *, now: float) -> None:
        """Broadcast a rest that an answer has asked for."""
        self._forget_sent(now)
        if rest.until - now < _MIN_REST_SECONDS:
            return
        if rest.instance in self._sent_at_by_instance:
            return
        self._sent_at_by_instance[rest.instance] = now
        self._broadcaster.broadcast(self._message(rest, now))

    def receive(self, news: router_messages.RestNews, *, now: float) -> None:
        """Apply a rest that a peer was asked for; forward it if it is new."""
        rest = upstream_rests.Rest(
            instance=running_requests.UpstreamInstance(
                upstream=news.upstream, start=news.start
            ),
            until=now + news.left_milliseconds / 1000.0,
        )
        if self._rests.apply_report(rest, source=news.entry_vm, now=now):
            self._broadcaster.forward(news, origin=news.domain)

    def _forget_sent(self, now: float) -> None:
        for instance, sent_at in tuple(self._sent_at_by_instance.items()):
            if now - sent_at >= _MIN_INTERVAL_SECONDS:
                del self._sent_at_by_instance[instance]

    def _message(
        self, rest: upstream_rests.Rest, now: float
    ) -> router_messages.RestNews:
        return router_messages.RestNews(
            entry_vm=self._entry_vm,
            domain=self._domain,
            upstream=rest.instance.upstream,
            start=rest.instance.start,
            left_milliseconds=round((rest.until - now) * 1000.0),
        )
