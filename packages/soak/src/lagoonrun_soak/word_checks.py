"""Whether entry VMs keep to what upstreams say of themselves in their answers."""

import collections
from collections.abc import Iterable, Iterator

from lagoonrun_core import types
from lagoonrun_soak import own_words, record

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
        told_at_by_vm: dict[str, float] = {}
        counted: collections.deque[float] = collections.deque()
        limit: float | None = None
        named_at = 0.0
        said = iter(_said_by(seen, upstream))
        next_said = next(said, None)
        for one in arrivals:
            while next_said is not None and next_said.at <= one.at:
                words = next_said.words
                if words.per_second != limit:
                    named_at = next_said.at
                    limit = words.per_second
                    told_at_by_vm.clear()
                    counted.clear()
                if limit is not None:
                    told_at_by_vm.setdefault(
                        _vm_of(seen, next_said.id), next_said.at
                    )
                next_said = next(said, None)
            vm = _vm_of(seen, one.id)
            told_at = told_at_by_vm.get(vm, one.at)
            bound = one.at - told_at >= _TOLD_SECONDS
            old = one.at - named_at >= contact_seconds
            if limit is None or not (bound and old):
                continue
            if not seen.is_calm(vm, told_at, one.at):
                continue
            counted.append(one.at)
            while counted[0] <= one.at - _LIMIT_WINDOW_SECONDS:
                counted.popleft()
            most = _LIMIT_FACTOR * limit * _LIMIT_WINDOW_SECONDS + _LIMIT_SLACK
            if len(counted) > most:
                yield one.id


def in_rests(seen: record.Record) -> Iterator[str]:
    """Yield the ids of requests that reached an upstream in its rest."""
    arrivals_by_upstream = _by_upstream(seen.arrivals)
    for one in seen.said:
        if one.words.rest_seconds is None:
            continue
        vm = _vm_of(seen, one.id)
        since = one.at + _TOLD_SECONDS
        until = one.at + one.words.rest_seconds
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
    for one in seen.said:
        if one.words.leaving:
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
    arrivals: Iterable[own_words.Arrival],
) -> dict[types.UpstreamId, list[own_words.Arrival]]:
    found = collections.defaultdict(list)
    for one in arrivals:
        found[one.upstream].append(one)
    return found


def _said_by(
    seen: record.Record, upstream: types.UpstreamId
) -> list[own_words.Said]:
    return [one for one in seen.said if one.upstream == upstream]


def _vm_of(seen: record.Record, id: str) -> str:
    ask = seen.asks_by_id.get(id)
    return ask.vm if ask else ""
