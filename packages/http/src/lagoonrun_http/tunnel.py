"""The interface of what follows HTTP on a connection after an upgrade."""

import asyncio
from typing import Protocol


class TunnelEnd(Protocol):
    """Uses a connection on which the protocol has been switched."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport of the connection."""

    def data_received(self, data: bytes) -> None:
        """Process bytes that have arrived."""

    def eof_received(self) -> None:
        """Process the peer's end of output; the connection is closed next."""

    def connection_lost(self, error: Exception | None) -> None:
        """Process the end of the connection; `error` if it was reset."""

    def pause_writing(self) -> None:
        """Stop writing: the transport's write buffer is full."""

    def resume_writing(self) -> None:
        """Continue writing."""
