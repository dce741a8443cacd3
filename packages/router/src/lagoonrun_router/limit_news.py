"""Reports of upstreams' rate limits to the other entry VMs."""

from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import news_broadcaster, running_requests, upstream_limits

_REPEAT_SECONDS = 3.0
"""Time for which a change is repeated often by the entry VM that received it
from the upstream."""

_MIN_BROADCAST_INTERVAL_SECONDS = 0.25
"""Minimum time between two changes of one upstream that are broadcast at once;
those in between are sent with the next repetition."""

_REPEAT_TICKS = 5
"""Ticks between two repetitions of recent changes: a quarter of a second."""

_STANDING_REPEAT_TICKS = 20
"""Ticks between two repetitions of limits that are still in force: a second."""

_MAX_STATEMENTS = 24
"""Maximum number of statements in a message: two kilobytes."""

_NO_LIMIT = 0
"""Value in a message for an upstream that states no limit."""


class LimitNewsExchange:
    """Sends, repeats and forwards the limits that upstreams have stated.

    Parameters
    ----------
    entry_vm, domain
        This entry VM and its failure domain.
    limits
        Known limits of the upstreams.
    broadcaster
        Sends messages.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        domain: types.FailureDomain,
        limits: upstream_limits.UpstreamLimits,
        broadcaster: news_broadcaster.NewsBroadcaster,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._limits = limits
        self._broadcaster = broadcaster
        self._ticks = 0
        self._next_standing = 0
        self._sent_at_by_instance: dict[
            running_requests.UpstreamInstance, float
        ] = {}

    def send(
        self, statement: upstream_limits.LimitStatement, *, now: float
    ) -> None:
        """Broadcast a limit that an answer has just changed."""
        sent_at = self._sent_at_by_instance.get(
            statement.instance, float("-inf")
        )
        if now - sent_at >= _MIN_BROADCAST_INTERVAL_SECONDS:
            self._sent_at_by_instance[statement.instance] = now
            self._broadcaster.broadcast(self._message((statement,), now))

    def receive(self, news: router_messages.LimitNews, *, now: float) -> None:
        """Apply limits known to a peer, and forward those that are new."""
        changed = [
            self._limits.apply_report(
                from_upstream_limit(one, now=now), source=news.entry_vm, now=now
            )
            for one in news.limits
        ]
        new = tuple(one for one in changed if one is not None)
        if new:
            self._broadcaster.forward(
                self._message(new, now), origin=news.domain
            )

    def tick(self, *, now: float) -> None:
        """Repeat limits that others may have missed, every few calls."""
        self._ticks += 1
        if self._ticks % _REPEAT_TICKS:
            return
        changes = self._limits.own_changes(since=now - _REPEAT_SECONDS)
        if changes:
            newest = changes[-_MAX_STATEMENTS:]
            self._broadcaster.send_to_sample(self._message(newest, now))
        if self._ticks % _STANDING_REPEAT_TICKS == 0:
            self._forget_sent(now)
            self._repeat_standing(now)

    def _forget_sent(self, now: float) -> None:
        for instance, sent_at in tuple(self._sent_at_by_instance.items()):
            if now - sent_at >= _MIN_BROADCAST_INTERVAL_SECONDS:
                del self._sent_at_by_instance[instance]

    def _repeat_standing(self, now: float) -> None:
        """Repeat limits in force, as the relay, for newly started peers."""
        statements = self._next_standing_part()
        if statements and self._broadcaster.is_relay:
            self._broadcaster.broadcast(self._message(statements, now))

    def _next_standing_part(self) -> tuple[upstream_limits.LimitStatement, ...]:
        """Return the next part of the limits in force."""
        known = self._limits.in_force()
        if self._next_standing >= len(known):
            self._next_standing = 0
        statements = known[
            self._next_standing : self._next_standing + _MAX_STATEMENTS
        ]
        self._next_standing += _MAX_STATEMENTS
        return statements

    def _message(
        self, statements: Iterable[upstream_limits.LimitStatement], now: float
    ) -> router_messages.LimitNews:
        return router_messages.LimitNews(
            entry_vm=self._entry_vm,
            domain=self._domain,
            limits=tuple(to_upstream_limit(one, now=now) for one in statements),
        )


def to_upstream_limit(
    statement: upstream_limits.LimitStatement, *, now: float
) -> router_messages.UpstreamLimit:
    """Return a statement, encoded for a message."""
    per_second = statement.requests_per_second
    age_seconds = max(0.0, now - statement.heard_at)
    return router_messages.UpstreamLimit(
        upstream=statement.instance.upstream,
        start=statement.instance.start,
        thousandths_per_second=_NO_LIMIT
        if per_second is None
        else max(1, round(per_second * 1000.0)),
        age_milliseconds=round(age_seconds * 1000.0),
    )


def from_upstream_limit(
    limit: router_messages.UpstreamLimit, *, now: float
) -> upstream_limits.LimitStatement:
    """Return the statement that a part of a message encodes."""
    thousandths = limit.thousandths_per_second
    return upstream_limits.LimitStatement(
        instance=running_requests.UpstreamInstance(
            upstream=limit.upstream, start=limit.start
        ),
        requests_per_second=None
        if thousandths == _NO_LIMIT
        else thousandths / 1000.0,
        heard_at=now - limit.age_milliseconds / 1000.0,
    )
