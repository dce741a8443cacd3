"""A small HTTP/1.1 client based on `h11`, for tests and load."""

import asyncio
import dataclasses
import json
from collections.abc import Iterable, Mapping
from typing import Any

import h11

_READ_BYTES = 65536
DEFAULT_TIMEOUT_SECONDS = 10.0


class ClosedError(ConnectionError):
    """The server closed the connection before the end of its response."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """Status and headers of a response; header names are lower-case."""

    status: int
    headers: Mapping[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """A complete response."""

    head: Head
    body: bytes

    @property
    def status(self) -> int:
        """Return the status code."""
        return self.head.status

    def json(self) -> Any:
        """Return the body, decoded from JSON."""
        return json.loads(self.body)


class ClientConnection:
    """One connection, on which requests are sent one after another.

    Parameters
    ----------
    host
        IP address of the server.
    port
        Port of the server.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._h11 = h11.Connection(h11.CLIENT)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def start(self) -> None:
        """Connect."""
        self._reader, self._writer = await asyncio.open_connection(
            self.host, self.port
        )

    async def close(self) -> None:
        """Abort the connection."""
        if self._writer:
            self._writer.transport.abort()

    @property
    def is_reusable(self) -> bool:
        """Whether the last exchange is complete and the connection open."""
        done = (self._h11.our_state, self._h11.their_state)
        idle = done == (h11.DONE, h11.DONE)
        return idle and self._reader is not None and not self._reader.at_eof()

    def start_next(self) -> None:
        """Prepare for another request."""
        self._h11.start_next_cycle()

    async def send(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        """Write a complete request."""
        assert self._writer is not None
        always = [
            ("Host", f"{self.host}:{self.port}"),
            ("Content-Length", str(len(body))),
        ]
        request = h11.Request(
            method=method, target=path, headers=[*always, *headers]
        )
        events = (request, h11.Data(data=body), h11.EndOfMessage())
        data = b"".join(self._h11.send(event) or b"" for event in events)
        self._writer.write(data)
        await self._writer.drain()

    async def read_head(self) -> Head:
        """Read the status and headers of the response.

        Raises
        ------
        ClosedError
            If the server closes the connection first.
        """
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ClosedError(f"no response from {self.host}:{self.port}")
        headers = {
            name.decode(): value.decode("latin-1")
            for name, value in event.headers
        }
        return Head(status=event.status_code, headers=headers)

    async def read_data(self) -> bytes | None:
        """Return the next part of the body; None at its end.

        Raises
        ------
        ClosedError
            If the server closes the connection before the end.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ClosedError(f"connection closed by {self.host}:{self.port}")

    async def read_body(self) -> bytes:
        """Return the rest of the body."""
        parts = []
        while (data := await self.read_data()) is not None:
            parts.append(data)
        return b"".join(parts)

    async def _next_event(self) -> Any:
        assert self._reader is not None
        try:
            while (event := self._h11.next_event()) is h11.NEED_DATA:
                self._h11.receive_data(await self._reader.read(_READ_BYTES))
        except h11.RemoteProtocolError as error:
            peer = f"{self.host}:{self.port}"
            raise ClosedError(
                f"connection closed by {peer}: {error}"
            ) from error
        return event


async def fetch(
    host: str,
    port: int,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: Iterable[tuple[str, str]] = (),
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
) -> Answer:
    """Send one request on a new connection and return the response.

    Raises
    ------
    ConnectionError
        If the server refuses or closes the connection.
    TimeoutError
        If the response is not complete within `timeout_seconds`.
    """
    connection = ClientConnection(host=host, port=port)
    async with asyncio.timeout(timeout_seconds):
        try:
            await connection.start()
            await connection.send(method, path, body=body, headers=headers)
            head = await connection.read_head()
            return Answer(head=head, body=await connection.read_body())
        finally:
            await connection.close()


async def fetch_json(
    host: str,
    port: int,
    path: str,
    value: Any = None,
    *,
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
) -> Any:
    """GET `path`, or POST `value` to it, and return the decoded response.

    Raises
    ------
    ValueError
        If the status is not 200.
    """
    method = "GET" if value is None else "POST"
    body = b"" if value is None else json.dumps(value).encode()
    answer = await fetch(
        host, port, method, path, body=body, timeout_seconds=timeout_seconds
    )
    if answer.status != 200:
        raise ValueError(f"{method} {path}: {answer.status} {answer.body!r}")
    return answer.json()
