"""Select the dispatcher to ask for a permit of a shard."""

import dataclasses
import math
from collections.abc import Sequence
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import types


class Ranking(Protocol):
    """Preference order of entry VMs as dispatchers of a shard."""

    def ranked_for(self, shard: types.ShardId) -> Sequence[types.EntryVmId]:
        """Return the live entry VMs that may dispatch `shard`, best first."""


@dataclasses.dataclass(kw_only=True)
class SearchState:
    """State of one request's search for a dispatcher.

    Parameters
    ----------
    silent
        Dispatchers that did not reply to this request.
    declined
        Dispatchers that replied that they do not own the shard.
    hint
        Owner named by the last of those replies.
    asks
        Permit requests sent so far.
    """

    silent: set[types.EntryVmId] = dataclasses.field(default_factory=set)
    declined: set[types.EntryVmId] = dataclasses.field(default_factory=set)
    hint: types.EntryVmId | None = None
    asks: int = 0


class DispatcherSearch:
    """Choose which dispatcher to ask, skipping recently silent ones.

    Parameters
    ----------
    ranking
        Preference order of dispatchers according to the membership.
    clock
        Source of time.
    skip_seconds
        How long later requests skip a silent dispatcher, so that not every
        one of them waits for its timeout.
    """

    def __init__(
        self, *, ranking: Ranking, clock: clocks.Clock, skip_seconds: float
    ) -> None:
        self._ranking = ranking
        self._clock = clock
        self._skip_seconds = skip_seconds
        self._silent_until_by_vm: dict[types.EntryVmId, float] = {}
        self._last_message_at_by_vm: dict[types.EntryVmId, float] = {}

    def choose(
        self, shard: types.ShardId, search: SearchState
    ) -> types.EntryVmId | None:
        """Return the dispatcher to ask next, or None if all were silent."""
        hint, search.hint = search.hint, None
        asked = search.silent | search.declined
        if hint is not None and hint not in asked:
            return hint
        ranked = [
            vm
            for vm in self._ranking.ranked_for(shard)
            if vm not in search.silent
        ]
        responsive = [vm for vm in ranked if not self._is_skipped(vm)]
        candidates = responsive or ranked
        return candidates[0] if candidates else None

    def is_handover(
        self,
        shard: types.ShardId,
        dispatcher: types.EntryVmId,
        search: SearchState,
    ) -> bool:
        """Return whether `dispatcher` must accept the shard as a handover.

        That is the case if higher-ranked entry VMs do not reply. It is also
        the case if `dispatcher` has declined the shard before: otherwise two
        entry VMs that each name the other as the owner would send a request
        back and forth.
        """
        if search.silent or dispatcher in search.declined:
            return True
        ranked = self._ranking.ranked_for(shard)
        return not ranked or ranked[0] != dispatcher

    def owner_of(self, shard: types.ShardId) -> types.EntryVmId | None:
        """Return the dispatcher that would be asked first for `shard` now."""
        return self.choose(shard, SearchState())

    def record_silence(self, dispatcher: types.EntryVmId) -> bool:
        """Record that a dispatcher did not reply.

        Returns
        -------
        bool
            Whether it was not being skipped already.
        """
        was_skipped = self._is_skipped(dispatcher)
        until = self._clock.monotonic() + self._skip_seconds
        self._silent_until_by_vm[dispatcher] = until
        return not was_skipped

    def record_message(self, dispatcher: types.EntryVmId) -> bool:
        """Record a message of a dispatcher.

        Returns
        -------
        bool
            Whether it was being skipped until now.
        """
        self._last_message_at_by_vm[dispatcher] = self._clock.monotonic()
        was_skipped = self._is_skipped(dispatcher)
        self._silent_until_by_vm.pop(dispatcher, None)
        return was_skipped

    def received_since(self, dispatcher: types.EntryVmId, at: float) -> bool:
        """Return whether a dispatcher has sent a message since `at`."""
        return self._last_message_at_by_vm.get(dispatcher, -math.inf) >= at

    def _is_skipped(self, entry_vm: types.EntryVmId) -> bool:
        until = self._silent_until_by_vm.get(entry_vm, 0.0)
        return until > self._clock.monotonic()
