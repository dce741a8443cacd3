"""Upstreams that turned a request away and asked for rest.

What an upstream asks of one entry VM binds that one. The others hear of it, and prefer
upstreams of which they have not: they need not be turned away to learn it, but a pool
does not stand still because each of its upstreams has turned one entry VM away.
"""

import dataclasses
import logging
import random

from lagoonrun_core import events, logs
from lagoonrun_router import running_requests, upstream_notice

LONGEST_REST_SECONDS = 600.0
"""Longest rest that is kept at a time: an upstream that asks for a day may have
recovered long before."""

UNKNOWN_REST_SECONDS = 1.0
"""Rest of an upstream that asks for one and can't be understood."""

_JITTER = 0.1
"""Part of a rest by which it is prolonged at most, so that what waits for the end of
many rests does not come at one moment."""

_WAY_SECONDS = 0.1
"""Longest time that a message takes, with a busy processor at its end."""

_MOST_RESTS = 1024
"""Upstreams of which rests are remembered; the oldest yield."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rest:
    """A rest of which peers are told.

    Parameters
    ----------
    at
        Which start of the upstream.
    until
        Reading of the clock at its end.
    """

    at: running_requests.UpstreamInstance
    until: float


class UpstreamRests:
    """Until when each upstream wants to be left alone.

    Parameters
    ----------
    rng
        Source of the jitter.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._own_until: dict[running_requests.UpstreamInstance, float] = {}
        self._told_until: dict[running_requests.UpstreamInstance, float] = {}

    def rest_seconds(
        self, at: running_requests.UpstreamInstance, *, now: float
    ) -> float:
        """Return how long this entry VM has to leave an upstream alone."""
        return max(0.0, self._own_until.get(at, now) - now)

    def has_any(self, *, now: float) -> bool:
        """Return whether any upstream rests, as it or a peer has said."""
        for until_by_start in (self._own_until, self._told_until):
            for at, until in tuple(until_by_start.items()):
                if now >= until:
                    del until_by_start[at]
        return bool(self._own_until or self._told_until)

    def is_avoided(
        self, at: running_requests.UpstreamInstance, *, now: float
    ) -> bool:
        """Return whether others were asked to leave an upstream alone."""
        return self._told_until.get(at, now) > now

    def apply_answer(
        self,
        at: running_requests.UpstreamInstance,
        notice: upstream_notice.UpstreamNotice,
        *,
        now: float,
    ) -> Rest | None:
        """Take in an answer that asks for rest; return what peers are told.

        A shorter rest does not end a longer one: answers overtake each other.
        """
        asked_seconds = notice.rest_seconds
        if not asked_seconds:
            return None
        seconds = min(LONGEST_REST_SECONDS, asked_seconds)
        until = now + seconds * (1.0 + _JITTER * self._rng.random())
        if until <= self._own_until.get(at, now):
            return None
        _note(self._own_until, at, until)
        logs.emit(
            events.LogEvent.UPSTREAM_RESTS,
            level=logging.WARNING,
            upstream=at.upstream,
            start=at.start,
            seconds=round(seconds, 3),
            asked_seconds=round(asked_seconds, 3),
            source="answer",
        )
        return Rest(at=at, until=now + seconds)

    def apply_report(self, rest: Rest, *, source: str, now: float) -> bool:
        """Take in what a peer was asked for; return whether it is news."""
        until = min(rest.until, now + LONGEST_REST_SECONDS)
        # What is left of a rest is told without the time on the way, so that
        # the same rest seems to end later with each entry VM that hands it on.
        if until <= self._told_until.get(rest.at, now) + _WAY_SECONDS:
            return False
        _note(self._told_until, rest.at, until)
        logs.emit(
            events.LogEvent.UPSTREAM_RESTS,
            upstream=rest.at.upstream,
            start=rest.at.start,
            seconds=round(until - now, 3),
            asked_seconds=round(until - now, 3),
            source=source,
        )
        return True

    def forget_instance(self, at: running_requests.UpstreamInstance) -> None:
        """Forget what an upstream asked for before it started again."""
        self._own_until.pop(at, None)
        self._told_until.pop(at, None)


def _note(
    until_by_start: dict[running_requests.UpstreamInstance, float],
    at: running_requests.UpstreamInstance,
    until: float,
) -> None:
    until_by_start.pop(at, None)
    until_by_start[at] = until
    while len(until_by_start) > _MOST_RESTS:
        del until_by_start[next(iter(until_by_start))]
