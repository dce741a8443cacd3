"""Messages between entry VMs, as frozen dataclasses.

Field names are those of `schema.capnp` in snake case; `codec` carries them
over. Instants never cross between machines: only durations do.
"""

import dataclasses
import enum

from lagoonrun_core import outcomes, types


class MemberState(enum.Enum):
    """What the membership believes of an entry VM."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


# Permits: ingress to dispatcher.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello:
    """First frame of a connection: who calls."""

    entry_vm: types.EntryVmId
    incarnation: types.Incarnation
    domain: types.FailureDomain


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitRequest:
    """Ask the dispatcher of a shard for a runner.

    Parameters
    ----------
    handover
        The entry VMs ranked before the callee did not answer, so the callee
        is to dispatch even if it believes that one of them lives.
    """

    request_id: types.RequestId
    attempt_id: types.AttemptId
    shard: types.ShardId
    profile: types.ProfileName
    organisation: types.OrganisationId
    remaining_seconds: float
    remaining_target_seconds: float
    prefix_hash: types.PrefixHash = types.PrefixHash(0)
    prompt_bytes: int = 0
    excluded: tuple[types.UpstreamId, ...] = ()
    revision: types.Revision = types.Revision(0)
    handover: bool = False
    model: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitReturn:
    """Withdraw a waiting request, or give a grant back unused."""

    request_id: types.RequestId
    attempt_id: types.AttemptId
    shard: types.ShardId


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitEnd:
    """Report the end of granted work."""

    request_id: types.RequestId
    attempt_id: types.AttemptId
    shard: types.ShardId
    upstream: types.UpstreamId
    outcome: outcomes.Outcome
    reason: outcomes.Reason
    first_token_seconds: float
    total_seconds: float
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunningWork:
    """One granted request of an ingress, as its digest lists it."""

    request_id: types.RequestId
    attempt_id: types.AttemptId
    upstream: types.UpstreamId
    profile: types.ProfileName
    organisation: types.OrganisationId
    running_seconds: float
    first_token_seconds: float
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class WaitingWork:
    """One waiting request of an ingress, as its digest lists it."""

    request_id: types.RequestId
    attempt_id: types.AttemptId


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkDigest:
    """All that an ingress has running and waiting in one shard."""

    shard: types.ShardId
    running: tuple[RunningWork, ...] = ()
    waiting: tuple[WaitingWork, ...] = ()


# Permits: dispatcher to ingress.


@dataclasses.dataclass(frozen=True, kw_only=True)
class DigestAcknowledged:
    """The dispatcher lives; it does not know of the requests in `unknown`."""

    shard: types.ShardId
    unknown: tuple[WaitingWork, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitAcknowledged:
    """The dispatcher has the request in its queue."""

    request_id: types.RequestId
    attempt_id: types.AttemptId


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitGranted:
    """The request may be sent to the upstream."""

    request_id: types.RequestId
    attempt_id: types.AttemptId
    upstream: types.UpstreamId
    shard: types.ShardId


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitRefused:
    """The request will not be run by this shard."""

    request_id: types.RequestId
    attempt_id: types.AttemptId
    reason: outcomes.Reason
    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitNotMine:
    """The callee does not dispatch this shard; `owner` is its belief."""

    request_id: types.RequestId
    attempt_id: types.AttemptId
    owner: types.EntryVmId


@dataclasses.dataclass(frozen=True, kw_only=True)
class CutWork:
    """Stop granted work."""

    request_id: types.RequestId
    attempt_id: types.AttemptId
    reason: outcomes.Reason


# Between entry VMs in general.


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShardSummary:
    """What other domains need to know of a shard.

    Parameters
    ----------
    free
        Requests that could start at once.
    lowest_waiting_tier
        Lowest tier (highest number) that waits; 0 where none waits.
    lowest_running_tier
        Lowest tier that runs; 0 where none runs.
    wait_seconds
        Expected wait of a new request of the lowest tier.
    age_seconds
        Time since the dispatcher made it, as far as the sender knows.
    """

    shard: types.ShardId
    dispatcher: types.EntryVmId
    free: int
    lowest_waiting_tier: types.Tier
    lowest_running_tier: types.Tier
    wait_seconds: float
    age_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotRequest:
    """Ask a peer for a configuration snapshot."""

    revision: types.Revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotReply:
    """A configuration snapshot; revision 0 where the peer has none."""

    revision: types.Revision
    digest: str
    body: bytes


# Membership datagrams.


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberUpdate:
    """What the sender believes of one entry VM."""

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    incarnation: types.Incarnation
    state: MemberState
    peer_host: str
    peer_port: int
    admin_port: int
    revision: types.Revision
    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamUpdate:
    """What the sender believes of one upstream."""

    upstream: types.UpstreamId
    incarnation: types.Incarnation
    leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ping:
    """Probe of a member, with news.

    Parameters
    ----------
    sequence
        Numbers the probes of `source`; 0 asks for no answer.
    members
        The sender's own record first, then its news.
    digests
        Digests of the parts of the sender's tables; see
        `lagoonrun_membership.digests`. Empty where it tells none.
    page_after
        Member after which an answer's page of the member table begins.
    """

    sequence: int
    source: types.EntryVmId
    members: tuple[MemberUpdate, ...] = ()
    upstreams: tuple[UpstreamUpdate, ...] = ()
    shards: tuple[ShardSummary, ...] = ()
    digests: tuple[int, ...] = ()
    page_after: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Acknowledge:
    """Answer to a `Ping` or, through a third member, a `PingRequest`.

    Parameters
    ----------
    page_after
        Last member of the page of the member table in it; empty where there
        is none.
    """

    sequence: int
    source: types.EntryVmId
    members: tuple[MemberUpdate, ...] = ()
    upstreams: tuple[UpstreamUpdate, ...] = ()
    shards: tuple[ShardSummary, ...] = ()
    digests: tuple[int, ...] = ()
    page_after: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PingRequest:
    """Ask a third member to probe `target`."""

    sequence: int
    source: types.EntryVmId
    target: types.EntryVmId


Message = (
    Hello
    | PermitRequest
    | PermitReturn
    | PermitEnd
    | WorkDigest
    | PermitAcknowledged
    | PermitGranted
    | PermitRefused
    | PermitNotMine
    | CutWork
    | ShardSummary
    | SnapshotRequest
    | SnapshotReply
    | Ping
    | Acknowledge
    | PingRequest
    | DigestAcknowledged
)
