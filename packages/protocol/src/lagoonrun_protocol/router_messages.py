"""Messages between entry VMs that decide alone; see `messages`."""

import dataclasses

from lagoonrun_core import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamLoad:
    """The sender's own work at one upstream, in small whole numbers.

    Bytes between failure domains have a price, and whole numbers are packed
    into a third of the bytes of fractions.

    Parameters
    ----------
    waiting_by_tier
        Prompt tokens of its requests without a first event; the first is of
        the highest tier.
    running
        Its requests without an end.
    sensitive_hundredths
        Streams among them, each by the inverse of its longest pause.
    held_tokens
        Prompt tokens of all of them, less those that were cached.
    pause_milliseconds
        Average of the latest pauses between events there.
    pauses_tenths
        Faded number of pauses that the average is of.
    overdue
        Requests whose first event should have come long ago.
    """

    upstream: types.UpstreamId
    waiting_by_tier: tuple[int, ...]
    running: int
    sensitive_hundredths: int
    held_tokens: int = 0
    pause_milliseconds: int = 0
    pauses_tenths: int = 0
    overdue: int = 0


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
    """Where an entry VM listens for the others."""

    entry_vm: types.EntryVmId
    host: str
    port: int


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
        Revision of the store up to which it knows the upstreams; 0 for none.
    stopping
        Whether it is about to end and takes no more part.
    leaving_starts
        Upstreams that get nothing new, the newest last.
    known
        Some of the entry VMs that it knows.
    """

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    start: int
    sequence: int
    port: int
    revision: types.Revision
    follows_store: bool = False
    store_revision: int = 0
    stopping: bool = False
    leaving_starts: tuple[LeavingUpstream, ...] = ()
    loads: tuple[UpstreamLoad, ...] = ()
    placements: tuple[PromptPlacement, ...] = ()
    known: tuple[EntryVmAddress, ...] = ()
    pressed: tuple[PressedTier, ...] = ()


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
    placements
        Prompt parts that were placed since the message before.
    """

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    start: int
    sequence: int
    loads: tuple[UpstreamLoad, ...] = ()
    placements: tuple[PromptPlacement, ...] = ()
    pressed: tuple[PressedTier, ...] = ()


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
