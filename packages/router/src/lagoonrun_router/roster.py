"""Which members do a duty for all: entry VMs of a domain, or domains of a fleet.

All compute the same order: the larger ones first, among equals by a hash.
Whoever comes first and is not silent has the duty. Nobody is elected and
nothing is agreed on, so that two may have a duty at once for a moment; a duty
has to bear that.

A member that was not relied on so far may never have told this entry VM
anything. It is trusted for as long as a silence may last, and passed over only
if it stays silent then.
"""

from collections.abc import Mapping
from typing import Protocol

import xxhash

from lagoonrun_core import types

Member = types.EntryVmId | types.FailureDomain

SILENT_SECONDS = 1.0
"""Silence after which a member is passed over: twice its slowest pause between
two messages. What it was relied on for matters in two to three seconds."""


class Members(Protocol):
    """The others that may have a duty."""

    @property
    def changes(self) -> int:
        """Grows when a member comes or goes or tells another size."""

    def sizes(self) -> dict[Member, float]:
        """Return all members, silent ones included, and their sizes."""

    def heard_at(self, member: Member) -> float:
        """Return when a member was heard last; minus infinity for never."""

    def is_stopping(self, member: Member) -> bool:
        """Return whether a member has said that it is about to end."""


class PerformsTask(Protocol):
    """Whether a member does its duty, as far as others can see."""

    def __call__(self, member: Member, *, since: float, first: bool) -> bool:
        """Return whether it does its duty, or may be about to.

        Parameters
        ----------
        since
            Reading of the clock since when it is relied on.
        first
            Whether it is one of the first, who have time to begin.
        """


class Roster:
    """The order in which members take up one duty.

    Parameters
    ----------
    duty
        Name of the duty: members of one size have another order for each.
    places
        Members that are to do the duty.
    most
        Members that have it at once while one of the first ones is there but
        does not do it; None for no more than `places`.
    fills
        Tells those that do the duty from those that only have it; None where
        whoever is not silent does it.
    own
        This entry VM or its domain, which belongs to the order.
    own_size
        Its size.
    others
        The other members.
    """

    def __init__(
        self,
        *,
        duty: str,
        wanted_count: int,
        max_count: int | None = None,
        performs_task: PerformsTask | None = None,
        own: Member,
        own_size: float = 1.0,
        others: Members,
    ) -> None:
        self._duty = duty
        self._places = wanted_count
        self._most = max_count or wanted_count
        self._fills = performs_task
        self._own = own
        self._own_size = own_size
        self._others = others
        self._order: tuple[Member, ...] = (own,)
        self._order_of_changes = -1
        self._relied_on_since: dict[Member, float] = {}
        self.stopping = False
        """Whether this entry VM is about to end and takes up no duty."""

    def on_duty(
        self, *, now: float, wanted_count: int | None = None
    ) -> tuple[Member, ...]:
        """Return who has the duty, in their order.

        Parameters
        ----------
        places
            Members that are to do it; None for as many as usual.
        """
        wanted_count = wanted_count or self._places
        chosen: list[Member] = []
        done = 0
        since_by_id = {}
        for one in self._in_order():
            if len(chosen) >= wanted_count and done >= wanted_count:
                break
            if len(chosen) >= max(wanted_count, self._most):
                break
            since = self._relied_on_since.get(one, now)
            since_by_id[one] = since
            if self._is_silent(one, since=since, now=now):
                continue
            done += self._does_duty(
                one, since, first=len(chosen) < wanted_count
            )
            chosen.append(one)
        # Those behind are trusted anew when they are needed.
        self._relied_on_since = since_by_id
        return tuple(chosen)

    def _does_duty(self, one: Member, since: float, *, first: bool) -> bool:
        """Return whether a member does its duty.

        The first ones have time to begin. While one of them fails, the others
        begin all at once: to wait for each in turn would take too long.
        """
        if self._fills is None:
            return True
        return self._fills(one, since=since, first=first)

    def is_first(self, *, now: float) -> bool:
        """Return whether the own member comes first."""
        return self.on_duty(now=now)[:1] == (self._own,)

    def _is_silent(self, one: Member, *, since: float, now: float) -> bool:
        if one == self._own:
            return self.stopping
        if self._others.is_stopping(one):
            return True
        heard_at = max(self._others.heard_at(one), since)
        return now - heard_at >= SILENT_SECONDS

    def _in_order(self) -> tuple[Member, ...]:
        if self._order_of_changes != self._others.changes:
            self._order_of_changes = self._others.changes
            size_by_member = self._others.sizes()
            size_by_member[self._own] = self._own_size
            self._order = self.order_of(size_by_member)
        return self._order

    def order_of(
        self, size_by_member: Mapping[Member, float]
    ) -> tuple[Member, ...]:
        """Return the order of any members, by their sizes."""
        return tuple(
            sorted(
                size_by_member,
                key=lambda one: (-size_by_member[one], self._hash(one)),
            )
        )

    def _hash(self, one: Member) -> int:
        return xxhash.xxh3_64_intdigest(f"{one}/{self._duty}".encode())
