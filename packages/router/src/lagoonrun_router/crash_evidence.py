"""Which requests crash the upstreams that run them, decided without I/O.

All requests that ran at an upstream when it crashed are suspects, of which one
at most is the cause. The cause differs from the others in that it crashes each
upstream that begins to run it: it is never answered, it runs again at the next
upstream that crashes, and its caller has received nothing of its answer by
then. So a request is blocked by the number of its crashes since it was last
answered. A crash does not count if the answer had begun, or if another suspect
of it has had more crashes. From a higher number of crashes on, all of them
count.
"""

import dataclasses
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_router import running_requests

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


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashRecord:
    """A request that ran at an upstream when it crashed.

    Parameters
    ----------
    instance
        Instance of the upstream.
    route
        Route of the request, for operators.
    seen_at
        Monotonic time of the crash, as known here.
    silent
        Whether the caller had received nothing of the answer.
    void
        Whether the request was answered or unblocked since.
    """

    request: types.RequestDigest
    instance: running_requests.UpstreamInstance
    route: str
    seen_at: float
    silent: bool = True
    void: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Block:
    """A request that is not sent to any upstream.

    Parameters
    ----------
    crashes
        Upstream instances that it crashed, the newest last.
    until
        Monotonic time from which it may be sent again.
    """

    request: types.RequestDigest
    route: str
    crashes: tuple[running_requests.UpstreamInstance, ...]
    until: float


class CrashEvidence:
    """Crash records by request, of all entry VMs as far as they are known here.

    Merging is idempotent and commutative, and a void record stays void. So all
    entry VMs that have received the same records, in any order and any number
    of times, block the same requests.
    """

    def __init__(self) -> None:
        self._records_by_request: dict[
            types.RequestDigest,
            dict[running_requests.UpstreamInstance, CrashRecord],
        ] = {}
        self._suspects_by_instance: dict[
            running_requests.UpstreamInstance, set[types.RequestDigest]
        ] = {}
        self._size = 0

    # Queries.

    def block_of(
        self, request: types.RequestDigest, *, now: float
    ) -> Block | None:
        """Return the block of a request; None if it may be sent."""
        crashes = self._crashes_of(request, now)
        if len(crashes) < CRASHES_TO_BLOCK:
            return None
        counted = crashes
        if len(crashes) < CRASHES_TO_BLOCK_ANY:
            counted = [one for one in crashes if self._is_counted(one, now)]
        if len(counted) < CRASHES_TO_BLOCK:
            return None
        until = counted[-1].seen_at + BLOCK_SECONDS
        if now >= until:
            return None
        return Block(
            request=request,
            route=counted[-1].route,
            crashes=tuple(one.instance for one in counted),
            until=until,
        )

    def blocks(self, *, now: float) -> tuple[Block, ...]:
        """Return all blocks."""
        found = (
            self.block_of(request, now=now)
            for request in self._records_by_request
        )
        return tuple(one for one in found if one is not None)

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
    ) -> tuple[CrashRecord, ...]:
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
        wanted.sort(key=_retention_rank, reverse=True)
        return tuple(
            one
            for records in wanted
            for one in records.values()
            if one.seen_at >= since
        )

    # Updates.

    def merge(self, record: CrashRecord, *, now: float) -> bool:
        """Merge a record; return whether it is new or has become void."""
        if now - record.seen_at >= EXPIRY_SECONDS:
            return False
        records = self._records_by_request.setdefault(record.request, {})
        known = records.get(record.instance)
        if known is None:
            records[record.instance] = record
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
        )
        records[record.instance] = merged
        return merged.void is not known.void

    def clear(self, request: types.RequestDigest) -> tuple[CrashRecord, ...]:
        """Mark all records of a request as void; return the changed ones."""
        records = self._records_by_request.get(request, {})
        changed = [
            dataclasses.replace(one, void=True)
            for one in records.values()
            if not one.void
        ]
        for one in changed:
            records[one.instance] = one
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

    def _crashes_of(
        self, request: types.RequestDigest, now: float
    ) -> list[CrashRecord]:
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

    def _is_counted(self, crash: CrashRecord, now: float) -> bool:
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
        if self._size <= MAX_RECORDS:
            return
        ascending = sorted(
            self._records_by_request.values(), key=_retention_rank
        )
        self._drop(
            one
            for records in ascending[: max(1, len(ascending) // 4)]
            for one in tuple(records.values())
        )

    def _drop(self, dropped: Iterable[CrashRecord]) -> None:
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


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class _Suspicion:
    crashes: int
    silent: int


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class _RetentionRank:
    crashes: int
    newest_at: float


def _retention_rank(
    records: dict[running_requests.UpstreamInstance, CrashRecord],
) -> _RetentionRank:
    """Return the order in which requests are kept when records are evicted."""
    return _RetentionRank(
        crashes=sum(not one.void for one in records.values()),
        newest_at=max(one.seen_at for one in records.values()),
    )
