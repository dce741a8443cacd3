"""Decision on one request as a pure function of recorded inputs.

The scheduler calls `decide`; `check` replays it with the inputs of a
decision record and reports whether the result is the same.
"""

import dataclasses
import enum
import json
import math

from lagoonrun_core import outcomes, types
from lagoonrun_policy import jitter, messages

REPORT_DECAY_SECONDS = 1.0
"""Age at which a load report counts for 1/e."""

AFFINITY_WEIGHT = 0.1
"""Fraction by which a fully cached prefix reduces a runner's score."""

MINIMUM_RETRY_SECONDS = 0.25
NO_UPSTREAM_RETRY_SECONDS = 2.0
_RETRY_JITTER = 0.5


class Phase(enum.Enum):
    """Scheduling step in which a request is decided.

    `TURN`: next in the order of service. `EXPIRY`: can no longer meet its
    deadline. `OVERTAKEN`: late, while a newer request of the organisation
    goes first. `SHED`: makes room in a full queue for a higher tier.
    `CONFIGURATION`: its class is not configured. `ENDED`: its permit has
    already ended.
    """

    ARRIVAL = "arrival"
    TURN = "turn"
    EXPIRY = "expiry"
    OVERTAKEN = "overtaken"
    SHED = "shed"
    CONFIGURATION = "configuration"
    ENDED = "ended"


class Exclusion(enum.Enum):
    """Rule that excludes a runner for a request."""

    NONE = ""
    LEAVING = "leaving"
    GONE = "gone"
    UNCONFIGURED = "unconfigured"
    EJECTED = "ejected"
    PROBING = "probing"
    KEPT_FOR_HIGHER_TIER = "kept-for-higher-tier"
    FAILED_BEFORE = "failed-before"
    MODEL_NOT_LOADED = "model-not-loaded"
    FULL = "full"
    TOO_SLOW = "too-slow"
    TOO_SLOW_FOR_TARGET = "too-slow-for-target"


class VerdictKind(enum.Enum):
    """Kind of a decision's result."""

    GRANT = "grant"
    WAIT = "wait"
    REFUSE = "refuse"


