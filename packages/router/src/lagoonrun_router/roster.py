"""Which neighbours do a duty for the whole failure domain.

All entry VMs of a domain compute the same order: the larger ones first, among
equals by a hash. Whoever comes first and is not silent has the duty. Nobody is
elected and nothing is agreed on, so that two entry VMs may have a duty at once
for a moment; a duty has to bear that.

A neighbour that was not relied on so far may never have told this entry VM
anything. It is trusted for as long as a silence may last, and passed over only
if it stays silent then.
"""

from collections.abc import Mapping
from typing import Protocol

import xxhash

from lagoonrun_core import types
from lagoonrun_router import peer_table

SILENT_SECONDS = 1.0
"""Silence after which a neighbour is passed over: twice its slowest pause
between two messages. What it was relied on for matters in two to three seconds.
"""


class Fills(Protocol):
    """Whether an entry VM does its duty, as far as others can see."""

    def __call__(self, entry_vm: types.EntryVmId, *, since: float) -> bool:
        """Return whether it fills its place.

        Parameters
        ----------
        since
            Reading of the clock since when it is relied on.
        """


class Roster:
    """The order in which the entry VMs of a failure domain take up one duty.

    Parameters
    ----------
    duty
        Name of the duty: entry VMs of one size have another order for each.
    places
        Entry VMs that are to do the duty.
    most
        Entry VMs that may have it at once while those before them are there
        but don't do it; None for no more than `places`.
    fills
        Tells those that do the duty from those that only have it; None where
        whoever is not silent does it.
    entry_vm
        This one, which belongs to the order.
    processor_cores
        Processor time that it may use, in cores.
    table
        The other entry VMs.
    """

    def __init__(
        self,
        *,
        duty: str,
        places: int,
        most: int | None = None,
        fills: Fills | None = None,
        entry_vm: types.EntryVmId,
        processor_cores: float,
        table: peer_table.PeerTable,
    ) -> None:
        self._duty = duty
        self._places = places
        self._most = most or places
        self._fills = fills
        self._entry_vm = entry_vm
        self._processor_cores = processor_cores
        self._table = table
        self._order: tuple[types.EntryVmId, ...] = (entry_vm,)
        self._order_of_changes = -1
        self._relied_on_since: dict[types.EntryVmId, float] = {}
        self.stopping = False
        """Whether this entry VM is about to end and takes up no duty."""

    def on_duty(self, *, now: float) -> tuple[types.EntryVmId, ...]:
        """Return who has the duty, in their order."""
        chosen: list[types.EntryVmId] = []
        filled = 0
        since_by_id = {}
        for one in self._in_order():
            if filled == self._places or len(chosen) == self._most:
                break
            since = self._relied_on_since.get(one, now)
            since_by_id[one] = since
            if self._is_silent(one, since=since, now=now):
                continue
            chosen.append(one)
            filled += self._fills is None or self._fills(one, since=since)
        # Those behind are trusted anew when they are needed.
        self._relied_on_since = since_by_id
        return tuple(chosen)

    def _is_silent(
        self, one: types.EntryVmId, *, since: float, now: float
    ) -> bool:
        if one == self._entry_vm:
            return self.stopping
        if self._table.is_stopping(one):
            return True
        heard_at = max(self._table.heard_at(one), since)
        return now - heard_at >= SILENT_SECONDS

    def _in_order(self) -> tuple[types.EntryVmId, ...]:
        if self._order_of_changes != self._table.near_changes:
            self._order_of_changes = self._table.near_changes
            cores_by_id = self._table.near_sizes()
            cores_by_id[self._entry_vm] = self._processor_cores
            self._order = self.order_of(cores_by_id)
        return self._order

    def order_of(
        self, cores_by_id: Mapping[types.EntryVmId, float]
    ) -> tuple[types.EntryVmId, ...]:
        """Return the order of any failure domain, by the sizes of its VMs."""
        return tuple(
            sorted(
                cores_by_id,
                key=lambda one: (-cores_by_id[one], self._hash(one)),
            )
        )

    def _hash(self, one: types.EntryVmId) -> int:
        return xxhash.xxh3_64_intdigest(f"{one}/{self._duty}".encode())
