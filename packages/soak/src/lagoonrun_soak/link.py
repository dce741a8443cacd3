"""TCP proxy on loopback that delays, resets or drops traffic."""

import asyncio
import contextlib
import enum
import random

from lagoonrun_http import tcp_reset
from lagoonrun_router import settings

_READ_BYTES = 65_536
_MAX_DELAY_SECONDS = 0.15


class LinkState(enum.Enum):
    """How a link treats its connections."""

    SOUND = "sound"
    DELAYED = "delayed"
    RESET = "reset"
    """Open connections are reset, and new ones once accepted."""

    ONE_WAY = "one-way"
    """Requests arrive, responses don't, for the rest of the connection."""

    SILENT = "silent"
    """Nothing arrives in either direction, for the rest of the connection."""


class FaultyLink:
    """Forwards connections from one address to another.

    Parameters
    ----------
    listen, target
        Addresses at which it accepts connections and to which it forwards them.
    rng
        Draws the delays.
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
        """Start accepting connections."""
        self._server = await asyncio.start_server(
            self._accept, self._listen.host, self._listen.port
        )

    async def close(self) -> None:
        """Stop accepting connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def set_state(self, state: LinkState) -> None:
        """Change the treatment of open and new connections."""
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
        # The event loop stops while connections are open, and asyncio logs a
        # cancelled connection callback as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await connection.run()
        self._connections.discard(connection)

    async def wait_delay(self) -> None:
        """Wait for a random delay while the link is delayed."""
        if self.state is LinkState.DELAYED:
            await asyncio.sleep(_MAX_DELAY_SECONDS * self._rng.random())


_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Connection:
    """Forwards one connection in both directions."""

    def __init__(
        self, *, inbound: _Streams, outbound: _Streams, owner: FaultyLink
    ) -> None:
        self._inbound = inbound
        self._outbound = outbound
        self._link = owner
        self._drops_requests = False
        self._drops_responses = False

    def apply_state(self, state: LinkState) -> None:
        """Apply a state whose effect lasts as long as the connection."""
        self._drops_requests |= state is LinkState.SILENT
        self._drops_responses |= state in (LinkState.SILENT, LinkState.ONE_WAY)

    def abort(self) -> None:
        """Reset both sides of the connection."""
        for _, writer in (self._inbound, self._outbound):
            tcp_reset.reset(writer.transport)

    async def run(self) -> None:
        """Forward until both directions have ended, then reset both sides."""
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
        # A reset ends this direction just as an end of file does.
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
