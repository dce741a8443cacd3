"""Route messages of entry VMs to their receivers by type."""

from collections.abc import Callable

from lagoonrun_core import types
from lagoonrun_daemon import transport
from lagoonrun_protocol import messages

_TO_DISPATCHER = (
    messages.PermitRequest,
    messages.PermitReturn,
    messages.PermitEnd,
    messages.WorkDigest,
)
_TO_PERMITS = (
    messages.PermitAcknowledged,
    messages.PermitGranted,
    messages.PermitRefused,
    messages.PermitNotMine,
    messages.CutWork,
    messages.DigestAcknowledged,
)
_TO_SNAPSHOTS = (messages.SnapshotRequest, messages.SnapshotReply)


class MessageRouter:
    """Route all remote and local messages to receivers by type.

    Parameters
    ----------
    dispatcher, permits, snapshots
        Receivers of the messages for each component.
    on_link_lost
        Called when the connection with an entry VM is lost.
    """

    def __init__(
        self,
        *,
        dispatcher: transport.Receiver,
        permits: transport.Receiver,
        snapshots: transport.Receiver,
        on_link_lost: Callable[[types.EntryVmId], None],
    ) -> None:
        self._on_link_lost = on_link_lost
        self._receivers_by_type: dict[type, transport.Receiver] = {
            **dict.fromkeys(_TO_DISPATCHER, dispatcher),
            **dict.fromkeys(_TO_PERMITS, permits),
            **dict.fromkeys(_TO_SNAPSHOTS, snapshots),
        }

    def on_message(
        self, sender: types.EntryVmId, message: messages.Message
    ) -> None:
        """Route one message; a message without a receiver is dropped."""
        receiver = self._receivers_by_type.get(type(message))
        if receiver is not None:
            receiver.on_message(sender, message)

    def on_link_lost(self, peer: types.EntryVmId) -> None:
        """Forward the loss of a connection."""
        self._on_link_lost(peer)
