"""Checks the guarantees against the recorded history of a soak."""

import collections
import dataclasses
import enum
from collections.abc import Iterator

from lagoonrun_core import outcomes
from lagoonrun_soak import (
    layout,
    notice_checks,
    notices,
    record,
    upstream,
    version_checks,
)

RECOVERY_SECONDS = 3.0
"""Time after a fault during which timing guarantees are not checked."""

_DRAIN_SECONDS = 2.0
"""Time after the store lists an upstream as leaving until it must receive no
new requests."""

_IN_FORCE_SECONDS = 2.0
_SLACK_SECONDS = 0.4
"""Allowance for the delivery of a request and for a busy machine."""

_ROLLBACK_SECONDS = 0.5
_STOP_GRACE_SECONDS = 1.0
"""Minimum time after the stop signal during which an entry VM still serves
requests of its connected callers."""

_ASSUMED_READ_SECONDS = 0.2
"""Time without a response after which the platform counts a request as read."""

_TIER_WINDOW_SECONDS = 3.0
_TIER_REQUESTS = 8
"""Number of refused urgent requests, and of started less urgent ones, in one
window that violates the guarantee."""

_CRASHES_TO_BLOCK = 3
_CRASHES_TO_BLOCK_PART = 5
_MAX_LATE_RUNS = 3
"""Crashes after which entry VMs must block a request, or a part of a prompt, and
the runs that may still begin more than `RECOVERY_SECONDS` after them."""

_MAX_UNSERVED_SHARE = 0.25
_MIN_UNSERVED = 4
"""Share, and number, of the requests that other organisations send during a
burst above and from which the ones that are not served violate the guarantee."""

_MIN_SERVED_RATIO = 0.5
"""Smallest number of served requests of an organisation that is not fully
served, relative to the bursting one. Equal shares would be 1; a few requests
differ by chance."""

_MEASURING_SECONDS = 1.0
"""Time from the start of a burst in which shares do not have to hold: entry VMs
measure the demand over about a second. In the soaks of the seeds 7 to 9, the
refused requests of small organisations were nearly all sent in it."""

_MIN_CUT_RATIO = 2.0 / 3.0
_MAX_CUT_FAILURES = 10
_MAX_CUT_FAILURE_SHARE = 1.0 / 50.0
"""Callers of an entry VM that is cut from all upstreams are served at least two
thirds as often as the others, unless no more than 10 and one in 50 fail."""

_MIN_CROWD = 20
_MIN_CROWDED_RATIO = 0.75
"""A crowded entry VM serves at least this many times the share of first tries
that were served before, if there are enough of both."""

_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_UNAUTHORIZED = 401
_OK = 200


class Guarantee(enum.Enum):
    """Guarantees of the product that a soak checks."""

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
    SHARES = "shares"
    CUT_OFF = "cut-off"
    ONE_VERSION = "one-version"
    TAKEN_UP = "taken-up"
    CROWDED = "crowded"
    SILENCE = "silence"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """A violated guarantee and the request that shows it."""

    guarantee: Guarantee
    request_id: str
    detail: str


def check(history: record.History) -> list[Violation]:
    """Return all violations in a history."""
    return [
        *_once(history),
        *_own_answer(history),
        *_not_run(history),
        *_leaving(history),
        *_planned_stop(history),
        *_in_force(history),
        *_no_revert(history),
        *_tiers(history),
        *_crashing(history),
        *_notices(history),
        *_shares(history),
        *_cut_off(history),
        *_crowded(history),
        *_versions(history),
        *_silence(history),
    ]


def _notices(history: record.History) -> Iterator[Violation]:
    """Check that entry VMs obey the notices in responses of upstreams."""
    ids_by_guarantee = {
        Guarantee.LIMITS: notice_checks.requests_over_limit(
            history, recovery_seconds=RECOVERY_SECONDS
        ),
        Guarantee.RESTS: notice_checks.requests_during_rest(history),
        Guarantee.OWN_LEAVING: notice_checks.requests_after_leaving(history),
    }
    for guarantee, ids in ids_by_guarantee.items():
        for id in ids:
            detail = "reached an upstream that had said otherwise"
            yield Violation(guarantee=guarantee, request_id=id, detail=detail)


