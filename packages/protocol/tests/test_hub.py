"""Hubs exchange messages, and reject data that is not from a peer."""

import asyncio
import os
import random

import pytest

from lagoonrun_core import errors, events, logs
from lagoonrun_protocol import frames, handshake, messages, outgoing
from lagoonrun_protocol import hub as hubs

_WAIT_SECONDS = 10.0
_KEY = b"shared key of the tests"
_REQUEST = messages.SnapshotRequest(revision=3)


@pytest.fixture
def rejections(monkeypatch):
    """Return a queue of the fields of each event 601."""
    queue = asyncio.Queue()

    def emit(event, *, level=0, **fields):
        if event is events.LogEvent.PEER_FRAME_REJECTED:
            queue.put_nowait(fields)

    monkeypatch.setattr(logs, "emit", emit)
    return queue


async def _next_rejection(queue):
    return await asyncio.wait_for(queue.get(), _WAIT_SECONDS)


async def test_messages_arrive_in_order_both_ways(start_hub):
    first, first_handler = await start_hub("vm-1")
    second, second_handler = await start_hub("vm-2")
    sent = [messages.SnapshotRequest(revision=n) for n in range(500)]
    assert all(first.send("vm-2", message) for message in sent)
    received = [await second_handler.next_message() for _ in sent]
    assert received == [("vm-1", message) for message in sent]
    assert second.send("vm-1", _REQUEST)
    assert await first_handler.next_message() == ("vm-2", _REQUEST)


async def test_send_to_self_or_unknown_peer_returns_false(start_hub):
    first, _ = await start_hub("vm-1")
    assert not first.send("vm-1", _REQUEST)
    assert not first.send("vm-unknown", _REQUEST)


async def test_send_with_full_queue_returns_false(start_hub):
    """Guards against unbounded memory: the queue to a peer is limited.

    A burst of permit requests is sent to a dispatcher before the connection
    is open.
    """
    first, _ = await start_hub("vm-1")
    await start_hub("vm-2")
    for _ in range(outgoing.MAXIMUM_QUEUED_MESSAGES):
        assert first.send("vm-2", _REQUEST)
    assert not first.send("vm-2", _REQUEST)


async def test_message_longer_than_a_frame_is_an_error(start_hub):
    first, _ = await start_hub("vm-1")
    await start_hub("vm-2")
    body = os.urandom(frames.MAXIMUM_FRAME_BYTES + 1)
    with pytest.raises(errors.LagoonrunError, match="valid: at most"):
        first.send(
            "vm-2", messages.SnapshotReply(revision=1, digest="", body=body)
        )


async def test_closed_peer_is_reported_as_lost_link(start_hub):
    """A dispatcher's VM is killed while permits are granted.

    The ingress must be notified, so that it registers its running requests
    with another dispatcher. Both the reading and the writing side of the
    connection report the loss.
    """
    first, first_handler = await start_hub("vm-1")
    second, second_handler = await start_hub("vm-2")
    first.send("vm-2", _REQUEST)
    await second_handler.next_message()
    await second.close()
    assert await first_handler.next_loss() == "vm-2"


async def test_unreachable_peer_backs_off_and_reconnects(start_hub, clock):
    """A peer is down, then its replacement listens on another port.

    During the back-off `send` returns False, so that the caller uses the
    next-ranked entry VM. A new address is tried at once.
    """
    first, first_handler = await start_hub("vm-1")
    second, _ = await start_hub("vm-2")
    await second.close()
    assert first.send("vm-2", _REQUEST)
    assert await first_handler.next_loss() == "vm-2"
    assert not first.send("vm-2", _REQUEST)
    clock.advance(2.0)
    assert first.send("vm-2", _REQUEST)
    assert await first_handler.next_loss() == "vm-2"
    _, replacement_handler = await start_hub("vm-2")
    assert first.send("vm-2", _REQUEST)
    assert await replacement_handler.next_message() == ("vm-1", _REQUEST)


async def test_wrong_key_is_refused_on_both_sides(start_hub, rejections):
    """A process with another key must neither send nor receive messages.

    This happens when a key is rolled out to some VMs only. Both sides log
    event 601 with the peer.
    """
    first, first_handler = await start_hub("vm-1", key=b"another key")
    _, second_handler = await start_hub("vm-2")
    assert first.send("vm-2", _REQUEST)
    rejection = await _next_rejection(rejections)
    assert "another key" in rejection["detail"]
    assert rejection["peer"]
    assert await first_handler.next_loss() == "vm-2"
    assert second_handler.received.empty()


async def test_address_of_another_entry_vm_is_refused(
    start_hub, address_book, rejections
):
    """The address of a replaced VM was reassigned to another VM.

    A permit request to the first must not be answered by the second.
    """
    first, first_handler = await start_hub("vm-1")
    _, second_handler = await start_hub("vm-2")
    book = address_book.addresses_by_id
    book["vm-3"] = book["vm-2"]
    assert first.send("vm-3", _REQUEST)
    assert await first_handler.next_loss() == "vm-3"
    assert "vm-2" in (await _next_rejection(rejections))["detail"]
    assert second_handler.received.empty()


