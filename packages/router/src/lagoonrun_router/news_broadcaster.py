"""Ways in which news gets to the other entry VMs.

News goes to the whole fleet at once: to the neighbours, and by way of the relays to
the other failure domains. Datagrams get lost, and a failure domain may be cut off
meanwhile, so whoever knows something repeats it to a few.
"""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import peer_table, settings

Sender = Callable[
    [router_messages.RouterMessage, Iterable[settings.Address]], None
]
"""Sends a message to each address."""


class FleetAddresses(Protocol):
    """Whom to tell in other failure domains, and whether to hand news on."""

    def remote_relay_addresses(self) -> Iterable[settings.Address]:
        """Return the relays of the other failure domains."""

    def is_relay(self) -> bool:
        """Return whether this entry VM is the relay of its failure domain."""


class NewsBroadcaster:
    """Sends messages to all, to the neighbours or to a few.

    Parameters
    ----------
    domain
        Failure domain of this entry VM.
    table
        The other entry VMs.
    fleet
        Relays of the failure domains.
    send
        Sends a message.
    rng
        Source of the choice of peers.
    """

    def __init__(
        self,
        *,
        domain: types.FailureDomain,
        table: peer_table.PeerTable,
        fleet: FleetAddresses,
        send: Sender,
        rng: random.Random,
    ) -> None:
        self._domain = domain
        self._table = table
        self._fleet = fleet
        self._send = send
        self._rng = rng

    @property
    def is_relay(self) -> bool:
        """Whether this entry VM is the relay of its failure domain."""
        return self._fleet.is_relay()

    def broadcast(self, message: router_messages.RouterMessage) -> None:
        """Send a message to the neighbours and to the other domains' relays."""
        self._send(message, self._table.near_addresses())
        self._send(message, self._fleet.remote_relay_addresses())

    def forward(
        self,
        message: router_messages.RouterMessage,
        *,
        origin: types.FailureDomain,
    ) -> None:
        """Send, as the relay, what came from another domain to the neighbours."""
        if origin != self._domain and self.is_relay:
            self._send(message, self._table.near_addresses())

    def send_to_sample(self, message: router_messages.RouterMessage) -> None:
        """Send a message to a neighbour and to a peer of another domain."""
        near = self._table.near_addresses()
        near_one = self._rng.sample(near, min(1, len(near)))
        self._send(message, (*near_one, *self._table.far_told(self._rng)))
