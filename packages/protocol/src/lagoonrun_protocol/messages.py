"""Messages between entry VMs, as frozen dataclasses.

Field names are those of `schema.capnp` in snake case; `codec` encodes and
decodes them. Clocks of different machines are not comparable, so messages
contain durations and no times of day.
"""

import dataclasses
import enum

from lagoonrun_core import outcomes, types


class MemberState(enum.Enum):
    """State of an entry VM according to the membership protocol."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


# Permits: from the ingress (the entry VM that received the request) to the
# dispatcher (the entry VM that assigns the runners of a shard to requests).


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello:
    """First message of each side of a connection: its identity."""

    entry_vm: types.EntryVmId
    incarnation: types.Incarnation
    domain: types.FailureDomain


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitRequest:
    """Ask the dispatcher of a shard for permission to use a runner.

    Parameters
    ----------
    handover
        The entry VMs ranked before the receiver did not answer, so the
        receiver must dispatch even if it considers one of them alive.
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
    """Withdraw a waiting request, or return an unused permit."""

    request_id: types.RequestId
    attempt_id: types.AttemptId
    shard: types.ShardId


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitEnd:
    """Report the end of a request that had a permit."""

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
    """Entry of a `WorkDigest`: one request that has a permit."""

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
    """Entry of a `WorkDigest`: one request that waits for a permit."""

    request_id: types.RequestId
    attempt_id: types.AttemptId


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkDigest:
    """All running and waiting requests of an ingress in one shard."""

    shard: types.ShardId
    running: tuple[RunningWork, ...] = ()
    waiting: tuple[WaitingWork, ...] = ()


# Permits: from the dispatcher to the ingress.


@dataclasses.dataclass(frozen=True, kw_only=True)
class DigestAcknowledged:
    """Acknowledge a digest; the requests in `unknown` are not known here."""

    shard: types.ShardId
    unknown: tuple[WaitingWork, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitAcknowledged:
    """Acknowledge that the request is in the dispatcher's queue."""

    request_id: types.RequestId
    attempt_id: types.AttemptId


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitGranted:
    """Permit the request to be sent to the upstream."""

    request_id: types.RequestId
    attempt_id: types.AttemptId
    upstream: types.UpstreamId
    shard: types.ShardId


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitRefused:
    """Refuse the request: this shard will not run it."""

    request_id: types.RequestId
    attempt_id: types.AttemptId
    reason: outcomes.Reason
    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitNotMine:
    """The sender does not dispatch this shard; it assumes that `owner` does."""

    request_id: types.RequestId
    attempt_id: types.AttemptId
    owner: types.EntryVmId


@dataclasses.dataclass(frozen=True, kw_only=True)
class CutWork:
    """Stop a request that has a permit."""

    request_id: types.RequestId
    attempt_id: types.AttemptId
    reason: outcomes.Reason


# Between any two entry VMs.


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShardSummary:
    """State of a shard, for the entry VMs of other failure domains.

    Parameters
    ----------
    free
        Number of requests that could start immediately.
    lowest_waiting_tier
        Lowest tier (highest number) of the waiting requests; 0 for none.
    lowest_running_tier
        Lowest tier of the running requests; 0 for none.
    wait_seconds
        Expected waiting time of a new request of the lowest tier.
    age_seconds
        Time since the dispatcher created it, as far as the sender knows.
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
    """Request a configuration snapshot from a peer."""

    revision: types.Revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotReply:
    """A configuration snapshot; revision 0 if the peer has none."""

    revision: types.Revision
    digest: str
    body: bytes


# Membership datagrams.


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberUpdate:
    """The sender's view of the state of one entry VM."""

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
    """The sender's view of the state of one upstream."""

    upstream: types.UpstreamId
    incarnation: types.Incarnation
    leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ping:
    """Probe of a member, with piggybacked updates.

    Parameters
    ----------
    sequence
        Sequence number of the probe at `source`; 0 if no answer is expected.
    members
        The record of the sender itself first, then updates of others.
    digests
        Digests of the parts of the sender's tables; see
        `lagoonrun_membership.digests`. May be empty.
    page_after
        Member after which the page of the member table in the answer begins.
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
    """Answer to a `Ping`, or through a third member to a `PingRequest`.

    Parameters
    ----------
    page_after
        Last member of the page of the member table in this message; empty if
        it has no page.
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
