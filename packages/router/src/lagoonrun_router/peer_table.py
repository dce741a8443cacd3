"""The other entry VMs, as far as this one knows them."""

import dataclasses
import json
import logging

from lagoonrun_core import events, logs, types
from lagoonrun_router import settings

HEARD_SECONDS = 2.0
"""Silence after which a peer counts as lost: four of its slowest messages."""

MOST_TOLD = 12
"""Peers that each state goes to; in larger fleets a random choice.

Each then hears of each other about every seventh time: loads are half a second
old, and placements are known of some only.
"""

_FORGOTTEN_SECONDS = 60.0
"""Silence after which a peer counts no more among those that share budgets."""


@dataclasses.dataclass(kw_only=True)
class _Peer:
    address: settings.Address
    heard_at: float = float("-inf")
    start: int = 0
    sequence: int = 0
    alive: bool = False


class PeerTable:
    """Addresses of the other entry VMs and when they were heard.

    Parameters
    ----------
    entry_vm
        This one, which is left out.
    """

    def __init__(self, *, entry_vm: types.EntryVmId) -> None:
        self._entry_vm = entry_vm
        self._peers_by_id: dict[types.EntryVmId, _Peer] = {}

    def record(self, address: settings.Address) -> bytes:
        """Return the value of an entry VM's own key in the store."""
        return json.dumps({"host": address.host, "port": address.port}).encode()

    def take_record(self, entry_vm: types.EntryVmId, value: bytes) -> None:
        """Take in the value of an entry VM's key."""
        try:
            decoded = json.loads(value)
            address = settings.Address(
                host=str(decoded["host"]), port=int(decoded["port"])
            )
        except (ValueError, KeyError, TypeError) as error:
            logs.emit(
                events.LogEvent.PEER_FRAME_REJECTED,
                level=logging.ERROR,
                peer=entry_vm,
                detail=f"no valid record: {error}",
            )
            return
        self.add(entry_vm, address)

    def add(self, entry_vm: types.EntryVmId, address: settings.Address) -> None:
        """Learn of a peer; a new address replaces the one known."""
        if entry_vm == self._entry_vm:
            return
        peer = self._peers_by_id.get(entry_vm)
        if peer is None:
            self._peers_by_id[entry_vm] = _Peer(address=address)
        else:
            peer.address = address

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
    ) -> bool:
        """Note a message; return whether it is newer than those before."""
        self.add(entry_vm, address)
        peer = self._peers_by_id.get(entry_vm)
        if peer is None:
            return False
        if start == peer.start and sequence <= peer.sequence:
            return False
        peer.start = start
        peer.sequence = sequence
        peer.heard_at = now
        if not peer.alive:
            peer.alive = True
            logs.emit(events.LogEvent.PEER_GAINED, peer=entry_vm)
        return True

    def take_lost(self, *, now: float) -> tuple[types.EntryVmId, ...]:
        """Return the peers that have fallen silent since the last call."""
        lost = []
        for entry_vm, peer in self._peers_by_id.items():
            if peer.alive and now - peer.heard_at > HEARD_SECONDS:
                peer.alive = False
                lost.append(entry_vm)
                logs.emit(
                    events.LogEvent.PEER_LOST,
                    level=logging.WARNING,
                    peer=entry_vm,
                    silent_seconds=round(now - peer.heard_at, 2),
                )
        return tuple(lost)

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
        """Whether there are too many peers to hear all news of each."""
        return len(self._peers_by_id) > MOST_TOLD

    def sharers(self, *, now: float) -> int:
        """Return how many entry VMs share budgets, this one included.

        Peers that fell silent a moment ago may only be cut off from this one
        and go on using their shares.
        """
        recent = [
            peer
            for peer in self._peers_by_id.values()
            if now - peer.heard_at < _FORGOTTEN_SECONDS
        ]
        return len(recent) + 1
