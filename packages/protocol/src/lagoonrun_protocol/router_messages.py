"""Messages between routers: entry VMs that each dispatch on their own.

Like `messages`, they contain durations and no times of day. Terms:

- store: the platform's key-value store, which holds the declarations and the
  list of upstreams; some entry VMs of a failure domain read it and forward its
  content to the others.
- relay: the entry VM that summarises its failure domain for the others.
- duties: the tasks that one entry VM at a time performs for the whole fleet;
  that entry VM is the holder of the duties.
- start: number of one run of a process, which tells it from earlier runs.
- place: the right to send one request to a rate-limited upstream; the entry VM
  that allocates the places of an upstream is the giver.
"""

import dataclasses

from lagoonrun_core import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadRows:
    """Load of several upstreams, as integers.

    All numbers are packed into one field of bytes: a Cap'n Proto list is read
    number by number, which takes a dozen times as long for the hundred
    upstreams of a large fleet, ten times a second.

    Parameters
    ----------
    upstreams
        Ids, one per line.
    tiers
        Number of tiers in each row.
    numbers
        One row per upstream of 32-bit little-endian numbers: for each tier,
        the highest first, prompt tokens of the requests that have not
        received their first event; requests that have not ended; the streams
        among them, each counted as the inverse of its maximum pause, in
        hundredths; prompt tokens of all of them, less the cached ones;
        requests whose first event is long overdue.
    running
        One row per upstream of 32-bit little-endian numbers: requests that
        have not ended, for each tier, the highest first.
    """

    upstreams: str = ""
    tiers: int = 0
    numbers: bytes = b""
    running: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageRows:
    """Numbers of started requests by window and organisation.

    Parameters
    ----------
    windows
        Usage window of each row.
    organisations
        Organisation of each row, one per line.
    counts
        Number of requests of each row, 32-bit little-endian.
    """

    windows: tuple[int, ...] = ()
    organisations: str = ""
    counts: bytes = b""


NO_USAGE = UsageRows()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ObservationRows:
    """Observed speed and load of several upstreams, as integers.

    Parameters
    ----------
    upstreams
        Ids, one per line.
    numbers
        One row per upstream of 32-bit little-endian numbers, with 0 for unknown
        values: upper and lower half of the start number; prompt tokens a
        second; samples; slowness in hundredths; running requests plus one;
        waiting requests plus one; service time in microseconds; age in
        milliseconds.
    """

    upstreams: str = ""
    numbers: bytes = b""

    def __bool__(self) -> bool:
        """Return whether there are rows; others take no space in messages."""
        return bool(self.numbers)


NO_OBSERVATIONS = ObservationRows()


@dataclasses.dataclass(frozen=True, kw_only=True)
class DemandRows:
    """Demand of several organisations for several pools, as integers.

    Parameters
    ----------
    pools
        Names of the pools, one per line.
    organisations
        Organisation of each row, one per line; empty for all others together.
    numbers
        One row per line of 32-bit little-endian numbers: index of the pool;
        tier; number of organisations; prompt tokens a second that were asked
        for, and that were admitted.
    """

    pools: str = ""
    organisations: str = ""
    numbers: bytes = b""

    def __bool__(self) -> bool:
        """Return whether there are rows; others take no space in messages."""
        return bool(self.numbers)


NO_DEMANDS = DemandRows()


@dataclasses.dataclass(frozen=True, kw_only=True)
class InvitationRows:
    """Times at which refused callers were told to return.

    Parameters
    ----------
    pools
        Names of the pools, one per line.
    digests
        Request digest of each row, one per line.
    numbers
        One row per digest of 32-bit little-endian numbers: index of the pool;
        tier; prompt tokens, 0 after the return; milliseconds until the caller
        returns, plus 1,000.
    """

    pools: str = ""
    digests: str = ""
    numbers: bytes = b""

    def __bool__(self) -> bool:
        """Return whether there are rows; others take no space in messages."""
        return bool(self.numbers)


NO_INVITATIONS = InvitationRows()


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptPlacement:
    """A shared prompt part and the upstream that a prompt with it was sent to."""

    part: str
    upstream: types.UpstreamId


