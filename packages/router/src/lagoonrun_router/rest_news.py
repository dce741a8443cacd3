"""Tell the other entry VMs which upstreams have asked for rest.

Told once: a rest is over within seconds, and who does not hear of it is told by the
upstream itself.
"""

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import news_broadcaster, running_requests, upstream_rests

_LEAST_TOLD_SECONDS = 0.3
"""Rest from which others are told: shorter ones are over when they hear of it."""

_PAUSE_SECONDS = 0.3
"""Least time between two messages about one upstream."""


class RestNewsExchange:
    """Sends and hands on rests.

    Parameters
    ----------
    entry_vm, domain
        This entry VM.
    rests
        What is known.
    spreader
        Sends messages.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        domain: types.FailureDomain,
        rests: upstream_rests.UpstreamRests,
        spreader: news_broadcaster.NewsBroadcaster,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._rests = rests
        self._spreader = spreader
        self._told_at_by_start: dict[
            running_requests.UpstreamInstance, float
        ] = {}

    def tell(self, rest: upstream_rests.Rest, *, now: float) -> None:
        """Tell the whole fleet of a rest that an answer asked for."""
        self._forget_told(now)
        if rest.until - now < _LEAST_TOLD_SECONDS:
            return
        if rest.at in self._told_at_by_start:
            return
        self._told_at_by_start[rest.at] = now
        self._spreader.broadcast(self._message(rest, now))

    def take(self, news: router_messages.RestNews, *, now: float) -> None:
        """Take in a rest that a peer was asked for, and hand it on."""
        rest = upstream_rests.Rest(
            at=running_requests.UpstreamInstance(
                upstream=news.upstream, start=news.start
            ),
            until=now + news.left_milliseconds / 1000.0,
        )
        if self._rests.apply_report(rest, source=news.entry_vm, now=now):
            self._spreader.forward(news, origin=news.domain)

    def _forget_told(self, now: float) -> None:
        for at, told_at in tuple(self._told_at_by_start.items()):
            if now - told_at >= _PAUSE_SECONDS:
                del self._told_at_by_start[at]

    def _message(
        self, rest: upstream_rests.Rest, now: float
    ) -> router_messages.RestNews:
        return router_messages.RestNews(
            entry_vm=self._entry_vm,
            domain=self._domain,
            upstream=rest.at.upstream,
            start=rest.at.start,
            left_milliseconds=round((rest.until - now) * 1000.0),
        )
