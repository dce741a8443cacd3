"""The other entry VMs, as far as this one knows them."""

import dataclasses
import json
import logging
import random

from lagoonrun_core import events, logs, types
from lagoonrun_protocol import router_messages
from lagoonrun_router import settings

HEARD_SECONDS = 2.0
"""Silence after which a peer counts as lost: four of its slowest messages."""

_LARGE_FLEET = 12
"""Peers above which a few entry VMs read the store for the others. Below, all
their watches together make some ten calls a second."""

WATCHING_SECONDS = 1.0
"""Silence after which a peer is not relied on to read the store: two of its
slowest messages. What it would have told matters in two to three seconds."""

_MOST_FAR_TOLD = 1
"""Peers of other failure domains that learn now and then who there is: bytes
between domains cost, and who there is passes on from peer to peer."""

_MOST_NEAR_TOLD = 12
"""Neighbours up to which each entry VM tells all others of its domain. Reading a
state takes about 0.1 ms; above, the number of messages, which grows with the
square of the neighbours, takes more processor time than the requests do."""

_RELAYED_SECONDS = 4.0
"""Silence after which a neighbour counts as lost where it tells the relay only,
which lists it: the relay's own loss takes a second to be made up for."""

_FORGOTTEN_SECONDS = 60.0
"""Silence after which a peer counts no more among those that share budgets."""


def rounded_cores(processor_cores: float) -> float:
    """Return the size of an entry VM as messages tell it.

    Whoever compares its own size with those of others compares this one: rounded
    differently, equal entry VMs would each take themselves for the largest, or for
    the smallest.
    """
    return round(processor_cores * 100) / 100


@dataclasses.dataclass(kw_only=True)
class _Peer:
    address: settings.Address
    domain: types.FailureDomain | None = None
    follows_store: bool = False
    stopping: bool = False
    processor_cores: float = 0.0
    heard_at: float = float("-inf")
    start: int = 0
    sequence: int = 0
    alive: bool = False