def _versions(history: record.History) -> Iterator[Violation]:
    """Check that streams keep their version and are continued elsewhere."""
    for id, detail in version_checks.mixed_streams(history):
        yield Violation(
            guarantee=Guarantee.ONE_VERSION, request_id=id, detail=detail
        )
    detail = version_checks.too_few_continued(
        history, recovery_seconds=RECOVERY_SECONDS
    )
    if detail:
        yield Violation(
            guarantee=Guarantee.TAKEN_UP, request_id="", detail=detail
        )


def _silence(history: record.History) -> Iterator[Violation]:
    """Check that no stream ends early for a silence of its upstream.

    Only where nothing else happened: most other faults may cut streams.
    """
    silences = history.disturbances_by_subject[record.SILENCE]
    others = [
        subject
        for subject in history.disturbances_by_subject
        if subject != record.SILENCE
    ]
    for request in history.requests_by_id.values():
        kind = layout.KINDS_BY_NAME[request.kind]
        end = request.ended_at
        if end is None or not kind.route.resumable or request.crashing_part:
            continue
        limit_seconds = kind.route.profile.limit_seconds - _SLACK_SECONDS
        start = request.sent_at - RECOVERY_SECONDS
        if (
            not request.whole
            and request.id in history.runs_by_id
            and end - request.sent_at < limit_seconds
            and any(one.start <= end <= one.end for one in silences)
            and not history.unfinished_faults
            and not any(
                start <= at <= end
                for times in history.stop_times_by_vm.values()
                for at in times
            )
            and all(
                history.is_undisturbed(subject, start, end)
                for subject in others
            )
        ):
            yield Violation(
                guarantee=Guarantee.SILENCE,
                request_id=request.id,
                detail=f"ended after {end - request.sent_at:.2f} s",
            )


def _once(history: record.History) -> Iterator[Violation]:
    for id, runs in history.runs_by_id.items():
        request = history.requests_by_id.get(id)
        if request is None:
            yield Violation(
                guarantee=Guarantee.ONCE, request_id=id, detail="nobody sent it"
            )
        elif len(runs) > 1 and layout.KINDS_BY_NAME[request.kind].runs_once:
            yield Violation(
                guarantee=Guarantee.ONCE,
                request_id=id,
                detail=f"{request.kind} ran {len(runs)} times",
            )


def _own_answer(history: record.History) -> Iterator[Violation]:
    for request in history.requests_by_id.values():
        if request.status != _OK:
            continue
        defect = _response_defect(request)
        if defect:
            yield Violation(
                guarantee=Guarantee.OWN_ANSWER,
                request_id=request.id,
                detail=defect,
            )


def _response_defect(request: record.CallerRequest) -> str:
    if not request.genuine:
        return "no upstream made it"
    if not layout.KINDS_BY_NAME[request.kind].streamed:
        is_expected = request.body == upstream.whole_body(request.id)
        return (
            ""
            if is_expected or not request.whole
            else f"wrong body {request.body!r}"
        )
    first = request.resumes_after + 1
    versions = upstream.versions_in(request.body)
    versions += versions[-1:] * (layout.EVENTS - first + 1 - len(versions))
    events = [
        upstream.event(request.id, number, version)
        for number, version in zip(
            range(first, layout.EVENTS + 1), versions, strict=False
        )
    ]
    whole_stream = b"".join(events)
    if len(events) < layout.EVENTS - first + 1:
        return "events are missing" if request.whole or request.body else ""
    if request.whole:
        return "" if request.body == whole_stream else "looks whole and is not"
    return "" if whole_stream.startswith(request.body) else "events are missing"


def _not_run(history: record.History) -> Iterator[Violation]:
    for request in history.requests_by_id.values():
        if request.status in _NOT_RUN_STATUSES and history.runs_by_id.get(
            request.id
        ):
            yield Violation(
                guarantee=Guarantee.NOT_RUN,
                request_id=request.id,
                detail=f"answered {request.status} and ran",
            )


def _leaving(history: record.History) -> Iterator[Violation]:
    for id, runs in history.runs_by_id.items():
        request = history.requests_by_id.get(id)
        for run in runs:
            left_at = history.left_at_by_upstream.get(run.upstream)
            if request is None or left_at is None:
                continue
            late = run.at - left_at - _DRAIN_SECONDS
            undisturbed_from = left_at - RECOVERY_SECONDS
            if late > _SLACK_SECONDS and _is_undisturbed(
                history, request.vm, undisturbed_from, run
            ):
                yield Violation(
                    guarantee=Guarantee.LEAVING,
                    request_id=id,
                    detail=f"{run.upstream} got it {late:.2f} s too late",
                )


def _is_undisturbed(
    history: record.History, vm: str, start: float, run: record.Run
) -> bool:
    subjects = (vm, record.STORE, str(run.upstream))
    return all(
        history.is_undisturbed(subject, start, run.at) for subject in subjects
    )


def _planned_stop(history: record.History) -> Iterator[Violation]:
    for request in history.requests_by_id.values():
        stops = history.stop_times_by_vm[request.vm]
        end = request.ended_at
        if end is None or not stops:
            continue
        stops_during = [
            at
            for at in stops
            if request.sent_at <= at + _STOP_GRACE_SECONDS and at <= end
        ]
        complete = request.status > 0 and request.whole
        # A request sent while its connection was being closed was not read;
        # its caller may repeat it.
        was_read = request.id in history.runs_by_id or (
            end - request.sent_at > _ASSUMED_READ_SECONDS
        )
        if (
            stops_during
            and was_read
            and not complete
            and _is_undisturbed_but_stop(history, request, end)
        ):
            yield Violation(
                guarantee=Guarantee.PLANNED_STOP,
                request_id=request.id,
                detail=f"{request.kind} was cut, "
                f"{end - stops_during[0]:.2f} s after",
            )


def _is_undisturbed_but_stop(
    history: record.History, request: record.CallerRequest, end: float
) -> bool:
    """Return whether nothing but the planned stop can have cut a request."""
    start = request.sent_at - RECOVERY_SECONDS
    runs = history.runs_by_id.get(request.id, [])
    subjects = [f"{request.vm} unplanned", *(str(run.upstream) for run in runs)]
    return all(
        history.is_undisturbed(subject, start, end) for subject in subjects
    )


def _in_force(history: record.History) -> Iterator[Violation]:
    for request in history.requests_by_id.values():
        if request.status != _UNAUTHORIZED or not request.key_revision:
            continue
        declared_at = history.declared_at_by_revision[request.key_revision]
        since = request.sent_at - declared_at
        start = declared_at - RECOVERY_SECONDS
        undisturbed = all(
            history.is_undisturbed(subject, start, request.sent_at)
            for subject in (request.vm, record.STORE)
        )
        if undisturbed and since > _IN_FORCE_SECONDS + _SLACK_SECONDS:
            yield Violation(
                guarantee=Guarantee.IN_FORCE,
                request_id=request.id,
                detail=f"revision {request.key_revision} is {since:.2f} s old",
            )


