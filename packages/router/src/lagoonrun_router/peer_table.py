"""The other entry VMs: addresses, sizes and when each was last heard from.

Peers in the own failure domain are neighbours, those in other ones are remote.
"""

import dataclasses
import ipaddress
import json
import logging
import random
from collections.abc import Iterable

from lagoonrun_core import errors, events, logs, types
from lagoonrun_protocol import router_messages
from lagoonrun_router import settings

PEER_TIMEOUT_SECONDS = 2.0
"""Silence after which a peer counts as lost: four times the longest interval
between its messages."""

_MAX_SMALL_FLEET_PEERS = 12
"""Number of peers above which a few entry VMs read the store for the others. Up
to it, the watches of all of them make about ten calls a second."""

READER_TIMEOUT_SECONDS = 1.0
"""Silence after which a peer is no longer relied on to read the store: twice
the longest interval between its messages. Changes must be in force within two
to three seconds."""

_MAX_SAMPLED_REMOTE_PEERS = 1
"""Number of remote peers that a periodic message goes to: traffic between
failure domains is expensive, and membership spreads from peer to peer."""

_MAX_NEIGHBOURS_WITHOUT_RELAY = 12
"""Number of neighbours up to which each entry VM sends its state to all of
them.

Decoding a state takes about 0.1 ms. With more neighbours the messages, whose
number grows with the square of the neighbours, take more processor time than
the requests.
"""

_RELAYED_PEER_TIMEOUT_SECONDS = 4.0
"""Silence after which a neighbour counts as lost in a failure domain with a
relay.

Neighbours then send their states to the relay only, which lists them; after the
loss of a relay it takes a second until the next one serves.
"""

_FORGET_AFTER_SECONDS = 60.0
"""Silence after which a remote peer counts as lost, and a neighbour no longer
counts when budgets are divided."""

_PORTS = 1 << 16


