"""Entries of the store that contradict what else is known of their upstreams.

A restored store lists upstreams that have left, another writer may overwrite an
entry, and an answer or a peer may say that an upstream is gone while its entry
still says that it serves. Only the upstream itself keeps its entry in the store:
the entry of one that has ended is removed after three heartbeats. So an entry
that contradicts is set aside, and believed if it stands long enough.
"""

import dataclasses
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_router import registration as registrations

REWRITTEN_SECONDS = 3.0
"""Time for which an entry has to stand that was written after the word that it
contradicts. An upstream writes its own at each heartbeat, about every 1.2 s, so a
late write of an ended process, or of another writer, is corrected within it."""

UNCHANGED_SECONDS = 10.0
"""The same for an entry that was not written since. The lease of an entry whose
upstream has ended runs out after three heartbeats, about four seconds."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Deferred:
    registration: registrations.Registration
    due_at: float


class DeferredEntries:
    """Entries that are set aside until they have stood for long enough."""

    def __init__(self) -> None:
        self._deferred_by_id: dict[types.UpstreamId, _Deferred] = {}
        self._current_since: float | None = float("-inf")

    def has(self, upstream: types.UpstreamId) -> bool:
        """Return whether an entry of an upstream is set aside."""
        return upstream in self._deferred_by_id

    def put(
        self,
        registration: registrations.Registration,
        *,
        rewritten: bool,
        now: float,
    ) -> None:
        """Set an entry aside.

        Parameters
        ----------
        rewritten
            Whether it was written after the word that it contradicts.
        """
        seconds = REWRITTEN_SECONDS if rewritten else UNCHANGED_SECONDS
        before = self._deferred_by_id.get(registration.id)
        due_at = now + seconds
        if before is not None:
            due_at = max(due_at, before.due_at) if rewritten else before.due_at
        self._deferred_by_id[registration.id] = _Deferred(
            registration=registration, due_at=due_at
        )

    def discard(self, upstream: types.UpstreamId) -> None:
        """Drop the entry of an upstream, which was removed or replaced."""
        self._deferred_by_id.pop(upstream, None)

    def retain(self, present: Iterable[types.UpstreamId]) -> None:
        """Drop the entries that a listing lacks."""
        for id in self._deferred_by_id.keys() - set(present):
            del self._deferred_by_id[id]

    def observe_reading(self, *, is_current: bool, now: float) -> None:
        """Record whether this entry VM learns of changes of the store.

        While it does not, it would not learn that an entry was removed, and an
        entry that stands proves nothing.
        """
        if not is_current:
            self._current_since = None
        elif self._current_since is None:
            self._current_since = now

    def pop_due(self, *, now: float) -> tuple[registrations.Registration, ...]:
        """Return and drop the entries that have stood for long enough."""
        if not self._deferred_by_id or self._current_since is None:
            return ()
        if now - self._current_since < UNCHANGED_SECONDS:
            return ()
        due = tuple(
            one.registration
            for one in self._deferred_by_id.values()
            if now >= one.due_at
        )
        for registration in due:
            del self._deferred_by_id[registration.id]
        return due
