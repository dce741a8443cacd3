"""Rests: back-offs that upstreams ask for by Retry-After in a refusal.

A rest binds the entry VM whose request was refused. The others get a report of
it and prefer upstreams without one, so that they need not be refused to learn
of it. For them it is a preference only: a pool must not stop serving because
each of its upstreams has refused one entry VM.
"""

import dataclasses
import logging
import random

from lagoonrun_core import events, logs
from lagoonrun_router import running_requests, upstream_notice

MAX_REST_SECONDS = 600.0
"""Longest rest that is respected: an upstream that asks for a day may have
recovered long before."""

UNKNOWN_REST_SECONDS = 1.0
"""Rest of an upstream whose Retry-After can't be parsed."""

_JITTER = 0.1
"""Largest random extension of a rest, as a fraction of it, so that requests
that wait for the end of many rests are not all sent at once."""

_MAX_DELAY_SECONDS = 0.1
"""Longest delay of a message between entry VMs, with a busy processor at the
receiver."""

_MAX_RESTS = 1024
"""Upstreams of which rests are stored; the oldest are evicted."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rest:
    """A rest as it is reported to peers.

    Parameters
    ----------
    instance
        The upstream instance.
    until
        Reading of the clock at the end of the rest.
    """

    instance: running_requests.UpstreamInstance
    until: float


class UpstreamRests:
    """The end of each upstream's rest, as requested here or reported by peers.

    Parameters
    ----------
    rng
        Source of the jitter.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._requested_until: dict[
            running_requests.UpstreamInstance, float
        ] = {}
        self._reported_until: dict[
            running_requests.UpstreamInstance, float
        ] = {}

    def rest_seconds(
        self, instance: running_requests.UpstreamInstance, *, now: float
    ) -> float:
        """Return how long this entry VM must not send to an upstream."""
        return max(0.0, self._requested_until.get(instance, now) - now)

    def has_any(self, *, now: float) -> bool:
        """Return whether any upstream rests, by its own request or a report."""
        for until_by_instance in (self._requested_until, self._reported_until):
            for instance, until in tuple(until_by_instance.items()):
                if now >= until:
                    del until_by_instance[instance]
        return bool(self._requested_until or self._reported_until)

    def is_avoided(
        self, instance: running_requests.UpstreamInstance, *, now: float
    ) -> bool:
        """Return whether a peer has reported a rest of an upstream."""
        return self._reported_until.get(instance, now) > now

    def apply_answer(
        self,
        instance: running_requests.UpstreamInstance,
        notice: upstream_notice.UpstreamNotice,
        *,
        now: float,
    ) -> Rest | None:
        """Apply an answer that may ask for a rest; return a new rest to report.

        A shorter rest does not shorten a longer one: answers may arrive out of
        order.
        """
        asked_seconds = notice.rest_seconds
        if not asked_seconds:
            return None
        seconds = min(MAX_REST_SECONDS, asked_seconds)
        until = now + seconds * (1.0 + _JITTER * self._rng.random())
        if until <= self._requested_until.get(instance, now):
            return None
        _record(self._requested_until, instance, until)
        logs.emit(
            events.LogEvent.UPSTREAM_RESTS,
            level=logging.WARNING,
            upstream=instance.upstream,
            start=instance.start,
            seconds=round(seconds, 3),
            asked_seconds=round(asked_seconds, 3),
            source="answer",
        )
        return Rest(instance=instance, until=now + seconds)

    def apply_report(self, rest: Rest, *, source: str, now: float) -> bool:
        """Apply a rest that a peer reports; return whether it was unknown."""
        until = min(rest.until, now + MAX_REST_SECONDS)
        # Messages carry the remaining time without their own delay, so that
        # the same rest appears to end later each time it is forwarded.
        if (
            until
            <= self._reported_until.get(rest.instance, now) + _MAX_DELAY_SECONDS
        ):
            return False
        _record(self._reported_until, rest.instance, until)
        logs.emit(
            events.LogEvent.UPSTREAM_RESTS,
            upstream=rest.instance.upstream,
            start=rest.instance.start,
            seconds=round(until - now, 3),
            asked_seconds=round(until - now, 3),
            source=source,
        )
        return True

    def forget_instance(
        self, instance: running_requests.UpstreamInstance
    ) -> None:
        """Forget the rests of an instance that has been replaced."""
        self._requested_until.pop(instance, None)
        self._reported_until.pop(instance, None)


def _record(
    until_by_instance: dict[running_requests.UpstreamInstance, float],
    instance: running_requests.UpstreamInstance,
    until: float,
) -> None:
    until_by_instance.pop(instance, None)
    until_by_instance[instance] = until
    while len(until_by_instance) > _MAX_RESTS:
        del until_by_instance[next(iter(until_by_instance))]
