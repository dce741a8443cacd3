"""Which requests end the upstreams that run them. Pure decisions.

All requests that ran at an upstream when it crashed are suspects, and one of them
at most is the cause. What tells it apart is that it ends each upstream that begins
to run it: it is never answered, it is there again when the next one ends, and its
caller has nothing of its answer by then. So a request is blocked by the number of
its crashes since it was answered last; one does not count where the answer had
begun, or where another suspect has had more. A few more crashes count in any case.
"""

import dataclasses
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_router import running_requests

CRASHES_TO_BLOCK = 3
"""Upstreams that end under a request before it is sent no more. Each crash cuts all
that runs beside it, and a request may be there by chance once or twice."""

CRASHES_TO_BLOCK_ANY = 4
"""Crashes from which all count: a request that ends upstreams after its answer has
begun, or two that always come together, would else go on for ever."""

BLOCK_SECONDS = 300.0
"""Time from the newest crash to the next trial: what callers are told to wait. An
upstream that was mended in the meantime serves the request again; one more crash
blocks it for as long."""

EXPIRY_SECONDS = 600.0
"""Age from which a crash says nothing any more."""

MAX_RECORDS = 2048
"""Records that are kept, some hundred bytes each: half a megabyte."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashRecord:
    """A request ran at an upstream when that crashed.

    Parameters
    ----------
    route
        Route of the request, for operators.
    seen_at
        Reading of the clock at the crash, as far as it is known here.
    silent
        Whether its caller had nothing of its answer.
    void
        Whether the request was answered, or its block lifted, since.
    """

    request: types.RequestDigest
    at: running_requests.UpstreamInstance
    route: str
    seen_at: float
    silent: bool = True
    void: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Block:
    """A request that is not sent any more.

    Parameters
    ----------
    crashes
        Upstreams that ended under it, the newest last.
    until
        Reading of the clock from which it may be tried again.
    """

    request: types.RequestDigest
    route: str
    crashes: tuple[running_requests.UpstreamInstance, ...]
    until: float


class CrashEvidence:
    """Crashes by request, of all entry VMs as far as they are known here.

    Records of one crash are the same wherever they come from, and a void one
    stays void, so that all entry VMs that have heard the same, in whatever order
    and however often, judge the same.
    """

    def __init__(self) -> None:
        self._records_by_request: dict[
            types.RequestDigest,
            dict[running_requests.UpstreamInstance, CrashRecord],
        ] = {}
        self._suspects_by_upstream: dict[
            running_requests.UpstreamInstance, set[types.RequestDigest]
        ] = {}
        self._size = 0

    # What is asked.

    def block_of(
        self, request: types.RequestDigest, *, now: float
    ) -> Block | None:
        """Return why a request must not be sent; None where it may."""
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
            crashes=tuple(one.at for one in counted),
            until=until,
        )

    def blocks(self, *, now: float) -> tuple[Block, ...]:
        """Return all requests that must not be sent."""
        found = (
            self.block_of(request, now=now)
            for request in self._records_by_request
        )
        return tuple(one for one in found if one is not None)

    def is_suspect(self, request: types.RequestDigest) -> bool:
        """Return whether anything is held against a request."""
        records = self._records_by_request.get(request, {})
        return any(not one.void for one in records.values())

    @property
    def size(self) -> int:
        """Number of records that are kept."""
        return self._size

    def records(
        self, *, since: float = float("-inf")
    ) -> tuple[CrashRecord, ...]:
        """Return the records of the most suspect requests first.

        Parameters
        ----------
        since
            Reading of the clock from which crashes are wanted.
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

    # What is told.

    def take(self, record: CrashRecord, *, now: float) -> bool:
        """Take in a record; return whether it says anything new."""
        if now - record.seen_at >= EXPIRY_SECONDS:
            return False
        records = self._records_by_request.setdefault(record.request, {})
        known = records.get(record.at)
        if known is None:
            records[record.at] = record
            self._size += 1
            suspects = self._suspects_by_upstream.setdefault(record.at, set())
            suspects.add(record.request)
            self._evict()
            return True
        merged = dataclasses.replace(
            known,
            seen_at=min(known.seen_at, record.seen_at),
            # Of several copies that ran there, each may be the cause.
            silent=known.silent or record.silent,
            void=known.void or record.void,
        )
        records[record.at] = merged
        return merged.void is not known.void

    def clear(self, request: types.RequestDigest) -> tuple[CrashRecord, ...]:
        """Hold nothing against a request any more; return what changed."""
        records = self._records_by_request.get(request, {})
        changed = [
            dataclasses.replace(one, void=True)
            for one in records.values()
            if not one.void
        ]
        for one in changed:
            records[one.at] = one
        return tuple(changed)

    def forget_old(self, *, now: float) -> None:
        """Drop the records that say nothing any more."""
        self._drop(
            one
            for records in tuple(self._records_by_request.values())
            for one in tuple(records.values())
            if now - one.seen_at >= EXPIRY_SECONDS
        )

    # Parts.

    def _crashes_of(
        self, request: types.RequestDigest, now: float
    ) -> list[CrashRecord]:
        """Return what is held against a request, the oldest first."""
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

        Requests that ran beside the cause break with it, come again and may
        meet it again; none of them has been there as often, or as silent.
        """
        own = self._suspicion(crash.request, now)
        return crash.silent and all(
            self._suspicion(other, now) < own
            for other in self._suspects_by_upstream[crash.at]
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
        """Drop the quarter of the requests that are the least suspect."""
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
            del records[one.at]
            if not records:
                del self._records_by_request[one.request]
            suspects = self._suspects_by_upstream[one.at]
            suspects.discard(one.request)
            if not suspects:
                del self._suspects_by_upstream[one.at]
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
    """Return how much it would cost to forget the records of a request."""
    return _RetentionRank(
        crashes=sum(not one.void for one in records.values()),
        newest_at=max(one.seen_at for one in records.values()),
    )
