"""Preemption: cuts running requests of the lowest tier for a higher one.

Disabled by default: the work done for a cut request is wasted, and only a
measurement can show whether the trade pays off.
"""

from collections.abc import Callable

from lagoonrun_core import outcomes, types
from lagoonrun_policy import class_state, messages, permit_table, shard, slots

_WAIT_FRACTION = 0.25
"""Fraction of its target that a request waits before others are cut."""


class Cutting:
    """Selects the running requests to cut.

    Parameters
    ----------
    shard_state
        The shard whose requests may be cut.
    slot_accounting
        Slots and permits of the shard.
    emit
        Called with each cut.
    """

    def __init__(
        self,
        *,
        shard_state: shard.ShardState,
        slot_accounting: slots.SlotAccounting,
        emit: Callable[[messages.Action], None],
    ) -> None:
        self._shard = shard_state
        self._slots = slot_accounting
        self._emit = emit

    def cut_for_waiting(self, now: float) -> None:
        """Cut for the first class whose earliest request waits too long.

        At most one running request is cut per waiting request of the class.
        """
        for state in self._shard.classes:
            due = self.due_at(state)
            if due is None or now < due:
                continue
            self._cut_for(state)
            return

    def due_at(self, state: class_state.ClassState) -> float | None:
        """Return when requests are cut for the class; None if none waits."""
        earliest = state.queue.earliest()
        if earliest is None:
            return None
        allowed_wait = _WAIT_FRACTION * state.policy.target_seconds
        return earliest.arrived_at + allowed_wait

    def _cut_for(self, state: class_state.ClassState) -> None:
        running = self._slots.permits.running_by_key.values()
        lowest = max(
            (r.state.policy.tier for r in running if r.state is not None),
            default=state.policy.tier,
        )
        if lowest <= state.policy.tier:
            return
        cuts_in_progress = sum(r.cut for r in running)
        victims = sorted(
            (r for r in running if self._may_cut(r, lowest)),
            key=lambda r: (r.tokens, r.key.request_id, r.key.attempt_id),
        )
        for victim in victims[: max(0, state.queue.length - cuts_in_progress)]:
            victim.cut = True
            self._emit(
                messages.Cut(
                    key=victim.key,
                    ingress=victim.ingress,
                    upstream=victim.upstream,
                    reason=outcomes.Reason.CUT_FOR_HIGHER_TIER,
                )
            )

    def _may_cut(
        self, running: permit_table.RunningPermit, lowest: types.Tier
    ) -> bool:
        """Return whether the running request may be cut.

        Only the lowest running tier is cut: cutting a middle tier while a
        lower one continues would invert the priorities. Only idempotent
        requests are cut, since the caller must be able to retry.
        """
        state = running.state
        if state is None or running.cut or not state.policy.idempotent:
            return False
        return state.policy.tier == lowest
