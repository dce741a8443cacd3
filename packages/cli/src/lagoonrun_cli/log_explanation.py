"""Joins the log lines of a request with the state that its entry VMs logged."""

import dataclasses
import enum
from collections.abc import Iterable

from lagoonrun_cli import log_lines

_STATE_EVENTS = frozenset(
    (
        "configuration-in-force",
        "platform-unreachable",
        "platform-reachable",
        "peer-lost",
        "peer-gained",
        "upstream-state-changed",
        "upstream-limited",
        "upstream-rests",
        "readiness-changed",
        "process-started",
        "process-stopping",
    )
)


class Verdict(enum.Enum):
    """Result of a request."""

    IN_TIME = "answered in time"
    LATE = "answered late"
    REFUSED = "refused at once"
    LOST = "lost with its upstream"
    LIMIT = "ended by its time limit"
    FAILED = "failed by its upstream"
    CALLER_LEFT = "left by its caller"
    REJECTED = "rejected as it stood"
    OPEN = "without an end in these lines"


_VERDICT_BY_REASON = {
    "overloaded": Verdict.REFUSED,
    "no-upstream": Verdict.REFUSED,
    "unconfigured": Verdict.REFUSED,
    "crashed-upstreams": Verdict.REFUSED,
    "upstreams-limited": Verdict.REFUSED,
    "upstreams-resting": Verdict.REFUSED,
    "version-gone": Verdict.REFUSED,
    "version-unknown": Verdict.REFUSED,
    "upstream-refused": Verdict.REFUSED,
    "deadline": Verdict.LIMIT,
    "caller-left": Verdict.CALLER_LEFT,
    "upstream-failed": Verdict.FAILED,
}

_SENTENCE_BY_ARRIVAL = {
    "new": "the entry VM knew of no earlier refusal that named it a time to "
    "return",
    "early": "it returned before the time that it had been told",
    "invited": "it returned in time, when it had been told to",
    "expired": "it returned too late, after the time that it had been told",
}
"""Sentences by the `arrival` of a refused request."""