@dataclasses.dataclass(frozen=True, kw_only=True)
class PressedTier:
    """Requests of a tier that could not be admitted recently."""

    pool: types.PoolName
    tier: types.Tier
    requests: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryVmAddress:
    """Address at which an entry VM listens for its peers.

    Parameters
    ----------
    domain
        Its failure domain; empty if unknown.
    processor_hundredths
        Processor time that it may use, in hundredths of a core; 0 if unknown.
    """

    entry_vm: types.EntryVmId
    host: str
    port: int
    domain: types.FailureDomain = types.UNKNOWN_DOMAIN
    processor_hundredths: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeavingUpstream:
    """An upstream that must not receive new requests.

    Parameters
    ----------
    start
        Start number of the upstream; it may have restarted under its id since.
    """

    upstream: types.UpstreamId
    start: types.UpstreamStart


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterState:
    """State that an entry VM sends to its peers several times a second.

    Parameters
    ----------
    start
        Start number of the process, drawn at random.
    sequence
        Increases with each message of one start; a reordered older message is
        discarded.
    port
        Port on which the sender listens for datagrams and calls.
    revision
        Revision of the declarations in force; 0 for none.
    follows_store
        Whether it reads the store itself and is up to date.
    store_revision
        Revision of the store at which its list of upstreams last changed; 0
        for none.
    read_revision
        Revision of the store up to which it has all keys; 0 for none.
    stopping
        Whether the process is about to stop.
    leaving_starts
        Upstreams that must not receive new requests, the newest last.
    known
        Some of the entry VMs that it knows.
    processor_hundredths
        Processor time that it may use, in hundredths of a core.
    relay
        Neighbour from which it receives the state of the fleet; empty if the
        neighbours send each other everything.
    usage
        Request counts that have increased since they were last sent.
    holds_duties
        Whether it holds the duties.
    observations, invitations
        Observations of upstreams and invitations to callers since the previous
        message; empty where no pool is adaptive.
    demands
        Demand at this entry VM, in some of the messages; empty in the others.
    """

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    start: int
    sequence: int
    port: int
    revision: types.Revision
    processor_hundredths: int = 0
    relay: types.EntryVmId = types.NO_ENTRY_VM
    follows_store: bool = False
    store_revision: int = 0
    read_revision: int = 0
    stopping: bool = False
    leaving_starts: tuple[LeavingUpstream, ...] = ()
    loads: LoadRows = LoadRows()
    placements: tuple[PromptPlacement, ...] = ()
    known: tuple[EntryVmAddress, ...] = ()
    pressed: tuple[PressedTier, ...] = ()
    usage: UsageRows = NO_USAGE
    holds_duties: bool = False
    observations: ObservationRows = NO_OBSERVATIONS
    demands: DemandRows = NO_DEMANDS
    invitations: InvitationRows = NO_INVITATIONS


