"""Protect upstreams from requests that crash them.

A request that crashes each runner that begins to run it is sent again, by its
caller or a retry, to any entry VM. Each copy would crash another runner with
all requests that it runs. So entry VMs record the crashes of upstreams by the
requests that ran there, exchange these records, and block a request after a few
crashes.
"""

import logging
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import errors, events, logs, types
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    block_record,
    block_writer,
    crash_evidence,
    crash_news,
    crash_watch,
    recent_answers,
    running_requests,
)

_OWN_WRITE_DELAY_SECONDS = 0.25
"""Delay from a crash to writing a block to the store; by then the other entry
VMs have reported what else ran there."""

_REPORTED_WRITE_DELAY_SECONDS = 1.5
"""Delay after which a relay writes a reported block that is not in the store
yet: the entry VM that detected the crash may have stopped right after it."""

_CRASHES_TO_BROADCAST = 2
"""Crashes from which an answer to a request is broadcast at once. One crash is
not enough: all requests that ran beside the cause have one, and others don't
need it."""


class CrashAnnouncer(Protocol):
    """Sends crash records to the other entry VMs."""

    @property
    def is_relay(self) -> bool:
        """Whether this entry VM is the relay of its failure domain."""

    def broadcast(
        self, records: tuple[crash_evidence.CrashRecord, ...], *, now: float
    ) -> None:
        """Send records to the whole fleet."""

    def forward(
        self,
        received: router_messages.CrashNews,
        new: tuple[crash_evidence.CrashRecord, ...],
        *,
        now: float,
    ) -> None:
        """Forward the new records of a received message."""


