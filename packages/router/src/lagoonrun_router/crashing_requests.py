"""Keep requests that end upstreams away from the upstreams.

A request that crashes each runner that begins to run it comes again, by its caller
or by whoever retries for it, at any entry VM. Each copy would cost another runner
with all that it runs. So entry VMs hold against a request the upstreams that ended
while they ran it, tell each other, and refuse it after a few.
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
"""Time from a crash until a block is written to the store: by then the other entry
VMs have told what else ran there."""

_REPORTED_WRITE_DELAY_SECONDS = 1.5
"""The same for a relay that was only told of it, if nobody has written it: whoever
saw the crash may have ended right after."""

_CRASHES_TO_BROADCAST = 2
"""Crashes from which it is told at once that a request was answered. With one, as
all that ran beside the cause have, it is of no use to others."""


class CrashAnnouncer(Protocol):
    """Tells the other entry VMs."""

    @property
    def is_relay(self) -> bool:
        """Whether this entry VM is the relay of its failure domain."""

    def broadcast(
        self, records: tuple[crash_evidence.CrashRecord, ...], *, now: float
    ) -> None:
        """Tell the whole fleet."""

    def forward(
        self,
        reported: router_messages.CrashNews,
        new: tuple[crash_evidence.CrashRecord, ...],
        *,
        now: float,
    ) -> None:
        """Hand on what was new in a message."""


class CrashingRequests:
    """Takes in crashes, decides, and has the decision spread and kept.

    Parameters
    ----------
    watch
        Notices crashes at this entry VM.
    keeper
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
        """Set once the exchange with the peers is there."""

    # What is asked.

    def block_of(
        self, request: types.RequestDigest
    ) -> crash_evidence.Block | None:
        """Return why a request must not be sent; None where it may."""
        return self._evidence.block_of(request, now=self._clock.monotonic())

    def blocks(self) -> tuple[crash_evidence.Block, ...]:
        """Return all requests that must not be sent."""
        return self._evidence.blocks(now=self._clock.monotonic())

    def records(
        self, *, since: float = float("-inf")
    ) -> tuple[crash_evidence.CrashRecord, ...]:
        """Return the records of crashes since then; see `CrashEvidence`."""
        return self._evidence.records(since=since)

    # What this entry VM notices.

    def record_crash(
        self,
        at: running_requests.UpstreamInstance,
        requests: frozenset[running_requests.SuspectRequest],
    ) -> None:
        """Hold a crash against the requests that ran there."""
        now = self._clock.monotonic()
        new = self._merge(_records(at, requests, seen_at=now), now)
        self._broadcast(new, now)
        for one in self._update_blocked(new, source="own"):
            self._write_at_by_request[one.request] = (
                now + _OWN_WRITE_DELAY_SECONDS
            )

    def record_answer(self, request: types.RequestDigest) -> None:
        """Hold nothing against a request that an upstream has run."""
        now = self._clock.monotonic()
        self._answered.note(request, now=now)
        cleared = self._clear(request, reason="answered")
        if len(cleared) >= _CRASHES_TO_BROADCAST:
            self._broadcast(cleared, now)

    def lift(self, request: types.RequestDigest) -> bool:
        """Let a request run again; return whether anything was held against it."""
        cleared = self._clear(request, reason="lifted")
        self._broadcast(cleared, self._clock.monotonic())
        return bool(cleared)

    # What peers and the store tell.

    def receive_news(self, news: router_messages.CrashNews) -> None:
        """Take in what a peer knows of crashes."""
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
        """Take in a block that the store keeps."""
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
        """Take in that the store keeps a block no more.

        Its lease has run out, or somebody lifted it.
        """
        if request in self._stored:
            self._stored.discard(request)
            self._clear(request, reason="removed from the store")

    def on_store_restored(self) -> None:
        """Have the relays write again what the store may have lost."""
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
        """Write what nobody has written, and forget what is old."""
        now = self._clock.monotonic()
        self._evidence.forget_old(now=now)
        for request, at in tuple(self._write_at_by_request.items()):
            if now >= at:
                del self._write_at_by_request[request]
                self._write_block(request)
        for request in tuple(self._blocked):
            if self.block_of(request) is None:
                self._record_unblocked(request, reason="time has passed")

    # Parts.

    def _merge(
        self, records: tuple[crash_evidence.CrashRecord, ...], now: float
    ) -> tuple[crash_evidence.CrashRecord, ...]:
        return tuple(
            one for one in records if self._evidence.take(one, now=now)
        )

    def _own_records(
        self, reported: tuple[crash_evidence.CrashRecord, ...], now: float
    ) -> tuple[crash_evidence.CrashRecord, ...]:
        """Return what ran here at upstreams that others saw crash.

        Callers may have left here right before, so that nothing was broken.
        """
        news = {
            one.at
            for one in reported
            if now - one.seen_at < running_requests.SUSPECT_SECONDS
        }
        found: list[crash_evidence.CrashRecord] = []
        for at in news:
            records = _records(at, self._watch.suspects_at(at), seen_at=now)
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
        """Return what is blocked of what was just told; log what changed."""
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
        """Clear a request that would be blocked and was answered here lately.

        Many callers may send the same request at the same time, and several
        upstreams end for another reason before the next answer comes.
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
    at: running_requests.UpstreamInstance,
    requests: frozenset[running_requests.SuspectRequest],
    *,
    seen_at: float,
) -> tuple[crash_evidence.CrashRecord, ...]:
    return tuple(
        crash_evidence.CrashRecord(
            request=one.digest,
            at=at,
            route=one.route,
            seen_at=seen_at,
            silent=one.silent,
        )
        for one in requests
    )
