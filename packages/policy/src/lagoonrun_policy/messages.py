"""Events that go into a scheduler and actions that come out of it.

A scheduler is pure: it holds state, but reads no clock, does no I/O and draws
no randomness of its own. All instants are readings of one monotonic clock of
the calling process, in seconds.
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
    """What a scheduler needs to know of one profile; see `Profile`."""

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
    """An upstream as a scheduler sees it."""

    id: types.UpstreamId
    slots: int
    resumes: bool = False
    state: UpstreamState = UpstreamState.LIVE


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShardPolicy:
    """The part of a configuration that concerns one shard."""

    shard: types.ShardId
    revision: types.Revision
    classes_by_name: dict[types.ProfileName, ClassPolicy]
    runners_by_id: dict[types.UpstreamId, Runner]
    weights_by_organisation: dict[types.OrganisationId, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitKey:
    """Names one attempt of one request for a permit."""

    request_id: types.RequestId
    attempt_id: types.AttemptId


# Events.


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitRequested:
    """An ingress asks for a runner.

    Parameters
    ----------
    remaining_seconds
        Time left until the profile's limit, counted at the ingress.
    remaining_target_seconds
        Time left until the profile's target; may be negative.
    prompt_bytes
        Size of the request's body, the only estimate of its prefill work.
    excluded
        Runners that have failed this request already.
    model
        Model that the runner must have loaded; empty where the pool's
        runners all serve the same.
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
    """An ingress withdraws a waiting request or gives a grant back unused."""

    key: PermitKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitEnded:
    """The end of granted work.

    Parameters
    ----------
    first_token_seconds
        From sending to the first token; 0 where none came.
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
    """Tokens that running work has produced so far.

    Parameters
    ----------
    first_token_seconds
        From sending to the first token; 0 while none has come.
    """

    key: PermitKey
    tokens: int
    first_token_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFlight:
    """Work that an ingress has at a runner."""

    key: PermitKey
    upstream: types.UpstreamId
    profile: types.ProfileName
    organisation: types.OrganisationId
    running_seconds: float
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFlightDigest:
    """Everything that one ingress has running and waiting in the shard.

    Reconciles permits whose end was never reported, and registers work anew
    after a handover.
    """

    ingress: types.EntryVmId
    running: tuple[InFlight, ...]
    waiting: tuple[PermitKey, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReported:
    """An engine's own report of its load, which describes the past.

    Parameters
    ----------
    age_seconds
        How old the report is known to be at least.
    models
        Loaded models; None where the report does not say.
    """

    upstream: types.UpstreamId
    running: int
    waiting: int
    cache_usage: float
    age_seconds: float
    models: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamChanged:
    """An upstream is live, leaving or gone."""

    upstream: types.UpstreamId
    state: UpstreamState


@dataclasses.dataclass(frozen=True, kw_only=True)
class IngressGone:
    """An entry VM is dead; what it had is over."""

    ingress: types.EntryVmId


@dataclasses.dataclass(frozen=True, kw_only=True)
class PolicyChanged:
    """A new configuration revision is in force."""

    policy: ShardPolicy


@dataclasses.dataclass(frozen=True, kw_only=True)
class DispatcherStalled:
    """The dispatcher's process did not run for a while.

    Ends of granted work may have been lost meanwhile.
    """


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticked:
    """Time has passed; due refusals and grants are worked out."""


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
    """One runner as it was weighed for a request.

    Parameters
    ----------
    in_flight
        Requests that the scheduler knows to be at the runner.
    room
        Adaptive limit on them.
    reported_load
        Running plus waiting of the last report; -1 where there is none.
    report_age_seconds
        Age of that report.
    affinity
        Believed share of the prompt's prefix in the runner's cache, 0 to 1.
    straggler_factor
        Its pace against the pool's median; 1 is as fast.
    eligible
        False where a rule excludes it; `exclusion` names the rule.
    score
        Lower is better.
    foreign_load
        Work that only the report shows, as of the report.
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
    `lagoonrun_policy.decision.decide`, which gives `verdict`, `upstream` and
    `reason` again when it is fed with them.

    Parameters
    ----------
    floor_grant
        Whether the class's set-aside share pays for the grant.
    phase
        What made the scheduler look at the request; see `decision.Phase`.
    expected_wait_seconds
        Time until the work ahead of an arrival has been granted.
    drain_seconds
        Time until the work of this and the higher tiers that waits now has
        been granted; the base of `retry_after_seconds`.
    target_budget_seconds
        Time left until the target, where a runner that is too slow for it is
        not worth taking; 0 where any will do.
    reserved_floor_share
        Share of grants set aside for lower classes that wait; the two times
        above are reckoned on the rest.
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
    """Let the ingress send the request to the upstream."""

    key: PermitKey
    ingress: types.EntryVmId
    upstream: types.UpstreamId
    record: DecisionRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """Tell the ingress that the request will not be run here."""

    key: PermitKey
    ingress: types.EntryVmId
    reason: outcomes.Reason
    retry_after_seconds: float
    record: DecisionRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cut:
    """Tell the ingress to stop granted idempotent work."""

    key: PermitKey
    ingress: types.EntryVmId
    upstream: types.UpstreamId
    reason: outcomes.Reason


Action = Grant | Refuse | Cut


class Scheduler(Protocol):
    """Orders who may use which runner of one shard."""

    def handle(self, event: Event, *, now: float) -> Sequence[Action]:
        """Take in one event at `now` and return what follows from it."""

    def next_wake(self, *, now: float) -> float | None:
        """Return when a `Ticked` is due at the latest, or None."""
