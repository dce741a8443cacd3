"""Rate limits that upstreams have announced, as far as this entry VM knows.

An overloaded upstream announces in its answers how many requests per second it
accepts, and omits that once it no longer needs a limit. Answers overtake each
other, and entry VMs report limits to each other; so each statement has a
timestamp, and an older one never replaces a newer one.
"""

import dataclasses
import logging

from lagoonrun_core import events, logs
from lagoonrun_router import running_requests, upstream_notice

MIN_PER_SECOND = 0.1
"""Minimum effective limit. Only an answer can end a limit, so an upstream with
a limit of zero would never get a request again."""

UNLIMITED_PER_SECOND = 1000.0
"""Limit from which an upstream counts as unlimited: far above what one
serves."""

_OWN_ANSWER = "answer"

_REPORTED_DECIMALS = 3
"""Decimals of a limit, as many as messages keep. With more, the limit in an
answer would always differ from the one that a peer reports."""

_MAX_TRANSIT_SECONDS = 0.05
"""Usual maximum transit time of a message. Statements closer in time can't be
ordered, and the known one is kept."""

_MAX_LIMITS = 1024
"""Maximum number of upstreams with a statement; the oldest one is evicted."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitStatement:
    """The newest known statement of an upstream about its rate limit.

    Parameters
    ----------
    instance
        Instance of the upstream; a restarted upstream has no limit.
    requests_per_second
        Limit for all entry VMs together; None if the upstream has ended it.
    heard_at
        Monotonic time at which the answer with the statement arrived.
    """

    instance: running_requests.UpstreamInstance
    requests_per_second: float | None
    heard_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Entry:
    """A statement, the time of its last change, and whether it is own."""

    statement: LimitStatement
    changed_at: float
    own: bool


class UpstreamLimits:
    """The newest statement of each upstream."""

    def __init__(self) -> None:
        self._entry_by_instance: dict[
            running_requests.UpstreamInstance, _Entry
        ] = {}

    def limit_of(
        self, instance: running_requests.UpstreamInstance
    ) -> float | None:
        """Return an upstream's limit in requests per second, if it has one."""
        known = self._entry_by_instance.get(instance)
        return known.statement.requests_per_second if known else None

    def statement_of(
        self, instance: running_requests.UpstreamInstance
    ) -> LimitStatement | None:
        """Return the newest statement of an upstream, if there is one."""
        known = self._entry_by_instance.get(instance)
        return known.statement if known else None

    def in_force(self) -> tuple[LimitStatement, ...]:
        """Return the statements that set a limit."""
        return tuple(
            one.statement
            for one in self._entry_by_instance.values()
            if one.statement.requests_per_second is not None
        )

    def own_changes(self, *, since: float) -> tuple[LimitStatement, ...]:
        """Return statements received here that changed since then."""
        return tuple(
            one.statement
            for one in self._entry_by_instance.values()
            if one.own and one.changed_at >= since
        )

    def apply_answer(
        self,
        instance: running_requests.UpstreamInstance,
        notice: upstream_notice.UpstreamNotice,
        *,
        sent_at: float,
        now: float,
    ) -> LimitStatement | None:
        """Apply an answer to a request of this entry VM.

        Returns the statement if it changes the limit. The content of an answer
        may be as old as its request: an answer that would set or end a limit
        is ignored if its request was sent before the newest statement arrived.

        Parameters
        ----------
        sent_at
            Monotonic time at which the request was written.
        """
        per_second = _bounded(notice.requests_per_second)
        known = self.statement_of(instance)
        if known is None and per_second is None:
            return None
        if known is not None:
            toggles = (known.requests_per_second is None) is not (
                per_second is None
            )
            if toggles and sent_at < known.heard_at:
                return None
        return self._apply(
            LimitStatement(
                instance=instance, requests_per_second=per_second, heard_at=now
            ),
            source=_OWN_ANSWER,
            now=now,
        )

    def apply_report(
        self, statement: LimitStatement, *, source: str, now: float
    ) -> LimitStatement | None:
        """Apply a peer's report; return the statement if it is a change."""
        bounded = dataclasses.replace(
            statement,
            requests_per_second=_bounded(statement.requests_per_second),
        )
        known = self.statement_of(statement.instance)
        if known is not None and (
            bounded.requests_per_second == known.requests_per_second
            # The reported age does not include the transit time.
            or bounded.heard_at <= known.heard_at + _MAX_TRANSIT_SECONDS
        ):
            return None
        return self._apply(bounded, source=source, now=now)

    def forget_instance(
        self, instance: running_requests.UpstreamInstance
    ) -> None:
        """Drop the statement of the previous instance of an upstream."""
        self._entry_by_instance.pop(instance, None)

    def _apply(
        self, statement: LimitStatement, *, source: str, now: float
    ) -> LimitStatement | None:
        known = self._entry_by_instance.pop(statement.instance, None)
        previous = known.statement.requests_per_second if known else None
        changed = statement.requests_per_second != previous
        self._entry_by_instance[statement.instance] = _Entry(
            statement=statement,
            changed_at=now if changed or known is None else known.changed_at,
            own=source == _OWN_ANSWER,
        )
        while len(self._entry_by_instance) > _MAX_LIMITS:
            del self._entry_by_instance[next(iter(self._entry_by_instance))]
        if not changed:
            return None
        logs.emit(
            events.LogEvent.UPSTREAM_LIMITED,
            level=logging.WARNING,
            upstream=statement.instance.upstream,
            start=statement.instance.start,
            per_second=statement.requests_per_second,
            previous=previous,
            source=source,
            age_seconds=round(now - statement.heard_at, 3),
        )
        return statement


def _bounded(per_second: float | None) -> float | None:
    if per_second is None or per_second >= UNLIMITED_PER_SECOND:
        return None
    return max(MIN_PER_SECOND, round(per_second, _REPORTED_DECIMALS))