class PeerTable:
    """Addresses of the other entry VMs and when they were heard.

    Parameters
    ----------
    entry_vm, domain
        This one, which is left out.
    """

    def __init__(
        self, *, entry_vm: types.EntryVmId, domain: types.FailureDomain
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._peers_by_id: dict[types.EntryVmId, _Peer] = {}
        self._near_by_id: dict[types.EntryVmId, _Peer] = {}
        self.changes = 0
        """Grows when a neighbour comes or goes or tells another size."""

    def record(
        self, address: settings.Address, *, processor_cores: float
    ) -> bytes:
        """Return the value of an entry VM's own key in the store."""
        return json.dumps(
            {
                "host": address.host,
                "port": address.port,
                "domain": self._domain,
                "processor_cores": processor_cores,
            }
        ).encode()

    def take_record(self, entry_vm: types.EntryVmId, value: bytes) -> None:
        """Take in the value of an entry VM's key."""
        try:
            decoded = json.loads(value)
            address = settings.Address(
                host=str(decoded["host"]), port=int(decoded["port"])
            )
            domain = types.FailureDomain(str(decoded["domain"]))
            cores = float(decoded.get("processor_cores", 0.0))
        except (ValueError, KeyError, TypeError) as error:
            logs.emit(
                events.LogEvent.PEER_FRAME_REJECTED,
                level=logging.ERROR,
                peer=entry_vm,
                detail=f"no valid record: {error}",
            )
            return
        self.add(entry_vm, address, domain, processor_cores=cores)

    def add(
        self,
        entry_vm: types.EntryVmId,
        address: settings.Address,
        domain: types.FailureDomain | None = None,
        *,
        processor_cores: float = 0.0,
    ) -> None:
        """Learn of a peer; a new address replaces the one known.

        Parameters
        ----------
        domain
            None where whoever told of the peer did not know it.
        processor_cores
            Processor time that it may use, in cores; 0 where not known.
        """
        if entry_vm == self._entry_vm:
            return
        processor_cores = rounded_cores(processor_cores)
        peer = self._peers_by_id.setdefault(entry_vm, _Peer(address=address))
        peer.address = address
        peer.domain = domain or peer.domain
        if processor_cores and processor_cores != peer.processor_cores:
            peer.processor_cores = processor_cores
            self.changes += 1
        near = peer.domain == self._domain
        if near is not (entry_vm in self._near_by_id):
            self._near_by_id.pop(entry_vm, None)
            if near:
                self._near_by_id[entry_vm] = peer
            self.changes += 1

    def remove(self, entry_vm: types.EntryVmId) -> None:
        """Forget a peer."""
        self._peers_by_id.pop(entry_vm, None)
        if self._near_by_id.pop(entry_vm, None) is not None:
            self.changes += 1

    def record_message(
        self,
        entry_vm: types.EntryVmId,
        address: settings.Address,
        *,
        start: int,
        sequence: int,
        now: float,
        domain: types.FailureDomain,
        follows_store: bool = False,
        stopping: bool = False,
        processor_cores: float = 0.0,
    ) -> bool:
        """Note a message; return whether it is newer than those before."""
        self.add(entry_vm, address, domain, processor_cores=processor_cores)
        peer = self._peers_by_id.get(entry_vm)
        if peer is None:
            return False
        if start == peer.start and sequence <= peer.sequence:
            return False
        peer.start = start
        peer.sequence = sequence
        peer.heard_at = now
        peer.follows_store = follows_store
        peer.stopping = stopping
        self._note_alive(entry_vm, peer)
        return True

    def note_alive(
        self,
        entry_vm: types.EntryVmId,
        *,
        now: float,
        follows_store: bool | None = None,
    ) -> None:
        """Take in that another entry VM has heard a peer lately.

        What was heard a moment before a peer said that it ends does not make
        it live on.

        Parameters
        ----------
        follows_store
            Whether it said to be up to date with the store; None for unknown.
        """
        peer = self._peers_by_id.get(entry_vm)
        if peer is None:
            return
        if peer.stopping and now - peer.heard_at < HEARD_SECONDS:
            return
        peer.stopping = False
        if follows_store is not None:
            peer.follows_store = follows_store
        peer.heard_at = max(peer.heard_at, now)
        self._note_alive(entry_vm, peer)

    def _note_alive(self, entry_vm: types.EntryVmId, peer: _Peer) -> None:
        if not peer.alive:
            peer.alive = True
            logs.emit(events.LogEvent.PEER_GAINED, peer=entry_vm)

    def pop_lost(self, *, now: float) -> tuple[types.EntryVmId, ...]:
        """Return the peers that have fallen silent since the last call."""
        lost = []
        near_seconds = _RELAYED_SECONDS if self.has_relay else HEARD_SECONDS
        for entry_vm, peer in self._peers_by_id.items():
            # Those of other domains tell this one by chance only.
            far = self._is_far(peer)
            patience = _FORGOTTEN_SECONDS if far else near_seconds
            if peer.alive and now - peer.heard_at > patience:
                peer.alive = False
                lost.append(entry_vm)
                logs.emit(
                    events.LogEvent.PEER_LOST,
                    level=logging.WARNING,
                    peer=entry_vm,
                    silent_seconds=round(now - peer.heard_at, 2),
                )
        return tuple(lost)

    def neighbours(self) -> tuple[types.EntryVmId, ...]:
        """Return the peers of the own failure domain that were heard lately."""
        return tuple(
            entry_vm
            for entry_vm, peer in self._near_by_id.items()
            if peer.alive
        )

    def neighbour_ids(self) -> tuple[types.EntryVmId, ...]:
        """Return all peers of the own failure domain, silent ones included."""
        return tuple(self._near_by_id)

    def sizes(self) -> dict[types.EntryVmId, float]:
        """Return all peers of the own failure domain and their cores."""
        return {
            entry_vm: peer.processor_cores
            for entry_vm, peer in self._near_by_id.items()
        }

    def neighbour_budget_sharers(self, *, now: float) -> int:
        """Return how many neighbours may be there, those cut off included."""
        return sum(
            now - peer.heard_at < _FORGOTTEN_SECONDS
            for peer in self._near_by_id.values()
        )

    def heard_at(self, entry_vm: types.EntryVmId) -> float:
        """Return when a peer was heard last; minus infinity for never."""
        peer = self._peers_by_id.get(entry_vm)
        return peer.heard_at if peer else float("-inf")

    def is_stopping(self, entry_vm: types.EntryVmId) -> bool:
        """Return whether a peer has said that it is about to end."""
        peer = self._peers_by_id.get(entry_vm)
        return peer is not None and peer.stopping

    def follows_store(self, entry_vm: types.EntryVmId) -> bool:
        """Return whether a peer has said that it is up to date with the store."""
        peer = self._peers_by_id.get(entry_vm)
        return peer is not None and peer.follows_store

    def store_readers(self, *, now: float) -> tuple[types.EntryVmId, ...]:
        """Return those neighbours that are up to date with the store."""
        return tuple(
            entry_vm
            for entry_vm, peer in self._near_by_id.items()
            if peer.follows_store and now - peer.heard_at < WATCHING_SECONDS
        )

    @property
    def has_relay(self) -> bool:
        """Whether the neighbours are too many to tell each other all."""
        return len(self._near_by_id) > _MOST_NEAR_TOLD

    def far_told(self, rng: random.Random) -> tuple[settings.Address, ...]:
        """Return peers of other domains that learn who there is."""
        far = [
            peer.address
            for peer in self._peers_by_id.values()
            if peer.domain != self._domain
        ]
        return tuple(rng.sample(far, min(len(far), _MOST_FAR_TOLD)))

    def near_addresses(self) -> tuple[settings.Address, ...]:
        """Return the addresses of the own failure domain's peers."""
        return tuple(peer.address for peer in self._near_by_id.values())

    def remote_cores_by_domain(
        self,
    ) -> dict[types.FailureDomain, dict[types.EntryVmId, float]]:
        """Return the other failure domains' peers and their cores."""
        by_domain: dict[types.FailureDomain, dict[types.EntryVmId, float]] = {}
        for entry_vm, peer in self._peers_by_id.items():
            if peer.domain is not None and peer.domain != self._domain:
                cores_by_id = by_domain.setdefault(peer.domain, {})
                cores_by_id[entry_vm] = peer.processor_cores
        return by_domain

    def addresses(self) -> tuple[settings.Address, ...]:
        """Return the addresses of all peers, silent ones included."""
        return tuple(peer.address for peer in self._peers_by_id.values())

    def known(self) -> dict[types.EntryVmId, settings.Address]:
        """Return the peers that were heard lately."""
        return {
            entry_vm: peer.address
            for entry_vm, peer in self._peers_by_id.items()
            if peer.alive
        }

    def member(
        self, entry_vm: types.EntryVmId
    ) -> router_messages.EntryVmAddress:
        """Return what others are told of a peer that is known."""
        peer = self._peers_by_id[entry_vm]
        return router_messages.EntryVmAddress(
            entry_vm=entry_vm,
            host=peer.address.host,
            port=peer.address.port,
            domain=peer.domain or types.UNKNOWN_DOMAIN,
            processor_hundredths=round(peer.processor_cores * 100),
        )

    def address_of(self, entry_vm: types.EntryVmId) -> settings.Address | None:
        """Return where a peer listens; None if it is not known."""
        peer = self._peers_by_id.get(entry_vm)
        return peer.address if peer else None

    @property
    def is_large(self) -> bool:
        """Whether a few entry VMs read the store for the others."""
        return len(self._peers_by_id) > _LARGE_FLEET

    def budget_sharers(self, *, now: float) -> int:
        """Return how many entry VMs share budgets, this one included.

        Peers that fell silent a moment ago may only be cut off from this one
        and go on using their shares. Those that are hardly ever heard count
        by being known.
        """
        sharing = [
            peer
            for peer in self._peers_by_id.values()
            if now - peer.heard_at < _FORGOTTEN_SECONDS or self._is_far(peer)
        ]
        return len(sharing) + 1

    def _is_far(self, peer: _Peer) -> bool:
        """Return whether a peer tells this one by chance only."""
        return peer.domain != self._domain
