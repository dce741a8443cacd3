"""Whether entry VMs keep to what upstreams say of themselves in their answers."""

import collections
from collections.abc import Iterable, Iterator

from lagoonrun_core import types
from lagoonrun_soak import notices, record

_TOLD_SECONDS = 0.5
"""Time from which an answer binds the entry VM that passed it on."""

_DRAIN_SECONDS = 2.0
_SLACK_SECONDS = 0.4
"""For the way of a request and a busy machine."""

_LIMIT_WINDOW_SECONDS = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
"""Requests in a window above what a limit allows, with the factor before."""

_MOST_IN_A_REST = 2


def over_limits(
    seen: record.Record, *, contact_seconds: float
) -> Iterator[str]:
    """Yield the ids of requests that were too many for a limit.

    Counted are those of entry VMs that were told, from some seconds after the
    limit was first named on.
    """
    for upstream, arrivals in _by_upstream(seen.arrivals).items():
        count = _LimitCount(seen=seen, contact_seconds=contact_seconds)
        given = [one for one in seen.given_notices if one.upstream == upstream]
        for event in sorted([*given, *arrivals], key=lambda one: one.at):
            if isinstance(event, notices.GivenNotice):
                count.take_notice(event)
            elif count.is_too_many(event):
                yield event.id


class _LimitCount:
    """Counts the requests that reach one upstream within its limits."""

    def __init__(self, *, seen: record.Record, contact_seconds: float) -> None:
        self._seen = seen
        self._contact_seconds = contact_seconds
        self._limit: float | None = None
        self._named_at = 0.0
        self._told_at_by_vm: dict[str, float] = {}
        self._counted: collections.deque[float] = collections.deque()

    def take_notice(self, given: notices.GivenNotice) -> None:
        """Take in what an answer says of the limit."""
        if given.notice.per_second != self._limit:
            self._limit = given.notice.per_second
            self._named_at = given.at
            self._told_at_by_vm.clear()
            self._counted.clear()
        if self._limit is not None:
            vm = _vm_of(self._seen, given.id)
            self._told_at_by_vm.setdefault(vm, given.at)

    def is_too_many(self, arrival: notices.Arrival) -> bool:
        """Count a request; return whether it is above what is allowed."""
        if self._limit is None or not self._is_bound(arrival):
            return False
        self._counted.append(arrival.at)
        while self._counted[0] <= arrival.at - _LIMIT_WINDOW_SECONDS:
            self._counted.popleft()
        most = _LIMIT_FACTOR * self._limit * _LIMIT_WINDOW_SECONDS
        return len(self._counted) > most + _LIMIT_SLACK

    def _is_bound(self, arrival: notices.Arrival) -> bool:
        """Return whether the limit binds whoever sent a request."""
        vm = _vm_of(self._seen, arrival.id)
        told_at = self._told_at_by_vm.get(vm, arrival.at)
        if arrival.at - told_at < _TOLD_SECONDS:
            return False
        if arrival.at - self._named_at < self._contact_seconds:
            return False
        return self._seen.is_calm(vm, told_at, arrival.at)


def in_rests(seen: record.Record) -> Iterator[str]:
    """Yield the ids of requests that reached an upstream in its rest."""
    arrivals_by_upstream = _by_upstream(seen.arrivals)
    for one in seen.given_notices:
        if one.notice.rest_seconds is None:
            continue
        vm = _vm_of(seen, one.id)
        since = one.at + _TOLD_SECONDS
        until = one.at + one.notice.rest_seconds
        within = [
            arrival
            for arrival in arrivals_by_upstream[one.upstream]
            if since < arrival.at < until and _vm_of(seen, arrival.id) == vm
        ]
        if len(within) > _MOST_IN_A_REST and seen.is_calm(vm, one.at, until):
            yield within[-1].id


def after_leaving(seen: record.Record) -> Iterator[str]:
    """Yield the ids of requests sent after an answer that told of leaving."""
    told_at_by_place: dict[tuple[types.UpstreamId, str], float] = {}
    for one in seen.given_notices:
        if one.notice.leaving:
            place = (one.upstream, _vm_of(seen, one.id))
            told_at_by_place.setdefault(place, one.at)
    for one in seen.arrivals:
        vm = _vm_of(seen, one.id)
        told_at = told_at_by_place.get((one.upstream, vm))
        ask = seen.asks_by_id.get(one.id)
        if told_at is None or ask is None:
            continue
        late = ask.sent_at > told_at + _DRAIN_SECONDS + _SLACK_SECONDS
        if late and seen.is_calm(vm, told_at, one.at):
            yield one.id


def _by_upstream(
    arrivals: Iterable[notices.Arrival],
) -> dict[types.UpstreamId, list[notices.Arrival]]:
    found = collections.defaultdict(list)
    for one in arrivals:
        found[one.upstream].append(one)
    return found


def _vm_of(seen: record.Record, id: str) -> str:
    ask = seen.asks_by_id.get(id)
    return ask.vm if ask else ""
