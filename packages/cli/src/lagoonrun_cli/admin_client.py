"""HTTP client of the entry VMs' admin addresses, built on h11."""

import asyncio
import dataclasses
import json
from typing import Any

import h11

from lagoonrun_config import settings
from lagoonrun_core import errors

_READ_BYTES = 65536
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_DEFAULT_TIMEOUT_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdminResponse:
    """A whole response with its decoded JSON body."""

    status: int
    value: Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdminFailure:
    """Why there is no usable response.

    Parameters
    ----------
    step, peer
        Step that failed, and the address of the entry VM.
    """

    step: errors.Step
    peer: str
    detail: str

    def __str__(self) -> str:
        """Return the failure as one line."""
        return f"{self.step.value} with {self.peer}: {self.detail}"


class AdminClient:
    """Sends admin requests, each on a connection of its own.

    Parameters
    ----------
    token
        Bearer token; empty for none. It is sent but never printed.
    timeout_seconds
        Time limit of one request.
    """

    def __init__(
        self,
        *,
        token: str,
        timeout_seconds: float = _DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        self._token = token
        self._timeout_seconds = timeout_seconds

    async def get(
        self, address: settings.Address, path: str
    ) -> AdminResponse | AdminFailure:
        """Return the response to `GET path`."""
        return await self._send(address, "GET", path)

    async def put(
        self, address: settings.Address, path: str, value: Any
    ) -> AdminResponse | AdminFailure:
        """Return the response to `PUT path` with `value` as JSON."""
        return await self._send(
            address, "PUT", path, body=json.dumps(value).encode()
        )

    async def delete(
        self, address: settings.Address, path: str
    ) -> AdminResponse | AdminFailure:
        """Return the response to `DELETE path`."""
        return await self._send(address, "DELETE", path)

    async def _send(
        self,
        address: settings.Address,
        method: str,
        path: str,
        *,
        body: bytes = b"",
    ) -> AdminResponse | AdminFailure:
        try:
            async with asyncio.timeout(self._timeout_seconds):
                return await self._exchange(address, method, path, body)
        except TimeoutError:
            detail = f"no answer within {self._timeout_seconds:g} s"
        except (OSError, h11.ProtocolError, ValueError) as error:
            detail = str(error) or type(error).__name__
        return AdminFailure(
            step=errors.Step.PEER_CONNECT, peer=str(address), detail=detail
        )

    async def _exchange(
        self, address: settings.Address, method: str, path: str, body: bytes
    ) -> AdminResponse | AdminFailure:
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        try:
            connection = h11.Connection(h11.CLIENT)
            for event in self._request(address, method, path, body):
                writer.write(connection.send(event) or b"")
            await writer.drain()
            status, response_body = await _read_response(connection, reader)
        finally:
            writer.transport.abort()
        if status == 401:
            return AdminFailure(
                step=errors.Step.AUTHENTICATE,
                peer=str(address),
                detail="the admin token is missing or wrong; valid: the "
                "token whose digest the entry VM's settings hold",
            )
        return AdminResponse(status=status, value=json.loads(response_body))

    def _request(
        self, address: settings.Address, method: str, path: str, body: bytes
    ) -> tuple[h11.Event, ...]:
        headers = [("Host", str(address)), ("Connection", "close")]
        if self._token:
            headers.append(("Authorization", f"Bearer {self._token}"))
        if body:
            headers.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=path, headers=headers)
        if not body:
            return (request, h11.EndOfMessage())
        return (request, h11.Data(data=body), h11.EndOfMessage())


async def _read_response(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> tuple[int, bytes]:
    status = 0
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > _MAX_RESPONSE_BYTES:
                raise ValueError(f"more than {_MAX_RESPONSE_BYTES} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return status, bytes(body)
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionError("closed before the end of the answer")
