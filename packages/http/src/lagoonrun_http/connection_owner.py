"""What a server and the connections that it accepted ask of each other."""

import asyncio
from typing import Protocol

from lagoonrun_http import rejections


class OwnedConnection(Protocol):
    """What the server does with a connection that it accepted."""

    @property
    def reading_head(self) -> bool:
        """Whether part of a request's head has arrived."""

    def check_deadlines(self) -> None:
        """Act on the bounds in time that the caller has run over."""

    def close_if_idle(self) -> None:
        """Close when no byte of a request has arrived."""

    def refuse(self, rejection: rejections.Rejection) -> None:
        """Answer a connection that is not wanted, before any request."""

    def abort(self) -> None:
        """Reset the connection."""


class ConnectionOwner(Protocol):
    """What a connection tells the server that accepted it."""

    @property
    def stopping(self) -> bool:
        """Whether answers must end their connections."""

    def exchange_began(self, task: "asyncio.Task[None]") -> None:
        """Take note of a running exchange."""

    def exchange_ended(self, task: "asyncio.Task[None]") -> None:
        """Take note that an exchange is over."""

    def hold_bytes(self, size: int) -> bool:
        """Count bytes of bodies; return whether all are within the limit."""

    def release_bytes(self, size: int) -> None:
        """Count bytes of bodies that are no longer held."""

    def connection_opened(self, connection: OwnedConnection) -> bool:
        """Count a connection; refuse it when it is one too many."""

    def connection_closed(self, connection: OwnedConnection) -> None:
        """Forget a connection."""
