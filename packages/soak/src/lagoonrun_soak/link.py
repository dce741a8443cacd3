"""TCP proxy on loopback that delays, resets or drops traffic."""

import asyncio
import contextlib
import enum
import random
import socket

from lagoonrun_http import tcp_reset
from lagoonrun_router import settings

_READ_BYTES = 65_536
_BACKLOG = 128
_FILLING_CONNECTIONS = 2
"""Connections that fill a listen queue of length 0 for certain."""

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

    REFUSED = "refused"
    """Open connections are reset, and new ones refused."""

    CLOSED_TO_NEW = "closed-to-new"
    """Open connections continue, and new ones are refused."""

    UNREACHABLE = "unreachable"
    """Open connections go silent, and new ones get no answer."""


PARTITIONED_STATES = (
    LinkState.REFUSED,
    LinkState.CLOSED_TO_NEW,
    LinkState.UNREACHABLE,
)
"""States in which no new connection can be opened."""


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
        self._starting: asyncio.Task[None] | None = None
        self._listening: socket.socket | None = None
        self._blocked: list[socket.socket] = []
        self._connections: set[_Connection] = set()
        self.state = LinkState.SOUND

    async def start(self) -> None:
        """Start accepting connections."""
        self._server = await asyncio.start_server(
            self._accept, sock=self._bind(_BACKLOG)
        )

    async def close(self) -> None:
        """Stop accepting connections and reset the open ones."""
        self._stop_listening()
        self._reset_all()

    def set_state(self, state: LinkState) -> None:
        """Change the treatment of open and new connections."""
        before, self.state = self.state, state
        if state in (LinkState.RESET, LinkState.REFUSED):
            self._reset_all()
        for connection in self._connections:
            connection.apply_state(state)
        if state in PARTITIONED_STATES:
            self._stop_listening()
            if state is LinkState.UNREACHABLE:
                self._block()
        elif before in PARTITIONED_STATES:
            self._stop_listening()
            # The socket listens from here on; connections wait until the
            # server accepts them.
            self._listening = self._bind(_BACKLOG)
            self._starting = asyncio.create_task(self._serve(self._listening))

    async def _serve(self, listening: socket.socket) -> None:
        self._server = await asyncio.start_server(self._accept, sock=listening)
        self._listening = None

    def _bind(self, backlog: int) -> socket.socket:
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((self._listen.host, self._listen.port))
        listening.setblocking(False)
        listening.listen(backlog)
        return listening

    def _block(self) -> None:
        """Listen with a full queue, so that the system drops new SYNs."""
        self._blocked = [self._bind(0)]
        for _ in range(_FILLING_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._listen.host, self._listen.port))
            self._blocked.append(filler)

    def _stop_listening(self) -> None:
        if self._starting is not None:
            self._starting.cancel()
            self._starting = None
        if self._listening is not None:
            self._listening.close()
            self._listening = None
        if self._server is not None:
            self._server.close()
            self._server = None
        for blocked in self._blocked:
            blocked.close()
        self._blocked = []

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
        silent = state in (LinkState.SILENT, LinkState.UNREACHABLE)
        self._drops_requests |= silent
        self._drops_responses |= silent or state is LinkState.ONE_WAY

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