@pytest.mark.parametrize("seed", range(5))
async def test_garbage_is_refused_and_others_are_served(
    start_hub, rejections, seed
):
    """A port scanner writes arbitrary bytes to the hub.

    Its connection is closed with event 601, and peers are still served.
    """
    _, handler = await start_hub("vm-1")
    second, _ = await start_hub("vm-2")
    address = second._address_book.address_of("vm-1")
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(random.Random(seed).randbytes(4096))
    await _next_rejection(rejections)
    await asyncio.wait_for(_until_closed(reader), _WAIT_SECONDS)
    writer.close()
    assert second.send("vm-1", _REQUEST)
    assert await handler.next_message() == ("vm-2", _REQUEST)


async def _until_closed(reader):
    try:
        while await reader.read(4096):
            pass
    except ConnectionError:
        pass


async def test_recorded_connection_cannot_be_replayed(
    start_hub, address_book, rejections
):
    """Guards against replaying all bytes of a connection on a new one.

    The same requests would run again. The acceptor uses another nonce, so the
    connector's tag does not match.
    """
    receiver, handler = await start_hub("vm-1")
    sender, _ = await start_hub("vm-2")
    target = address_book.addresses_by_id["vm-1"]
    recorded = bytearray()

    async def relay(reader, writer):
        onward = await asyncio.open_connection(target.host, target.port)
        await asyncio.gather(
            _copy(reader, onward[1], recorded), _copy(onward[0], writer, None)
        )

    server = await asyncio.start_server(relay, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    address_book.addresses_by_id["vm-1"] = hubs.PeerAddress(
        host="127.0.0.1", port=port
    )
    assert sender.send("vm-1", _REQUEST)
    assert await handler.next_message() == ("vm-2", _REQUEST)
    reader, writer = await asyncio.open_connection(target.host, target.port)
    writer.write(bytes(recorded))
    assert "another key" in (await _next_rejection(rejections))["detail"]
    await asyncio.wait_for(_until_closed(reader), _WAIT_SECONDS)
    assert handler.received.empty()
    writer.close()
    await receiver.close()
    await sender.close()
    server.close()


async def _copy(reader, writer, recorded):
    while data := await reader.read(4096):
        if recorded is not None:
            recorded += data
        writer.write(data)
    writer.close()


async def test_peer_that_stops_reading_is_lost(
    start_hub, address_book, monkeypatch
):
    """A dispatcher's process is frozen while its sockets stay open.

    Once the socket buffers are full, the link must be closed. Otherwise its
    queue would stay full and `send` return False for ever.
    """
    monkeypatch.setattr(outgoing, "_WRITE_TIMEOUT_SECONDS", 0.05)
    first, first_handler = await start_hub("vm-1")
    frozen = asyncio.Event()

    async def accept_and_freeze(reader, writer):
        await handshake.accept(
            reader,
            writer,
            key=_KEY,
            hello=messages.Hello(
                entry_vm="vm-2", incarnation=1, domain="north"
            ),
            peer="vm-1",
        )
        await frozen.wait()
        writer.close()

    server = await asyncio.start_server(
        accept_and_freeze, "127.0.0.1", 0, limit=1024
    )
    port = server.sockets[0].getsockname()[1]
    address_book.addresses_by_id["vm-2"] = hubs.PeerAddress(
        host="127.0.0.1", port=port
    )
    body = messages.SnapshotReply(
        revision=1, digest="", body=os.urandom(1_000_000)
    )
    for _ in range(100):
        first.send("vm-2", body)
        await asyncio.sleep(0)
    assert await first_handler.next_loss() == "vm-2"
    frozen.set()
    server.close()


async def test_newer_connection_replaces_a_half_open_one(start_hub):
    """A peer's VM disappears without a TCP reset and reconnects.

    Its previous socket is still open here and must be closed, or sockets
    would accumulate.
    """
    _, handler = await start_hub("vm-1")
    old, old_handler = await start_hub("vm-2")
    old.send("vm-1", _REQUEST)
    await handler.next_message()
    new, _ = await start_hub("vm-2")
    new.send("vm-1", _REQUEST)
    assert await handler.next_message() == ("vm-2", _REQUEST)
    assert await old_handler.next_loss() == "vm-1"


async def test_handler_exception_keeps_the_connection(start_hub):
    first, _ = await start_hub("vm-1")
    _, second_handler = await start_hub("vm-2")
    accept = second_handler.on_message
    calls = []

    def fail_once(sender, message):
        calls.append(message)
        if len(calls) == 1:
            raise RuntimeError("fault of the owner")
        accept(sender, message)

    second_handler.on_message = fail_once
    first.send("vm-2", _REQUEST)
    first.send("vm-2", messages.SnapshotRequest(revision=4))
    _, message = await second_handler.next_message()
    assert message.revision == 4


async def test_dropped_peer_is_reported_as_lost(start_hub):
    """A dispatcher's process is frozen while its sockets stay open.

    When the membership declares it dead, the owner drops the link and the
    handler is notified at once.
    """
    first, first_handler = await start_hub("vm-1")
    _, second_handler = await start_hub("vm-2")
    first.send("vm-2", _REQUEST)
    await second_handler.next_message()
    first.drop("vm-2")
    assert await first_handler.next_loss() == "vm-2"
    assert first.send("vm-2", messages.SnapshotRequest(revision=4))
    _, message = await second_handler.next_message()
    assert message.revision == 4
