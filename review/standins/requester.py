"""Stand-in of a requester that keeps its connection, as the pages describe."""

import asyncio
import dataclasses
import itertools
import secrets
import time
from collections.abc import Sequence

from standins import http1, machine

_CONNECT_SECONDS = 1.0
_SLACK_SECONDS = 1.0
_numbers = itertools.count(1)
_RUN = secrets.token_hex(4)


@dataclasses.dataclass(kw_only=True)
class Sent:
    """A request and what came back; status 0 for no answer."""

    request_id: str
    machine: str
    sent_at: float
    size: int = 0
    status: int = 0
    own: bool = False
    answered_at: float = 0.0


class Connection:
    """One connection of a requester to a machine, for many requests.

    Parameters
    ----------
    target
        The machine.
    host, key
        Sent with each request.
    """

    def __init__(self, *, target: machine.Machine, host: str, key: str) -> None:
        self.target = target
        self._host = host
        self._key = key
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        method: str,
        path: str,
        *,
        limit_ms: int,
        body: bytes = b"",
        headers: Sequence[str] = (),
    ) -> Sent:
        """Send a request and read its answer, on a kept connection if open."""
        sent = Sent(
            request_id=f"{_RUN}{next(_numbers):08x}",
            machine=self.target.name,
            sent_at=time.monotonic(),
            size=len(body),
        )
        try:
            async with asyncio.timeout(limit_ms / 1000 + _SLACK_SECONDS):
                await self._exchange(
                    sent, method, path, limit_ms, body, headers
                )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            await self.close()
        sent.answered_at = time.monotonic()
        return sent

    async def _exchange(
        self,
        sent: Sent,
        method: str,
        path: str,
        limit_ms: int,
        body: bytes,
        headers: Sequence[str],
    ) -> None:
        if self._writer is None or self._reader.at_eof():
            async with asyncio.timeout(_CONNECT_SECONDS):
                self._reader, self._writer = await asyncio.open_connection(
                    self.target.ip, machine.CALLER_PORT
                )
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self._host}",
            f"X-Request-Id: {sent.request_id}",
            f"X-Deadline-Ms: {limit_ms}",
            f"Authorization: Bearer {self._key}",
            *headers,
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode()
        self._writer.write(head + body)
        answer = await http1.read_message(self._reader)
        if answer is None:
            await self.close()
            return
        sent.status = answer.status
        sent.own = "x-server-signature" not in answer.headers
        if answer.headers.get("connection", "").lower() == "close":
            await self.close()

    async def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