class CrashingRequests:
    """Collects crash records, and blocks the requests that cause crashes.

    Parameters
    ----------
    watch
        Detects crashes at this entry VM.
    block_writer
        Writes blocks to the store.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        watch: crash_watch.CrashWatch,
        block_writer: block_writer.BlockWriter,
        clock: clocks.Clock,
    ) -> None:
        self._watch = watch
        watch.on_crash = self.record_crash
        watch.on_answer = self.record_answer
        self._block_writer = block_writer
        self._clock = clock
        self._evidence = crash_evidence.CrashEvidence()
        self._answered = recent_answers.RecentAnswers()
        self._blocked: set[types.RequestDigest] = set()
        self._stored: set[types.RequestDigest] = set()
        self._write_at_by_request: dict[types.RequestDigest, float] = {}
        self.news: CrashAnnouncer | None = None
        """Set once the exchange with the peers exists."""

    # Queries.

    def block_of(
        self, request: types.RequestDigest
    ) -> crash_evidence.Block | None:
        """Return the block of a request; None if it may be sent."""
        return self._evidence.block_of(request, now=self._clock.monotonic())

    def blocks(self) -> tuple[crash_evidence.Block, ...]:
        """Return all blocks."""
        return self._evidence.blocks(now=self._clock.monotonic())

    def records(
        self, *, since: float = float("-inf")
    ) -> tuple[crash_evidence.CrashRecord, ...]:
        """Return records of crashes since then, see `CrashEvidence.records`."""
        return self._evidence.records(since=since)

    # Events at this entry VM.

    def record_crash(
        self,
        instance: running_requests.UpstreamInstance,
        requests: frozenset[running_requests.SuspectRequest],
    ) -> None:
        """Record a crash for the requests that ran there."""
        now = self._clock.monotonic()
        new = self._merge(_records(instance, requests, seen_at=now), now)
        self._broadcast(new, now)
        for one in self._update_blocked(new, source="own"):
            self._write_at_by_request[one.request] = (
                now + _OWN_WRITE_DELAY_SECONDS
            )

    def record_answer(self, request: types.RequestDigest) -> None:
        """Clear the records of a request that an upstream has answered."""
        now = self._clock.monotonic()
        self._answered.record(request, now=now)
        cleared = self._clear(request, reason="answered")
        if len(cleared) >= _CRASHES_TO_BROADCAST:
            self._broadcast(cleared, now)

    def lift(self, request: types.RequestDigest) -> bool:
        """Unblock a request; return whether it had crash records."""
        cleared = self._clear(request, reason="lifted")
        self._broadcast(cleared, self._clock.monotonic())
        return bool(cleared)

    # Updates from peers and the store.

    def receive_news(self, news: router_messages.CrashNews) -> None:
        """Receive a peer's crash records."""
        now = self._clock.monotonic()
        reported = crash_news.records_of(news, now=now)
        new = self._merge(reported, now)
        own = self._own_records(reported, now)
        self._broadcast(own, now)
        if self.news is not None:
            self.news.forward(news, new, now=now)
        for one in self._update_blocked((*new, *own), source=news.entry_vm):
            stored = one.request in self._stored
            if self.news is not None and self.news.is_relay and not stored:
                self._write_at_by_request.setdefault(
                    one.request, now + _REPORTED_WRITE_DELAY_SECONDS
                )

    def apply_stored(self, request: types.RequestDigest, value: bytes) -> None:
        """Apply a block that is in the store."""
        now = self._clock.monotonic()
        try:
            records = block_record.decode(request, value, now=now)
        except errors.LagoonrunError as error:
            logs.emit(
                events.LogEvent.PEER_FRAME_REJECTED,
                level=logging.WARNING,
                peer="store",
                detail=str(error),
            )
            return
        self._stored.add(request)
        self._write_at_by_request.pop(request, None)
        self._update_blocked(self._merge(records, now), source="store")

    def apply_removed(self, request: types.RequestDigest) -> None:
        """Apply the removal of a block from the store.

        Its lease has expired, or it was lifted.
        """
        if request in self._stored:
            self._stored.discard(request)
            self._clear(request, reason="removed from the store")

    def on_store_restored(self) -> None:
        """Schedule a relay's rewrite of blocks that the store may lack."""
        now = self._clock.monotonic()
        lost, self._stored = self._stored, set()
        if self.news is None or not self.news.is_relay:
            return
        for request in lost:
            if self.block_of(request) is not None:
                self._write_at_by_request.setdefault(
                    request, now + _REPORTED_WRITE_DELAY_SECONDS
                )

    def tick(self) -> None:
        """Write due blocks, drop expired records and end expired blocks."""
        now = self._clock.monotonic()
        self._evidence.remove_expired(now=now)
        for request, due_at in tuple(self._write_at_by_request.items()):
            if now >= due_at:
                del self._write_at_by_request[request]
                self._write_block(request)
        for request in tuple(self._blocked):
            if self.block_of(request) is None:
                self._record_unblocked(request, reason="time has passed")

    # Helpers.

    def _merge(
        self, records: tuple[crash_evidence.CrashRecord, ...], now: float
    ) -> tuple[crash_evidence.CrashRecord, ...]:
        return tuple(
            one for one in records if self._evidence.merge(one, now=now)
        )

    def _own_records(
        self, reported: tuple[crash_evidence.CrashRecord, ...], now: float
    ) -> tuple[crash_evidence.CrashRecord, ...]:
        """Return new records of own requests for crashes others detected.

        Their callers may have disconnected right before the crash, so that this
        entry VM saw no broken request.
        """
        recent = {
            one.instance
            for one in reported
            if now - one.seen_at < running_requests.SUSPECT_SECONDS
        }
        found: list[crash_evidence.CrashRecord] = []
        for instance in recent:
            records = _records(
                instance, self._watch.suspects_at(instance), seen_at=now
            )
            found.extend(self._merge(records, now))
        return tuple(found)

    def _broadcast(
        self, records: tuple[crash_evidence.CrashRecord, ...], now: float
    ) -> None:
        if records and self.news is not None:
            self.news.broadcast(records, now=now)

    def _clear(
        self, request: types.RequestDigest, *, reason: str
    ) -> tuple[crash_evidence.CrashRecord, ...]:
        cleared = self._evidence.clear(request)
        if request in self._stored:
            self._block_writer.remove(request)
        self._record_unblocked(request, reason=reason)
        return cleared

    def _update_blocked(
        self, records: tuple[crash_evidence.CrashRecord, ...], *, source: str
    ) -> tuple[crash_evidence.Block, ...]:
        """Update and log the blocks for new records; return the blocks."""
        blocks = []
        for request in {one.request for one in records}:
            self._clear_if_answered(request)
            block = self.block_of(request)
            if block is None:
                self._record_unblocked(request, reason=f"cleared by {source}")
                continue
            blocks.append(block)
            if request not in self._blocked:
                self._blocked.add(request)
                self._log_blocked(block, source)
        return tuple(blocks)

    def _clear_if_answered(self, request: types.RequestDigest) -> None:
        """Clear a request that would be blocked but was answered here recently.

        Many callers may send the same request at the same time while several
        upstreams crash for another reason before the next answer arrives.
        """
        now = self._clock.monotonic()
        if self.block_of(request) and self._answered.has(request, now=now):
            self._broadcast(self._clear(request, reason="answered lately"), now)

    def _log_blocked(self, block: crash_evidence.Block, source: str) -> None:
        left_seconds = block.until - self._clock.monotonic()
        logs.emit(
            events.LogEvent.REQUEST_BLOCKED,
            level=logging.WARNING,
            digest=block.request,
            route=block.route,
            upstreams=[one.upstream for one in block.crashes],
            seconds=round(left_seconds, 1),
            source=source,
        )

    def _record_unblocked(
        self, request: types.RequestDigest, *, reason: str
    ) -> None:
        self._write_at_by_request.pop(request, None)
        if request not in self._blocked:
            return
        self._blocked.discard(request)
        logs.emit(
            events.LogEvent.REQUEST_UNBLOCKED, digest=request, reason=reason
        )

    def _write_block(self, request: types.RequestDigest) -> None:
        block = self.block_of(request)
        if block is not None:
            self._block_writer.write(block)


def _records(
    instance: running_requests.UpstreamInstance,
    requests: frozenset[running_requests.SuspectRequest],
    *,
    seen_at: float,
) -> tuple[crash_evidence.CrashRecord, ...]:
    return tuple(
        crash_evidence.CrashRecord(
            request=one.digest,
            instance=instance,
            route=one.route,
            seen_at=seen_at,
            silent=one.silent,
        )
        for one in requests
    )
