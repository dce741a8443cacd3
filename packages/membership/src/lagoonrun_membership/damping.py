"""Keep members that flap from taking and losing shards over and over.

Each return from the dead costs a hold that doubles with the flaps of the
recent past. While held, a member is alive for everything but the ranking of
shards, so that a flapping link does not make all ingresses register their
work anew every few seconds.
"""

import dataclasses

from lagoonrun_core import types
from lagoonrun_membership import timing as timings


@dataclasses.dataclass(kw_only=True)
class _Flaps:
    count: float
    counted_at: float
    held_until: float


class FlapDamping:
    """Holds of the members that came back from the dead.

    Parameters
    ----------
    timing
        Lengths of the holds.
    """

    def __init__(self, *, timing: timings.Timing) -> None:
        self._timing = timing
        self._flaps_by_id: dict[types.EntryVmId, _Flaps] = {}
        self._held: set[types.EntryVmId] = set()

    def record_return(self, entry_vm: types.EntryVmId, now: float) -> None:
        """Count a return from the dead and start the hold."""
        count = 1.0 + self._remaining_count(entry_vm, now)
        hold = min(
            self._timing.hold_down_seconds * 2.0 ** (count - 1.0),
            self._timing.maximum_hold_down_seconds,
        )
        self._flaps_by_id[entry_vm] = _Flaps(
            count=count, counted_at=now, held_until=now + hold
        )
        self._held.add(entry_vm)

    def is_held_down(self, entry_vm: types.EntryVmId) -> bool:
        """Return whether a member gets no shard for now."""
        return entry_vm in self._held

    def expire(self, now: float) -> tuple[types.EntryVmId, ...]:
        """End the holds that are over and return their members."""
        ended = tuple(
            entry_vm
            for entry_vm in self._held
            if now >= self._flaps_by_id[entry_vm].held_until
        )
        self._held.difference_update(ended)
        return ended

    def forget(self, entry_vm: types.EntryVmId) -> None:
        """Forget a member's past."""
        self._held.discard(entry_vm)
        self._flaps_by_id.pop(entry_vm, None)

    def _remaining_count(self, entry_vm: types.EntryVmId, now: float) -> float:
        flaps = self._flaps_by_id.get(entry_vm)
        if flaps is None:
            return 0.0
        half_lives = (
            now - flaps.counted_at
        ) / self._timing.flap_half_life_seconds
        return flaps.count * 0.5**half_lives
