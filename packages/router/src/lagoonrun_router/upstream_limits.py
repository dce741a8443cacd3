"""Limits that upstreams have named, as far as this entry VM knows.

An upstream in need names in its answers how many requests a second it takes, and
leaves that out when it needs it no more. Answers overtake each other, and entry VMs
tell each other what they were told; so each statement is dated, and an older one
never replaces a newer one.
"""

import dataclasses
import logging

from lagoonrun_core import events, logs
from lagoonrun_router import running_requests, upstream_notice

MIN_PER_SECOND = 0.1
"""Smallest limit that is taken at its word. Only an answer can end a limit, so an
upstream that takes nothing at all would never be asked again."""

UNLIMITED_PER_SECOND = 1000.0
"""Limit from which an upstream counts as unlimited: far above what one serves."""

_OWN_ANSWER = "answer"

_REPORTED_DECIMALS = 3
"""Digits of a limit that messages keep: with more, what an answer says would always
differ from what a peer has told of it."""

_MAX_TRANSIT_SECONDS = 0.05
"""Longest usual time of a message: statements that are nearer to each other can't be
told which is newer, and the one that is known stays."""

_MOST_LIMITS = 1024
"""Upstreams of which statements are remembered; the oldest statements yield."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitStatement:
    """What an upstream has said of its limit, the newest that is known.

    Parameters
    ----------
    at
        Which start of the upstream; one that starts again owes nothing of this.
    requests_per_second
        For all entry VMs together; None where it names no limit any more.
    heard_at
        Reading of the clock when the answer that said so arrived.
    """

    at: running_requests.UpstreamInstance
    requests_per_second: float | None
    heard_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Entry:
    """A statement, since when it says what it says, and whether heard here."""

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
        """Return the requests a second that an upstream takes; None for any."""
        known = self._entry_by_instance.get(instance)
        return known.statement.requests_per_second if known else None

    def statement_of(
        self, instance: running_requests.UpstreamInstance
    ) -> LimitStatement | None:
        """Return what an upstream has said last; None for nothing."""
        known = self._entry_by_instance.get(instance)
        return known.statement if known else None

    def in_force(self) -> tuple[LimitStatement, ...]:
        """Return the statements that name a limit."""
        return tuple(
            one.statement
            for one in self._entry_by_instance.values()
            if one.statement.requests_per_second is not None
        )

    def own_changes(self, *, since: float) -> tuple[LimitStatement, ...]:
        """Return what answers to this entry VM have changed since then."""
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
        """Take in an answer to a request of this entry VM.

        Returns the statement where it changes what is known. An answer may be
        older than it seems by the time since its request was sent: one that
        would begin or end a limit counts only where the request was sent after
        the newest statement was heard.

        Parameters
        ----------
        sent_at
            Reading of the clock when the request was written.
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
                at=instance, requests_per_second=per_second, heard_at=now
            ),
            source=_OWN_ANSWER,
            now=now,
        )

    def apply_report(
        self, statement: LimitStatement, *, source: str, now: float
    ) -> LimitStatement | None:
        """Take in what a peer was told; return it where that is news."""
        bounded = dataclasses.replace(
            statement,
            requests_per_second=_bounded(statement.requests_per_second),
        )
        known = self.statement_of(statement.at)
        if known is not None and (
            bounded.requests_per_second == known.requests_per_second
            # The age of a statement leaves the time on the way out.
            or bounded.heard_at <= known.heard_at + _MAX_TRANSIT_SECONDS
        ):
            return None
        return self._apply(bounded, source=source, now=now)

    def forget_instance(
        self, instance: running_requests.UpstreamInstance
    ) -> None:
        """Forget what an upstream said before it started again."""
        self._entry_by_instance.pop(instance, None)

    def _apply(
        self, statement: LimitStatement, *, source: str, now: float
    ) -> LimitStatement | None:
        known = self._entry_by_instance.pop(statement.at, None)
        previous = known.statement.requests_per_second if known else None
        changed = statement.requests_per_second != previous
        self._entry_by_instance[statement.at] = _Entry(
            statement=statement,
            changed_at=now if changed or known is None else known.changed_at,
            own=source == _OWN_ANSWER,
        )
        while len(self._entry_by_instance) > _MOST_LIMITS:
            del self._entry_by_instance[next(iter(self._entry_by_instance))]
        if not changed:
            return None
        logs.emit(
            events.LogEvent.UPSTREAM_LIMITED,
            level=logging.WARNING,
            upstream=statement.at.upstream,
            start=statement.at.start,
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
