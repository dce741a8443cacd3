"""A TCP link on loopback that delays, resets, cuts one way or goes silent."""

import asyncio
import contextlib
import enum
import random

from lagoonrun_http import tcp_reset
from lagoonrun_router import settings

_READ_BYTES = 65_536
_MAX_DELAY_SECONDS = 0.15


class LinkState(enum.Enum):
    """What becomes of the bytes."""

    SOUND = "sound"
    DELAYED = "delayed"
    RESET = "reset"
    """Open connections are reset, and new ones at once."""

    ONE_WAY = "one-way"
    """Requests arrive, answers don't; such a connection stays so for good."""

    SILENT = "silent"
    """Nothing arrives; a connection that was open then stays so for good."""


class FaultyLink:
    """Forwards connections from one address to another.

    Parameters
    ----------
    listen, target
        Where it accepts connections, and where they go.
    rng
        Source of the delays.
    """

    def __init__(
        self,
        *,
        listen: settings.Address,
        target: settings.Address,
        rng: random.Random,
    ) -> None:
        self._listen = listen
        self._target = target
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self.state = LinkState.SOUND

    async def start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._accept, self._listen.host, self._listen.port
        )

    async def close(self) -> None:
        """Reset all connections and stop."""
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def set_state(self, state: LinkState) -> None:
        """Change what becomes of the bytes."""
        self.state = state
        if state is LinkState.RESET:
            self._reset_all()
        for connection in self._connections:
            connection.apply_state(state)

    def _reset_all(self) -> None:
        for connection in list(self._connections):
            connection.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.state is LinkState.RESET:
            tcp_reset.reset(writer.transport)
            return
        try:
            outbound = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            tcp_reset.reset(writer.transport)
            return
        connection = _Connection(
            inbound=(reader, writer), outbound=outbound, owner=self
        )
        connection.apply_state(self.state)
        self._connections.add(connection)
        # The loop ends while connections are open; asyncio logs a handler
        # that is cancelled as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await connection.run()
        self._connections.discard(connection)

    async def wait_delay(self) -> None:
        """Wait for as long as the link's state asks for."""
        if self.state is LinkState.DELAYED:
            await asyncio.sleep(_MAX_DELAY_SECONDS * self._rng.random())


_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Connection:
    """One forwarded connection."""

    def __init__(
        self, *, inbound: _Streams, outbound: _Streams, owner: FaultyLink
    ) -> None:
        self._inbound = inbound
        self._outbound = outbound
        self._link = owner
        self._drops_requests = False
        self._drops_responses = False

    def apply_state(self, state: LinkState) -> None:
        """Remember a fault that lasts for as long as the connection."""
        self._drops_requests |= state is LinkState.SILENT
        self._drops_responses |= state in (LinkState.SILENT, LinkState.ONE_WAY)

    def abort(self) -> None:
        """Reset both ends."""
        for _, writer in (self._inbound, self._outbound):
            tcp_reset.reset(writer.transport)

    async def run(self) -> None:
        """Forward both ways until one end is gone."""
        tasks = [
            asyncio.create_task(
                self._forward(
                    self._inbound[0], self._outbound[1], is_response=False
                )
            ),
            asyncio.create_task(
                self._forward(
                    self._outbound[0], self._inbound[1], is_response=True
                )
            ),
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            self.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        # An end that is gone ends the other; resets look the same to it.
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                await self._link.wait_delay()
                if (
                    self._drops_responses
                    if is_response
                    else self._drops_requests
                ):
                    continue
                writer.write(data)
                await writer.drain()
            if not (
                self._drops_responses if is_response else self._drops_requests
            ):
                writer.write_eof()
