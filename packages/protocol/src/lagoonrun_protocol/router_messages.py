"""Messages between entry VMs that decide alone; see `messages`."""

import dataclasses

from lagoonrun_core import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadRows:
    """Work at several upstreams, in small whole numbers.

    All numbers are one field of bytes: a list is read number by number, which
    takes a dozen times as long for the hundred upstreams of a large fleet, ten
    times a second.

    Parameters
    ----------
    upstreams
        Ids, one a line.
    tiers
        Numbers of waiting prompt tokens in each row.
    numbers
        A row for each upstream, four bytes a number, the lowest byte first:
        prompt tokens of requests without a first event by tier, the highest
        tier first; requests without an end; streams among them, each by the
        inverse of its longest pause, in hundredths; prompt tokens of all of
        them, less those that were cached; requests whose first event should
        have come long ago.
    """

    upstreams: str = ""
    tiers: int = 0
    numbers: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageRows:
    """Requests that began to run, by window and organisation.

    Parameters
    ----------
    windows
        Window of each row.
    organisations
        Organisation of each row, one a line.
    counts
        Number of each row, four bytes each, the lowest byte first.
    """

    windows: tuple[int, ...] = ()
    organisations: str = ""
    counts: bytes = b""


NO_USAGE = UsageRows()


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptPlacement:
    """A shared part of a prompt and the upstream that was given it."""

    part: str
    upstream: types.UpstreamId


