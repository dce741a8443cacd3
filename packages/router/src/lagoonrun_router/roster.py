"""Selection of the members that perform a duty, a task for all members.

Members are the entry VMs of a failure domain or the failure domains of a fleet.
All entry VMs compute the same order: larger members first, equal ones by a
hash. The first ones that are not silent are selected. There is no election and
no consensus, so different members may be selected by different views for a
short time, which each duty has to tolerate.

A member that was not selected so far may never have sent this entry VM a
message. It is passed over only if it stays silent for `SILENT_SECONDS` after
its selection.
"""

from collections.abc import Mapping
from typing import Protocol

import xxhash

from lagoonrun_core import types

Member = types.EntryVmId | types.FailureDomain

SILENT_SECONDS = 1.0
"""Silence after which a member is passed over: twice the longest interval
between its messages. The duties it was selected for must be performed again
within two to three seconds."""


class Members(Protocol):
    """The other members that may be selected."""

    @property
    def changes(self) -> int:
        """Incremented when a member comes or goes, or its size changes."""

    def sizes(self) -> dict[Member, float]:
        """Return the sizes of all members, including silent ones."""

    def heard_at(self, member: Member) -> float:
        """Return the last contact with a member; minus infinity without one."""

    def is_stopping(self, member: Member) -> bool:
        """Return whether a member has announced that it is about to stop."""


class PerformsTask(Protocol):
    """Tells whether a selected member visibly performs the duty."""

    def __call__(self, member: Member, *, since: float, first: bool) -> bool:
        """Return whether the member performs the duty, or may be about to.

        Parameters
        ----------
        since
            Monotonic time since when the member is selected.
        first
            Whether it is among the first `wanted_count`, which are given time
            to begin.
        """


class Roster:
    """Selects the members that perform one duty.

    Parameters
    ----------
    duty
        Name of the duty; the order of members of equal size depends on it.
    wanted_count
        Number of members that should perform the duty.
    max_count
        Maximum number of members that are selected while one of the first is
        not silent but does not perform the duty; None for `wanted_count`.
    performs_task
        Tells whether a selected member performs the duty; None if each member
        that is not silent does.
    own
        This entry VM or its failure domain, which is one of the members.
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
        self._wanted_count = wanted_count
        self._max_count = max_count or wanted_count
        self._performs_task = performs_task
        self._own = own
        self._own_size = own_size
        self._others = others
        self._order: tuple[Member, ...] = (own,)
        self._order_changes = -1
        self._selected_since: dict[Member, float] = {}
        self.stopping = False
        """Whether this entry VM is about to stop and is not to be selected."""

    def on_duty(
        self, *, now: float, wanted_count: int | None = None
    ) -> tuple[Member, ...]:
        """Return the selected members in their order.

        Parameters
        ----------
        wanted_count
            Number of members that should perform the duty; None for the usual
            one.
        """
        wanted_count = wanted_count or self._wanted_count
        selected: list[Member] = []
        performing = 0
        since_by_member = {}
        for one in self._ordered():
            if len(selected) >= wanted_count and performing >= wanted_count:
                break
            if len(selected) >= max(wanted_count, self._max_count):
                break
            since = self._selected_since.get(one, now)
            since_by_member[one] = since
            if self._is_silent(one, since=since, now=now):
                continue
            performing += self._is_performing(
                one, since, first=len(selected) < wanted_count
            )
            selected.append(one)
        # Members further back get a new period to send a message when needed.
        self._selected_since = since_by_member
        return tuple(selected)

    def _is_performing(self, one: Member, since: float, *, first: bool) -> bool:
        """Return whether a selected member performs the duty.

        The first ones are given time to begin. While one of them fails to, the
        others begin all at once: waiting for each in turn would take too long.
        """
        if self._performs_task is None:
            return True
        return self._performs_task(one, since=since, first=first)

    def is_first(self, *, now: float) -> bool:
        """Return whether the own member is the first one selected."""
        return self.on_duty(now=now)[:1] == (self._own,)

    def _is_silent(self, one: Member, *, since: float, now: float) -> bool:
        if one == self._own:
            return self.stopping
        if self._others.is_stopping(one):
            return True
        heard_at = max(self._others.heard_at(one), since)
        return now - heard_at >= SILENT_SECONDS

    def _ordered(self) -> tuple[Member, ...]:
        if self._order_changes != self._others.changes:
            self._order_changes = self._others.changes
            size_by_member = self._others.sizes()
            size_by_member[self._own] = self._own_size
            self._order = self.order_of(size_by_member)
        return self._order

    def order_of(
        self, size_by_member: Mapping[Member, float]
    ) -> tuple[Member, ...]:
        """Return the given members in their order, from their sizes."""
        return tuple(
            sorted(
                size_by_member,
                key=lambda one: (-size_by_member[one], self._hash(one)),
            )
        )

    def _hash(self, one: Member) -> int:
        return xxhash.xxh3_64_intdigest(f"{one}/{self._duty}".encode())
