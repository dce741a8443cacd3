"""Protect upstreams from requests that crash them.

A request that crashes each runner that begins to run it is sent again, by its
caller or a retry, to any entry VM; or different requests with the same part in
their prompts crash the runners. Each of them would crash another runner with
all requests that it runs. So entry VMs record the crashes of upstreams by the
requests that ran there, exchange these records, and block a request, or a part,
after a few crashes.
"""

import logging
from collections.abc import Collection, Iterable
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import errors, events, logs, types
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    answer_times,
    block_record,
    block_writer,
    crash_evidence,
    crash_news,
    crash_records,
    crash_watch,
    part_answer_news,
    running_requests,
)

_OWN_WRITE_DELAY_SECONDS = 0.25
"""Delay from a crash to writing a block to the store; by then the other entry
VMs have reported what else ran there."""

_REPORTED_WRITE_DELAY_SECONDS = 1.5
"""Delay after which a relay writes a reported block that is not in the store
yet: the entry VM that detected the crash may have stopped right after it."""

_ANSWERED = "answered"
_OWN_SOURCES = frozenset(("own", _ANSWERED))
"""Sources of news that only this entry VM may know."""

_MAX_LOGGED_SUSPECTS = 4

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
        self, records: tuple[crash_records.CrashRecord, ...], *, now: float
    ) -> None:
        """Send records to the whole fleet."""

    def forward(
        self,
        received: router_messages.CrashNews,
        new: tuple[crash_records.CrashRecord, ...],
        *,
        now: float,
    ) -> None:
        """Forward the new records of a received message."""

    def forward_answers(
        self,
        received: router_messages.CrashNews,
        new: tuple[answer_times.Answer, ...],
        *,
        now: float,
    ) -> None:
        """Forward the new answers of a received message."""


