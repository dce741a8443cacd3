"""An outgoing connection to a peer, with a bounded queue and back-off."""

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
_MIN_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 1.0
_BATCH_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerAddress:
    """IP address and TCP port of a peer's hub."""

    host: str
    port: int


class AddressBook(Protocol):
    """Addresses of entry VMs."""

    def address_of(self, entry_vm: types.EntryVmId) -> PeerAddress | None:
        """Return the address of `entry_vm`, None if it is unknown."""


class OutgoingLink:
    """Sends frames to one peer; connects on demand.

    Parameters
    ----------
    peer
        Entry VM to connect to.
    hello
        Identity of this process.
    key
        Shared secret.
    clock, rng
        Clock and jitter of the back-off.
    on_lost
        Called when the connection ends or could not be opened.
    """

    def __init__(
        self,
        *,
        peer: types.EntryVmId,
        hello: messages.Hello,
        key: bytes,
        clock: clocks.Clock,
        rng: random.Random,
        on_lost: Callable[[types.EntryVmId], None],
    ) -> None:
        self._peer = peer
        self._hello = hello
        self._key = key
        self._clock = clock
        self._rng = rng
        self._on_lost = on_lost
        self._bodies: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._wakeup = asyncio.Event()
        self._queue_empty = asyncio.Event()
        self._queue_empty.set()
        self._task: asyncio.Task[None] | None = None
        self._address: PeerAddress | None = None
        self._failures = 0
        self._retry_at = float("-inf")

    def can_queue(self, *, address: PeerAddress) -> bool:
        """Return whether a message for `address` can be queued now."""
        if len(self._bodies) >= MAXIMUM_QUEUED_MESSAGES:
            return False
        if self._queued_bytes >= MAXIMUM_QUEUED_BYTES:
            return False
        # Rejecting a message during the back-off lets the sender use the
        # next-ranked entry VM at once.
        if self._task is None and address == self._address:
            return self._clock.monotonic() >= self._retry_at
        return True

    def put(self, body: bytes, *, address: PeerAddress) -> bool:
        """Queue an encoded message; call `can_queue` first.

        A new address closes the connection to the previous one.
        """
        if self._address is not None and address != self._address:
            self.drop()
            self._failures = 0
        self._bodies.append(body)
        self._queued_bytes += len(body)
        self._queue_empty.clear()
        self._wakeup.set()
        if self._task is None:
            self._address = address
            self._task = asyncio.create_task(self._run(address))
        return True

    async def wait_until_flushed(self) -> None:
        """Wait until the queue is empty."""
        await self._queue_empty.wait()

    def drop(self) -> None:
        """Close the connection and discard the queue."""
        task = self._task
        if task is None:
            return
        self._task = None
        self._clear()
        task.cancel()
        self._on_lost(self._peer)

    async def close(self) -> None:
        """Close the connection and wait for its task to end."""
        task = self._task
        self._task = None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def _clear(self) -> None:
        self._bodies.clear()
        self._queued_bytes = 0
        self._queue_empty.set()

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
            # Refused, reset, closed or timed out: `on_lost` is called below.
            pass
        if self._task is task:
            self._task = None
            self._back_off()
            self._clear()
            self._on_lost(self._peer)

    def _back_off(self) -> None:
        """Set the time of the next connection attempt, with jitter.

        When a peer or the network recovers, all other entry VMs reconnect.
        Full jitter over a range that doubles with each failure spreads their
        attempts.
        """
        ceiling = min(
            _MAX_BACKOFF_SECONDS,
            _MIN_BACKOFF_SECONDS * 2 ** min(self._failures, 10),
        )
        self._failures += 1
        delay = self._rng.uniform(_MIN_BACKOFF_SECONDS / 2, ceiling)
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
            _set_unacknowledged_timeout(writer)
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
        # The peer never writes on this connection, so the read returns only
        # when the peer closes it.
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
                # A frozen peer keeps its socket open but does not read; after
                # the timeout the connection counts as lost.
                async with asyncio.timeout(_WRITE_TIMEOUT_SECONDS):
                    await writer.drain()
            self._queue_empty.set()

    def _next_batch(self, frame_writer: frames.FrameWriter) -> bytes:
        batch = []
        size = 0
        while self._bodies and size < _BATCH_BYTES:
            body = self._bodies.popleft()
            size += len(body)
            batch.append(frame_writer.frame(body))
        self._queued_bytes -= size
        return b"".join(batch)


def _set_unacknowledged_timeout(writer: asyncio.StreamWriter) -> None:
    """Limit the time for which sent bytes may stay unacknowledged.

    A peer whose VM disappeared sends no TCP reset. The kernel would retransmit
    for many minutes, during which messages seem to be sent.
    """
    connection = writer.get_extra_info("socket")
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if option is not None:
        milliseconds = int(_WRITE_TIMEOUT_SECONDS * 1000)
        connection.setsockopt(socket.IPPROTO_TCP, option, milliseconds)
