"""The promises, checked from what callers and upstreams saw."""

import collections
import dataclasses
import enum
from collections.abc import Iterator

from lagoonrun_core import outcomes
from lagoonrun_soak import layout, notice_checks, record, upstream

CONTACT_SECONDS = 3.0
"""How long a fault goes on to excuse what depends on time."""

_DRAIN_SECONDS = 2.0
"""A leaving upstream gets nothing new from so long after the store says so."""

_IN_FORCE_SECONDS = 2.0
_SLACK_SECONDS = 0.4
"""For the way of a request and a busy machine."""

_ROLLBACK_SECONDS = 0.5
_LEAVE_TAKING_SECONDS = 1.0
"""After the signal to stop, requests of the callers that are still there are
served for this time at least."""

_CROSSING_SECONDS = 0.2
"""After so long without an answer a request was read, as the platform counts."""

_TIER_WINDOW_SECONDS = 3.0
_TIER_REQUESTS = 8
"""Refused urgent requests, and less urgent ones begun, in one window."""

_CRASHES_BEFORE = 3
_MOST_RETRIES = 3
"""Upstreams that a request may end before the entry VMs know of it, and that it may
reach later than they have to know."""

_PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
_UNAUTHORIZED = 401
_OK = 200


class Promise(enum.Enum):
    """What the product answers for."""

    ONCE = "once"
    OWN_ANSWER = "own-answer"
    NOT_RUN = "not-run"
    LEAVING = "leaving"
    PLANNED_STOP = "planned-stop"
    IN_FORCE = "in-force"
    NO_REVERT = "no-revert"
    TIERS = "tiers"
    CRASHING = "crashing"
    LIMITS = "limits"
    RESTS = "rests"
    OWN_LEAVING = "own-leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """A promise that was not kept."""

    promise: Promise
    request_id: str
    detail: str


def check(seen: record.Record) -> list[Violation]:
    """Return all promises that were not kept."""
    return [
        *_once(seen),
        *_own_answer(seen),
        *_not_run(seen),
        *_leaving(seen),
        *_planned_stop(seen),
        *_in_force(seen),
        *_no_revert(seen),
        *_tiers(seen),
        *_crashing(seen),
        *_notices(seen),
    ]


def _notices(seen: record.Record) -> Iterator[Violation]:
    """Check what upstreams said of themselves in their answers."""
    ids_by_promise = {
        Promise.LIMITS: notice_checks.over_limits(
            seen, contact_seconds=CONTACT_SECONDS
        ),
        Promise.RESTS: notice_checks.in_rests(seen),
        Promise.OWN_LEAVING: notice_checks.after_leaving(seen),
    }
    for promise, ids in ids_by_promise.items():
        for id in ids:
            detail = "reached an upstream that had said otherwise"
            yield Violation(promise=promise, request_id=id, detail=detail)


def _once(seen: record.Record) -> Iterator[Violation]:
    for id, runs in seen.runs_by_id.items():
        ask = seen.asks_by_id.get(id)
        if ask is None:
            yield Violation(
                promise=Promise.ONCE, request_id=id, detail="nobody sent it"
            )
        elif len(runs) > 1 and layout.KINDS_BY_NAME[ask.kind].once:
            yield Violation(
                promise=Promise.ONCE,
                request_id=id,
                detail=f"{ask.kind} ran {len(runs)} times",
            )


def _own_answer(seen: record.Record) -> Iterator[Violation]:
    for ask in seen.asks_by_id.values():
        if ask.status != _OK:
            continue
        fault = _fault_of_answer(ask)
        if fault:
            yield Violation(
                promise=Promise.OWN_ANSWER, request_id=ask.id, detail=fault
            )


def _fault_of_answer(ask: record.Ask) -> str:
    if not ask.genuine:
        return "no upstream made it"
    if not layout.KINDS_BY_NAME[ask.kind].streamed:
        right = ask.body == upstream.whole_body(ask.id)
        return "" if right or not ask.whole else f"wrong body {ask.body!r}"
    events = [
        upstream.event(ask.id, number) for number in range(1, layout.EVENTS + 1)
    ]
    everything = b"".join(events)
    if ask.whole:
        return "" if ask.body == everything else "looks whole and is not"
    return "" if everything.startswith(ask.body) else "events are missing"


def _not_run(seen: record.Record) -> Iterator[Violation]:
    for ask in seen.asks_by_id.values():
        if ask.status in _PROMISES_NOT_RUN and seen.runs_by_id.get(ask.id):
            yield Violation(
                promise=Promise.NOT_RUN,
                request_id=ask.id,
                detail=f"answered {ask.status} and ran",
            )


def _leaving(seen: record.Record) -> Iterator[Violation]:
    for id, runs in seen.runs_by_id.items():
        ask = seen.asks_by_id.get(id)
        for run in runs:
            left_at = seen.left_at_by_upstream.get(run.upstream)
            if ask is None or left_at is None:
                continue
            late = run.at - left_at - _DRAIN_SECONDS
            calm_from = left_at - CONTACT_SECONDS
            if late > _SLACK_SECONDS and _is_calm(seen, ask.vm, calm_from, run):
                yield Violation(
                    promise=Promise.LEAVING,
                    request_id=id,
                    detail=f"{run.upstream} got it {late:.2f} s too late",
                )


def _is_calm(
    seen: record.Record, vm: str, start: float, run: record.Run
) -> bool:
    subjects = (vm, record.STORE, str(run.upstream))
    return all(seen.is_calm(one, start, run.at) for one in subjects)


def _planned_stop(seen: record.Record) -> Iterator[Violation]:
    for ask in seen.asks_by_id.values():
        stops = seen.stops_by_vm[ask.vm]
        end = ask.ended_at
        if end is None or not stops:
            continue
        near = [
            at
            for at in stops
            if ask.sent_at <= at + _LEAVE_TAKING_SECONDS and at <= end
        ]
        complete = ask.status > 0 and ask.whole
        # One that crossed the close of its connection was not read; its
        # caller may send it again.
        taken = ask.id in seen.runs_by_id or (
            end - ask.sent_at > _CROSSING_SECONDS
        )
        if near and taken and not complete and _was_calm(seen, ask, end):
            yield Violation(
                promise=Promise.PLANNED_STOP,
                request_id=ask.id,
                detail=f"{ask.kind} was cut, {end - near[0]:.2f} s after",
            )


def _was_calm(seen: record.Record, ask: record.Ask, end: float) -> bool:
    """Return whether only the stop can have cut a request."""
    start = ask.sent_at - CONTACT_SECONDS
    runs = seen.runs_by_id.get(ask.id, [])
    subjects = [f"{ask.vm} unplanned", *(str(run.upstream) for run in runs)]
    return all(seen.is_calm(one, start, end) for one in subjects)


def _in_force(seen: record.Record) -> Iterator[Violation]:
    for ask in seen.asks_by_id.values():
        if ask.status != _UNAUTHORIZED or not ask.key_revision:
            continue
        declared_at = seen.declared_at_by_revision[ask.key_revision]
        since = ask.sent_at - declared_at
        start = declared_at - CONTACT_SECONDS
        calm = all(
            seen.is_calm(one, start, ask.sent_at)
            for one in (ask.vm, record.STORE)
        )
        if calm and since > _IN_FORCE_SECONDS + _SLACK_SECONDS:
            yield Violation(
                promise=Promise.IN_FORCE,
                request_id=ask.id,
                detail=f"revision {ask.key_revision} is {since:.2f} s old",
            )


def _no_revert(seen: record.Record) -> Iterator[Violation]:
    accepted: dict[tuple[str, int], tuple[float, int]] = {}
    for ask in sorted(seen.asks_by_id.values(), key=lambda one: one.sent_at):
        place = (ask.vm, ask.boot)
        at, revision = accepted.get(place, (0.0, 0))
        if ask.status == _OK and ask.key_revision > revision:
            accepted[place] = (ask.ended_at or ask.sent_at, ask.key_revision)
        denied = ask.status == _UNAUTHORIZED and ask.key_revision
        later = ask.sent_at > at + _ROLLBACK_SECONDS
        if denied and later and ask.key_revision <= revision:
            yield Violation(
                promise=Promise.NO_REVERT,
                request_id=ask.id,
                detail=f"{ask.vm} had revision {revision} in force",
            )


def _tiers(seen: record.Record) -> Iterator[Violation]:
    refused = sorted(
        ask.sent_at
        for ask in seen.asks_by_id.values()
        if ask.kind == layout.ASK.name and ask.status in _PROMISES_NOT_RUN
    )
    begun = [
        run.at
        for runs in seen.runs_by_id.values()
        for run in runs
        if run.kind == layout.SUMMARY.name
    ]
    for first in refused:
        end = first + _TIER_WINDOW_SECONDS
        count = sum(first <= at <= end for at in refused)
        lower = sum(first <= at <= end for at in begun)
        if min(count, lower) < _TIER_REQUESTS:
            continue
        subjects = list(seen.spans_by_subject)
        start = first - CONTACT_SECONDS
        if all(seen.is_calm(one, start, end) for one in subjects):
            yield Violation(
                promise=Promise.TIERS,
                request_id="",
                detail=f"{count} urgent ones refused, {lower} others begun",
            )
            return


def _crashing(seen: record.Record) -> Iterator[Violation]:
    runs_by_name: dict[str, list[record.Run]] = collections.defaultdict(list)
    for ask in seen.asks_by_id.values():
        if ask.crashing:
            runs_by_name[ask.crashing].extend(seen.runs_by_id.get(ask.id, ()))
        elif ask.reason == outcomes.Reason.CRASHED_UPSTREAMS.value:
            yield Violation(
                promise=Promise.CRASHING,
                request_id=ask.id,
                detail="turned away for what another request did",
            )
    for name, runs in runs_by_name.items():
        late = _late_retries(seen, sorted(runs, key=lambda one: one.at))
        if len(late) > _MOST_RETRIES:
            yield Violation(
                promise=Promise.CRASHING,
                request_id=late[-1].id,
                detail=f"{name} reached {len(late)} more, {len(runs)} in all",
            )


def _late_retries(
    seen: record.Record, runs: list[record.Run]
) -> list[record.Run]:
    """Return the runs that entry VMs in touch should have prevented."""
    if len(runs) <= _CRASHES_BEFORE:
        return []
    known_at = runs[_CRASHES_BEFORE - 1].at + CONTACT_SECONDS
    return [
        run
        for run in runs
        if run.at > known_at
        and all(
            seen.is_calm(one, run.at - CONTACT_SECONDS, run.at)
            for one in (seen.asks_by_id[run.id].vm, record.STORE)
        )
    ]
