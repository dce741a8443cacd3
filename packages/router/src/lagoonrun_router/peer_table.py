"""The other entry VMs, as far as this one knows them."""

import dataclasses
import json
import logging
import random

from lagoonrun_core import events, logs, types
from lagoonrun_router import settings

HEARD_SECONDS = 2.0
"""Silence after which a peer counts as lost: four of its slowest messages."""

_LARGE_FLEET = 12
"""Peers above which a few entry VMs read the store for the others. Below, all
their calls cost less than half a percent of a day's worth."""

WATCHING_SECONDS = 1.0
"""Silence after which a peer is not relied on to read the store: two of its
slowest messages. What it would have told matters in two to three seconds."""

_MOST_FAR_TOLD = 1
"""Peers of other failure domains that learn now and then who there is: bytes
between domains cost, and who there is passes on from peer to peer."""

_MOST_NEAR_TOLD = 12
"""Neighbours that each state goes to; in larger failure domains a random
choice, and whoever speaks for the domain. Reading a state costs 0.13 ms: with 27
entry VMs a domain that all told each other, a day took more than half as much
processor time again."""

_SAMPLED_SECONDS = 4.0
"""Silence after which a neighbour counts as lost where it tells this one by
chance only: nine of its usual pauses."""

_FORGOTTEN_SECONDS = 60.0
"""Silence after which a peer counts no more among those that share budgets."""


@dataclasses.dataclass(kw_only=True)
class _Peer:
    address: settings.Address
    domain: types.FailureDomain | None = None
    follows_store: bool = False
    stopping: bool = False
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

    def record(self, address: settings.Address) -> bytes:
        """Return the value of an entry VM's own key in the store."""
        return json.dumps(
            {
                "host": address.host,
                "port": address.port,
                "domain": self._domain,
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
        except (ValueError, KeyError, TypeError) as error:
            logs.emit(
                events.LogEvent.PEER_FRAME_REJECTED,
                level=logging.ERROR,
                peer=entry_vm,
                detail=f"no valid record: {error}",
            )
            return
        self.add(entry_vm, address, domain)

    def add(
        self,
        entry_vm: types.EntryVmId,
        address: settings.Address,
        domain: types.FailureDomain | None = None,
    ) -> None:
        """Learn of a peer; a new address replaces the one known."""
        if entry_vm == self._entry_vm:
            return
        peer = self._peers_by_id.setdefault(entry_vm, _Peer(address=address))
        peer.address = address
        peer.domain = domain or peer.domain

    def remove(self, entry_vm: types.EntryVmId) -> None:
        """Forget a peer."""
        self._peers_by_id.pop(entry_vm, None)

    def hear(
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
    ) -> bool:
        """Note a message; return whether it is newer than those before."""
        self.add(entry_vm, address, domain)
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
        if not peer.alive:
            peer.alive = True
            logs.emit(events.LogEvent.PEER_GAINED, peer=entry_vm)
        return True

    def take_lost(self, *, now: float) -> tuple[types.EntryVmId, ...]:
        """Return the peers that have fallen silent since the last call."""
        lost = []
        near_seconds = _SAMPLED_SECONDS if self._is_sampled else HEARD_SECONDS
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
            for entry_vm, peer in self._peers_by_id.items()
            if peer.alive and peer.domain == self._domain
        )

    def watching(self, *, now: float) -> tuple[types.EntryVmId, ...]:
        """Return those neighbours that are up to date with the store."""
        return tuple(
            entry_vm
            for entry_vm, peer in self._peers_by_id.items()
            if peer.domain == self._domain
            and peer.follows_store
            and now - peer.heard_at < WATCHING_SECONDS
        )

    def relay_candidates(self, *, now: float) -> tuple[types.EntryVmId, ...]:
        """Return the neighbours that may speak for the failure domain."""
        seconds = WATCHING_SECONDS if self._is_sampled else HEARD_SECONDS
        return tuple(
            entry_vm
            for entry_vm, peer in self._peers_by_id.items()
            if now - peer.heard_at < seconds
            and not peer.stopping
            and peer.domain == self._domain
        )

    @property
    def _is_sampled(self) -> bool:
        """Whether neighbours tell each other by chance."""
        return len(self.near_addresses()) > _MOST_NEAR_TOLD

    def told(
        self,
        chance: random.Random,
        *,
        relay: types.EntryVmId,
        everybody: bool,
    ) -> tuple[settings.Address, ...]:
        """Return where one state goes: the own failure domain.

        Parameters
        ----------
        relay
            Who speaks for the domain, and has to know all of it.
        everybody
            Whether the others have to know that this one is there.
        """
        near = self.near_addresses()
        if everybody or len(near) <= _MOST_NEAR_TOLD:
            return near
        chosen = chance.sample(near, _MOST_NEAR_TOLD)
        address = self.address_of(relay)
        if address is not None and address not in chosen:
            chosen.append(address)
        return tuple(chosen)

    def far_told(self, chance: random.Random) -> tuple[settings.Address, ...]:
        """Return peers of other domains that learn who there is."""
        far = [
            peer.address
            for peer in self._peers_by_id.values()
            if peer.domain != self._domain
        ]
        return tuple(chance.sample(far, min(len(far), _MOST_FAR_TOLD)))

    def near_addresses(self) -> tuple[settings.Address, ...]:
        """Return the addresses of the own failure domain's peers."""
        return tuple(
            peer.address
            for peer in self._peers_by_id.values()
            if peer.domain == self._domain
        )

    def far_addresses_by_domain(
        self,
    ) -> dict[types.FailureDomain, dict[types.EntryVmId, settings.Address]]:
        """Return the addresses of the other failure domains' peers."""
        by_domain: dict[
            types.FailureDomain, dict[types.EntryVmId, settings.Address]
        ] = {}
        for entry_vm, peer in self._peers_by_id.items():
            if peer.domain is not None and peer.domain != self._domain:
                by_id = by_domain.setdefault(peer.domain, {})
                by_id[entry_vm] = peer.address
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

    def address_of(self, entry_vm: types.EntryVmId) -> settings.Address | None:
        """Return where a peer listens; None if it is not known."""
        peer = self._peers_by_id.get(entry_vm)
        return peer.address if peer else None

    @property
    def is_large(self) -> bool:
        """Whether a few entry VMs read the store for the others."""
        return len(self._peers_by_id) > _LARGE_FLEET

    def sharers(self, *, now: float) -> int:
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
