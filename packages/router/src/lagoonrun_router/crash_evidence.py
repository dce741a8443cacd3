"""Crash records, answers since, and what is blocked, without I/O.

All requests that ran at an upstream when it crashed are suspects, as a whole
and by the parts of their prompts. `crash_causes` decides which of them crash
upstreams.
"""

import collections
import dataclasses
from collections.abc import Collection, Iterable

from lagoonrun_core import types
from lagoonrun_router import (
    answer_sample,
    answer_times,
    crash_causes,
    crash_index,
    crash_records,
    running_requests,
    upstream_uptime,
)

CRASHES_TO_BLOCK = crash_causes.MIN_CRASHES
CRASHES_TO_BLOCK_ANY = crash_causes.MIN_CRASHES_ANY

BLOCK_SECONDS = 300.0
"""Duration of a block from the newest crash on, which is also the Retry-After
of its callers. A repaired upstream then serves the request again; one more
crash blocks it for as long."""

EXPIRY_SECONDS = 600.0
"""Age at which a crash expires."""

ANSWERED_SECONDS = 300.0
"""Age up to which an answer shows that a suspect was harmless lately."""

MAX_RECORDS = 2048
"""Maximum number of records; at a few hundred bytes each, half a megabyte."""

MAX_PARTS_OF_RECORDS = 8192
"""Maximum number of parts in all records, two megabytes."""

_MAX_ANSWERED_PARTS = 4096
_MAX_ANSWERED_REQUESTS = 2048
"""Maximum numbers of parts and of requests with the time of their last answer, a
hundred bytes each. Most requests are never repeated."""

_MAX_LIFTED = 4096

_MAX_BLOCKS_AGE_SECONDS = 0.25
"""Age from which blocks are computed anew although no record has changed."""

_MAX_DECIDED_RECORDS = 512
"""Records of the newest crashes on which a decision rests. Causes of older ones
stay until an answer, an operator or time clears them."""

_MIN_BLOCKS_AGE_SECONDS = 0.1
"""Age up to which blocks are not computed anew while there are more records: a
decision on that many takes tens of milliseconds."""


class CrashEvidence:
    """Crash records and answers of all entry VMs, as far as they are known here.

    Merging is idempotent and commutative, and a void record stays void. So all
    entry VMs that have received the same records, in any order and any number
    of times, block the same requests.

    Parameters
    ----------
    uptime
        For how long upstreams have served; None to count crashes only.
    """

    def __init__(
        self, *, uptime: upstream_uptime.UpstreamUptime | None = None
    ) -> None:
        self._uptime = uptime
        self._index = crash_index.CrashIndex()
        self._records_by_request: dict[
            types.RequestDigest,
            dict[running_requests.UpstreamInstance, crash_records.CrashRecord],
        ] = {}
        self._size = 0
        self._known_instances: collections.Counter[
            running_requests.UpstreamInstance
        ] = collections.Counter()
        self._parts_of_records = 0
        self._answered_parts = answer_times.AnswerTimes(
            maximum=_MAX_ANSWERED_PARTS
        )
        self._answered_requests = answer_times.AnswerTimes(
            maximum=_MAX_ANSWERED_REQUESTS
        )
        self.answer_sample = answer_sample.AnswerSample()
        self._open_by_suspect: dict[
            crash_records.Suspect,
            dict[
                running_requests.UpstreamInstance,
                list[crash_records.CrashRecord],
            ],
        ] = {}
        """Records since the last answer, computed when they are asked for."""

        self._lifted: dict[crash_records.Charge, None] = {}
        """Crashes that no longer count against a suspect, the newest last."""

        self._causes: set[crash_causes.Cause] = set()
        """Causes that only the store knows."""

        self._found: frozenset[crash_causes.Cause] = frozenset()
        """Causes that were found by the last decision."""

        self._blocks: tuple[crash_records.Block, ...] = ()
        self._blocks_at = float("-inf")
        self._changed = True
        """Whether records or answers have changed since that decision."""

        self._now = 0.0

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
        limit_seconds = _MAX_BLOCKS_AGE_SECONDS
        if self._changed:
            is_many = self._size > _MAX_DECIDED_RECORDS
            limit_seconds = _MIN_BLOCKS_AGE_SECONDS if is_many else 0.0
        if not 0.0 <= now - self._blocks_at < limit_seconds:
            self._changed = False
            self._blocks = self._find_blocks(now)
            self._blocks_at = now
        return tuple(one for one in self._blocks if now < one.until)

    def bears(self, block: crash_records.Block, version: str) -> bool:
        """Return whether upstreams of a version answer requests of a block.

        They have since the first of its crashes, and none of them has crashed
        under it.
        """
        first_at = min(one.seen_at for one in block.records)
        return all(
            self.answered_at(suspect, version) > first_at
            and not any(
                record.version == version
                for records in self._open_records(suspect).values()
                for record in records
            )
            for suspect in block.suspects
        )

    def answered_at(
        self, suspect: crash_records.Suspect, version: str | None = None
    ) -> float:
        """Return when the last answered run began; minus infinity for none."""
        return max(
            self._answered_parts.begun_at(suspect, version),
            self._answered_requests.begun_at(suspect, version),
        )

    def answers_to_suspects(
        self, *, since: float
    ) -> tuple[answer_times.Answer, ...]:
        """Return answers of later runs to parts that have crashes."""
        return tuple(
            one
            for one in self._answered_parts.answers(since=since)
            if one.suspect in self._index
        )

    def crash_count(self, suspect: crash_records.Suspect) -> int:
        """Return the number of crashes since the last answer."""
        return len(self._open_records(suspect))

    def crashes_of(
        self, suspect: crash_records.Suspect
    ) -> tuple[running_requests.UpstreamInstance, ...]:
        """Return the crashes since the last answer."""
        return tuple(self._open_records(suspect))

    def is_suspect(self, suspect: crash_records.Suspect) -> bool:
        """Return whether a suspect has crashes since its last answer."""
        return bool(self._open_records(suspect))

    def weights(self, *, now: float) -> tuple[crash_causes.Weight, ...]:
        """Return the evidence against all suspects with enough crashes."""
        return tuple(self._search(now, older=self._older_crashes()).weights)

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
            self._known_instances[record.instance] += 1
            if self._uptime is not None:
                self._uptime.record_end(record.instance, now=record.seen_at)
            self._evict()
            return True
        merged = dataclasses.replace(
            known,
            seen_at=min(known.seen_at, record.seen_at),
            # If several copies of the request ran there, any may be the cause.
            silent=known.silent or record.silent,
            void=known.void or record.void,
            ran_seconds=max(known.ran_seconds, record.ran_seconds),
            # A record in the store has only the parts that are blocked.
            parts=tuple(dict.fromkeys((*known.parts, *record.parts))),
        )
        if merged != known:
            self._store(merged)
        return merged.void is not known.void

    def record_part_answer(
        self, answer: answer_times.Answer, *, now: float
    ) -> bool:
        """Record an answer; return whether it clears a crash of the part."""
        return self._record_answer(self._answered_parts, answer, now)

    def record_request_answer(
        self, answer: answer_times.Answer, *, now: float
    ) -> bool:
        """Record an answer; return whether it clears a crash."""
        return self._record_answer(self._answered_requests, answer, now)

    def _record_answer(
        self,
        times: answer_times.AnswerTimes,
        answer: answer_times.Answer,
        now: float,
    ) -> bool:
        if answer.suspect not in self._index:
            times.record(answer, now=now)
            return False
        before = self.crash_count(answer.suspect)
        if not times.record(answer, now=now):
            return False
        self._open_by_suspect.pop(answer.suspect, None)
        if self.crash_count(answer.suspect) == before:
            return False
        self._changed = True
        return True

    def add_cause(self, cause: crash_causes.Cause) -> None:
        """Add a cause that another entry VM knows."""
        self._causes.add(cause)
        self._changed = True

    def clear(
        self,
        request: types.RequestDigest,
        *,
        version: str | None = None,
        before: float = float("inf"),
    ) -> tuple[crash_records.CrashRecord, ...]:
        """Mark records of a request as void; return the changed ones.

        Parameters
        ----------
        version
            Software version of the upstreams; None for all.
        before
            Monotonic time up to which they crashed.
        """
        records = self._records_by_request.get(request, {})
        changed = [
            dataclasses.replace(one, void=True)
            for one in records.values()
            if not one.void
            and one.seen_at <= before
            and version in (None, one.version)
        ]
        for one in changed:
            self._store(one)
        return tuple(changed)

    def lift(self, lifted: Iterable[crash_records.Charge]) -> None:
        """Count some crashes against their suspects no longer."""
        for suspect, instance in lifted:
            self._lifted.pop((suspect, instance), None)
            self._lifted[suspect, instance] = None
            self._open_by_suspect.pop(suspect, None)
        while len(self._lifted) > _MAX_LIFTED:
            del self._lifted[next(iter(self._lifted))]
        self._changed = True

    def knows(self, instance: running_requests.UpstreamInstance) -> bool:
        """Return whether there are records of the crash of an upstream."""
        return instance in self._known_instances

    def remove_expired(self, *, now: float) -> None:
        """Drop expired records."""
        self._drop(
            one
            for records in tuple(self._records_by_request.values())
            for one in tuple(records.values())
            if now - one.seen_at >= EXPIRY_SECONDS
        )

    # Observations for the decision.

    def uptime_seconds(
        self,
        instances: Collection[running_requests.UpstreamInstance],
        *,
        since: float,
        until: float,
    ) -> float:
        """Return the upstream seconds of the pools of some upstreams."""
        if self._uptime is None:
            return float("inf")
        return self._uptime.seconds(instances, since=since, until=until)

    @property
    def sampled_answers(self) -> int:
        """Number of the last answered requests that are known."""
        return self.answer_sample.size

    def count_answers(self, suspect: crash_records.Suspect) -> int:
        """Return how many of the last answered requests have a part."""
        return self.answer_sample.count_of(types.PromptPartDigest(suspect))

    def share_of_answers(self, suspect: crash_records.Suspect) -> float:
        """Return the share of the answered requests that have a part."""
        return self.answer_sample.share_of(types.PromptPartDigest(suspect))

    def was_answered(self, suspect: crash_records.Suspect) -> bool:
        """Return whether a suspect was answered lately."""
        return self._now - self.answered_at(suspect) < ANSWERED_SECONDS

    # Helpers.

    def _store(self, record: crash_records.CrashRecord) -> None:
        """Store a new record, or replace that of the same crash."""
        records = self._records_by_request[record.request]
        known = records.get(record.instance)
        self._parts_of_records += len(record.parts) - (
            len(known.parts) if known else 0
        )
        records[record.instance] = record
        self._index.put(record)
        self._forget_open(record)

    def _forget_open(self, record: crash_records.CrashRecord) -> None:
        for suspect in record.suspects:
            self._open_by_suspect.pop(suspect, None)
        self._changed = True

    def _open_records(
        self, suspect: crash_records.Suspect
    ) -> dict[
        running_requests.UpstreamInstance, list[crash_records.CrashRecord]
    ]:
        """Return the records of a suspect since its last answer."""
        known = self._open_by_suspect.get(suspect)
        if known is not None:
            return known
        found = {}
        for instance, records in self._index.records_of(suspect).items():
            later = [
                one for one in records.values() if self._is_open(suspect, one)
            ]
            if later:
                found[instance] = later
        if suspect in self._index:
            self._open_by_suspect[suspect] = found
        return found

    def _is_open(
        self,
        suspect: crash_records.Suspect,
        record: crash_records.CrashRecord,
    ) -> bool:
        if (suspect, record.instance) in self._lifted:
            return False
        if suspect == record.request:
            times = self._answered_requests
            if record.void:
                return False
        else:
            times = self._answered_parts
        return record.seen_at > times.begun_at(suspect, record.version)

    def _search(
        self,
        now: float,
        *,
        older: Collection[running_requests.UpstreamInstance],
    ) -> crash_causes.CauseSearch:
        """Return the search for causes, without the older crashes."""
        self._now = now
        return crash_causes.CauseSearch(
            open_records={
                suspect: open_records
                for suspect in self._index
                if len(open_records := self._open_records_but(suspect, older))
                >= crash_causes.MIN_SHARED_CRASHES
            },
            observations=self,
            now=now,
        )

    def _open_records_but(
        self,
        suspect: crash_records.Suspect,
        older: Collection[running_requests.UpstreamInstance],
    ) -> dict[
        running_requests.UpstreamInstance, list[crash_records.CrashRecord]
    ]:
        records = self._open_records(suspect)
        if not older:
            return records
        return {
            instance: found
            for instance, found in records.items()
            if instance not in older
        }

    def _older_crashes(self) -> frozenset[running_requests.UpstreamInstance]:
        """Return the crashes that were learned of too long ago to decide on."""
        excess = self._size - _MAX_DECIDED_RECORDS
        older = []
        for instance, count in self._known_instances.items():
            if excess <= 0:
                break
            excess -= count
            older.append(instance)
        return frozenset(older)

    def _find_blocks(self, now: float) -> tuple[crash_records.Block, ...]:
        """Return the blocks of causes found now and of those others know."""
        older = self._older_crashes()
        records_by_cause = {one: self._records_of(one) for one in self._causes}
        # Causes that others have found explain their crashes. A search takes
        # longer the more causes it finds, and an entry VM that starts reads all
        # blocks of the fleet at once.
        stored = frozenset(
            record.instance
            for records in records_by_cause.values()
            if len(records) >= CRASHES_TO_BLOCK
            for record in records
        )
        kept = {
            cause
            for cause in self._found
            if any(one.instance in older for one in self._records_of(cause))
        }
        search = self._search(now, older=older | stored)
        found = {one.cause for one in search.find()}
        self._found = frozenset(found | kept)
        blocks = []
        for cause in self._causes | self._found:
            records = records_by_cause.get(cause)
            if records is None:
                records = self._records_of(cause)
            if len(records) < CRASHES_TO_BLOCK:
                self._causes.discard(cause)
                continue
            requests = [one for one in cause if one in self._records_by_request]
            blocks.append(
                crash_records.Block(
                    records=records,
                    until=records[-1].seen_at + BLOCK_SECONDS,
                    request=requests[0] if requests else None,
                    parts=frozenset() if requests else cause,
                )
            )
        unique = {one.id: one for one in blocks}
        return tuple(
            sorted(unique.values(), key=lambda one: one.request is None)
        )

    def _records_of(
        self, cause: crash_causes.Cause
    ) -> tuple[crash_records.CrashRecord, ...]:
        """Return a record of each crash that all of a cause have, by time."""
        first, *others = (self._open_records(one) for one in cause)
        records = [
            records[0]
            for instance, records in first.items()
            if all(instance in one for one in others)
        ]
        return tuple(sorted(records, key=lambda one: one.seen_at))

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
            self._size -= 1
            self._known_instances[one.instance] -= 1
            if not self._known_instances[one.instance]:
                del self._known_instances[one.instance]
            self._parts_of_records -= len(one.parts)
            self._index.drop(one)
            self._forget_open(one)

    def _retention_rank(
        self,
        records: dict[
            running_requests.UpstreamInstance, crash_records.CrashRecord
        ],
    ) -> "_RetentionRank":
        """Return the order in which requests are kept on eviction."""
        suspects = {
            suspect for one in records.values() for suspect in one.suspects
        }
        return _RetentionRank(
            crashes=max(self.crash_count(one) for one in suspects),
            newest_at=max(one.seen_at for one in records.values()),
        )


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class _RetentionRank:
    crashes: int
    newest_at: float
