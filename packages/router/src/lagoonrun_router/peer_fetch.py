"""Fetch declarations and upstreams from a peer that knows newer ones.

So they get to an entry VM that does not read the store itself, or that the
store turns away.
"""

import asyncio
import dataclasses
import logging
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import errors, events, logs, types
from lagoonrun_platform import http_client
from lagoonrun_platform import store as store_module
from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import peer_table, roster, settings, store_replica

DECLARATIONS_PATH = "/declarations"
"""Gives the whole value, for entry VMs of before the one below."""

DECLARED_CHANGE_PATH = "/declarations/since/"
"""Followed by the digest of the value that the caller has, or by nothing."""

UPSTREAMS_PATH = "/upstreams"

_CONNECT_SECONDS = 0.5
_ANSWER_SECONDS = 1.5
"""Longest wait for the head of an answer: the peer may have as long to read a
large configuration on a tenth of a core."""

_STALL_SECONDS = 1.0
"""Longest pause within an answer. A long one on a thin link that many use comes
slowly; as long as it comes, to begin again elsewhere would only take longer."""

_TOLD_SECONDS = 0.15
"""Time that a reader of the store has to tell its neighbours what has changed,
before one that has heard of it fetches it: three beats of the exchange."""

_OK = 200

_BEHIND_SECONDS = 1.0
"""Time after which an entry VM asks another failure domain itself for what its
relay should have told it: the relay is lost, or reaches less than this one."""

_UPSTREAMS_SECONDS = 0.1
"""Time between two fetches of the upstreams where the store is not read from
here. An upstream that leaves serves on for two seconds after the store says
so; changes that come together are fetched together."""


class TellsKnowledge(Protocol):
    """What a message says of its sender's knowledge; see `RouterState`."""

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    revision: types.Revision
    store_revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Known:
    """What this entry VM knew when it heard of more."""

    revision: types.Revision
    store_revision: int


class PeerFetcher:
    """Fetches from one peer at a time.

    Parameters
    ----------
    domain
        Failure domain of this entry VM.
    relays
        Order of the relays of the own failure domain: bytes between domains
        cost, so that one entry VM fetches from others for all its neighbours.
    known
        Receives what was fetched.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        domain: types.FailureDomain,
        table: peer_table.PeerTable,
        relays: roster.Roster,
        known: store_replica.StoreReplica,
        clock: clocks.Clock,
    ) -> None:
        self._domain = domain
        self._table = table
        self._relays = relays
        self._known = known
        self._clock = clock
        self._declarations: asyncio.Task[None] | None = None
        self._upstreams: asyncio.Task[None] | None = None
        self._upstreams_at = float("-inf")
        self._behind_with: _Known | None = None
        self._behind_since = 0.0

    async def close(self) -> None:
        """Give up what is on its way."""
        for task in (self._declarations, self._upstreams):
            if task is not None:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    def take(
        self,
        state: TellsKnowledge,
        address: settings.Address,
        *,
        now: float,
    ) -> None:
        """Fetch what a peer knows and this process does not."""
        if not self._is_newer(state):
            return
        if not self._may_fetch_from(state.domain, now):
            return
        if state.revision > self._known.revision and _is_idle(
            self._declarations
        ):
            self._declarations = asyncio.create_task(
                self._take_declarations(state, address)
            )
        if not self._should_fetch_upstreams(state):
            return
        recent = now - self._upstreams_at < _UPSTREAMS_SECONDS
        if _is_idle(self._upstreams) and not recent:
            self._upstreams_at = now
            self._upstreams = asyncio.create_task(
                self._take_upstreams(state, address)
            )

    def _is_newer(self, state: TellsKnowledge) -> bool:
        return (
            state.revision > self._known.revision
            or self._should_fetch_upstreams(state)
        )

    def _may_fetch_from(self, domain: types.FailureDomain, now: float) -> bool:
        """Return whether to ask a peer of `domain` and not a neighbour."""
        if domain == self._domain or not self._table.is_large:
            return True
        known = _Known(
            revision=self._known.revision,
            store_revision=self._known.store_revision,
        )
        if known != self._behind_with:
            self._behind_with = known
            self._behind_since = now
        late = now - self._behind_since >= _BEHIND_SECONDS
        return late or self._relays.is_first(now=now)

    def _should_fetch_upstreams(self, state: TellsKnowledge) -> bool:
        """Return whether a peer knows more of the upstreams.

        One that does not read the store either may know what this process,
        started in an outage, has never read.
        """
        if self._known.follows_store:
            return False
        return state.store_revision > self._known.store_revision

    async def _take_declarations(
        self, state: TellsKnowledge, address: settings.Address
    ) -> None:
        peer = state.entry_vm
        await self._wait_until_told()
        if state.revision <= self._known.revision:
            return
        path = DECLARED_CHANGE_PATH + self._known.declared.newest.digest
        body = await self._call(peer, address, path)
        if body is None:
            # An entry VM of before that path, as while a fleet is upgraded.
            body = await self._call(peer, address, DECLARATIONS_PATH)
            if body is not None:
                self._known.take_declarations(body, source=peer)
            return
        change = _decoded(body, peer)
        if isinstance(change, router_messages.DeclaredChange):
            self._known.take_declared_change(change, source=peer)

    async def _take_upstreams(
        self, state: TellsKnowledge, address: settings.Address
    ) -> None:
        peer = state.entry_vm
        await self._wait_until_told()
        if state.store_revision <= self._known.store_revision:
            return
        body = await self._call(peer, address, UPSTREAMS_PATH)
        told = None if body is None else _decoded(body, peer)
        if isinstance(told, router_messages.StoredItems):
            self._known.take_entries_of_peer(
                {item.key: item.value for item in told.items},
                store_module.StoreRevision(told.store_revision),
            )

    async def _wait_until_told(self) -> None:
        """Let a reader of the store tell first, where this one knows any."""
        if self._known.revision and self._known.upstreams_known:
            await asyncio.sleep(_TOLD_SECONDS)

    async def _call(
        self, peer: types.EntryVmId, address: settings.Address, path: str
    ) -> bytes | None:
        """Return what a peer answers; None where it does not."""
        pool = http_client.ConnectionPool(
            address=address,
            connect_timeout_seconds=_CONNECT_SECONDS,
            clock=self._clock,
        )
        try:
            reply = await pool.call(
                http_client.HttpRequest(method="GET", path=path),
                timeout_seconds=_ANSWER_SECONDS,
                stall_seconds=_STALL_SECONDS,
            )
        except (
            http_client.NotSentError,
            http_client.ResponseLostError,
        ) as error:
            # The next state of any peer leads to another try.
            _log_failure(peer, f"no answer to {path}: {error}")
            return None
        finally:
            pool.close()
        return reply.body if reply.status == _OK else None


def _decoded(body: bytes, peer: types.EntryVmId) -> object | None:
    try:
        return router_codec.decode(body, peer=peer)
    except errors.LagoonrunError as error:
        _log_failure(peer, error.detail)
        return None


def _is_idle(task: asyncio.Task[None] | None) -> bool:
    return task is None or task.done()


def _log_failure(peer: types.EntryVmId, detail: str) -> None:
    logs.emit(
        events.LogEvent.PEER_FRAME_REJECTED,
        level=logging.WARNING,
        peer=peer,
        detail=detail,
    )
