"""Find the dispatcher that answers for a shard."""

import dataclasses
import math
from collections.abc import Sequence
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import types


class Ranking(Protocol):
    """Order in which entry VMs dispatch a shard."""

    def ranked_for(self, shard: types.ShardId) -> Sequence[types.EntryVmId]:
        """Return the live entry VMs that may dispatch `shard`, best first."""


@dataclasses.dataclass(kw_only=True)
class Search:
    """Dispatchers that one request has met so far.

    Parameters
    ----------
    silent
        Did not answer this request.
    disowned
        Answered that the shard is not theirs.
    hint
        Owner that the last of those named.
    asks
        Asks so far.
    """

    silent: set[types.EntryVmId] = dataclasses.field(default_factory=set)
    disowned: set[types.EntryVmId] = dataclasses.field(default_factory=set)
    hint: types.EntryVmId | None = None
    asks: int = 0


class DispatcherSearch:
    """Choose whom to ask, passing over those that were silent lately.

    Parameters
    ----------
    ranking
        Who dispatches which shard, as the membership has it.
    clock
        Source of time.
    memory_seconds
        How long a silent dispatcher is passed over by later requests, so
        that not each of them waits for it anew.
    """

    def __init__(
        self, *, ranking: Ranking, clock: clocks.Clock, memory_seconds: float
    ) -> None:
        self._ranking = ranking
        self._clock = clock
        self._memory_seconds = memory_seconds
        self._silent_until_by_vm: dict[types.EntryVmId, float] = {}
        self._heard_at_by_vm: dict[types.EntryVmId, float] = {}

    def choose(
        self, shard: types.ShardId, search: Search
    ) -> types.EntryVmId | None:
        """Return whom to ask next, None if all were silent."""
        hint, search.hint = search.hint, None
        met = search.silent | search.disowned
        if hint is not None and hint not in met:
            return hint
        ranked = [
            vm
            for vm in self._ranking.ranked_for(shard)
            if vm not in search.silent
        ]
        audible = [vm for vm in ranked if not self._was_silent(vm)]
        candidates = audible or ranked
        return candidates[0] if candidates else None

    def is_handover(
        self,
        shard: types.ShardId,
        dispatcher: types.EntryVmId,
        search: Search,
    ) -> bool:
        """Return whether those ranked before `dispatcher` do not answer.

        Also where it has disowned the shard once: two entry VMs that each
        believe in the other would send a request back and forth.
        """
        if search.silent or dispatcher in search.disowned:
            return True
        ranked = self._ranking.ranked_for(shard)
        return not ranked or ranked[0] != dispatcher

    def owner_of(self, shard: types.ShardId) -> types.EntryVmId | None:
        """Return who is asked first for `shard` at present."""
        return self.choose(shard, Search())

    def note_silence(self, dispatcher: types.EntryVmId) -> bool:
        """Take in that a dispatcher did not answer.

        Returns
        -------
        bool
            Whether it was not passed over before.
        """
        known = self._was_silent(dispatcher)
        until = self._clock.monotonic() + self._memory_seconds
        self._silent_until_by_vm[dispatcher] = until
        return not known

    def note_sign_of_life(self, dispatcher: types.EntryVmId) -> bool:
        """Take in a message of a dispatcher.

        Returns
        -------
        bool
            Whether it was passed over before.
        """
        self._heard_at_by_vm[dispatcher] = self._clock.monotonic()
        passed_over = self._was_silent(dispatcher)
        self._silent_until_by_vm.pop(dispatcher, None)
        return passed_over

    def heard_since(self, dispatcher: types.EntryVmId, at: float) -> bool:
        """Return whether a dispatcher has sent a message since `at`."""
        return self._heard_at_by_vm.get(dispatcher, -math.inf) >= at

    def _was_silent(self, entry_vm: types.EntryVmId) -> bool:
        until = self._silent_until_by_vm.get(entry_vm, 0.0)
        return until > self._clock.monotonic()
