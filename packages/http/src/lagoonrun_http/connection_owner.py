"""Interfaces between a server and the connections that it accepted."""

import asyncio
from typing import Protocol

from lagoonrun_http import limits, rejections


class OwnedConnection(Protocol):
    """An accepted connection, as the server uses it."""

    @property
    def reading_head(self) -> bool:
        """Whether part of a request's head has arrived."""

    def check_deadlines(self) -> None:
        """Act on the timeouts that have expired."""

    def set_limits(self, server_limits: limits.ServerLimits) -> None:
        """Apply limits, to the next request if one is being processed."""

    def close_if_idle(self) -> None:
        """Close unless a request arrives within a short delay."""

    def refuse(self, rejection: rejections.Rejection) -> None:
        """Send an error response before any request, and close."""

    def abort(self) -> None:
        """Reset the connection."""


class ConnectionOwner(Protocol):
    """The server, as the connections that it accepted use it."""

    @property
    def stopping(self) -> bool:
        """Whether each connection must end with its next response."""

    def on_exchange_started(self, task: "asyncio.Task[None]") -> None:
        """Add a running exchange."""

    def on_exchange_finished(self, task: "asyncio.Task[None]") -> None:
        """Remove a finished exchange."""

    def add_held_bytes(self, size: int) -> bool:
        """Add to the body bytes held; return whether they are in the limit."""

    def subtract_held_bytes(self, size: int) -> None:
        """Subtract from the body bytes held."""

    def on_connection_opened(self, connection: OwnedConnection) -> bool:
        """Add a connection; return whether it is within the limit.

        A connection over the limit is refused.
        """

    def on_connection_closed(self, connection: OwnedConnection) -> None:
        """Remove a closed connection."""