_COMPUTED_EXCLUSIONS = frozenset(
    {
        Exclusion.FULL.value,
        Exclusion.TOO_SLOW.value,
        Exclusion.TOO_SLOW_FOR_TARGET.value,
    }
)
_PERMANENT_EXCLUSIONS = frozenset(
    {
        Exclusion.LEAVING.value,
        Exclusion.GONE.value,
        Exclusion.UNCONFIGURED.value,
        Exclusion.FAILED_BEFORE.value,
        Exclusion.MODEL_NOT_LOADED.value,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """Result of `decide`."""

    kind: VerdictKind
    upstream: types.UpstreamId | None = None
    reason: outcomes.Reason = outcomes.Reason.NONE
    retry_after_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class DecisionInputs:
    """All inputs of `decide`; fields as in `messages.DecisionRecord`."""

    key: messages.PermitKey
    phase: Phase
    remaining_seconds: float
    expected_service_seconds: float
    expected_wait_seconds: float
    drain_seconds: float
    queue_length: int
    queue_capacity: int
    lower_tier_waiting: int
    candidates: tuple[messages.Candidate, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Agreement:
    """Whether the recorded result follows from the recorded inputs.

    Parameters
    ----------
    differences
        One sentence for each value that the replay does not reproduce.
    """

    agrees: bool
    recorded: Verdict
    recomputed: Verdict
    differences: tuple[str, ...] = ()


def score_candidate(
    *,
    upstream: types.UpstreamId,
    in_flight: int,
    room: float,
    reported_load: int,
    report_age_seconds: float,
    foreign_load: float,
    affinity: float,
    straggler_factor: float,
    expected_service_seconds: float,
    remaining_seconds: float,
    target_budget_seconds: float,
    exclusion: str,
) -> messages.Candidate:
    """Score one runner for a request.

    Parameters
    ----------
    foreign_load
        Requests of other senders, as of the runner's load report.
    target_budget_seconds
        See `messages.DecisionRecord`.
    exclusion
        Rule that already excludes the runner; empty string for none.
    """
    if not exclusion:
        if in_flight >= int(room):
            exclusion = Exclusion.FULL.value
        elif expected_service_seconds > remaining_seconds:
            exclusion = Exclusion.TOO_SLOW.value
        elif 0 < target_budget_seconds < expected_service_seconds:
            exclusion = Exclusion.TOO_SLOW_FOR_TARGET.value
    score = 0.0
    if not exclusion:
        load = in_flight + 1.0
        if foreign_load > 0:
            load += foreign_load * math.exp(
                -report_age_seconds / REPORT_DECAY_SECONDS
            )
        score = load / room * straggler_factor
        score *= 1.0 - AFFINITY_WEIGHT * affinity
    return messages.Candidate(
        upstream=upstream,
        in_flight=in_flight,
        room=room,
        reported_load=reported_load,
        report_age_seconds=report_age_seconds,
        foreign_load=foreign_load,
        affinity=affinity,
        straggler_factor=straggler_factor,
        expected_service_seconds=expected_service_seconds,
        eligible=not exclusion,
        exclusion=exclusion,
        score=score,
    )


def refusal_reason(
    *,
    phase: Phase,
    remaining_seconds: float,
    expected_service_seconds: float,
    expected_wait_seconds: float,
    queue_length: int,
    queue_capacity: int,
    lower_tier_waiting: int,
) -> outcomes.Reason:
    """Return why the request is refused, or `Reason.NONE`."""
    if phase is Phase.CONFIGURATION:
        return outcomes.Reason.UNCONFIGURED
    if phase is Phase.SHED:
        return outcomes.Reason.SHED_FOR_HIGHER_TIER
    if phase is Phase.ENDED:
        return outcomes.Reason.NOT_MINE
    needed = expected_service_seconds
    if phase in (Phase.ARRIVAL, Phase.OVERTAKEN):
        needed += expected_wait_seconds
    if remaining_seconds <= 0 or needed > remaining_seconds:
        return outcomes.Reason.DEADLINE
    full = queue_length >= queue_capacity and lower_tier_waiting == 0
    if phase is Phase.ARRIVAL and full:
        return outcomes.Reason.QUEUE_FULL
    return outcomes.Reason.NONE


def decide(inputs: DecisionInputs) -> Verdict:
    """Return whether to grant a runner, queue the request or refuse it."""
    reason = refusal_reason(
        phase=inputs.phase,
        remaining_seconds=inputs.remaining_seconds,
        expected_service_seconds=inputs.expected_service_seconds,
        expected_wait_seconds=inputs.expected_wait_seconds,
        queue_length=inputs.queue_length,
        queue_capacity=inputs.queue_capacity,
        lower_tier_waiting=inputs.lower_tier_waiting,
    )
    if reason is outcomes.Reason.NONE and _all_excluded_permanently(
        inputs.candidates
    ):
        reason = outcomes.Reason.NO_UPSTREAM
    if reason is not outcomes.Reason.NONE:
        return Verdict(
            kind=VerdictKind.REFUSE,
            reason=reason,
            retry_after_seconds=_retry_after(inputs, reason),
        )
    best = _best(inputs.candidates, inputs.key)
    if best is None:
        return Verdict(kind=VerdictKind.WAIT)
    return Verdict(kind=VerdictKind.GRANT, upstream=best.upstream)


def check(record: messages.DecisionRecord) -> Agreement:
    """Replay the decision from a record's inputs and compare the results."""
    candidates = tuple(_rescore(c, record) for c in record.candidates)
    recomputed = decide(
        DecisionInputs(
            key=record.key,
            phase=Phase(record.phase),
            remaining_seconds=record.remaining_seconds,
            expected_service_seconds=record.expected_service_seconds,
            expected_wait_seconds=record.expected_wait_seconds,
            drain_seconds=record.drain_seconds,
            queue_length=record.queue_length,
            queue_capacity=record.queue_capacity,
            lower_tier_waiting=record.lower_tier_waiting,
            candidates=candidates,
        )
    )
    recorded = Verdict(
        kind=VerdictKind(record.verdict),
        upstream=record.upstream,
        reason=record.reason,
        retry_after_seconds=record.retry_after_seconds,
    )
    differences = [
        f"candidate {new.upstream}: recorded {old}, recomputed {new}"
        for old, new in zip(record.candidates, candidates, strict=True)
        if old != new
    ]
    if recorded != recomputed:
        differences.append(f"recorded {recorded}, recomputed {recomputed}")
    return Agreement(
        agrees=not differences,
        recorded=recorded,
        recomputed=recomputed,
        differences=tuple(differences),
    )


def record_to_json(record: messages.DecisionRecord) -> str:
    """Serialise the record as one JSON object, without loss."""
    return json.dumps(
        dataclasses.asdict(record), default=_enum_value, sort_keys=True
    )


def record_from_json(text: str) -> messages.DecisionRecord:
    """Parse the output of `record_to_json`.

    Raises
    ------
    ValueError
        If the text is not a decision record; the message says why.
    """
    try:
        fields = json.loads(text)
        fields["key"] = messages.PermitKey(**fields["key"])
        fields["reason"] = outcomes.Reason(fields["reason"])
        fields["candidates"] = tuple(
            messages.Candidate(**c) for c in fields["candidates"]
        )
        return messages.DecisionRecord(**fields)
    except (TypeError, KeyError, ValueError) as error:
        raise ValueError(
            f"not a decision record: {error}; valid: what record_to_json writes"
        ) from error


def _best(
    candidates: tuple[messages.Candidate, ...], key: messages.PermitKey
) -> messages.Candidate | None:
    """Return the eligible candidate with the lowest score.

    Ties go to the first from an offset hashed from the request id: under low
    load all runners tie, and the first in the list would get every request.
    """
    start = int(jitter.fraction(key.request_id) * len(candidates))
    best: messages.Candidate | None = None
    for candidate in candidates[start:] + candidates[:start]:
        if candidate.eligible and (
            best is None or candidate.score < best.score
        ):
            best = candidate
    return best


def _all_excluded_permanently(
    candidates: tuple[messages.Candidate, ...],
) -> bool:
    return all(c.exclusion in _PERMANENT_EXCLUSIONS for c in candidates)


def _retry_after(inputs: DecisionInputs, reason: outcomes.Reason) -> float:
    base = inputs.drain_seconds
    if reason is outcomes.Reason.NO_UPSTREAM:
        base = max(base, NO_UPSTREAM_RETRY_SECONDS)
    base = max(base, MINIMUM_RETRY_SECONDS)
    # Without jitter, callers refused together would all retry together.
    key = inputs.key
    spread = jitter.fraction(f"{key.request_id}/{key.attempt_id}")
    return base * (1.0 + _RETRY_JITTER * spread)


def _rescore(
    candidate: messages.Candidate, record: messages.DecisionRecord
) -> messages.Candidate:
    recorded = candidate.exclusion
    return score_candidate(
        upstream=candidate.upstream,
        in_flight=candidate.in_flight,
        room=candidate.room,
        reported_load=candidate.reported_load,
        report_age_seconds=candidate.report_age_seconds,
        foreign_load=candidate.foreign_load,
        affinity=candidate.affinity,
        straggler_factor=candidate.straggler_factor,
        expected_service_seconds=candidate.expected_service_seconds,
        remaining_seconds=record.remaining_seconds,
        target_budget_seconds=record.target_budget_seconds,
        exclusion="" if recorded in _COMPUTED_EXCLUSIONS else recorded,
    )


def _enum_value(value: object) -> object:
    if isinstance(value, enum.Enum):
        return value.value
    raise TypeError(f"cannot serialise {value!r}; valid: JSON types and enums")
