"""Flap damping: delays before a returned member dispatches shards again.

A member that returns after being marked dead goes into hold-down, for a time
that doubles with each recent flap. During hold-down it is alive for everything
but the ranking of shards. Otherwise a flapping link would make all ingresses
register their running requests again every few seconds.
"""

import dataclasses

from lagoonrun_core import types
from lagoonrun_membership import timing as timings


@dataclasses.dataclass(kw_only=True)
class _Flaps:
    count: float
    counted_at: float
    hold_down_until: float


class FlapDamping:
    """Hold-downs of the members that returned after being marked dead.

    Parameters
    ----------
    timing
        Durations of the hold-downs.
    """

    def __init__(self, *, timing: timings.Timing) -> None:
        self._timing = timing
        self._flaps_by_id: dict[types.EntryVmId, _Flaps] = {}
        self._held_down: set[types.EntryVmId] = set()

    def record_return(self, entry_vm: types.EntryVmId, now: float) -> None:
        """Record that a dead member returned, and start its hold-down."""
        count = 1.0 + self._remaining_count(entry_vm, now)
        hold_down = min(
            self._timing.hold_down_seconds * 2.0 ** (count - 1.0),
            self._timing.maximum_hold_down_seconds,
        )
        self._flaps_by_id[entry_vm] = _Flaps(
            count=count, counted_at=now, hold_down_until=now + hold_down
        )
        self._held_down.add(entry_vm)

    def is_held_down(self, entry_vm: types.EntryVmId) -> bool:
        """Return whether a member is in hold-down and gets no shard."""
        return entry_vm in self._held_down

    def expire(self, now: float) -> tuple[types.EntryVmId, ...]:
        """End the hold-downs that are over and return their members."""
        ended = tuple(
            entry_vm
            for entry_vm in self._held_down
            if now >= self._flaps_by_id[entry_vm].hold_down_until
        )
        self._held_down.difference_update(ended)
        return ended

    def forget(self, entry_vm: types.EntryVmId) -> None:
        """Remove a member's hold-down and flap count."""
        self._held_down.discard(entry_vm)
        self._flaps_by_id.pop(entry_vm, None)

    def _remaining_count(self, entry_vm: types.EntryVmId, now: float) -> float:
        flaps = self._flaps_by_id.get(entry_vm)
        if flaps is None:
            return 0.0
        half_lives = (
            now - flaps.counted_at
        ) / self._timing.flap_half_life_seconds
        return flaps.count * 0.5**half_lives