def _no_revert(history: record.History) -> Iterator[Violation]:
    accepted: dict[tuple[str, int], tuple[float, int]] = {}
    for request in sorted(
        history.requests_by_id.values(), key=lambda request: request.sent_at
    ):
        process = (request.vm, request.boot)
        at, revision = accepted.get(process, (0.0, 0))
        if request.status == _OK and request.key_revision > revision:
            accepted[process] = (
                request.ended_at or request.sent_at,
                request.key_revision,
            )
        denied = request.status == _UNAUTHORIZED and request.key_revision
        later = request.sent_at > at + _ROLLBACK_SECONDS
        if denied and later and request.key_revision <= revision:
            yield Violation(
                guarantee=Guarantee.NO_REVERT,
                request_id=request.id,
                detail=f"{request.vm} had revision {revision} in force",
            )


def _tiers(history: record.History) -> Iterator[Violation]:
    refused_at = sorted(
        request.sent_at
        for request in history.requests_by_id.values()
        if request.kind == layout.ASK.name
        and request.status in _NOT_RUN_STATUSES
    )
    lower_started_at = [
        run.at
        for runs in history.runs_by_id.values()
        for run in runs
        if run.kind == layout.SUMMARY.name
    ]
    for first in refused_at:
        end = first + _TIER_WINDOW_SECONDS
        count = sum(first <= at <= end for at in refused_at)
        lower = sum(first <= at <= end for at in lower_started_at)
        if min(count, lower) < _TIER_REQUESTS:
            continue
        subjects = list(history.disturbances_by_subject)
        start = first - RECOVERY_SECONDS
        if all(
            history.is_undisturbed(subject, start, end) for subject in subjects
        ):
            yield Violation(
                guarantee=Guarantee.TIERS,
                request_id="",
                detail=f"{count} urgent ones refused, {lower} others begun",
            )
            return


def _crashing(history: record.History) -> Iterator[Violation]:
    runs_by_name: dict[str, list[record.Run]] = collections.defaultdict(list)
    for request in history.requests_by_id.values():
        cause = request.crashing_request or request.crashing_part
        if cause:
            runs_by_name[cause].extend(history.runs_by_id.get(request.id, ()))
        elif request.reason == outcomes.Reason.CRASHED_UPSTREAMS.value:
            yield Violation(
                guarantee=Guarantee.CRASHING,
                request_id=request.id,
                detail="turned away for what another request did",
            )
    for name, runs in runs_by_name.items():
        part = any(history.requests_by_id[run.id].crashing_part for run in runs)
        late = _late_runs(
            history,
            sorted(runs, key=lambda run: run.at),
            crashes=_CRASHES_TO_BLOCK_PART if part else _CRASHES_TO_BLOCK,
        )
        if len(late) > _MAX_LATE_RUNS:
            yield Violation(
                guarantee=Guarantee.CRASHING,
                request_id=late[-1].id,
                detail=f"{name} reached {len(late)} more, {len(runs)} in all",
            )


def _late_runs(
    history: record.History, runs: list[record.Run], *, crashes: int
) -> list[record.Run]:
    """Return the runs that entry VMs with working links should have blocked."""
    if len(runs) <= crashes:
        return []
    known_at = runs[crashes - 1].at + RECOVERY_SECONDS
    return [
        run
        for run in runs
        if run.at > known_at
        and all(
            history.is_undisturbed(subject, run.at - RECOVERY_SECONDS, run.at)
            for subject in (history.requests_by_id[run.id].vm, record.STORE)
        )
    ]


def _shares(history: record.History) -> Iterator[Violation]:
    """Check that other organisations are served while one of them bursts.

    By max-min fairness, an organisation that is not fully served gets as much
    as any other. The demand is measured over about a second, so requests of
    the first second of a burst are left out.
    """
    for burst in history.bursts:
        if _is_disturbed_otherwise(history, burst):
            continue
        by_organisation = _engine_requests_by_organisation(history, burst)
        bursting = by_organisation.pop(burst.organisation, [])
        served_to_bursting = sum(map(_is_served, bursting))
        for requests in by_organisation.values():
            unserved = [one for one in requests if not _is_served(one)]
            served = len(requests) - len(unserved)
            if (
                len(unserved) >= _MIN_UNSERVED
                and len(unserved) > _MAX_UNSERVED_SHARE * len(requests)
                and served < _MIN_SERVED_RATIO * served_to_bursting
            ):
                yield Violation(
                    guarantee=Guarantee.SHARES,
                    request_id=unserved[0].id,
                    detail=_unserved_text(burst, requests, unserved)
                    + f"; {served_to_bursting} of the burst were served",
                )


