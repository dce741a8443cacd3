"""Transports by which the daemon's components send messages."""

import asyncio
from typing import Protocol

from lagoonrun_core import types
from lagoonrun_protocol import messages


class Transport(Protocol):
    """Sends messages to entry VMs, including this one."""

    def send(self, to: types.EntryVmId, message: messages.Message) -> bool:
        """Queue `message`; return False if it will certainly not be sent."""


class Receiver(Protocol):
    """Receives the messages for one component."""

    def on_message(
        self, sender: types.EntryVmId, message: messages.Message
    ) -> None:
        """Process one message; must not block."""


class LoopbackTransport:
    """Deliver messages to this entry VM locally, all others by the hub.

    Parameters
    ----------
    entry_vm
        This entry VM.
    remote
        Sends messages to other entry VMs.
    """

    def __init__(self, *, entry_vm: types.EntryVmId, remote: Transport) -> None:
        self._entry_vm = entry_vm
        self._remote = remote
        self._receiver: Receiver | None = None

    def attach(self, receiver: Receiver) -> None:
        """Set the receiver of messages to this entry VM."""
        self._receiver = receiver

    def send(self, to: types.EntryVmId, message: messages.Message) -> bool:
        """Queue `message`; return False if it will certainly not be sent."""
        if to != self._entry_vm:
            return self._remote.send(to, message)
        if self._receiver is None:
            return False
        # Delivered in a later iteration of the event loop, like remote
        # messages, so that sending never changes the sender's own state.
        loop = asyncio.get_running_loop()
        loop.call_soon(self._receiver.on_message, to, message)
        return True
