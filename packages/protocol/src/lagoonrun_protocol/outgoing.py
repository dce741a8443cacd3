"""One outgoing connection to a peer, with its bounded queue and back-off."""

import asyncio
import collections
import dataclasses
import logging
import random
import socket
from collections.abc import Callable
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import errors, events, logs, types
from lagoonrun_protocol import frames, handshake, messages

MAXIMUM_QUEUED_MESSAGES = 4096
MAXIMUM_QUEUED_BYTES = 8 * 1024 * 1024

_CONNECT_TIMEOUT_SECONDS = 1.0
_WRITE_TIMEOUT_SECONDS = 3.0
_MINIMUM_BACKOFF_SECONDS = 0.05
_MAXIMUM_BACKOFF_SECONDS = 1.0
_BATCH_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerAddress:
    """IP number and TCP port of a peer's hub."""

    host: str
    port: int


class AddressBook(Protocol):
    """Where entry VMs are reached."""

    def address_of(self, entry_vm: types.EntryVmId) -> PeerAddress | None:
        """Return the address of `entry_vm`, or None where it is unknown."""


class OutgoingLink:
    """Send frames to one peer; connect on demand.

    Parameters
    ----------
    peer
        The entry VM at the other end.
    hello
        Who we are.
    key
        Shared secret.
    clock, random_source
        Time and jitter of the back-off.
    on_lost
        Called when the connection ends or can't be made.
    """

    def __init__(
        self,
        *,
        peer: types.EntryVmId,
        hello: messages.Hello,
        key: bytes,
        clock: clocks.Clock,
        random_source: random.Random,
        on_lost: Callable[[types.EntryVmId], None],
    ) -> None:
        self._peer = peer
        self._hello = hello
        self._key = key
        self._clock = clock
        self._random = random_source
        self._on_lost = on_lost
        self._bodies: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._wakeup = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._task: asyncio.Task[None] | None = None
        self._address: PeerAddress | None = None
        self._failures = 0
        self._retry_at = float("-inf")

    def can_take(self, *, address: PeerAddress) -> bool:
        """Return whether a message would be queued now."""
        if len(self._bodies) >= MAXIMUM_QUEUED_MESSAGES:
            return False
        if self._queued_bytes >= MAXIMUM_QUEUED_BYTES:
            return False
        # Within the back-off a message would only wait to be lost; saying so
        # at once lets the sender turn to the next-ranked entry VM.
        if self._task is None and address == self._address:
            return self._clock.monotonic() >= self._retry_at
        return True

    def put(self, body: bytes, *, address: PeerAddress) -> bool:
        """Queue an encoded message; return False if it can't be taken."""
        if self._address is not None and address != self._address:
            self.drop()
            self._failures = 0
        self._bodies.append(body)
        self._queued_bytes += len(body)
        self._idle.clear()
        self._wakeup.set()
        if self._task is None:
            self._address = address
            self._task = asyncio.create_task(self._run(address))
        return True

    async def flushed(self) -> None:
        """Return once nothing is queued any more."""
        await self._idle.wait()

    def drop(self) -> None:
        """End the connection and forget what is queued."""
        task = self._task
        if task is None:
            return
        self._task = None
        self._clear()
        task.cancel()
        self._on_lost(self._peer)

    async def close(self) -> None:
        """End the connection and wait for its task."""
        task = self._task
        self._task = None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def _clear(self) -> None:
        self._bodies.clear()
        self._queued_bytes = 0
        self._idle.set()

    async def _run(self, address: PeerAddress) -> None:
        task = asyncio.current_task()
        try:
            await self._connect_and_write(address)
        except errors.LagoonrunError as error:
            logs.emit(
                events.LogEvent.PEER_FRAME_REJECTED,
                level=logging.WARNING,
                peer=self._peer,
                address=f"{address.host}:{address.port}",
                detail=error.detail,
            )
        except (OSError, EOFError, TimeoutError):
            # Refused, reset, closed or stuck: told to the owner below.
            pass
        if self._task is task:
            self._task = None
            self._back_off()
            self._clear()
            self._on_lost(self._peer)

    def _back_off(self) -> None:
        """Delay the next try, with jitter.

        When a peer or a cut comes back, all other entry VMs want to connect;
        full jitter over a doubling range keeps them from doing so at once.
        """
        ceiling = min(
            _MAXIMUM_BACKOFF_SECONDS,
            _MINIMUM_BACKOFF_SECONDS * 2 ** min(self._failures, 10),
        )
        self._failures += 1
        delay = self._random.uniform(_MINIMUM_BACKOFF_SECONDS / 2, ceiling)
        self._retry_at = self._clock.monotonic() + delay

    async def _connect_and_write(self, address: PeerAddress) -> None:
        async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                session = await handshake.connect(
                    reader,
                    writer,
                    key=self._key,
                    hello=self._hello,
                    expected=self._peer,
                )
            self._failures = 0
            _limit_unacknowledged(writer)
            await self._write_until_closed(reader, writer, session)
        finally:
            writer.transport.abort()

    async def _write_until_closed(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        session: handshake.Session,
    ) -> None:
        writing = asyncio.create_task(self._write(writer, session))
        # The peer never writes here; the read ends when it closes.
        closing = asyncio.create_task(reader.read(1))
        try:
            done, _ = await asyncio.wait(
                (writing, closing), return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            writing.cancel()
            closing.cancel()
            await asyncio.gather(writing, closing, return_exceptions=True)

    async def _write(
        self, writer: asyncio.StreamWriter, session: handshake.Session
    ) -> None:
        frame_writer = frames.FrameWriter(session_key=session.session_key)
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            while self._bodies:
                writer.write(self._next_batch(frame_writer))
                # A frozen peer keeps its socket open and reads nothing; the
                # timeout turns that into a lost link.
                async with asyncio.timeout(_WRITE_TIMEOUT_SECONDS):
                    await writer.drain()
            self._idle.set()

    def _next_batch(self, frame_writer: frames.FrameWriter) -> bytes:
        batch = []
        size = 0
        while self._bodies and size < _BATCH_BYTES:
            body = self._bodies.popleft()
            size += len(body)
            batch.append(frame_writer.frame(body))
        self._queued_bytes -= size
        return b"".join(batch)


def _limit_unacknowledged(writer: asyncio.StreamWriter) -> None:
    """Bound how long sent bytes may stay unacknowledged.

    A peer whose VM vanished sends no reset; the system would retransmit for
    many minutes while messages seem to be sent.
    """
    connection = writer.get_extra_info("socket")
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if option is not None:
        milliseconds = int(_WRITE_TIMEOUT_SECONDS * 1000)
        connection.setsockopt(socket.IPPROTO_TCP, option, milliseconds)