def _is_disturbed_otherwise(
    history: record.History, burst: record.Burst
) -> bool:
    """Return whether something other than a burst can have failed requests."""
    start = burst.start - RECOVERY_SECONDS
    is_stopping = any(
        burst.start - layout.STOP_SECONDS <= at <= burst.end
        for stops in history.stop_times_by_vm.values()
        for at in stops
    )
    other_bursts = (
        other
        for other in history.bursts
        if other.organisation != burst.organisation
    )
    return (
        is_stopping
        or any(
            other.start <= burst.end and other.end >= start
            for other in (*other_bursts, *history.unfinished_faults)
        )
        or not all(
            history.is_undisturbed(subject, start, burst.end)
            for subject in list(history.disturbances_by_subject)
        )
    )


def _engine_requests_by_organisation(
    history: record.History, burst: record.Burst
) -> dict[str, list[record.CallerRequest]]:
    """Return the ended engine requests that were sent during a burst.

    Those of its first second are left out, and requests with a key that is not
    in force yet.
    """
    kinds = {kind.name for kind in layout.ENGINE_KINDS}
    by_organisation: dict[str, list[record.CallerRequest]] = {}
    for request in history.requests_by_id.values():
        if (
            request.kind in kinds
            and burst.start + _MEASURING_SECONDS <= request.sent_at <= burst.end
            and request.ended_at is not None
            and request.status != _UNAUTHORIZED
        ):
            by_organisation.setdefault(request.organisation, []).append(request)
    return by_organisation


def _is_served(request: record.CallerRequest) -> bool:
    return request.status == _OK and request.whole


def _unserved_text(
    burst: record.Burst,
    others: list[record.CallerRequest],
    unserved: list[record.CallerRequest],
) -> str:
    """Return which requests were not served, by organisation, class, result."""
    counts = collections.Counter(
        f"{one.organisation} {one.kind} {one.status} {one.reason}".rstrip()
        for one in unserved
    )
    seconds = [one.sent_at - burst.start for one in unserved]
    return (
        f"{len(unserved)} of {len(others)} engine requests of others were not "
        f"served, sent {min(seconds):.2f} to {max(seconds):.2f} s after the "
        f"start of a burst of {burst.organisation}: "
        + ", ".join(f"{n} {text}" for text, n in sorted(counts.items()))
    )


def _cut_off(history: record.History) -> Iterator[Violation]:
    """Check that callers of cut entry VMs are served like the others."""
    for cut in history.cuts:
        start = cut.start + RECOVERY_SECONDS
        requests = [
            one
            for one in history.requests_by_id.values()
            if start <= one.sent_at
            and one.ended_at is not None
            and one.ended_at <= cut.end
            and not one.crashing_request
            and not one.crashing_part
            and one.status != _UNAUTHORIZED
            and _is_vm_undisturbed(history, one, cut)
        ]
        at_cut = [one for one in requests if one.vm == cut.vm]
        elsewhere = [one for one in requests if one.vm != cut.vm]
        failed = [one for one in at_cut if not _is_served(one)]
        allowed = _MAX_CUT_FAILURES + _MAX_CUT_FAILURE_SHARE * len(at_cut)
        if len(failed) <= allowed:
            continue
        served = len(at_cut) - len(failed)
        expected = _expected_served(at_cut, elsewhere)
        if served < _MIN_CUT_RATIO * expected:
            yield Violation(
                guarantee=Guarantee.CUT_OFF,
                request_id=failed[0].id,
                detail=f"{cut.vm} was cut off and served {served} of "
                f"{len(at_cut)}, the others would have {expected:.1f}",
            )


