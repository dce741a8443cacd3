"""Tell the other entry VMs which upstreams have named a limit, or none any more."""

from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import news_broadcaster, running_requests, upstream_limits

_NEWS_SECONDS = 3.0
"""Time for which a change is repeated often by whoever was told it."""

_TELL_SECONDS = 0.25
"""Least time between two changes of one upstream that are told at once; what comes in
between is repeated with the next beat."""

_NEWS_BEATS = 5
"""Beats between two repetitions of what is new: a quarter of a second."""

_OLD_BEATS = 20
"""The same of what holds on: a second."""

_MOST_TOLD = 24
"""Statements in a message: two kilobytes."""

_NO_LIMIT = 0
"""How a message says that an upstream names no limit."""


class LimitNewsExchange:
    """Sends, repeats and hands on what upstreams said of their limits.

    Parameters
    ----------
    entry_vm, domain
        This entry VM.
    limits
        What is known.
    spreader
        Sends messages.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        domain: types.FailureDomain,
        limits: upstream_limits.UpstreamLimits,
        spreader: news_broadcaster.NewsBroadcaster,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._limits = limits
        self._spreader = spreader
        self._beats = 0
        self._next_old = 0
        self._told_at_by_start: dict[
            running_requests.UpstreamInstance, float
        ] = {}

    def tell(
        self, statement: upstream_limits.LimitStatement, *, now: float
    ) -> None:
        """Tell the whole fleet what an answer has just changed."""
        told_at = self._told_at_by_start.get(statement.at, float("-inf"))
        if now - told_at >= _TELL_SECONDS:
            self._told_at_by_start[statement.at] = now
            self._spreader.broadcast(self._message((statement,), now))

    def take(self, news: router_messages.LimitNews, *, now: float) -> None:
        """Take in what a peer knows, and hand on what is new."""
        changed = [
            self._limits.apply_report(
                statement_of(one, now=now), source=news.entry_vm, now=now
            )
            for one in news.limits
        ]
        new = tuple(one for one in changed if one is not None)
        if new:
            self._spreader.forward(self._message(new, now), origin=news.domain)

    def tick(self, *, now: float) -> None:
        """Repeat what others may not have heard, every few calls."""
        self._beats += 1
        if self._beats % _NEWS_BEATS:
            return
        changes = self._limits.own_changes(since=now - _NEWS_SECONDS)
        if changes:
            newest = changes[-_MOST_TOLD:]
            self._spreader.send_to_sample(self._message(newest, now))
        if self._beats % _OLD_BEATS == 0:
            self._forget_told(now)
            self._repeat_old(now)

    def _forget_told(self, now: float) -> None:
        for at, told_at in tuple(self._told_at_by_start.items()):
            if now - told_at >= _TELL_SECONDS:
                del self._told_at_by_start[at]

    def _repeat_old(self, now: float) -> None:
        """Repeat, as the relay, what holds on, for those that start meanwhile."""
        part = self._some_old()
        if part and self._spreader.is_relay:
            self._spreader.broadcast(self._message(part, now))

    def _some_old(self) -> tuple[upstream_limits.LimitStatement, ...]:
        """Return the next part of what is in force."""
        known = self._limits.in_force()
        if self._next_old >= len(known):
            self._next_old = 0
        part = known[self._next_old : self._next_old + _MOST_TOLD]
        self._next_old += _MOST_TOLD
        return part

    def _message(
        self, statements: Iterable[upstream_limits.LimitStatement], now: float
    ) -> router_messages.LimitNews:
        return router_messages.LimitNews(
            entry_vm=self._entry_vm,
            domain=self._domain,
            limits=tuple(told(one, now=now) for one in statements),
        )


def told(
    statement: upstream_limits.LimitStatement, *, now: float
) -> router_messages.UpstreamLimit:
    """Return a statement as a message has it."""
    per_second = statement.requests_per_second
    age_seconds = max(0.0, now - statement.heard_at)
    return router_messages.UpstreamLimit(
        upstream=statement.at.upstream,
        start=statement.at.start,
        thousandths_per_second=_NO_LIMIT
        if per_second is None
        else max(1, round(per_second * 1000.0)),
        age_milliseconds=round(age_seconds * 1000.0),
    )


def statement_of(
    limit: router_messages.UpstreamLimit, *, now: float
) -> upstream_limits.LimitStatement:
    """Return the statement in a message."""
    thousandths = limit.thousandths_per_second
    return upstream_limits.LimitStatement(
        at=running_requests.UpstreamInstance(
            upstream=limit.upstream, start=limit.start
        ),
        requests_per_second=None
        if thousandths == _NO_LIMIT
        else thousandths / 1000.0,
        heard_at=now - limit.age_milliseconds / 1000.0,
    )
