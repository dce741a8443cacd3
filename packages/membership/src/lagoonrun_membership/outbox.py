"""Datagrams that wait to be sent, addressed by member. Pure."""

import dataclasses

from lagoonrun_core import types
from lagoonrun_membership import members
from lagoonrun_protocol import hub, messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutgoingDatagram:
    """A datagram to be sent."""

    address: hub.PeerAddress
    message: messages.Message


class Outbox:
    """Collect datagrams until the socket's owner takes them.

    Parameters
    ----------
    table
        Where members are reached.
    """

    def __init__(self, *, table: members.MemberTable) -> None:
        self._table = table
        self._outgoing: list[OutgoingDatagram] = []

    def send(self, target: types.EntryVmId, message: messages.Message) -> None:
        """Address `message` to a member; do nothing if it is not known."""
        view = self._table.view(target)
        if view is not None:
            address = hub.PeerAddress(host=view.peer_host, port=view.peer_port)
            self.send_to(address, message)

    def send_to(
        self, address: hub.PeerAddress, message: messages.Message
    ) -> None:
        """Address `message` to whoever is at `address`."""
        self._outgoing.append(
            OutgoingDatagram(address=address, message=message)
        )

    def take(self) -> list[OutgoingDatagram]:
        """Return the datagrams, once."""
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing
