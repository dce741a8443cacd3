"""Fetch declarations and upstreams from a peer that has newer ones.

So they reach an entry VM that does not read the store itself, or whose requests
the store rejects.
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
from lagoonrun_router import (
    change_slices,
    hedged_fetches,
    peer_table,
    roster,
    settings,
    store_replica,
)

DECLARATIONS_PATH = "/declarations"
"""Path of the whole value, for versions that lack the path below."""

DECLARED_CHANGE_PATH = "/declarations/since/"
"""Path of a delta; the digest of the caller's value, if any, follows."""

UPSTREAMS_PATH = "/upstreams"

_CONNECT_TIMEOUT_SECONDS = 0.5
_RESPONSE_TIMEOUT_SECONDS = 1.5
"""Maximum wait for the head of a response: on a tenth of a core the peer may
take as long to read a large configuration."""

_STALL_TIMEOUT_SECONDS = 1.0
"""Maximum pause within a response. A long one arrives slowly over a shared link
of low bandwidth; as long as data arrives, starting again elsewhere would take
longer."""

_CHANGES_WAIT_SECONDS = 0.15
"""Time in which a reader of the store may send its neighbours a change, before
one that knows of the newer revision fetches it: three ticks of the exchange."""

_OK = 200

_RELAY_WAIT_SECONDS = 1.0
"""Time after which an entry VM itself fetches from another failure domain what
its relay should have sent: the relay is lost, or cannot reach peers that this
one can."""

_FETCH_INTERVAL_SECONDS = 0.1
"""Minimum time between two fetches of the upstreams. Changes that come together
are fetched together; an upstream that leaves serves for two more seconds after
its entry in the store says so."""


class RevisionReport(Protocol):
    """A message that reports its sender's revisions; see `RouterState`."""

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    revision: types.Revision
    store_revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class _KnownRevisions:
    """Revisions that this entry VM had when it learned of newer ones."""

    revision: types.Revision
    store_revision: int


