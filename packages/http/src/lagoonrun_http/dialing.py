"""Opening connections to upstreams."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from lagoonrun_http import upstream_connection


@dataclasses.dataclass(frozen=True, kw_only=True)
class Endpoint:
    """Address and port of an upstream."""

    address: str
    port: int


MakeConnection = Callable[[], upstream_connection.UpstreamConnection]
"""Returns a connection that is not open yet."""


class Dialer(Protocol):
    """Opens connections to upstreams."""

    async def dial(
        self, endpoint: Endpoint, make_connection: MakeConnection
    ) -> upstream_connection.UpstreamConnection:
        """Return an open connection; raises `OSError`."""

    def may_reuse(
        self, connection: upstream_connection.UpstreamConnection
    ) -> bool:
        """Return whether an idle connection may carry another request."""


class DirectDialer:
    """Opens connections straight to the upstream."""

    async def dial(
        self, endpoint: Endpoint, make_connection: MakeConnection
    ) -> upstream_connection.UpstreamConnection:
        """Return an open connection; see `Dialer`."""
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            make_connection, endpoint.address, endpoint.port
        )
        if connection.closed:
            raise ConnectionResetError("the upstream spoke or closed at once")
        return connection

    def may_reuse(
        self, connection: upstream_connection.UpstreamConnection
    ) -> bool:
        """Return that it may; see `Dialer`."""
        del connection
        return True
