"""Connections between entry VMs, each of which carries messages one way.

An entry VM sends to a peer on its own outgoing connection and only reads from
incoming ones. A reply is sent on the outgoing connection of its sender, so no
two tasks write to one socket.
"""

import asyncio
import logging
import random
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import errors, events, logs, types
from lagoonrun_protocol import codec, frames, handshake, messages, outgoing

_HANDSHAKE_TIMEOUT_SECONDS = 2.0
_READ_BYTES = 256 * 1024
_MAX_HANDSHAKES = 256

AddressBook = outgoing.AddressBook
PeerAddress = outgoing.PeerAddress


class MessageHandler(Protocol):
    """Receives the hub's events. Neither method may block."""

    def on_message(
        self, sender: types.EntryVmId, message: messages.Message
    ) -> None:
        """Receive one authenticated message."""

    def on_link_lost(self, peer: types.EntryVmId) -> None:
        """Receive the end of a connection, or a failure to open it.

        All messages queued for the peer are lost.
        """


class PeerHub:
    """Exchanges messages with the other entry VMs over TCP.

    Parameters
    ----------
    entry_vm, incarnation, domain
        Identity of this process, sent to peers in the handshake.
    host, port
        Address to listen on; port 0 lets the system choose.
    key
        Shared secret that authenticates peers.
    address_book
        Addresses of the peers.
    handler
        Receives messages and lost connections.
    clock
        Clock of the back-off.
    rng
        Jitter of the back-off.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        incarnation: types.Incarnation,
        domain: types.FailureDomain,
        host: str,
        port: int,
        key: bytes,
        address_book: AddressBook,
        handler: MessageHandler,
        clock: clocks.Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._entry_vm = entry_vm
        self._hello = messages.Hello(
            entry_vm=entry_vm, incarnation=incarnation, domain=domain
        )
        self._host = host
        self._port = port
        self._key = key
        self._address_book = address_book
        self._handler = handler
        self._clock = clock
        self._rng = rng or random.Random()
        self._server: asyncio.Server | None = None
        self._links_by_peer: dict[types.EntryVmId, outgoing.OutgoingLink] = {}
        self._incoming_by_peer: dict[types.EntryVmId, asyncio.Task[None]] = {}
        self._incoming: set[asyncio.Task[None]] = set()
        self._handshake_count = 0
        self._closing = False

    @property
    def port(self) -> int:
        """Return the port that the hub listens on."""
        return self._port

    async def start(self) -> None:
        """Listen for peers."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and end all connections; queued messages are lost."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        for link in self._links_by_peer.values():
            await link.close()
        tasks = tuple(self._incoming)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def flush(self, *, timeout_seconds: float = 1.0) -> None:
        """Wait until queued messages were written to the sockets.

        A planned stop calls it before `close`, since its last messages hand
        over what this entry VM owned.

        Parameters
        ----------
        timeout_seconds
            Maximum time to wait.
        """
        links = tuple(self._links_by_peer.values())
        waits = [
            asyncio.create_task(link.wait_until_flushed()) for link in links
        ]
        if waits:
            _, late = await asyncio.wait(waits, timeout=timeout_seconds)
            for task in late:
                task.cancel()

    def send(self, to: types.EntryVmId, message: messages.Message) -> bool:
        """Queue `message` for a peer without blocking.

        Returns
        -------
        bool
            False if the message was not queued: the queue is full, the address
            of the peer is unknown, the peer is this process itself, or its
            back-off has not ended. True does not guarantee delivery.

        Raises
        ------
        lagoonrun_core.errors.LagoonrunError
            If the message exceeds the maximum length of a frame.
        """
        if to == self._entry_vm or self._closing:
            return False
        address = self._address_book.address_of(to)
        if address is None:
            return False
        link = self._link_to(to)
        if not link.can_queue(address=address):
            return False
        body = codec.encode(message)
        if len(body) > frames.MAXIMUM_FRAME_BYTES:
            raise frames.frame_error(
                peer=to,
                detail=f"message of {len(body)} bytes; valid: at most "
                f"{frames.MAXIMUM_FRAME_BYTES}",
            )
        return link.put(body, address=address)

    def drop(self, peer: types.EntryVmId) -> None:
        """Close the connections with a peer that the membership declared dead.

        The sockets of a frozen or disconnected peer stay open; otherwise the
        handler would be notified only after the write timeout, and links to
        replaced VMs would accumulate.
        """
        link = self._links_by_peer.pop(peer, None)
        if link is not None:
            link.drop()
        task = self._incoming_by_peer.get(peer)
        if task is not None:
            task.cancel()

    def _link_to(self, to: types.EntryVmId) -> outgoing.OutgoingLink:
        link = self._links_by_peer.get(to)
        if link is None:
            link = outgoing.OutgoingLink(
                peer=to,
                hello=self._hello,
                key=self._key,
                clock=self._clock,
                rng=self._rng,
                on_lost=self._report_lost_link,
            )
            self._links_by_peer[to] = link
        return link

    def _report_lost_link(self, peer: types.EntryVmId) -> None:
        if self._closing:
            return
        try:
            self._handler.on_link_lost(peer)
        except Exception as error:
            _emit_handler_failure(peer, error)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._incoming.add(task)
        address = str(writer.get_extra_info("peername"))
        try:
            await self._read_peer(reader, writer, task, address)
        except errors.LagoonrunError as error:
            logs.emit(
                events.LogEvent.PEER_FRAME_REJECTED,
                level=logging.WARNING,
                peer=error.peer,
                address=address,
                detail=error.detail,
            )
        except (OSError, EOFError, TimeoutError, asyncio.CancelledError):
            # The peer closed the connection, or `close`, `drop` or a newer
            # connection of the same peer cancelled this task.
            pass
        finally:
            self._incoming.discard(task)
            writer.transport.abort()

    async def _read_peer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        task: asyncio.Task[None],
        address: str,
    ) -> None:
        # The limit and the timeout bound the sockets held by unauthenticated
        # clients that connect and send nothing.
        if self._handshake_count >= _MAX_HANDSHAKES:
            raise frames.frame_error(
                peer=address, detail="too many connections in the handshake"
            )
        self._handshake_count += 1
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_SECONDS):
                session = await handshake.accept(
                    reader,
                    writer,
                    key=self._key,
                    hello=self._hello,
                    peer=address,
                )
        finally:
            self._handshake_count -= 1
        peer = session.hello.entry_vm
        # If the peer's VM disappeared without a TCP reset, its previous
        # connection is half open and would stay until a timeout.
        previous = self._incoming_by_peer.get(peer)
        self._incoming_by_peer[peer] = task
        if previous is not None:
            previous.cancel()
        try:
            await self._read_frames(reader, session)
        finally:
            if self._incoming_by_peer.get(peer) is task:
                del self._incoming_by_peer[peer]
                self._report_lost_link(peer)

    async def _read_frames(
        self, reader: asyncio.StreamReader, session: handshake.Session
    ) -> None:
        peer = session.hello.entry_vm
        frame_reader = frames.FrameReader(
            session_key=session.session_key, peer=peer
        )
        while data := await reader.read(_READ_BYTES):
            for body in frame_reader.feed(data):
                self._deliver(peer, body)

    def _deliver(self, peer: types.EntryVmId, body: bytes) -> None:
        try:
            message = codec.decode(body, peer=peer)
        except errors.LagoonrunError as error:
            # During a rolling upgrade a newer version may send a kind of
            # message that is unknown here: skip it, keep the connection.
            logs.emit(
                events.LogEvent.PEER_FRAME_REJECTED,
                level=logging.WARNING,
                peer=peer,
                detail=error.detail,
            )
            return
        try:
            self._handler.on_message(peer, message)
        except Exception as error:
            _emit_handler_failure(peer, error)


def _emit_handler_failure(peer: types.EntryVmId, error: Exception) -> None:
    """Log an exception of the handler; the connection stays open."""
    logs.emit(
        events.LogEvent.TASK_FAILED,
        level=logging.ERROR,
        step=errors.Step.PEER_FRAME.value,
        peer=peer,
        detail=repr(error),
    )
