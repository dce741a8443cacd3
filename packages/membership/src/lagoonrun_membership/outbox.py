"""Datagrams to be sent, addressed by member: no I/O."""

import dataclasses

from lagoonrun_core import types
from lagoonrun_membership import members
from lagoonrun_protocol import hub, messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutgoingDatagram:
    """A message and the address to send it to."""

    address: hub.PeerAddress
    message: messages.Message


class Outbox:
    """Collects datagrams until they are sent.

    Parameters
    ----------
    table
        Members with their addresses.
    """

    def __init__(self, *, table: members.MemberTable) -> None:
        self._table = table
        self._outgoing: list[OutgoingDatagram] = []

    def send(self, target: types.EntryVmId, message: messages.Message) -> None:
        """Address `message` to a member; do nothing if it is unknown."""
        view = self._table.view(target)
        if view is not None:
            address = hub.PeerAddress(host=view.peer_host, port=view.peer_port)
            self.send_to(address, message)

    def send_to(
        self, address: hub.PeerAddress, message: messages.Message
    ) -> None:
        """Queue `message` for `address`, whichever member is there."""
        self._outgoing.append(
            OutgoingDatagram(address=address, message=message)
        )

    def pop_datagrams(self) -> list[OutgoingDatagram]:
        """Return and clear the datagrams."""
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing
