"""Which requests and prompt parts crash upstreams, decided without I/O.

All requests that ran at an upstream when it crashed are suspects, of which one
at most is the cause, as a whole or by a part of its prompt. The cause differs from the others in that it crashes each
upstream that begins to run it: it is never answered, it runs again at the next
upstream that crashes, and its caller has received nothing of its answer by
then. So a request is blocked by the number of its crashes since it was last
answered. A crash does not count if the answer had begun, or if another suspect
of it has had more crashes. From a higher number of crashes on, all of them
count. The crashes of requests that share a part are those of the part, see
`part_evidence`.
"""

import dataclasses
from collections.abc import Collection, Iterable

from lagoonrun_core import types
from lagoonrun_router import crash_records, part_evidence, running_requests

CRASHES_TO_BLOCK = 3
"""Crashes after which a request is blocked. Each crash breaks all requests
running there, and a request may be among them by coincidence once or twice."""

CRASHES_TO_BLOCK_ANY = 4
"""Crashes from which all of them count. Otherwise a request that crashes
upstreams after its answer has begun, or two that always run together, would
never be blocked."""

BLOCK_SECONDS = 300.0
"""Duration of a block from the newest crash on, which is also the Retry-After
of its callers. A repaired upstream then serves the request again; one more
crash blocks it for as long."""

EXPIRY_SECONDS = 600.0
"""Age at which a crash expires."""

MAX_RECORDS = 2048
"""Maximum number of records; at a few hundred bytes each, half a megabyte."""

MAX_PARTS_OF_RECORDS = 8192
"""Maximum number of parts in all records, two megabytes."""

_MAX_BLOCKS_AGE_SECONDS = 1.0
"""Age from which blocks are computed anew although no record has changed."""


