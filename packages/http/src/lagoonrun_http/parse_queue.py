"""Responses with many small parts, parsed in turns beside all others."""

import asyncio
import collections
from typing import Protocol

_TURN_SECONDS = 0.004
"""Time in which bytes that were read earlier are parsed before new ones are read.
As much follows for everything else, so that upstreams that send parts of a few
bytes without end get at most half of the processor, however many they are."""


class ParsedConnection(Protocol):
    """A connection on which bytes that were read are still to be parsed."""

    def continue_parsing(self) -> None:
        """Parse some more; adds itself to the queue again if some remain."""


class ParseQueue:
    """Connections whose responses are parsed in turns."""

    def __init__(self) -> None:
        self._waiting: collections.deque[ParsedConnection] = collections.deque()
        self._scheduled: asyncio.Handle | None = None

    def add(self, connection: ParsedConnection) -> None:
        """Add a connection at the end."""
        self._waiting.append(connection)
        if self._scheduled is None:
            loop = asyncio.get_running_loop()
            self._scheduled = loop.call_soon(self._run)

    def close(self) -> None:
        """Parse no more."""
        self._waiting.clear()
        if self._scheduled is not None:
            self._scheduled.cancel()

    def _run(self) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + _TURN_SECONDS
        while self._waiting and loop.time() < ends_at:
            self._waiting.popleft().continue_parsing()
        self._scheduled = None
        if self._waiting:
            self._scheduled = loop.call_later(_TURN_SECONDS, self._run)