def _crowded(history: record.History) -> Iterator[Violation]:
    """Check that callers at a crowded entry VM are served as before."""
    for crowd in history.crowds:
        start = crowd.start + RECOVERY_SECONDS
        if not all(
            history.is_undisturbed(
                subject, crowd.start - RECOVERY_SECONDS, crowd.end
            )
            for subject in (crowd.vm, f"{crowd.vm} unplanned", record.STORE)
        ) or _is_pool_restricted(history, crowd):
            continue
        at_vm = _first_tries(history, start, crowd.end, vm=crowd.vm)
        before = _first_tries(
            history, crowd.start - RECOVERY_SECONDS, crowd.start
        )
        if len(at_vm) < _MIN_CROWD or len(before) < _MIN_CROWD:
            continue
        share = _served_share(at_vm)
        share_before = _served_share(before)
        elsewhere = [
            one
            for one in _first_tries(history, start, crowd.end)
            if one.vm != crowd.vm
        ]
        if len(elsewhere) >= _MIN_CROWD:
            # Upstreams that crash or restrict callers do so everywhere.
            share_before = min(share_before, _served_share(elsewhere))
        if share < _MIN_CROWDED_RATIO * share_before:
            yield Violation(
                guarantee=Guarantee.CROWDED,
                request_id=at_vm[-1].id,
                detail=f"{crowd.vm} served {share:.2f} of {len(at_vm)}, "
                f"{share_before:.2f} of {len(before)} before",
            )


def _is_pool_restricted(history: record.History, crowd: record.Crowd) -> bool:
    """Return whether upstreams asked for fewer requests, wherever they come."""
    return any(
        one.notice != notices.NO_NOTICE
        and crowd.start - RECOVERY_SECONDS <= one.at <= crowd.end
        for one in history.sent_notices
    )


def _served_share(requests: list[record.CallerRequest]) -> float:
    return sum(map(_is_served, requests)) / len(requests)


def _first_tries(
    history: record.History, start: float, end: float, *, vm: str = ""
) -> list[record.CallerRequest]:
    """Return the requests of an interval that entry VMs have read and ended."""
    return [
        one
        for one in history.requests_by_id.values()
        if start <= one.sent_at
        and one.ended_at is not None
        and one.ended_at <= end
        and (not vm or one.vm == vm)
        and not one.resumes
        and not one.crashing_request
        and not one.crashing_part
        and one.status not in (0, _UNAUTHORIZED)
    ]


def _expected_served(
    requests: list[record.CallerRequest], others: list[record.CallerRequest]
) -> float:
    """Return how many of `requests` are served if each class is as in `others`.

    Entry VMs get different numbers of requests of each class: callers in a burst
    choose one at random and come again at once when they are refused.
    """
    outcomes_by_kind: dict[str, list[bool]] = collections.defaultdict(list)
    for one in others:
        outcomes_by_kind[one.kind].append(_is_served(one))
    expected = 0.0
    for one in requests:
        served = outcomes_by_kind[one.kind]
        expected += sum(served) / len(served) if served else 0.0
    return expected


def _is_vm_undisturbed(
    history: record.History, request: record.CallerRequest, cut: record.Cut
) -> bool:
    """Return whether nothing else disturbed the entry VM of a request."""
    is_cut_too = any(
        other.vm == request.vm
        and other is not cut
        and other.start <= cut.end
        and other.end >= cut.start
        for other in history.cuts
    )
    is_stopping = any(
        cut.start - layout.STOP_SECONDS <= at <= cut.end
        for at in history.stop_times_by_vm[request.vm]
    )
    return (
        not is_cut_too
        and not is_stopping
        and history.is_undisturbed(request.vm, cut.start, cut.end)
        and history.is_undisturbed(
            f"{request.vm} unplanned", cut.start, cut.end
        )
    )