class CrashEvidence:
    """Crash records by request, of all entry VMs as far as they are known here.

    Merging is idempotent and commutative, and a void record stays void. So all
    entry VMs that have received the same records, in any order and any number
    of times, block the same requests.
    """

    def __init__(self) -> None:
        self._records_by_request: dict[
            types.RequestDigest,
            dict[running_requests.UpstreamInstance, crash_records.CrashRecord],
        ] = {}
        self._suspects_by_instance: dict[
            running_requests.UpstreamInstance, set[types.RequestDigest]
        ] = {}
        self._size = 0
        self._parts = part_evidence.PartEvidence()
        self._parts_of_records = 0
        self._causes: set[part_evidence.PartCause] = set()
        self._blocks: tuple[crash_records.Block, ...] | None = None
        self._blocks_at = 0.0

    # Queries.

    def block_of(
        self,
        request: types.RequestDigest,
        *,
        now: float,
        parts: Collection[types.PromptPartDigest] = (),
    ) -> crash_records.Block | None:
        """Return the block of a request; None if it may be sent.

        Parameters
        ----------
        parts
            Parts of its prompt that other requests may share.
        """
        if not self._records_by_request:
            return None
        for block in self.blocks(now=now):
            if block.request == request:
                return block
            if block.parts and block.parts.issubset(parts):
                return block
        return None

    def blocks(self, *, now: float) -> tuple[crash_records.Block, ...]:
        """Return all blocks, those of whole requests first."""
        if (
            self._blocks is None
            or not 0.0 <= now - self._blocks_at < _MAX_BLOCKS_AGE_SECONDS
        ):
            self._blocks = self._find_blocks(now)
            self._blocks_at = now
        return tuple(one for one in self._blocks if now < one.until)

    def bears(
        self, block: crash_records.Block, version: str, *, now: float
    ) -> bool:
        """Return whether upstreams of a version answer requests of a block."""
        return bool(block.parts) and self._parts.bears(
            block.parts, version, now=now
        )

    def part_answers(
        self, *, since: float
    ) -> tuple[part_evidence.PartAnswer, ...]:
        """Return the answers since then to parts that have crashes."""
        return self._parts.answers(since=since)

    def part_answered_at(
        self, part: types.PromptPartDigest, version: str
    ) -> float:
        """Return the time of the last answer; minus infinity for none."""
        return self._parts.answered_at(part, version)

    def most_suspect_parts(
        self, limit: int
    ) -> dict[types.PromptPartDigest, int]:
        """Return the parts with most crashes since their last answer."""
        return self._parts.most_suspect(limit)

    def part_last_answered_at(self, part: types.PromptPartDigest) -> float:
        """Return the time of the last answer at any version."""
        return self._parts.last_answer(part)

    def is_suspect_part(self, part: types.PromptPartDigest) -> bool:
        """Return whether a part has a crash since its last answer."""
        return self._parts.is_suspect(part)

    def is_suspect(self, request: types.RequestDigest) -> bool:
        """Return whether a request has records that are not void."""
        records = self._records_by_request.get(request, {})
        return any(not one.void for one in records.values())

    @property
    def size(self) -> int:
        """Number of records."""
        return self._size

    def records(
        self, *, since: float = float("-inf")
    ) -> tuple[crash_records.CrashRecord, ...]:
        """Return the records, those of requests with the most crashes first.

        Parameters
        ----------
        since
            Monotonic time of the oldest crash to return.
        """
        wanted = [
            records
            for records in self._records_by_request.values()
            if any(one.seen_at >= since for one in records.values())
        ]
        wanted.sort(key=self._retention_rank, reverse=True)
        return tuple(
            one
            for records in wanted
            for one in records.values()
            if one.seen_at >= since
        )

    # Updates.

    def merge(self, record: crash_records.CrashRecord, *, now: float) -> bool:
        """Merge a record; return whether it is new or has become void."""
        if now - record.seen_at >= EXPIRY_SECONDS:
            return False
        records = self._records_by_request.setdefault(record.request, {})
        known = records.get(record.instance)
        if known is None:
            self._store(record)
            self._size += 1
            suspects = self._suspects_by_instance.setdefault(
                record.instance, set()
            )
            suspects.add(record.request)
            self._evict()
            return True
        merged = dataclasses.replace(
            known,
            seen_at=min(known.seen_at, record.seen_at),
            # If several copies of the request ran there, any may be the cause.
            silent=known.silent or record.silent,
            void=known.void or record.void,
            # A record in the store has only the parts that are blocked.
            parts=tuple(dict.fromkeys((*known.parts, *record.parts))),
        )
        if merged != known:
            self._store(merged)
        return merged.void is not known.void

    def record_part_answer(self, answer: part_evidence.PartAnswer) -> bool:
        """Record an answer; return whether it clears a crash of the part."""
        cleared = self._parts.record_answer(answer)
        if cleared:
            self._blocks = None
        return cleared

    def add_cause(self, parts: part_evidence.PartCause) -> None:
        """Add parts that another entry VM knows as a cause."""
        self._causes.add(parts)
        self._blocks = None

    def clear(
        self, request: types.RequestDigest
    ) -> tuple[crash_records.CrashRecord, ...]:
        """Mark all records of a request as void; return the changed ones."""
        records = self._records_by_request.get(request, {})
        changed = [
            dataclasses.replace(one, void=True)
            for one in records.values()
            if not one.void
        ]
        for one in changed:
            self._store(one)
        return tuple(changed)

    def remove_expired(self, *, now: float) -> None:
        """Drop expired records."""
        self._drop(
            one
            for records in tuple(self._records_by_request.values())
            for one in tuple(records.values())
            if now - one.seen_at >= EXPIRY_SECONDS
        )

    # Helpers.

    def _store(self, record: crash_records.CrashRecord) -> None:
        """Store a new record, or replace that of the same crash."""
        records = self._records_by_request[record.request]
        known = records.get(record.instance)
        self._parts_of_records += len(record.parts) - (
            len(known.parts) if known else 0
        )
        records[record.instance] = record
        self._parts.add(record)
        self._blocks = None

    def _find_blocks(self, now: float) -> tuple[crash_records.Block, ...]:
        crashes_by_request = self._repeated(now)
        part_blocks = self._find_part_blocks(now, crashes_by_request)
        blocks = [
            crash_records.Block(
                records=counted,
                until=counted[-1].seen_at + BLOCK_SECONDS,
                request=request,
            )
            for request, crashes in crashes_by_request.items()
            if len(crashes) >= CRASHES_TO_BLOCK
            and (counted := self._counted(crashes, part_blocks, now))
        ]
        return (*blocks, *part_blocks)

    def _find_part_blocks(
        self,
        now: float,
        crashes_by_request: dict[
            types.RequestDigest, list[crash_records.CrashRecord]
        ],
    ) -> list[crash_records.Block]:
        """Return the blocks of parts.

        Once a part is known as a cause, crashes under other causes don't end
        its block; an answer does.
        """
        self._causes.update(
            self._parts.causes(
                now=now,
                crashes_by_request={
                    request: frozenset(one.instance for one in crashes)
                    for request, crashes in crashes_by_request.items()
                },
            )
        )
        blocks = []
        for parts in tuple(self._causes):
            crashes = self._parts.crashes_of(parts)
            if len(crashes) < CRASHES_TO_BLOCK:
                self._causes.discard(parts)
                continue
            blocks.append(
                crash_records.Block(
                    records=crashes,
                    until=crashes[-1].seen_at + BLOCK_SECONDS,
                    parts=parts,
                )
            )
        return blocks

    def _repeated(
        self, now: float
    ) -> dict[types.RequestDigest, list[crash_records.CrashRecord]]:
        """Return the valid records of requests that have several."""
        found = {}
        for request, records in self._records_by_request.items():
            if len(records) > 1:
                crashes = self._crashes_of(request, now)
                if len(crashes) > 1:
                    found[request] = crashes
        return found

    def _counted(
        self,
        crashes: list[crash_records.CrashRecord],
        part_blocks: list[crash_records.Block],
        now: float,
    ) -> tuple[crash_records.CrashRecord, ...]:
        """Return the crashes that count; none if the request is not blocked.

        Crashes under blocked parts that the request does not have are not its
        own.
        """
        crashes = [
            one
            for one in crashes
            if not any(
                one.instance in block.crashes
                and not block.parts.issubset(one.parts)
                for block in part_blocks
            )
        ]
        if len(crashes) >= CRASHES_TO_BLOCK_ANY:
            return tuple(crashes)
        counted = tuple(one for one in crashes if self._is_counted(one, now))
        if len(counted) < CRASHES_TO_BLOCK or self._parts.explains(
            counted, now=now
        ):
            return ()
        return counted

    def _crashes_of(
        self, request: types.RequestDigest, now: float
    ) -> list[crash_records.CrashRecord]:
        """Return the valid records of a request, the oldest first."""
        records = self._records_by_request.get(request)
        if not records:
            return []
        crashes = [
            one
            for one in records.values()
            if not one.void and now - one.seen_at < EXPIRY_SECONDS
        ]
        return sorted(crashes, key=lambda one: one.seen_at)

    def _is_counted(self, crash: crash_records.CrashRecord, now: float) -> bool:
        """Return whether no other suspect explains a crash as well.

        Requests that ran at the same time as the cause are broken by the crash,
        sent again, and may run at the same time as the cause again. None of
        them has had as many crashes, or as many before the first byte of its
        answer.
        """
        own = self._suspicion(crash.request, now)
        return crash.silent and all(
            self._suspicion(other, now) < own
            for other in self._suspects_by_instance[crash.instance]
            if other != crash.request
        )

    def _suspicion(
        self, request: types.RequestDigest, now: float
    ) -> "_Suspicion":
        crashes = self._crashes_of(request, now)
        return _Suspicion(
            crashes=len(crashes), silent=sum(one.silent for one in crashes)
        )

    def _evict(self) -> None:
        """Drop the quarter of the requests with the fewest crashes."""
        if (
            self._size <= MAX_RECORDS
            and self._parts_of_records <= MAX_PARTS_OF_RECORDS
        ):
            return
        ascending = sorted(
            self._records_by_request.values(), key=self._retention_rank
        )
        self._drop(
            one
            for records in ascending[: max(1, len(ascending) // 4)]
            for one in tuple(records.values())
        )

    def _drop(self, dropped: Iterable[crash_records.CrashRecord]) -> None:
        for one in tuple(dropped):
            records = self._records_by_request[one.request]
            del records[one.instance]
            if not records:
                del self._records_by_request[one.request]
            suspects = self._suspects_by_instance[one.instance]
            suspects.discard(one.request)
            if not suspects:
                del self._suspects_by_instance[one.instance]
            self._size -= 1
            self._parts_of_records -= len(one.parts)
            self._parts.drop(one)
            self._blocks = None

    def _retention_rank(
        self,
        records: dict[
            running_requests.UpstreamInstance, crash_records.CrashRecord
        ],
    ) -> "_RetentionRank":
        """Return the order in which requests are kept on eviction."""
        parts = {part for one in records.values() for part in one.parts}
        return _RetentionRank(
            crashes=max(
                sum(not one.void for one in records.values()),
                *(self._parts.crash_count(part) for part in parts),
                0,
            ),
            newest_at=max(one.seen_at for one in records.values()),
        )


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class _Suspicion:
    crashes: int
    silent: int


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class _RetentionRank:
    crashes: int
    newest_at: float