def rounded_cores(processor_cores: float) -> float:
    """Return the processor cores of an entry VM, rounded as in messages.

    An entry VM compares this value with those of its peers. If it compared its
    own unrounded value, equal entry VMs would each consider themselves the
    largest, or the smallest.
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
    """Addresses of the other entry VMs and when each was last heard from.

    Parameters
    ----------
    entry_vm, domain
        This entry VM, which is not in the table.
    """

    def __init__(
        self, *, entry_vm: types.EntryVmId, domain: types.FailureDomain
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._peers_by_id: dict[types.EntryVmId, _Peer] = {}
        self._neighbours_by_id: dict[types.EntryVmId, _Peer] = {}
        self.changes = 0
        """Incremented when a neighbour is added or removed, or its size
        changes."""

    def record(
        self, address: settings.Address, *, processor_cores: float
    ) -> bytes:
        """Return the value that this entry VM stores under its key."""
        return json.dumps(
            {
                "host": address.host,
                "port": address.port,
                "domain": self._domain,
                "processor_cores": processor_cores,
            }
        ).encode()

    def apply_record(self, entry_vm: types.EntryVmId, value: bytes) -> None:
        """Apply the value of an entry VM's key in the store."""
        try:
            decoded = json.loads(value)
            address = settings.Address(
                host=str(decoded["host"]), port=int(decoded["port"])
            )
            domain = types.FailureDomain(str(decoded["domain"]))
            # Rounded here, so that infinities and NaN are rejected.
            cores = rounded_cores(float(decoded.get("processor_cores", 0.0)))
            if not 0 < address.port < _PORTS:
                raise ValueError(f"port {address.port}")
        except errors.UNREADABLE_RECORD as error:
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
        """Add a peer, or update the address of a known one.

        Parameters
        ----------
        domain
            None if the sender of the address does not know it.
        processor_cores
            Processor time that the peer may use, in cores; 0 if unknown.
        """
        if entry_vm == self._entry_vm:
            return
        if not _is_ip_address(address.host):
            # Sending to a name looks it up, and all other work waits meanwhile;
            # a host that is no text at all closes the socket.
            logs.emit(
                events.LogEvent.PEER_FRAME_REJECTED,
                level=logging.ERROR,
                peer=entry_vm,
                detail=f"host {address.host!r}; valid: an IP address",
            )
            return
        processor_cores = rounded_cores(processor_cores)
        peer = self._peers_by_id.setdefault(entry_vm, _Peer(address=address))
        peer.address = address
        peer.domain = domain or peer.domain
        if processor_cores and processor_cores != peer.processor_cores:
            peer.processor_cores = processor_cores
            self.changes += 1
        is_neighbour = peer.domain == self._domain
        if is_neighbour is not (entry_vm in self._neighbours_by_id):
            self._neighbours_by_id.pop(entry_vm, None)
            if is_neighbour:
                self._neighbours_by_id[entry_vm] = peer
            self.changes += 1

    def remove(self, entry_vm: types.EntryVmId) -> None:
        """Remove a peer."""
        self._peers_by_id.pop(entry_vm, None)
        if self._neighbours_by_id.pop(entry_vm, None) is not None:
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
        """Record a peer's message; return whether it is newer than the last."""
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
        self._record_alive(entry_vm, peer)
        return True

    def record_alive(
        self,
        entry_vm: types.EntryVmId,
        *,
        now: float,
        follows_store: bool | None = None,
    ) -> None:
        """Record that another entry VM has heard from a peer recently.

        For a short time after a peer has announced that it stops, this is
        ignored: the message may have been sent before the announcement.

        Parameters
        ----------
        follows_store
            Whether the peer is up to date with the store; None if unknown.
        """
        peer = self._peers_by_id.get(entry_vm)
        if peer is None:
            return
        if peer.stopping and now - peer.heard_at < PEER_TIMEOUT_SECONDS:
            return
        peer.stopping = False
        if follows_store is not None:
            peer.follows_store = follows_store
        peer.heard_at = max(peer.heard_at, now)
        self._record_alive(entry_vm, peer)

    def _record_alive(self, entry_vm: types.EntryVmId, peer: _Peer) -> None:
        if not peer.alive:
            peer.alive = True
            logs.emit(events.LogEvent.PEER_GAINED, peer=entry_vm)

    def pop_lost(self, *, now: float) -> tuple[types.EntryVmId, ...]:
        """Return the peers that have become lost since the last call."""
        lost = []
        neighbour_timeout = (
            _RELAYED_PEER_TIMEOUT_SECONDS
            if self.has_relay
            else PEER_TIMEOUT_SECONDS
        )
        for entry_vm, peer in self._peers_by_id.items():
            # Remote peers send to this entry VM only at random.
            remote = self._is_remote(peer)
            timeout = _FORGET_AFTER_SECONDS if remote else neighbour_timeout
            if peer.alive and now - peer.heard_at > timeout:
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
        """Return the neighbours that are not lost."""
        return tuple(
            entry_vm
            for entry_vm, peer in self._neighbours_by_id.items()
            if peer.alive
        )

    def neighbour_ids(self) -> tuple[types.EntryVmId, ...]:
        """Return all neighbours, including lost ones."""
        return tuple(self._neighbours_by_id)

    def sizes(self) -> dict[types.EntryVmId, float]:
        """Return the processor cores of all neighbours, including lost ones."""
        return {
            entry_vm: peer.processor_cores
            for entry_vm, peer in self._neighbours_by_id.items()
        }

    def neighbour_budget_sharers(self, *, now: float) -> int:
        """Return how many neighbours may run, including cut-off ones."""
        return sum(
            now - peer.heard_at < _FORGET_AFTER_SECONDS
            for peer in self._neighbours_by_id.values()
        )

    def heard_at(self, entry_vm: types.EntryVmId) -> float:
        """Return when a peer was last heard from; minus infinity for never."""
        peer = self._peers_by_id.get(entry_vm)
        return peer.heard_at if peer else float("-inf")

    def is_stopping(self, entry_vm: types.EntryVmId) -> bool:
        """Return whether a peer has announced that it is about to stop."""
        peer = self._peers_by_id.get(entry_vm)
        return peer is not None and peer.stopping

    def domain_of(
        self, entry_vm: types.EntryVmId
    ) -> types.FailureDomain | None:
        """Return the failure domain of a peer; None if it is unknown."""
        peer = self._peers_by_id.get(entry_vm)
        return peer.domain if peer else None

    def follows_store(self, entry_vm: types.EntryVmId) -> bool:
        """Return whether a peer reported to be up to date with the store."""
        peer = self._peers_by_id.get(entry_vm)
        return peer is not None and peer.follows_store

    def store_readers(self, *, now: float) -> tuple[types.EntryVmId, ...]:
        """Return the neighbours that are up to date with the store."""
        return tuple(
            entry_vm
            for entry_vm, peer in self._neighbours_by_id.items()
            if peer.follows_store
            and now - peer.heard_at < READER_TIMEOUT_SECONDS
        )

    @property
    def has_relay(self) -> bool:
        """Whether neighbours send their states to a relay."""
        return len(self._neighbours_by_id) > _MAX_NEIGHBOURS_WITHOUT_RELAY

    def sample_remote_addresses(
        self, rng: random.Random
    ) -> tuple[settings.Address, ...]:
        """Return the addresses of a random sample of the remote peers."""
        remote = [
            peer.address
            for peer in self._peers_by_id.values()
            if peer.domain != self._domain
        ]
        return tuple(
            rng.sample(remote, min(len(remote), _MAX_SAMPLED_REMOTE_PEERS))
        )

    def neighbour_addresses(self) -> tuple[settings.Address, ...]:
        """Return the addresses of all neighbours, including lost ones."""
        return tuple(peer.address for peer in self._neighbours_by_id.values())

    def remote_cores_by_domain(
        self,
    ) -> dict[types.FailureDomain, dict[types.EntryVmId, float]]:
        """Return the processor cores of all remote peers by failure domain."""
        by_domain: dict[types.FailureDomain, dict[types.EntryVmId, float]] = {}
        for entry_vm, peer in self._peers_by_id.items():
            if peer.domain is not None and peer.domain != self._domain:
                cores_by_id = by_domain.setdefault(peer.domain, {})
                cores_by_id[entry_vm] = peer.processor_cores
        return by_domain

    def candidates_by_domain(
        self,
    ) -> dict[types.FailureDomain, tuple[types.EntryVmId, ...]]:
        """Return the peers that probably run, by failure domain.

        Of a domain from which no peer was heard, all count: this entry VM has
        just started, or the fleet is large and remote peers send rarely.
        """
        known: dict[types.FailureDomain, list[types.EntryVmId]] = {}
        alive: dict[types.FailureDomain, list[types.EntryVmId]] = {}
        is_large = self.is_large
        for entry_vm, peer in self._peers_by_id.items():
            if peer.stopping:
                continue
            domain = peer.domain or types.UNKNOWN_DOMAIN
            known.setdefault(domain, []).append(entry_vm)
            if peer.alive or (is_large and self._is_remote(peer)):
                alive.setdefault(domain, []).append(entry_vm)
        return {
            domain: tuple(alive.get(domain, entry_vms))
            for domain, entry_vms in known.items()
        }

    def addresses(self) -> tuple[settings.Address, ...]:
        """Return the addresses of all peers, including lost ones."""
        return tuple(peer.address for peer in self._peers_by_id.values())

    def known(self) -> dict[types.EntryVmId, settings.Address]:
        """Return the addresses of the peers that are not lost."""
        return {
            entry_vm: peer.address
            for entry_vm, peer in self._peers_by_id.items()
            if peer.alive
        }

    def member(
        self, entry_vm: types.EntryVmId
    ) -> router_messages.EntryVmAddress:
        """Return the address of a known peer, encoded for a message."""
        peer = self._peers_by_id[entry_vm]
        return router_messages.EntryVmAddress(
            entry_vm=entry_vm,
            host=peer.address.host,
            port=peer.address.port,
            domain=peer.domain or types.UNKNOWN_DOMAIN,
            processor_hundredths=round(peer.processor_cores * 100),
        )

    def address_of(self, entry_vm: types.EntryVmId) -> settings.Address | None:
        """Return the address at which a peer listens; None if it is unknown."""
        peer = self._peers_by_id.get(entry_vm)
        return peer.address if peer else None

    def addresses_of(
        self, entry_vms: Iterable[types.EntryVmId]
    ) -> tuple[settings.Address, ...]:
        """Return the addresses of peers, without those that are unknown."""
        found = (self.address_of(one) for one in entry_vms)
        return tuple(one for one in found if one is not None)

    @property
    def is_large(self) -> bool:
        """Whether a few entry VMs read the store for the others."""
        return len(self._peers_by_id) > _MAX_SMALL_FLEET_PEERS

    def budget_sharers(self, *, now: float) -> int:
        """Return how many entry VMs share budgets, including this one.

        Peers that fell silent recently may only be cut off from this entry VM
        and continue to use their shares. Remote peers, which rarely send to
        this one, count for as long as they are known.
        """
        sharing = [
            peer
            for peer in self._peers_by_id.values()
            if now - peer.heard_at < _FORGET_AFTER_SECONDS
            or self._is_remote(peer)
        ]
        return len(sharing) + 1

    def _is_remote(self, peer: _Peer) -> bool:
        """Return whether a peer is remote, or its failure domain is unknown."""
        return peer.domain != self._domain


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