_BELIEF_BY_FIELD = {
    "tokens_per_second": "to process {} prompt tokens a second at its usual "
    "speed",
    "slowness": "to take {} times as long as usual",
    "wait_seconds": "to have it wait {} s",
}
"""Texts about a candidate by the fields that adaptive pools add."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Explanation:
    """Log lines of a request, its result and its possible causes.

    Parameters
    ----------
    request_lines
        Lines with the request's id, of all entry VMs.
    state_changes
        The latest state changes before its end that the entry VMs that
        processed it logged: of its upstreams, their peers, the store or the
        configuration. Also the crashes of upstreams that ran it or a copy.
    causes
        Sentences made from the fields of those lines, most likely first.
    """

    request_id: str
    verdict: Verdict
    request_lines: tuple[log_lines.LogLine, ...]
    state_changes: tuple[log_lines.LogLine, ...]
    causes: tuple[str, ...]


def explain(
    request_id: str, lines: Iterable[log_lines.LogLine]
) -> Explanation | None:
    """Explain a request by its log lines; None if no line has its id."""
    ordered = log_lines.in_order(lines)
    request_lines = tuple(
        one for one in ordered if one.get("request_id") == request_id
    )
    if not request_lines:
        return None
    state_changes = log_lines.in_order(
        (
            *_state_changes_before(request_lines, ordered),
            *_crashes_under(request_lines, ordered),
        )
    )
    return Explanation(
        request_id=request_id,
        verdict=_verdict_of(request_lines),
        request_lines=request_lines,
        state_changes=state_changes,
        causes=(
            *_causes_of(request_lines),
            *_causes_of_state_changes(state_changes),
        ),
    )


def _state_changes_before(
    request_lines: tuple[log_lines.LogLine, ...],
    ordered: tuple[log_lines.LogLine, ...],
) -> tuple[log_lines.LogLine, ...]:
    entry_vms = {one.entry_vm for one in request_lines}
    upstreams = {one.get("upstream") for one in request_lines} - {None}
    for one in request_lines:
        upstreams.update(one.get("closed") or ())
    end = request_lines[-1].time
    latest: dict[object, log_lines.LogLine] = {}
    for line in ordered:
        is_relevant = (
            line.message in _STATE_EVENTS and line.entry_vm in entry_vms
        )
        upstream_id = line.get("upstream")
        if not is_relevant or line.time > end:
            continue
        if upstream_id is not None and upstream_id not in upstreams:
            continue
        topic = (
            line.entry_vm,
            line.message,
            upstream_id or line.get("peer") or _topic(line),
        )
        latest[topic] = line
    return log_lines.in_order(latest.values())


def _crashes_under(
    request_lines: tuple[log_lines.LogLine, ...],
    ordered: tuple[log_lines.LogLine, ...],
) -> Iterable[log_lines.LogLine]:
    """Return the crashes of upstreams under the request, a copy or its parts.

    Parts count if the request was refused for them.
    """
    digests = {one.get("digest") for one in request_lines} - {None, ""}
    blocks = {one.get("block") for one in request_lines} - {None, ""}
    parts = {part for block in blocks for part in block.split("+")}
    return (
        one
        for one in ordered
        if one.message == "upstream-crashed"
        and (
            digests.intersection(one.get("requests") or ())
            or parts.intersection(one.get("parts") or ())
        )
    )


def _topic(line: log_lines.LogLine) -> str:
    """Return the topic of an event; a later event of a topic replaces it."""
    return line.message.partition("-")[0]


def _verdict_of(request_lines: tuple[log_lines.LogLine, ...]) -> Verdict:
    last = request_lines[-1]
    if last.message in ("request-rejected", "request-refused"):
        rejected = last.message == "request-rejected"
        return Verdict.REJECTED if rejected else Verdict.REFUSED
    if last.message != "request-ended":
        return Verdict.OPEN
    if last.get("outcome") == "complete":
        return Verdict.LATE if is_late(last) else Verdict.IN_TIME
    reason = str(last.get("reason"))
    return _VERDICT_BY_REASON.get(reason, Verdict.LOST)


def is_late(ended: log_lines.LogLine) -> bool:
    """Return whether a complete response missed one of its latency targets."""
    first, target = ended.get("first_seconds"), ended.get("target_seconds")
    if first is not None and target is not None and first > target:
        return True
    pause, longest = (
        ended.get("pause_target_seconds"),
        ended.get("longest_pause"),
    )
    return pause is not None and longest is not None and longest > pause


def _causes_of(request_lines: tuple[log_lines.LogLine, ...]) -> Iterable[str]:
    for line in reversed(request_lines):
        if line.message == "request-refused":
            yield (
                f"{line.entry_vm} refused it: {line.get('reason')} "
                f"{line.get('detail') or ''}, tier {line.get('tier')}"
            )
            yield from _share_of(line)
            yield from _return_of(line)
            yield from _crashes_of(line)
        elif line.message == "upstream-attempt-lost":
            yield (
                f"the attempt at {line.get('upstream')} was lost: "
                f"{line.get('detail')}; it ran: {line.get('ran')}"
            )
        elif line.message == "place-decided" and not line.get("granted"):
            yield (
                f"no place at {line.get('upstream')}, which takes "
                f"{line.get('per_second')} requests a second of all entry VMs; "
                f"the next one {line.get('wait_seconds')} s later"
            )
        elif line.message == "stream-taken-up":
            yield _origin_of(line)
        elif line.message == "request-routed":
            yield from _placement_of(line)
        elif line.message == "request-ended" and is_late(line):
            yield (
                f"first answer after {line.get('first_seconds')} s of "
                f"{line.get('target_seconds')} s, longest pause "
                f"{line.get('longest_pause')} s of "
                f"{line.get('pause_target_seconds')} s"
            )


def _origin_of(taken_up: log_lines.LogLine) -> str:
    """Say what was known of a stream that the request takes up."""
    asked = (
        f"{taken_up.get('answered')} entry VMs answered within "
        f"{taken_up.get('seconds')} s, {taken_up.get('unanswered')} did not"
    )
    if not taken_up.get("version"):
        return (
            f"it is not known where the stream of {taken_up.get('resumes')} "
            f"began: {taken_up.get('evidence')} by {taken_up.get('source')}; "
            f"{asked}"
        )
    return (
        f"the stream of {taken_up.get('resumes')} began in pool "
        f"{taken_up.get('pool')} at version {taken_up.get('version')}, by "
        f"{taken_up.get('evidence')} of {taken_up.get('source')}, "
        f"{taken_up.get('age_seconds')} s old; {asked}"
    )


def _share_of(refused: log_lines.LogLine) -> Iterable[str]:
    """Say by which figures the organisation of a request exceeded its share."""
    fraction = refused.get("fraction")
    if fraction is None:
        return
    figures = (
        "the figures of the whole fleet"
        if refused.get("from_fleet")
        else f"the own figures of {refused.entry_vm} alone"
    )
    yield (
        f"its organisation {refused.get('organisation')} exceeded its share: "
        f"it asked for {refused.get('asked')} tokens a second, its fair rate "
        f"was {refused.get('fair_rate')}, so a fraction of {fraction} of its "
        f"requests was admitted, by {figures}"
    )


def _return_of(refused: log_lines.LogLine) -> Iterable[str]:
    """Say whether a caller returned in time, and when it is to return."""
    arrival = refused.get("arrival")
    if arrival is None:
        return
    yield _SENTENCE_BY_ARRIVAL.get(arrival, f"its arrival was {arrival}")
    if refused.get("retry_after"):
        yield (
            f"{refused.entry_vm} told it at {refused.time} to return "
            f"{refused.get('retry_after')} s later"
        )


def _crashes_of(refused: log_lines.LogLine) -> Iterable[str]:
    """Name the crashes that led to the refusal."""
    upstreams = refused.get("upstreams")
    if upstreams:
        yield (
            f"upstreams that ended while they ran "
            f"{refused.get('block') or refused.get('digest')}: "
            f"{', '.join(upstreams)}; it may be "
            f"tried again {refused.get('retry_after')} s later"
        )


def _placement_of(routed: log_lines.LogLine) -> Iterable[str]:
    for upstream, why in (routed.get("closed") or {}).items():
        yield f"{upstream} was passed by, since it was {why}"
    candidates = routed.get("candidates") or []
    if routed.get("version"):
        yield (
            f"it was sent to {routed.get('chosen')}, version "
            f"{routed.get('version')}"
        )
    if candidates:
        best = candidates[0]
        yield (
            f"cheapest of {len(candidates)} candidates shown was "
            f"{best['upstream']}: {best['waiting_tokens']} prompt tokens "
            f"waiting, {best['running']} requests running, shared part there: "
            f"{best['has_shared']}"
        )
    for candidate in candidates:
        yield from _speed_of(candidate)


def _speed_of(candidate: log_lines.Fields) -> Iterable[str]:
    """Say how fast a candidate was believed to be; nothing in old lines."""
    beliefs = [
        text.format(candidate[name])
        for name, text in _BELIEF_BY_FIELD.items()
        if candidate.get(name) is not None
    ]
    if beliefs:
        yield f"{candidate.get('upstream')} was believed {', '.join(beliefs)}"


def _causes_of_state_changes(
    state_changes: tuple[log_lines.LogLine, ...],
) -> Iterable[str]:
    for line in state_changes:
        if line.message == "platform-unreachable":
            yield f"{line.entry_vm} had lost the store at {line.time}"
        elif line.message == "peer-lost":
            yield (
                f"{line.entry_vm} had lost {line.get('peer')} at {line.time}"
            )
        elif line.message == "upstream-crashed":
            yield (
                f"{line.get('upstream')} crashed at {line.time} while it ran "
                f"the request or a copy of it, as {line.entry_vm} saw; requests "
                f"that it sent there: {len(line.get('requests'))}"
            )
        elif line.message == "upstream-rests":
            yield (
                f"{line.get('upstream')} had asked for {line.get('seconds')} s "
                f"of rest at {line.time}, by {line.get('source')}"
            )
        elif line.message == "upstream-limited":
            yield (
                f"{line.get('upstream')} took {line.get('per_second')} requests "
                f"a second for {line.entry_vm} since {line.time}, by "
                f"{line.get('source')}"
            )
        elif line.message == "upstream-state-changed":
            yield (
                f"{line.get('upstream')} was {line.get('state')} for "
                f"{line.entry_vm} since {line.time}, by {line.get('source')}"
            )