@dataclasses.dataclass(frozen=True, kw_only=True)
class PressedTier:
    """Requests of a tier that could not be served a moment ago."""

    pool: types.PoolName
    tier: types.Tier
    requests: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryVmAddress:
    """Where an entry VM listens for the others.

    Parameters
    ----------
    domain
        Its failure domain; empty where that is not known.
    processor_hundredths
        Processor time that it may use, in hundredths of a core; 0 where that
        is not known.
    """

    entry_vm: types.EntryVmId
    host: str
    port: int
    domain: types.FailureDomain = types.UNKNOWN_DOMAIN
    processor_hundredths: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeavingUpstream:
    """An upstream that gets nothing new.

    Parameters
    ----------
    start
        Which start of it; it may have started again under its id since.
    """

    upstream: types.UpstreamId
    start: types.UpstreamStart


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterState:
    """What an entry VM tells the others several times a second.

    Parameters
    ----------
    start
        Drawn at random by each start of the process.
    sequence
        Grows with each message of one start: an overtaken one is dropped.
    port
        Where the sender listens, for datagrams and for calls.
    revision
        Declarations that it has in force; 0 for none.
    follows_store
        Whether it reads the store itself and is up to date with it.
    store_revision
        Revision of the store that last changed what it knows of the upstreams;
        0 for none.
    read_revision
        Revision of the store up to which it knows all keys; 0 for none.
    stopping
        Whether it is about to end and takes no more part.
    leaving_starts
        Upstreams that get nothing new, the newest last.
    known
        Some of the entry VMs that it knows.
    processor_hundredths
        Processor time that it may use, in hundredths of a core.
    relay
        Neighbour that it relies on to tell it of the fleet; empty where
        neighbours tell each other all.
    usage
        Counts of requests that have grown since they were told.
    holds_duties
        Whether it does what one entry VM at a time does for all.
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class DomainNews:
    """What one entry VM tells other failure domains of all of its own.

    Parameters
    ----------
    entry_vm
        Who summed it up.
    start
        Drawn at random by each start of the process.
    sequence
        Grows with each message of one start: an overtaken one is dropped.
    loads
        Work of the whole failure domain.
    port
        Where the sender listens, for datagrams and for calls.
    placements
        Prompt parts that were placed since the message before.
    revision, store_revision, read_revision
        What the sender knows of the store; see `RouterState`.
    reads_store
        Whether some entry VM of the failure domain reads the store.
    duties_holder
        Entry VM of the failure domain that does what one at a time does for
        all; empty for none.
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetNews:
    """What the relay of a large failure domain tells all entry VMs there.

    Parameters
    ----------
    entry_vm
        The relay.
    start
        Drawn at random by each start of the process.
    sequence
        Grows with each message of one start: an overtaken one is dropped.
    port
        Where the relay listens, for datagrams and for calls.
    loads
        Work of the whole fleet, that of the reader included.
    prefill_rates
        Prompt tokens a second that were sent lately to each upstream of
        `loads`, four bytes a number, the lowest byte first.
    placements
        Prompt parts that were placed since the message before.
    domains, silent_milliseconds
        Other failure domains, and how long ago each was heard.
    reading_domains
        Those of them in which some entry VM reads the store.
    tellers, teller_sequences
        Short hashes of the entry VMs that told the relay, and the sequence of
        the newest state of each: a reader takes its own work of that state out
        of `loads`, and knows of the others that they live.
    readers
        Those of the tellers that read the store and are up to date with it.
    leaving_starts
        Upstreams that get nothing new, the newest last.
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageNews:
    """Counts of a whole failure domain, for the holder of the duties.

    Parameters
    ----------
    entry_vm, domain
        The relay that summed them up.
    """

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    rows: UsageRows = NO_USAGE


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashedRun:
    """A request ran at an upstream when that crashed.

    Parameters
    ----------
    request
        The same for each copy of the request.
    route
        Name of its route, for operators.
    start
        Which start of the upstream.
    age_milliseconds
        Time since the crash.
    silent
        Whether its caller had nothing of its answer.
    void
        Whether the request was answered, or its block lifted, since.
    """

    request: types.RequestDigest
    route: str
    upstream: types.UpstreamId
    start: types.UpstreamStart
    age_milliseconds: int
    silent: bool = True
    void: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashNews:
    """What an entry VM knows of requests that ran at crashed upstreams."""

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    runs: tuple[CrashedRun, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamLimit:
    """What an upstream has said of the requests that it takes.

    Parameters
    ----------
    start
        Which start of the upstream.
    thousandths_per_second
        Requests in a thousand seconds, of all entry VMs together; 0 where it
        names no limit any more.
    age_milliseconds
        Time since the answer that said so.
    """

    upstream: types.UpstreamId
    start: types.UpstreamStart
    thousandths_per_second: int
    age_milliseconds: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitNews:
    """What an entry VM knows of the limits that upstreams name."""

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    limits: tuple[UpstreamLimit, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestNews:
    """An upstream has turned an entry VM away and asked it for rest.

    Parameters
    ----------
    start
        Which start of the upstream.
    left_milliseconds
        What is left of the rest.
    """

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    upstream: types.UpstreamId
    start: types.UpstreamStart
    left_milliseconds: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlaceRequest:
    """An entry VM asks for one place at a limited upstream.

    Parameters
    ----------
    entry_vm, host, port, domain
        Who asks, and where the answer goes.
    number
        Names the question.
    limit
        What the asker knows of the limit.
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
    """Whether an entry VM has the place that it asked for.

    Parameters
    ----------
    wait_milliseconds
        Time until the next place may come up, where it has none.
    giver
        For whom places are given out where this was decided.
    """

    number: int
    granted: bool
    wait_milliseconds: int = 0
    giver: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredItem:
    """A key of the store with its value, as it was read."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredItems:
    """Keys of the store, for an entry VM that does not read it itself.

    Parameters
    ----------
    store_revision
        Revision of the store that the items are of.
    """

    items: tuple[StoredItem, ...]
    store_revision: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class DeclaredChange:
    """How to make the value of newer declarations out of an older one.

    Parameters
    ----------
    revision
        Of the declarations in the value that is made.
    base, result
        Digests of the older value, empty for none, and of the one made.
    new_lengths, copied_starts, copied_lengths
        The n-th step takes so many bytes of the new text, then so many of the
        older value from a place there on.
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
    """A key of the store as a change left it."""

    key: str
    value: bytes = b""
    removed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreChanges:
    """What a reader of the store has just seen, for the others.

    Parameters
    ----------
    entry_vm, domain
        The reader.
    since
        Revision of the upstreams that the items change.
    until
        Revision of the upstreams with the changes.
    items
        Upstreams' keys that have changed.
    declared
        Change of the declarations; one at most.
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
    | DeclaredChange
    | StoredItems
)