@dataclasses.dataclass(frozen=True, kw_only=True)
class DomainNews:
    """State of a failure domain, sent to entry VMs of other domains.

    Parameters
    ----------
    entry_vm
        Entry VM that aggregated the state.
    start
        Start number of the process, drawn at random.
    sequence
        Increases with each message of one start; a reordered older message is
        discarded.
    loads
        Load caused by the whole failure domain.
    port
        Port on which the sender listens for datagrams and calls.
    placements
        Prompt parts that were placed since the previous message.
    revision, store_revision, read_revision
        Revisions that the sender has; see `RouterState`.
    reads_store
        Whether some entry VM of the failure domain reads the store.
    duties_holder
        Entry VM of the failure domain that holds the duties; empty for none.
    observations, demands
        Those of the failure domain; see `RouterState`.
    """

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    start: int
    sequence: int
    port: int = 0
    revision: types.Revision = types.NO_REVISION
    store_revision: int = 0
    read_revision: int = 0
    reads_store: bool = False
    loads: LoadRows = LoadRows()
    placements: tuple[PromptPlacement, ...] = ()
    pressed: tuple[PressedTier, ...] = ()
    duties_holder: types.EntryVmId = types.NO_ENTRY_VM
    observations: ObservationRows = NO_OBSERVATIONS
    demands: DemandRows = NO_DEMANDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetNews:
    """State of the fleet, sent by a relay to the entry VMs of its domain.

    Only large failure domains use a relay.

    Parameters
    ----------
    entry_vm
        The relay.
    start
        Start number of the process, drawn at random.
    sequence
        Increases with each message of one start; a reordered older message is
        discarded.
    port
        Port on which the relay listens for datagrams and calls.
    loads
        Load caused by the whole fleet, including the receiver.
    prefill_rates
        Prompt tokens a second that were recently sent to each upstream of
        `loads`, as 32-bit little-endian numbers.
    placements
        Prompt parts that were placed since the previous message.
    domains, silent_milliseconds
        Other failure domains, and the time since the relay last received a
        message from each.
    reading_domains
        Those of them in which some entry VM reads the store.
    tellers, teller_sequences
        Short hashes of the entry VMs whose state the relay received, and the
        sequence of the newest state of each. A receiver subtracts its own load
        in that state from `loads`, and learns that the others are alive.
    readers
        Those of the tellers that read the store and are up to date.
    leaving_starts
        Upstreams that must not receive new requests, the newest last.
    observations, demands
        Those of the fleet; see `RouterState`.
    invitations
        Those of the failure domain; see `RouterState`.
    """

    entry_vm: types.EntryVmId
    start: int
    sequence: int
    port: int
    loads: LoadRows = LoadRows()
    prefill_rates: bytes = b""
    placements: tuple[PromptPlacement, ...] = ()
    pressed: tuple[PressedTier, ...] = ()
    domains: tuple[types.FailureDomain, ...] = ()
    silent_milliseconds: tuple[int, ...] = ()
    reading_domains: tuple[types.FailureDomain, ...] = ()
    tellers: tuple[int, ...] = ()
    teller_sequences: tuple[int, ...] = ()
    readers: tuple[int, ...] = ()
    leaving_starts: tuple[LeavingUpstream, ...] = ()
    observations: ObservationRows = NO_OBSERVATIONS
    demands: DemandRows = NO_DEMANDS
    invitations: InvitationRows = NO_INVITATIONS


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageNews:
    """Request counts of a failure domain, sent to the holder of the duties.

    Parameters
    ----------
    entry_vm, domain
        The relay that aggregated them.
    """

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    rows: UsageRows = NO_USAGE


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashedRun:
    """A request that ran at an upstream when the upstream crashed.

    Parameters
    ----------
    request
        Digest that all copies of the request share.
    route
        Name of its route, for operators.
    start
        Start number of the upstream.
    age_milliseconds
        Time since the crash.
    silent
        Whether no part of the answer had reached the caller.
    void
        Whether the request was answered or unblocked since.
    parts
        Digests of the parts of its prompt that other requests may share.
    version
        Software version of the upstream.
    ran_milliseconds
        Time from the write of the request to the crash; 0 if it is not stated,
        as by earlier releases.
    """

    request: types.RequestDigest
    route: str
    upstream: types.UpstreamId
    start: types.UpstreamStart
    age_milliseconds: int
    silent: bool = True
    void: bool = False
    parts: tuple[types.PromptPartDigest, ...] = ()
    version: str = ""
    ran_milliseconds: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnsweredPart:
    """A part of a prompt that upstreams of a version answer.

    Parameters
    ----------
    part
        Digest of the part.
    version
        Software version of the upstreams; `*` after an operator has cleared
        the part.
    age_milliseconds
        Time since the end of the last answer.
    """

    part: types.PromptPartDigest
    version: str
    age_milliseconds: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashNews:
    """Requests that ran at crashed upstreams, as known to an entry VM."""

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    runs: tuple[CrashedRun, ...] = ()
    answered_parts: tuple[AnsweredPart, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamLimit:
    """Rate limit that an upstream has announced.

    Parameters
    ----------
    start
        Start number of the upstream.
    thousandths_per_second
        Requests of all entry VMs together per thousand seconds; 0 if the
        upstream no longer announces a limit.
    age_milliseconds
        Time since the answer that announced it.
    """

    upstream: types.UpstreamId
    start: types.UpstreamStart
    thousandths_per_second: int
    age_milliseconds: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitNews:
    """Rate limits of upstreams, as known to an entry VM."""

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    limits: tuple[UpstreamLimit, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestNews:
    """An upstream rejected a request and asked for a rest by Retry-After.

    Parameters
    ----------
    start
        Start number of the upstream.
    left_milliseconds
        Time until the rest ends.
    """

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    upstream: types.UpstreamId
    start: types.UpstreamStart
    left_milliseconds: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlaceRequest:
    """Request for one place at a rate-limited upstream.

    Parameters
    ----------
    entry_vm, host, port, domain
        The requesting entry VM and the address for the answer.
    number
        Identifies this request in its answer.
    limit
        The limit as known to the requesting entry VM.
    upstream_domain
        Failure domain of the upstream.
    """

    entry_vm: types.EntryVmId
    host: str
    port: int
    domain: types.FailureDomain
    number: int
    limit: UpstreamLimit
    upstream_domain: types.FailureDomain
    tier: types.Tier


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlaceAnswer:
    """Answer to a `PlaceRequest`.

    Parameters
    ----------
    wait_milliseconds
        Time until a place may become available, if none was granted.
    giver
        Which entry VM decided; a value of `lagoonrun_router.places.Giver`.
    """

    number: int
    granted: bool
    wait_milliseconds: int = 0
    giver: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class OriginRow:
    """The pool and version at which a resumable stream begins.

    Parameters
    ----------
    request
        Id of the request that brings the first event of the stream.
    attempt
        Number of the attempt that is sent there; that of the highest number
        began the stream.
    left_milliseconds
        Time until the row may be forgotten.
    """

    request: types.RequestId
    pool: types.PoolName
    version: types.UpstreamVersion
    attempt: int
    left_milliseconds: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class OriginNews:
    """Origins of streams, sent to the entry VMs that keep them."""

    rows: tuple[OriginRow, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class OriginQuery:
    """Question where a stream began that a caller takes up.

    Parameters
    ----------
    host, port
        Address for the answer.
    number
        Identifies this query in its answers.
    request
        Id of the request that brought the first event of the stream.
    route
        Host and path prefix of its route.
    """

    host: str
    port: int
    number: int
    request: types.RequestId
    route: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OriginAnswer:
    """Answer to an `OriginQuery`.

    Parameters
    ----------
    evidence
        A value of `lagoonrun_router.stream_origin.Evidence`.
    pool, version
        Where the stream began; empty if that is not known.
    age_milliseconds
        Time since the origin was recorded.
    attempt
        Number of the attempt that it was recorded for.
    """

    entry_vm: types.EntryVmId
    number: int
    evidence: str
    pool: types.PoolName = types.NO_POOL
    version: types.UpstreamVersion = types.UNKNOWN_UPSTREAM_VERSION
    age_milliseconds: int = 0
    attempt: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredItem:
    """A key of the store and its value."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredItems:
    """Content of the store, for an entry VM that does not read it itself.

    Parameters
    ----------
    store_revision
        Revision of the store at which the items were read.
    """

    items: tuple[StoredItem, ...]
    store_revision: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class DeclaredChange:
    """Binary delta from one value of the declarations to a newer one.

    Parameters
    ----------
    revision
        Revision of the newer declarations.
    base, result
        Digests of the older value, empty for none, and of the newer one.
    new_lengths, copied_starts, copied_lengths
        Step n appends `new_lengths[n]` bytes of the new text, then
        `copied_lengths[n]` bytes of the older value from the offset
        `copied_starts[n]` on.
    packed_text
        New text of all steps, compressed.
    """

    revision: types.Revision
    base: str
    result: str
    new_lengths: tuple[int, ...] = ()
    copied_starts: tuple[int, ...] = ()
    copied_lengths: tuple[int, ...] = ()
    packed_text: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangedItem:
    """A key of the store after a change.

    Parameters
    ----------
    listed
        Whether the change was found by comparing listings. All items of such
        a message apply to the entries as of its `since` only, since listings
        do not show keys that were changed and changed back.
    """

    key: str
    value: bytes = b""
    removed: bool = False
    listed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreChanges:
    """Changes that a reader of the store forwards to other entry VMs.

    Parameters
    ----------
    entry_vm, domain
        The reader.
    since
        Revision of the upstreams' keys to which the items apply.
    until
        Revision of the upstreams' keys after the changes.
    items
        Changed keys of upstreams.
    declared
        Change of the declarations; at most one.
    """

    since: int
    until: int
    entry_vm: types.EntryVmId = types.NO_ENTRY_VM
    domain: types.FailureDomain = types.UNKNOWN_DOMAIN
    items: tuple[ChangedItem, ...] = ()
    declared: tuple[DeclaredChange, ...] = ()


RouterMessage = (
    RouterState
    | DomainNews
    | FleetNews
    | StoreChanges
    | UsageNews
    | CrashNews
    | LimitNews
    | RestNews
    | PlaceRequest
    | PlaceAnswer
    | OriginNews
    | OriginQuery
    | OriginAnswer
    | DeclaredChange
    | StoredItems
)
