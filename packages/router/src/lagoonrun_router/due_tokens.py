"""Tokens that are reserved for the callers due now, by pool and tier."""

import dataclasses
import heapq

from lagoonrun_core import types


@dataclasses.dataclass(kw_only=True, eq=False)
class _Reservation:
    pool: types.PoolName
    tier: types.Tier
    tokens: float
    ends_at: float
    due: bool = False
    removed: bool = False


@dataclasses.dataclass(kw_only=True)
class _Sum:
    tokens: float = 0.0
    reservations: int = 0


class DueTokens:
    """Sums of the reservations whose time has begun and not ended.

    The sums are updated as time passes, because they are read for each request
    and may be of thousands of reservations. Times that are passed to the
    methods never decrease.

    Parameters
    ----------
    max_count
        Maximum number of reservations that the caller keeps at a time.
    """

    def __init__(self, *, max_count: int) -> None:
        self._max_queued = 2 * max_count
        self._by_digest: dict[types.RequestDigest, _Reservation] = {}
        # Heaps by time; the number makes entries of equal times comparable.
        self._upcoming: list[tuple[float, int, _Reservation]] = []
        self._ending: list[tuple[float, int, _Reservation]] = []
        self._number = 0
        self._sum_by_tier_by_pool: dict[
            types.PoolName, dict[types.Tier, _Sum]
        ] = {}

    def add(
        self,
        digest: types.RequestDigest,
        *,
        pool: types.PoolName,
        tier: types.Tier,
        tokens: float,
        starts_at: float,
        ends_at: float,
    ) -> None:
        """Add a reservation instead of an earlier one of the request."""
        self.remove(digest)
        reservation = _Reservation(
            pool=pool, tier=tier, tokens=tokens, ends_at=ends_at
        )
        self._by_digest[digest] = reservation
        self._upcoming = self._pushed(self._upcoming, starts_at, reservation)

    def remove(self, digest: types.RequestDigest) -> None:
        """End the reservation of a request, if there is one."""
        reservation = self._by_digest.pop(digest, None)
        if reservation is not None:
            self._end(reservation)

    def at_and_above(
        self, pool: types.PoolName, tier: types.Tier, *, now: float
    ) -> float:
        """Return the tokens due now for a tier and all higher ones."""
        self._advance(now)
        return sum(
            one.tokens
            for due_tier, one in self._sum_by_tier_by_pool.get(pool, {}).items()
            if due_tier <= tier
        )

    def _advance(self, now: float) -> None:
        while self._upcoming and self._upcoming[0][0] <= now:
            _, _, reservation = heapq.heappop(self._upcoming)
            if not reservation.removed:
                self._start(reservation)
        while self._ending and self._ending[0][0] < now:
            _, _, reservation = heapq.heappop(self._ending)
            self._end(reservation)

    def _start(self, reservation: _Reservation) -> None:
        reservation.due = True
        by_tier = self._sum_by_tier_by_pool.setdefault(reservation.pool, {})
        due = by_tier.setdefault(reservation.tier, _Sum())
        due.tokens += reservation.tokens
        due.reservations += 1
        self._ending = self._pushed(
            self._ending, reservation.ends_at, reservation
        )

    def _end(self, reservation: _Reservation) -> None:
        reservation.removed = True
        if not reservation.due:
            return
        reservation.due = False
        by_tier = self._sum_by_tier_by_pool[reservation.pool]
        due = by_tier[reservation.tier]
        due.tokens -= reservation.tokens
        due.reservations -= 1
        # An empty sum is dropped, so that rounding errors do not add up.
        if due.reservations == 0:
            del by_tier[reservation.tier]
            if not by_tier:
                del self._sum_by_tier_by_pool[reservation.pool]

    def _pushed(
        self,
        heap: list[tuple[float, int, _Reservation]],
        at: float,
        reservation: _Reservation,
    ) -> list[tuple[float, int, _Reservation]]:
        """Return the heap with one more entry, without many removed ones."""
        self._number += 1
        heapq.heappush(heap, (at, self._number, reservation))
        if len(heap) <= self._max_queued:
            return heap
        kept = [entry for entry in heap if not entry[2].removed]
        heapq.heapify(kept)
        return kept