class CrashingRequests:
    """Collects crash records, and blocks what causes crashes.

    Parameters
    ----------
    watch
        Detects crashes at this entry VM.
    block_writer
        Writes blocks to the store.
    evidence
        Crashes and answers, none yet.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        watch: crash_watch.CrashWatch,
        block_writer: block_writer.BlockWriter,
        evidence: crash_evidence.CrashEvidence,
        clock: clocks.Clock,
    ) -> None:
        self._watch = watch
        watch.on_crash = self.record_crash
        watch.on_answer = lambda run: self.record_answer(
            run.digest,
            parts=run.parts,
            version=run.version,
            begun_at=run.begun_at,
        )
        self._block_writer = block_writer
        self._clock = clock
        self._evidence = evidence
        self._blocks_by_id: dict[types.BlockId, crash_records.Block] = {}
        self._stored: set[types.BlockId] = set()
        self._removed: set[types.BlockId] = set()
        """Blocks whose keys were removed, until the next decision."""
        self._stored_changed = False
        self._write_at_by_id: dict[types.BlockId, float] = {}
        self.news: CrashAnnouncer | None = None
        """Set once the exchange with the peers exists."""
        self.part_answer_news: part_answer_news.PartAnswerNews | None = None
        """Answers to be told to the peers; set with `news`."""

    # Queries.

    def block_of(
        self,
        request: types.RequestDigest,
        *,
        parts: Collection[types.PromptPartDigest] = (),
    ) -> crash_records.Block | None:
        """Return the block of a request; None if it may be sent.

        Parameters
        ----------
        parts
            Parts of its prompt that other requests may share.
        """
        return self._evidence.block_of(
            request, parts=parts, now=self._clock.monotonic()
        )

    def is_blocked_at(self, block: crash_records.Block, version: str) -> bool:
        """Return whether a block applies at upstreams of a software version.

        It does not where requests with the blocked parts are answered.
        """
        return not self._evidence.bears(block, version)

    def blocks(self) -> tuple[crash_records.Block, ...]:
        """Return all blocks."""
        return self._evidence.blocks(now=self._clock.monotonic())

    def records(
        self, *, since: float = float("-inf")
    ) -> tuple[crash_records.CrashRecord, ...]:
        """Return records of crashes since then, see `CrashEvidence.records`."""
        return self._evidence.records(since=since)

    def part_answers(self, *, since: float) -> tuple[answer_times.Answer, ...]:
        """Return answers since then: `CrashEvidence.answers_to_suspects`."""
        return self._evidence.answers_to_suspects(since=since)

    # Events at this entry VM.

    def record_crash(
        self,
        instance: running_requests.UpstreamInstance,
        requests: frozenset[running_requests.SuspectRequest],
        *,
        at: float | None = None,
    ) -> None:
        """Record a crash for the requests that ran there.

        Parameters
        ----------
        at
            Monotonic time of the crash; None for now.
        """
        now = self._clock.monotonic()
        seen_at = now if at is None else at
        new = self._merge(_records(instance, requests, seen_at=seen_at), now)
        self._broadcast(new, now)
        self._update_blocks(source="own")
        self._log_suspects(instance, now)
        for block in self._blocks_with(new):
            self._write_at_by_id[block.id] = now + _OWN_WRITE_DELAY_SECONDS

    def record_answer(
        self,
        request: types.RequestDigest,
        *,
        parts: Collection[types.PromptPartDigest] = (),
        version: str = "",
        begun_at: float | None = None,
    ) -> None:
        """Record that an upstream has answered a request.

        Parameters
        ----------
        parts
            Parts of its prompt that other requests may share.
        version
            Software version of the upstream.
        begun_at
            Monotonic time at which the run began; None for now. It says nothing
            about crashes since.
        """
        now = self._clock.monotonic()
        if begun_at is None:
            begun_at = now
        cleared = self._evidence.clear(
            request, version=version, before=begun_at
        )
        if len(cleared) >= _CRASHES_TO_BROADCAST:
            self._broadcast(cleared, now)
        self._evidence.answer_sample.add(parts)
        self._evidence.record_request_answer(
            answer_times.Answer(
                suspect=request, version=version, begun_at=begun_at
            ),
            now=now,
        )
        answers = tuple(
            answer_times.Answer(
                suspect=part, version=version, begun_at=begun_at
            )
            for part in parts
        )
        clearing = tuple(
            one
            for one in answers
            if self._evidence.record_part_answer(one, now=now)
        )
        if self.part_answer_news is not None:
            for one in clearing:
                self.part_answer_news.add(one, now=now)
        if cleared or clearing:
            self._update_blocks(source=_ANSWERED)

    def lift(self, id: types.BlockId) -> bool:
        """End a block; return whether there were crash records.

        Parameters
        ----------
        id
            Digest of a request or of a part, or the id of a block.
        """
        now = self._clock.monotonic()
        block = self._blocks_by_id.get(id)
        parts = block.parts if block else {types.PromptPartDigest(id)}
        lifted = tuple(
            (suspect, instance)
            for suspect in (block.suspects if block else {id})
            for instance in self._evidence.crashes_of(suspect)
        )
        cleared = self._evidence.clear(types.RequestDigest(id))
        self._broadcast(cleared, now)
        answers = tuple(
            answer_times.Answer(
                suspect=part, version=answer_times.ALL_VERSIONS, begun_at=now
            )
            for part in parts
            if self._evidence.is_suspect(part)
        )
        for one in answers:
            self._evidence.record_part_answer(one, now=now)
            if self.part_answer_news is not None:
                self.part_answer_news.add(one, now=now)
        if cleared or answers:
            # Another entry VM may store it at this moment.
            self._block_writer.write_lift(id, lifted)
        self._update_blocks(source="lifted")
        return bool(cleared or answers)

    # Updates from peers and the store.

    def receive_news(self, news: router_messages.CrashNews) -> None:
        """Receive a peer's crash records and answers."""
        now = self._clock.monotonic()
        self._receive_answers(news, now)
        reported = crash_news.records_of(news, now=now)
        new = self._merge(reported, now)
        own = self._own_records(reported, now)
        self._broadcast(own, now)
        if self.news is not None:
            self.news.forward(news, new, now=now)
        self._update_blocks(source=news.entry_vm)
        for block in self._blocks_with((*new, *own)):
            stored = block.id in self._stored
            if not stored:
                self._write_later((block.id,))

    def apply_stored(self, id: types.BlockId, value: bytes) -> None:
        """Apply a block that is in the store."""
        now = self._clock.monotonic()
        try:
            lifted = block_record.decode_lift(id, value)
            if lifted is not None:
                self._stored.discard(id)
                self._evidence.lift(lifted)
                self._stored_changed = True
                return
            records = block_record.decode(id, value, now=now)
        except errors.LagoonrunError as error:
            logs.emit(
                events.LogEvent.PEER_FRAME_REJECTED,
                level=logging.WARNING,
                peer="store",
                detail=str(error),
            )
            return
        self._stored.add(id)
        self._write_at_by_id.pop(id, None)
        unknown = tuple(
            one for one in records if not self._evidence.knows(one.instance)
        )
        if not unknown:
            # What this entry VM has heard of these crashes says more.
            return
        self._merge(unknown, now)
        parts = frozenset(part for one in records for part in one.parts)
        self._evidence.add_cause(parts or frozenset({types.RequestDigest(id)}))
        self._stored_changed = True

    def on_entries_applied(self) -> None:
        """Decide once on all blocks that were read together."""
        if self._stored_changed:
            self._stored_changed = False
            self._update_blocks(source="store")
        removed, self._removed = self._removed, set()
        self._write_later(removed & self._blocks_by_id.keys() - self._stored)

    def apply_removed(self, id: types.BlockId) -> None:
        """Write a block again whose key the store no longer has.

        Its lease has expired, and not necessarily because its time was over.
        """
        self._stored.discard(id)
        self._removed.add(id)

    def on_store_restored(self) -> None:
        """Schedule a relay's rewrite of blocks that the store may lack."""
        lost, self._stored = self._stored, set()
        self._write_later(lost)

    def tick(self) -> None:
        """Write due blocks, drop expired records and end expired blocks."""
        self.on_entries_applied()
        now = self._clock.monotonic()
        self._evidence.remove_expired(now=now)
        blocks_by_id = {one.id: one for one in self.blocks()}
        for id, due_at in tuple(self._write_at_by_id.items()):
            if now >= due_at:
                del self._write_at_by_id[id]
                if id in blocks_by_id:
                    self._block_writer.write(blocks_by_id[id])
        self._update_blocks(source="time has passed")

    # Helpers.

    def _write_later(self, ids: Iterable[types.BlockId]) -> None:
        """Write blocks, as the relay, unless the store has them by then."""
        if self.news is None or not self.news.is_relay:
            return
        now = self._clock.monotonic()
        for id in ids:
            self._write_at_by_id.setdefault(
                id, now + _REPORTED_WRITE_DELAY_SECONDS
            )

    def _merge(
        self, records: tuple[crash_records.CrashRecord, ...], now: float
    ) -> tuple[crash_records.CrashRecord, ...]:
        new = tuple(
            one for one in records if self._evidence.merge(one, now=now)
        )
        self._tell_answered_parts(new, now)
        self._tell_answered_requests(new, now)
        return new

    def _tell_answered_parts(
        self, records: tuple[crash_records.CrashRecord, ...], now: float
    ) -> None:
        """Tell the others which suspected parts were answered here lately."""
        if self.part_answer_news is None:
            return
        for part, version in {
            (part, one.version) for one in records for part in one.parts
        }:
            at = self._evidence.answered_at(part, version)
            if (
                now - at < crash_evidence.ANSWERED_SECONDS
                and not self.part_answer_news.was_told_lately(
                    part, version, now=now
                )
            ):
                answer = answer_times.Answer(
                    suspect=part, version=version, begun_at=at
                )
                self.part_answer_news.add(answer, now=now)

    def _tell_answered_requests(
        self, records: tuple[crash_records.CrashRecord, ...], now: float
    ) -> None:
        """Tell the others which requests were answered here since a crash."""
        for one in records:
            begun_at = self._evidence.answered_at(one.request, one.version)
            cleared = self._evidence.clear(
                one.request, version=one.version, before=begun_at
            )
            if len(cleared) >= _CRASHES_TO_BROADCAST:
                self._broadcast(cleared, now)

    def _receive_answers(
        self, news: router_messages.CrashNews, now: float
    ) -> None:
        answers = crash_news.answers_of(news, now=now)
        clearing = []
        for one in answers:
            if self._evidence.record_part_answer(one, now=now):
                clearing.append(one)
            if self.part_answer_news is not None:
                self.part_answer_news.record_told(one, now=now)
        if clearing and self.news is not None:
            self.news.forward_answers(news, tuple(clearing), now=now)

    def _own_records(
        self, reported: tuple[crash_records.CrashRecord, ...], now: float
    ) -> tuple[crash_records.CrashRecord, ...]:
        """Return new records of own requests for crashes others detected.

        Their callers may have disconnected right before the crash, so that this
        entry VM saw no broken request.
        """
        recent = {
            one.instance
            for one in reported
            if now - one.seen_at < running_requests.SUSPECT_SECONDS
        }
        found: list[crash_records.CrashRecord] = []
        for instance in recent:
            records = _records(
                instance, self._watch.suspects_at(instance), seen_at=now
            )
            found.extend(self._merge(records, now))
        return tuple(found)

    def _broadcast(
        self, records: tuple[crash_records.CrashRecord, ...], now: float
    ) -> None:
        if records and self.news is not None:
            self.news.broadcast(records, now=now)

    def _write_lift(self, block: crash_records.Block) -> None:
        """Write that a stored block has ended by an answer.

        What is left of it may be another block, which is stored by itself.
        """
        lifted = tuple(
            (suspect, instance)
            for suspect in block.suspects
            for instance in frozenset(block.crashes).difference(
                self._evidence.crashes_of(suspect)
            )
        )
        if lifted:
            self._block_writer.write_lift(block.id, lifted)

    def _blocks_with(
        self, records: Iterable[crash_records.CrashRecord]
    ) -> tuple[crash_records.Block, ...]:
        """Return the blocks that rest on some of the records."""
        crashes = {(one.request, one.instance) for one in records}
        return tuple(
            block
            for block in self._blocks_by_id.values()
            if any(
                (one.request, one.instance) in crashes for one in block.records
            )
        )

    def _update_blocks(self, *, source: str) -> None:
        """Compute the blocks, and log those that begin or end."""
        before = self._blocks_by_id
        blocks = self.blocks()
        if not blocks and not before:
            return
        self._blocks_by_id = {one.id: one for one in blocks}
        for id in before.keys() - self._blocks_by_id.keys():
            self._write_at_by_id.pop(id, None)
            if source == _ANSWERED and id in self._stored:
                self._write_lift(before[id])
            logs.emit(
                events.LogEvent.REQUEST_UNBLOCKED, digest=id, reason=source
            )
        for id in self._blocks_by_id.keys() - before.keys():
            self._log_blocked(self._blocks_by_id[id], source)
            if id in self._stored:
                continue
            if source in _OWN_SOURCES:
                self._write_at_by_id.setdefault(
                    id, self._clock.monotonic() + _OWN_WRITE_DELAY_SECONDS
                )
            else:
                self._write_later((id,))

    def _log_suspects(
        self, instance: running_requests.UpstreamInstance, now: float
    ) -> None:
        """Log the strongest evidence, and what is blocked for it."""
        blocked = frozenset().union(*(one.suspects for one in self.blocks()))
        weights = sorted(
            self._evidence.weights(now=now), key=lambda one: one.coincidence
        )
        suspects = [
            {
                "suspect": one.suspect,
                "crashes": one.crashes,
                "share": round(one.share, 5),
                "coincidence": float(f"{one.coincidence:.2g}"),
                "answered_seconds_ago": _rounded(
                    now - self._evidence.answered_at(one.suspect)
                ),
                "blocked": one.suspect in blocked,
            }
            for one in weights[:_MAX_LOGGED_SUSPECTS]
        ]
        logs.emit(
            events.LogEvent.CRASH_SUSPECTS,
            upstream=instance.upstream,
            suspects=suspects,
        )

    def _log_blocked(self, block: crash_records.Block, source: str) -> None:
        left_seconds = block.until - self._clock.monotonic()
        logs.emit(
            events.LogEvent.REQUEST_BLOCKED,
            level=logging.WARNING,
            digest=block.id,
            parts=sorted(block.parts),
            route=block.route,
            requests=[one.request for one in block.records],
            upstreams=[one.upstream for one in block.crashes],
            versions=sorted({one.version for one in block.records}),
            seconds=round(left_seconds, 1),
            source=source,
        )


def _rounded(seconds: float) -> float | None:
    return round(seconds, 3) if seconds < float("inf") else None


def _records(
    instance: running_requests.UpstreamInstance,
    requests: frozenset[running_requests.SuspectRequest],
    *,
    seen_at: float,
) -> tuple[crash_records.CrashRecord, ...]:
    return tuple(
        crash_records.CrashRecord(
            request=one.digest,
            instance=instance,
            route=one.route,
            seen_at=seen_at,
            silent=one.silent,
            parts=one.parts,
            version=one.version,
            ran_seconds=one.ran_seconds,
        )
        for one in requests
    )
