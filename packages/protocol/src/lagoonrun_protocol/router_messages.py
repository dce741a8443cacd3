"""Messages between entry VMs that decide alone; see `messages`."""

import dataclasses

from lagoonrun_core import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadColumns:
    """Work at several upstreams, in small whole numbers.

    The n-th entry of each column is of the n-th upstream: a list of structs
    takes a dozen times as long to read as lists of numbers, and each entry VM
    reads a hundred such messages a second in a large fleet. Bytes between
    failure domains have a price, and whole numbers are packed into a third of
    the bytes of fractions.

    Parameters
    ----------
    tiers
        Entries of `waiting_tokens` for each upstream.
    waiting_tokens
        Prompt tokens of requests without a first event: those of the first
        upstream by tier, the highest first, then those of the second.
    running
        Requests without an end.
    sensitive_hundredths
        Streams among them, each by the inverse of its longest pause.
    held_tokens
        Prompt tokens of all of them, less those that were cached.
    overdue
        Requests whose first event should have come long ago.
    """

    upstreams: tuple[types.UpstreamId, ...] = ()
    tiers: int = 0
    waiting_tokens: tuple[int, ...] = ()
    running: tuple[int, ...] = ()
    sensitive_hundredths: tuple[int, ...] = ()
    held_tokens: tuple[int, ...] = ()
    overdue: tuple[int, ...] = ()


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
    loads: LoadColumns = LoadColumns()
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
    loads: LoadColumns = LoadColumns()
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
