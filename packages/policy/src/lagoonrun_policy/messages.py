"""Input events and output actions of a scheduler.

A scheduler is deterministic: it has state, but reads no clock, does no I/O
and uses no random numbers of its own. All times are readings of one monotonic
clock of the calling process, in seconds.
"""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Protocol

from lagoonrun_core import outcomes, types


class UpstreamState(enum.Enum):
    """Whether an upstream may be given new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClassPolicy:
    """The part of a `Profile` that a scheduler needs."""

    name: types.ProfileName
    tier: types.Tier
    target_seconds: float
    limit_seconds: float
    target_on_first_token: bool = False
    idempotent: bool = True
    floor_share: float = 0.02
    queue_capacity: int = 1024
    retry_ratio: float = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Runner:
    """The properties of an upstream that a scheduler needs."""

    id: types.UpstreamId
    slots: int
    resumes: bool = False
    state: UpstreamState = UpstreamState.LIVE


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShardPolicy:
    """The part of a configuration that applies to one shard."""

    shard: types.ShardId
    revision: types.Revision
    classes_by_name: dict[types.ProfileName, ClassPolicy]
    runners_by_id: dict[types.UpstreamId, Runner]
    weights_by_organisation: dict[types.OrganisationId, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitKey:
    """Identifies one attempt of one request for a permit."""

    request_id: types.RequestId
    attempt_id: types.AttemptId


# Events.


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitRequested:
    """An ingress asks for a runner.

    Parameters
    ----------
    remaining_seconds
        Time left until the profile's limit, measured at the ingress.
    remaining_target_seconds
        Time left until the profile's target; may be negative.
    prompt_bytes
        Size of the request's body, the only estimate of its prefill work.
    excluded
        Runners that have already failed this request.
    model
        Model that the runner must have loaded; empty if all runners of the
        pool serve the same.
    """

    key: PermitKey
    ingress: types.EntryVmId
    profile: types.ProfileName
    organisation: types.OrganisationId
    remaining_seconds: float
    remaining_target_seconds: float
    prefix_hash: types.PrefixHash = types.PrefixHash(0)
    prompt_bytes: int = 0
    excluded: tuple[types.UpstreamId, ...] = ()
    model: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitReturned:
    """An ingress withdraws a waiting request or returns an unused grant."""

    key: PermitKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitEnded:
    """A granted request has ended.

    Parameters
    ----------
    first_token_seconds
        From sending to the first token; 0 if there was none.
    total_seconds
        From sending to the end.
    """

    key: PermitKey
    upstream: types.UpstreamId
    outcome: outcomes.Outcome
    reason: outcomes.Reason
    first_token_seconds: float
    total_seconds: float
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkProgressed:
    """Number of tokens that a running request has produced so far.

    Parameters
    ----------
    first_token_seconds
        From sending to the first token; 0 while there is none.
    """

    key: PermitKey
    tokens: int
    first_token_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFlight:
    """A request of an ingress that is in flight at a runner."""

    key: PermitKey
    upstream: types.UpstreamId
    profile: types.ProfileName
    organisation: types.OrganisationId
    running_seconds: float
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFlightDigest:
    """All running and waiting requests of one ingress in the shard.

    Used to release permits whose end was never reported, and to register
    requests at a new dispatcher after a handover.
    """

    ingress: types.EntryVmId
    running: tuple[InFlight, ...]
    waiting: tuple[PermitKey, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReported:
    """An engine's report of its own load, as of the time it was made.

    Parameters
    ----------
    age_seconds
        Lower bound of the report's age.
    models
        Loaded models; None if the report does not list them.
    """

    upstream: types.UpstreamId
    running: int
    waiting: int
    cache_usage: float
    age_seconds: float
    models: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamChanged:
    """The state of an upstream has changed."""

    upstream: types.UpstreamId
    state: UpstreamState


@dataclasses.dataclass(frozen=True, kw_only=True)
class IngressGone:
    """An entry VM was declared dead; its requests have ended."""

    ingress: types.EntryVmId


@dataclasses.dataclass(frozen=True, kw_only=True)
class PolicyChanged:
    """A new configuration revision is in force."""

    policy: ShardPolicy


@dataclasses.dataclass(frozen=True, kw_only=True)
class DispatcherStalled:
    """The dispatcher's process was paused for a while.

    Reports of ended requests may have been lost in the meantime.
    """


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticked:
    """Time has passed; makes the scheduler emit due refusals and grants."""


Event = (
    PermitRequested
    | PermitReturned
    | PermitEnded
    | WorkProgressed
    | InFlightDigest
    | LoadReported
    | UpstreamChanged
    | IngressGone
    | PolicyChanged
    | DispatcherStalled
    | Ticked
)

# Records and actions.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """One runner as it was scored for a request.

    Parameters
    ----------
    in_flight
        Requests that the scheduler knows to be at the runner.
    room
        Concurrency limit on them; adaptive if `adaptive_room` is enabled.
    reported_load
        Running plus waiting requests of the last load report; -1 if none.
    report_age_seconds
        Age of that report.
    affinity
        Likelihood that the runner's cache holds the prompt's prefix, 0 to 1.
    straggler_factor
        Its pace relative to the pool's median; 1 is as fast.
    eligible
        False if a rule excludes it; `exclusion` names the rule.
    score
        Lower is better.
    foreign_load
        Requests of other senders, known only from the report.
    expected_service_seconds
        High quantile of the class's service time at the runner; 0 while
        unknown.
    """

    upstream: types.UpstreamId
    in_flight: int
    room: float
    reported_load: int
    report_age_seconds: float
    affinity: float
    straggler_factor: float
    eligible: bool
    exclusion: str
    score: float
    foreign_load: float = 0.0
    expected_service_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class DecisionRecord:
    """Inputs, limits, candidates and result of one decision.

    The fields up to `candidates` are the inputs of the pure function
    `lagoonrun_policy.decision.decide`, which reproduces `verdict`, `upstream`
    and `reason` from them.

    Parameters
    ----------
    floor_grant
        Whether the grant is made on the class's floor.
    phase
        Scheduling step of the decision; see `decision.Phase`.
    expected_wait_seconds
        Estimated time until the requests ahead of an arrival are granted.
    drain_seconds
        Estimated time until the requests of this and higher tiers that wait
        now are granted; the base of `retry_after_seconds`.
    target_budget_seconds
        Time left until the target, if runners too slow for it are excluded;
        0 if any runner may be used.
    reserved_floor_share
        Share of the grants reserved for waiting lower classes; the two
        estimates above are based on the remaining share.
    """

    key: PermitKey
    shard: types.ShardId
    revision: types.Revision
    profile: types.ProfileName
    tier: types.Tier
    organisation: types.OrganisationId
    waited_seconds: float
    remaining_seconds: float
    expected_service_seconds: float
    expected_samples: int
    queue_length: int
    queue_capacity: int
    ahead_in_queue: int
    higher_tier_waiting: int
    lower_tier_waiting: int
    floor_grant: bool
    candidates: tuple[Candidate, ...]
    verdict: str
    upstream: types.UpstreamId | None
    reason: outcomes.Reason
    retry_after_seconds: float
    phase: str = "turn"
    expected_wait_seconds: float = 0.0
    drain_seconds: float = 0.0
    reserved_floor_share: float = 0.0
    target_budget_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """Allow the ingress to send the request to the upstream."""

    key: PermitKey
    ingress: types.EntryVmId
    upstream: types.UpstreamId
    record: DecisionRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """Refuse the request; it will not run on this shard."""

    key: PermitKey
    ingress: types.EntryVmId
    reason: outcomes.Reason
    retry_after_seconds: float
    record: DecisionRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cut:
    """Ask the ingress to stop a granted idempotent request."""

    key: PermitKey
    ingress: types.EntryVmId
    upstream: types.UpstreamId
    reason: outcomes.Reason


Action = Grant | Refuse | Cut


class Scheduler(Protocol):
    """Assigns the runners of one shard to requests."""

    def handle(self, event: Event, *, now: float) -> Sequence[Action]:
        """Apply one event at `now` and return the resulting actions."""

    def next_wake(self, *, now: float) -> float | None:
        """Return the latest time for the next `Ticked`, or None."""
