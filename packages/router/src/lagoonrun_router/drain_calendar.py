"""Prompt tokens that an entry VM has promised for each tenth of a second."""

import math

import xxhash

from lagoonrun_core import types

TENTH_SECONDS = 0.1

_HASH_RANGE = float(1 << 64)

_ROUNDING = 1e-6
"""Part of a tenth of a second by which rounding may move a time."""


class DrainCalendar:
    """Promised tokens by tenth of a second, for each pool and tier.

    A tier sees the promises to this and higher tiers: a higher tier is not
    delayed by promises to lower ones.
    """

    def __init__(self) -> None:
        # For each tier, the tokens of this and higher tiers by tenth.
        self._tokens_by_tenth_by_key: dict[
            tuple[types.PoolName, int], dict[int, float]
        ] = {}
        self._pruned_tenth = 0

    def reserve(
        self,
        digest: types.RequestDigest,
        *,
        pool: types.PoolName,
        tier: types.Tier,
        tokens: float,
        tokens_per_second: float,
        earliest_at: float,
        latest_at: float,
        now: float,
    ) -> float:
        """Return the promised time of `tokens`, and count them there.

        This is the start of the first tenth with room for them, or of the last
        one if none has. A prompt of more tokens than a tenth has room for takes
        the room of several. Its time is one of those, picked by a hash of the
        digest: entry VMs whose part of the drain rate is small would otherwise
        all pick the first or the last one.

        Parameters
        ----------
        tokens_per_second
            Part of the drain rate that this entry VM may promise.
        earliest_at, latest_at
            Monotonic times between which the promised time is; `latest_at`
            takes precedence.
        """
        self._prune(now)
        last = math.floor(latest_at / TENTH_SECONDS + _ROUNDING)
        first = min(last, math.ceil(earliest_at / TENTH_SECONDS - _ROUNDING))
        per_tenth = max(0.0, tokens_per_second * TENTH_SECONDS)
        promised = self._tokens_by_tenth_by_key.get((pool, tier), {})
        if tokens <= per_tenth:
            tenth = _first_with_room(
                promised, tokens, per_tenth, range(first, last + 1)
            )
            taken = {} if tenth is None else {tenth: tokens}
        else:
            taken = _room_of_several(
                promised, tokens, per_tenth, range(first, last + 1)
            )
            fraction = xxhash.xxh3_64_intdigest(digest.encode()) / _HASH_RANGE
            tenth = _tenth_at(taken, fraction * tokens)
        if tenth is None:
            tenth = last
            if not taken:
                taken = {last: tokens}
        for lower in range(tier, max(tier, types.LOWEST_TIER) + 1):
            by_tenth = self._tokens_by_tenth_by_key.setdefault(
                (pool, lower), {}
            )
            for one, part in taken.items():
                by_tenth[one] = by_tenth.get(one, 0.0) + part
        return min(latest_at, max(now, tenth * TENTH_SECONDS))

    def _prune(self, now: float) -> None:
        """Drop the tenths that are over."""
        current = math.floor(now / TENTH_SECONDS)
        if current == self._pruned_tenth:
            return
        self._pruned_tenth = current
        for key, by_tenth in tuple(self._tokens_by_tenth_by_key.items()):
            for tenth in tuple(by_tenth):
                if tenth < current:
                    del by_tenth[tenth]
            if not by_tenth:
                del self._tokens_by_tenth_by_key[key]


def _first_with_room(
    promised: dict[int, float], tokens: float, per_tenth: float, tenths: range
) -> int | None:
    limit = per_tenth - tokens + _ROUNDING
    for tenth in tenths:
        if promised.get(tenth, 0.0) <= limit:
            return tenth
    return None


def _room_of_several(
    promised: dict[int, float], tokens: float, per_tenth: float, tenths: range
) -> dict[int, float]:
    """Return the room that a large prompt takes of each tenth."""
    taken = {}
    missing = tokens
    for tenth in tenths:
        room = per_tenth - promised.get(tenth, 0.0)
        if room > _ROUNDING:
            taken[tenth] = min(room, missing)
            missing -= taken[tenth]
            if missing <= 0.0:
                break
    return taken


def _tenth_at(taken: dict[int, float], tokens: float) -> int | None:
    """Return the tenth with which the taken room exceeds `tokens`."""
    for tenth, part in taken.items():
        tokens -= part
        if tokens < 0.0:
            return tenth
    return None
