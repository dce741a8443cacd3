"""Checks that entry VMs obey the notices in responses of upstreams."""

import collections
from collections.abc import Iterable, Iterator

from lagoonrun_core import types
from lagoonrun_soak import notices, record

_NOTICE_EFFECTIVE_SECONDS = 0.5
"""Time after a response from which the entry VM that received it must obey its
notice."""

_DRAIN_SECONDS = 2.0
_SLACK_SECONDS = 0.4
"""Allowance for the delivery of a request and for a busy machine."""

_LIMIT_WINDOW_SECONDS = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
"""Requests accepted in a window above the limit times `_LIMIT_FACTOR`."""

_MAX_DURING_REST = 2


def requests_over_limit(
    history: record.History, *, recovery_seconds: float
) -> Iterator[str]:
    """Yield the ids of requests above the limit that an upstream announced.

    Only requests of entry VMs that received the limit count, beginning
    `recovery_seconds` after the limit was first sent.
    """
    for upstream, arrivals in _by_upstream(history.arrivals).items():
        counter = _LimitCounter(
            history=history, recovery_seconds=recovery_seconds
        )
        sent = [
            notice
            for notice in history.sent_notices
            if notice.upstream == upstream
        ]
        for event in sorted([*sent, *arrivals], key=lambda event: event.at):
            if isinstance(event, notices.SentNotice):
                counter.apply_notice(event)
            elif counter.exceeds_limit(event):
                yield event.id


class _LimitCounter:
    """Counts the requests at one upstream in a sliding window."""

    def __init__(
        self, *, history: record.History, recovery_seconds: float
    ) -> None:
        self._history = history
        self._recovery_seconds = recovery_seconds
        self._limit: float | None = None
        self._limit_sent_at = 0.0
        self._notified_at_by_vm: dict[str, float] = {}
        self._counted: collections.deque[float] = collections.deque()

    def apply_notice(self, sent_notice: notices.SentNotice) -> None:
        """Apply the limit in a response of the upstream."""
        if sent_notice.notice.per_second != self._limit:
            self._limit = sent_notice.notice.per_second
            self._limit_sent_at = sent_notice.at
            self._notified_at_by_vm.clear()
            self._counted.clear()
        if self._limit is not None:
            vm = _vm_of(self._history, sent_notice.id)
            self._notified_at_by_vm.setdefault(vm, sent_notice.at)

    def exceeds_limit(self, arrival: notices.Arrival) -> bool:
        """Count a request; return whether it exceeds the limit."""
        if self._limit is None or not self._is_bound(arrival):
            return False
        self._counted.append(arrival.at)
        while self._counted[0] <= arrival.at - _LIMIT_WINDOW_SECONDS:
            self._counted.popleft()
        max_count = _LIMIT_FACTOR * self._limit * _LIMIT_WINDOW_SECONDS
        return len(self._counted) > max_count + _LIMIT_SLACK

    def _is_bound(self, arrival: notices.Arrival) -> bool:
        """Return whether the sender of a request must obey the limit."""
        vm = _vm_of(self._history, arrival.id)
        notified_at = self._notified_at_by_vm.get(vm, arrival.at)
        if arrival.at - notified_at < _NOTICE_EFFECTIVE_SECONDS:
            return False
        if arrival.at - self._limit_sent_at < self._recovery_seconds:
            return False
        return self._history.is_undisturbed(vm, notified_at, arrival.at)


def requests_during_rest(history: record.History) -> Iterator[str]:
    """Yield the ids of requests that an upstream received in its back-off."""
    arrivals_by_upstream = _by_upstream(history.arrivals)
    for sent_notice in history.sent_notices:
        if sent_notice.notice.rest_seconds is None:
            continue
        vm = _vm_of(history, sent_notice.id)
        since = sent_notice.at + _NOTICE_EFFECTIVE_SECONDS
        until = sent_notice.at + sent_notice.notice.rest_seconds
        within = [
            arrival
            for arrival in arrivals_by_upstream[sent_notice.upstream]
            if since < arrival.at < until and _vm_of(history, arrival.id) == vm
        ]
        if len(within) > _MAX_DURING_REST and history.is_undisturbed(
            vm, sent_notice.at, until
        ):
            yield within[-1].id


def requests_after_leaving(history: record.History) -> Iterator[str]:
    """Yield the ids of requests sent long after a notice of leaving."""
    notified_at_by_pair: dict[tuple[types.UpstreamId, str], float] = {}
    for sent_notice in history.sent_notices:
        if sent_notice.notice.leaving:
            pair = (sent_notice.upstream, _vm_of(history, sent_notice.id))
            notified_at_by_pair.setdefault(pair, sent_notice.at)
    for arrival in history.arrivals:
        vm = _vm_of(history, arrival.id)
        notified_at = notified_at_by_pair.get((arrival.upstream, vm))
        request = history.requests_by_id.get(arrival.id)
        if notified_at is None or request is None:
            continue
        late = request.sent_at > notified_at + _DRAIN_SECONDS + _SLACK_SECONDS
        if late and history.is_undisturbed(vm, notified_at, arrival.at):
            yield arrival.id


def _by_upstream(
    arrivals: Iterable[notices.Arrival],
) -> dict[types.UpstreamId, list[notices.Arrival]]:
    arrivals_by_upstream = collections.defaultdict(list)
    for arrival in arrivals:
        arrivals_by_upstream[arrival.upstream].append(arrival)
    return arrivals_by_upstream


def _vm_of(history: record.History, id: str) -> str:
    request = history.requests_by_id.get(id)
    return request.vm if request else ""
