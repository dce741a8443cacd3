"""Ways for the daemon's tasks to send messages to entry VMs."""

import asyncio
from typing import Protocol

from lagoonrun_core import types
from lagoonrun_protocol import messages


class Transport(Protocol):
    """Sends messages to entry VMs, this one included."""

    def send(self, to: types.EntryVmId, message: messages.Message) -> bool:
        """Queue `message`; return False where it certainly will not go."""


class Receiver(Protocol):
    """Takes in messages of one concern."""

    def on_message(
        self, sender: types.EntryVmId, message: messages.Message
    ) -> None:
        """Take in one message; must not block."""


class LoopbackTransport:
    """Deliver messages to this entry VM in the process, others by the hub.

    Parameters
    ----------
    entry_vm
        This entry VM.
    remote
        Carries everything that is for another one.
    """

    def __init__(self, *, entry_vm: types.EntryVmId, remote: Transport) -> None:
        self._entry_vm = entry_vm
        self._remote = remote
        self._receiver: Receiver | None = None

    def attach(self, receiver: Receiver) -> None:
        """Set who takes in the messages for this entry VM."""
        self._receiver = receiver

    def send(self, to: types.EntryVmId, message: messages.Message) -> bool:
        """Queue `message`; return False where it certainly will not go."""
        if to != self._entry_vm:
            return self._remote.send(to, message)
        if self._receiver is None:
            return False
        # A later turn of the loop, as for remote messages, so that a sender
        # never finds its own state changed by its own call.
        loop = asyncio.get_running_loop()
        loop.call_soon(self._receiver.on_message, to, message)
        return True
