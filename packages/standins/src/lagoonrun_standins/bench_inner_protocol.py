"""Measure the cost of a message between two entry VMs.

Times each step for a permit request (codec, frame, datagram), then two hubs
in this process that exchange messages over loopback, in bursts and one at a
time. Run as `python -m lagoonrun_standins.bench_inner_protocol`.
"""

import asyncio
import json
import time
from collections.abc import Callable, Sequence

from absl import app, flags

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_protocol import codec, datagrams, frames, hub, messages

_COUNT = flags.DEFINE_integer("count", 20_000, "Messages of each trial.")
_BURST = flags.DEFINE_integer("burst", 200, "Messages sent in one go.")

_KEY = b"key of the bench"
_WAIT_SECONDS = 60.0
_REQUEST = messages.PermitRequest(
    request_id=types.RequestId("018c9f3e7d2a4b51"),
    attempt_id=types.AttemptId(1),
    shard=types.ShardId("scans@tunis-1/0"),
    profile=types.ProfileName("lookup"),
    organisation=types.OrganisationId("la-presse"),
    remaining_seconds=1.83,
    remaining_target_seconds=0.31,
    prefix_hash=types.PrefixHash(0x9E3779B97F4A7C15),
    prompt_bytes=1810,
    revision=types.Revision(41),
)


class _CountingHandler:
    """Counts messages and signals when a whole burst has arrived."""

    def __init__(self) -> None:
        self._missing = 0
        self._complete = asyncio.Event()

    def expect(self, count: int) -> None:
        """Start counting a burst of `count` messages."""
        self._missing = count
        self._complete.clear()

    async def wait(self) -> None:
        """Wait until the whole burst has arrived."""
        async with asyncio.timeout(_WAIT_SECONDS):
            await self._complete.wait()

    def on_message(
        self, sender: types.EntryVmId, message: messages.Message
    ) -> None:
        """Count one message."""
        del sender, message
        self._missing -= 1
        if self._missing == 0:
            self._complete.set()

    def on_link_lost(self, peer: types.EntryVmId) -> None:
        """Ignore the loss; `wait` then times out."""


class _AddressBook:
    """Addresses of the two hubs."""

    def __init__(self) -> None:
        self.addresses_by_id: dict[types.EntryVmId, hub.PeerAddress] = {}

    def address_of(self, entry_vm: types.EntryVmId) -> hub.PeerAddress | None:
        """Return the address of a hub, or None if unknown."""
        return self.addresses_by_id.get(entry_vm)


def _microseconds(call: Callable[[], object], count: int) -> float:
    started = time.process_time()
    for _ in range(count):
        call()
    return round(1e6 * (time.process_time() - started) / count, 2)


def _print_steps(count: int) -> None:
    body = codec.encode(_REQUEST)
    session_key = b"k" * 32
    writer = frames.FrameWriter(session_key=session_key)
    written = iter([writer.frame(body) for _ in range(count)])
    reader = frames.FrameReader(session_key=session_key, peer="")
    sealer = datagrams.DatagramSealer(
        key=_KEY,
        sender=types.EntryVmId("vm-1"),
        incarnation=types.Incarnation(1),
    )
    sealed = iter([sealer.seal(body) for _ in range(count)])
    opener = datagrams.DatagramOpener(key=_KEY)
    result = {
        "step": "single calls",
        "body_bytes": len(body),
        "frame_bytes": len(writer.frame(body)),
        "encode_us": _microseconds(lambda: codec.encode(_REQUEST), count),
        "decode_us": _microseconds(lambda: codec.decode(body), count),
        "frame_us": _microseconds(lambda: writer.frame(body), count),
        "check_frame_us": _microseconds(
            lambda: reader.feed(next(written)), count
        ),
        "seal_us": _microseconds(lambda: sealer.seal(body), count),
        "open_us": _microseconds(lambda: opener.open(next(sealed)), count),
    }
    print(json.dumps(result), flush=True)


async def _print_hubs(count: int, burst: int) -> None:
    book = _AddressBook()
    handlers = [_CountingHandler(), _CountingHandler()]
    hubs = []
    for number, handler in enumerate(handlers):
        name = types.EntryVmId(f"vm-{number}")
        peer_hub = hub.PeerHub(
            entry_vm=name,
            incarnation=types.Incarnation(1),
            domain=types.FailureDomain("north"),
            host="127.0.0.1",
            port=0,
            key=_KEY,
            address_book=book,
            handler=handler,
            clock=clocks.SystemClock(),
        )
        await peer_hub.start()
        address = hub.PeerAddress(host="127.0.0.1", port=peer_hub.port)
        book.addresses_by_id[name] = address
        hubs.append(peer_hub)
    target = types.EntryVmId("vm-1")
    await _exchange(hubs[0], handlers[1], target, 1)
    for size in (1, burst):
        started, used = time.monotonic(), time.process_time()
        for _ in range(count // size):
            await _exchange(hubs[0], handlers[1], target, size)
        sent = count // size * size
        result = {
            "step": "hub to hub, both in one process",
            "burst": size,
            "messages_per_second": round(sent / (time.monotonic() - started)),
            "processor_us_per_message": round(
                1e6 * (time.process_time() - used) / sent, 1
            ),
        }
        print(json.dumps(result), flush=True)
    for peer_hub in hubs:
        await peer_hub.close()


async def _exchange(
    sender: hub.PeerHub,
    handler: _CountingHandler,
    target: types.EntryVmId,
    count: int,
) -> None:
    handler.expect(count)
    for _ in range(count):
        if not sender.send(target, _REQUEST):
            raise RuntimeError(
                f"{target} did not accept a message of a burst of {count}"
            )
    await handler.wait()


def main(argv: Sequence[str]) -> None:
    """Measure the steps, then the hubs."""
    del argv
    _print_steps(_COUNT.value)
    asyncio.run(_print_hubs(_COUNT.value, _BURST.value))


if __name__ == "__main__":
    app.run(main)