class PeerFetcher:
    """Fetches declarations and upstreams from peers that have newer ones.

    A second peer is asked if the first one has not answered after a while.

    Parameters
    ----------
    domain
        Failure domain of this entry VM.
    relays
        Selects the relays of the own failure domain: traffic between failure
        domains is expensive, so the relay fetches for all its neighbours.
    replica
        Store replica that is updated.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        domain: types.FailureDomain,
        table: peer_table.PeerTable,
        relays: roster.Roster,
        replica: store_replica.StoreReplica,
        clock: clocks.Clock,
    ) -> None:
        self._domain = domain
        self._table = table
        self._relays = relays
        self._replica = replica
        self._clock = clock
        self._declarations = hedged_fetches.HedgedFetches()
        self._upstreams = hedged_fetches.HedgedFetches(
            pause_seconds=_FETCH_INTERVAL_SECONDS
        )
        self._outdated_revisions: _KnownRevisions | None = None
        self._outdated_since = 0.0

    async def close(self) -> None:
        """Cancel fetches in progress."""
        await self._declarations.close()
        await self._upstreams.close()

    def fetch_if_newer(
        self,
        report: RevisionReport,
        address: settings.Address,
        *,
        now: float,
    ) -> None:
        """Fetch what is newer at a peer than in this entry VM's replica."""
        if not self._is_newer(report):
            return
        if not self._may_fetch_from(report.domain, now):
            return
        peer = report.entry_vm
        if report.revision > self._replica.revision and (
            self._declarations.may_start(peer, now=now)
        ):
            self._declarations.start(
                peer, self._fetch_declarations(report, address), now=now
            )
        if self._should_fetch_upstreams(report) and (
            self._upstreams.may_start(peer, now=now)
        ):
            self._upstreams.start(
                peer, self._fetch_upstreams(report, address), now=now
            )

    def _is_newer(self, report: RevisionReport) -> bool:
        return (
            report.revision > self._replica.revision
            or self._should_fetch_upstreams(report)
        )

    def _may_fetch_from(self, domain: types.FailureDomain, now: float) -> bool:
        """Return whether to fetch from a peer of `domain`.

        In a large fleet an entry VM leaves it to its relay to fetch from other
        failure domains, until the relay is overdue.
        """
        if domain == self._domain or not self._table.is_large:
            return True
        revisions = _KnownRevisions(
            revision=self._replica.revision,
            store_revision=self._replica.store_revision,
        )
        if revisions != self._outdated_revisions:
            self._outdated_revisions = revisions
            self._outdated_since = now
        is_overdue = now - self._outdated_since >= _RELAY_WAIT_SECONDS
        return is_overdue or self._relays.is_first(now=now)

    def _should_fetch_upstreams(self, report: RevisionReport) -> bool:
        """Return whether a peer has newer upstreams that are needed here.

        A peer that does not read the store either may have upstreams that this
        entry VM, started during an outage of the store, has never read.
        """
        if self._replica.follows_store:
            return False
        return report.store_revision > self._replica.store_revision

    async def _fetch_declarations(
        self, report: RevisionReport, address: settings.Address
    ) -> bool:
        """Fetch newer declarations; return whether the peer answered."""
        peer = report.entry_vm
        await self._wait_for_changes()
        if report.revision <= self._replica.revision:
            return True
        path = DECLARED_CHANGE_PATH + self._replica.declared.newest.digest
        response = await self._call(peer, address, path)
        if response is None:
            return False
        if response.status == _OK:
            change = _decode(response.body, peer)
            if isinstance(change, router_messages.DeclaredChange):
                self._replica.apply_declared_change(change, source=peer)
            return True
        # During an upgrade of the fleet a peer may lack that path.
        response = await self._call(peer, address, DECLARATIONS_PATH)
        if response is not None and response.status == _OK:
            self._replica.apply_declarations(response.body, source=peer)
        return response is not None

    async def _fetch_upstreams(
        self, report: RevisionReport, address: settings.Address
    ) -> bool:
        """Fetch newer entries; return whether the peer answered."""
        peer = report.entry_vm
        await self._wait_for_changes()
        if report.store_revision <= self._replica.store_revision:
            return True
        response = await self._call(peer, address, UPSTREAMS_PATH)
        if response is None:
            return False
        stored = _decode(response.body, peer)
        if response.status == _OK and isinstance(
            stored, router_messages.StoredItems
        ):
            for items in change_slices.steps(stored.items):
                self._replica.prepare_entries(
                    {item.key: item.value for item in items}
                )
                await asyncio.sleep(0)
            self._replica.apply_peer_entries(
                {item.key: item.value for item in stored.items},
                store_module.StoreRevision(stored.store_revision),
            )
        return True

    async def _wait_for_changes(self) -> None:
        """Wait for changes that a reader may send and that could be applied."""
        if self._replica.revision and self._replica.upstreams_known:
            await asyncio.sleep(_CHANGES_WAIT_SECONDS)

    async def _call(
        self, peer: types.EntryVmId, address: settings.Address, path: str
    ) -> http_client.HttpResponse | None:
        """Return a peer's response; None if there is none."""
        pool = http_client.ConnectionPool(
            address=address,
            connect_timeout_seconds=_CONNECT_TIMEOUT_SECONDS,
            clock=self._clock,
        )
        try:
            return await pool.call(
                http_client.HttpRequest(method="GET", path=path),
                timeout_seconds=_RESPONSE_TIMEOUT_SECONDS,
                stall_seconds=_STALL_TIMEOUT_SECONDS,
            )
        except (
            http_client.NotSentError,
            http_client.ResponseLostError,
        ) as error:
            # The next state from any peer triggers another attempt.
            _log_failure(peer, f"no answer to {path}: {error}")
            return None
        finally:
            pool.close()


def _decode(body: bytes, peer: types.EntryVmId) -> object | None:
    try:
        return router_codec.decode(body, peer=peer)
    except errors.LagoonrunError as error:
        _log_failure(peer, error.detail)
        return None


def _log_failure(peer: types.EntryVmId, detail: str) -> None:
    logs.emit(
        events.LogEvent.PEER_FRAME_REJECTED,
        level=logging.WARNING,
        peer=peer,
        detail=detail,
    )
