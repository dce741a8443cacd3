"""Distribution of news to the other entry VMs.

News is broadcast to the whole fleet: to the neighbours directly, and to the
other failure domains through their relays. Datagrams get lost, and a failure
domain may be cut off at that time, so entry VMs that have received news repeat
it to a sample.
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


class FleetRelays(Protocol):
    """Knows the relays of the failure domains."""

    def remote_relay_addresses(self) -> Iterable[settings.Address]:
        """Return the relays of the other failure domains."""

    def is_relay(self) -> bool:
        """Return whether this entry VM is the relay of its failure domain."""


class NewsBroadcaster:
    """Sends messages to all entry VMs, to the neighbours or to a sample.

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
        Source of random samples.
    """

    def __init__(
        self,
        *,
        domain: types.FailureDomain,
        table: peer_table.PeerTable,
        fleet: FleetRelays,
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
        self._send(message, self._table.neighbour_addresses())
        self._send(message, self._fleet.remote_relay_addresses())

    def forward(
        self,
        message: router_messages.RouterMessage,
        *,
        origin: types.FailureDomain,
    ) -> None:
        """As the relay, forward a message of another domain to neighbours."""
        if origin != self._domain and self.is_relay:
            self._send(message, self._table.neighbour_addresses())

    def send_to_sample(self, message: router_messages.RouterMessage) -> None:
        """Send a message to a random neighbour and to a random remote peer."""
        neighbours = self._table.neighbour_addresses()
        sampled = self._rng.sample(neighbours, min(1, len(neighbours)))
        self._send(
            message,
            (*sampled, *self._table.sample_remote_addresses(self._rng)),
        )
