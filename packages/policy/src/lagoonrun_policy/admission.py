"""Admission control: refusals on arrival, at the deadline and by shedding."""

from collections.abc import Callable

from lagoonrun_core import outcomes
from lagoonrun_policy import (
    class_state,
    decision,
    fair_queue,
    messages,
    records,
    shard,
    slots,
)

_WAIT_CONFIDENCE = 0.7
"""Fraction of the estimated wait that counts against an arrival's deadline.

Answers may end sooner than estimated; counting the whole estimate would
refuse requests that could have been served in time.
"""


class Admission:
    """Decides which requests may wait and which are refused.

    Parameters
    ----------
    shard_state
        The shard that requests are admitted to.
    slot_accounting
        Slots and permits of the shard.
    emit
        Called with each refusal.
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

    def admit(
        self,
        waiting: fair_queue.WaitingRequest,
        state: class_state.ClassState,
        now: float,
    ) -> bool:
        """Return whether an arrival may wait; emit the refusals that follow.

        The arrival is refused, or a waiting request in its favour.
        """
        expected_wait = self._expected_wait(state, waiting, now)
        expected_service_seconds = self._shard.service_estimates(
            state, now
        ).best
        remaining = waiting.deadline - now
        if expected_wait + expected_service_seconds > remaining:
            expected_wait = self._refuse_overtaken(
                state, waiting, expected_wait, now
            )
        sheddable = self._shard.sheddable_below(state)
        reason = decision.refusal_reason(
            phase=decision.Phase.ARRIVAL,
            remaining_seconds=remaining,
            expected_service_seconds=expected_service_seconds,
            expected_wait_seconds=expected_wait,
            queue_length=state.queue.length,
            queue_capacity=state.capacity,
            lower_tier_waiting=sheddable,
        )
        # The check of every runner is needed only where all of them may be
        # permanently excluded.
        request = waiting.request
        may_lack_upstream = (
            bool(request.excluded)
            or bool(request.model)
            or not self._shard.pool.any_usable()
        )
        if reason is not outcomes.Reason.NONE or may_lack_upstream:
            verdict, record = records.decide(
                shard_state=self._shard,
                waiting=waiting,
                state=state,
                phase=decision.Phase.ARRIVAL,
                now=now,
                expected_wait_seconds=expected_wait,
            )
            if verdict.kind is decision.VerdictKind.REFUSE:
                self._emit(records.refusal(waiting, verdict, record))
                return False
        if state.queue.length >= state.capacity:
            self._shed_lower_tier(state, now)
        return True

    def _refuse_overtaken(
        self,
        state: class_state.ClassState,
        waiting: fair_queue.WaitingRequest,
        expected_wait: float,
        now: float,
    ) -> float:
        """Refuse a late request of the organisation that cannot be served.

        Returns the arrival's expected wait, 0 after a refusal. A new request
        is served before those of its organisation that have missed their
        target; refusing the new one in their favour would miss its target
        as well.
        """
        overtaken = state.queue.earliest_late(
            waiting.request.organisation,
            target_cutoff=self._shard.target_cutoff(state, now),
        )
        if overtaken is None or overtaken.deadline >= waiting.deadline:
            return expected_wait
        if waiting.target_deadline < self._shard.target_cutoff(state, now):
            return expected_wait
        verdict, record = records.decide(
            shard_state=self._shard,
            waiting=overtaken,
            state=state,
            phase=decision.Phase.OVERTAKEN,
            now=now,
            expected_wait_seconds=expected_wait,
        )
        if verdict.kind is not decision.VerdictKind.REFUSE:
            return expected_wait
        self._slots.withdraw(overtaken.request.key)
        self._emit(records.refusal(overtaken, verdict, record))
        return 0.0

    def _expected_wait(
        self,
        state: class_state.ClassState,
        waiting: fair_queue.WaitingRequest,
        now: float,
    ) -> float:
        if (
            not self._shard.switches.wait_refusal
            or not self._shard.switches.deadline_refusal
        ):
            return 0.0
        if state.queue.length == 0 or self._shard.pool.free(now):
            return 0.0
        ahead = state.queue.ahead_of(waiting.request.organisation)
        return _WAIT_CONFIDENCE * self._shard.drain_seconds(state, ahead, now)

    def _shed_lower_tier(
        self, state: class_state.ClassState, now: float
    ) -> None:
        for lowest in sorted(
            self._shard.classes, key=lambda c: c.policy.tier, reverse=True
        ):
            if lowest.policy.tier <= state.policy.tier:
                return
            if lowest.sheddable == 0:
                continue
            shed = lowest.queue.shed_candidate()
            if shed is None:
                continue
            verdict, record = records.decide(
                shard_state=self._shard,
                waiting=shed,
                state=lowest,
                phase=decision.Phase.SHED,
                now=now,
            )
            self._slots.withdraw(shed.request.key)
            self._emit(records.refusal(shed, verdict, record))
            return

    def refuse_expired(self, now: float) -> None:
        """Refuse waiting requests that can no longer meet their deadline."""
        usable = self._shard.pool.any_usable()
        for state in self._shard.classes:
            if state.queue.length == 0:
                continue
            expected_service_seconds = self._shard.service_estimates(
                state, now
            ).best
            while True:
                earliest = state.queue.earliest()
                if earliest is None:
                    break
                remaining = earliest.deadline - now
                if (
                    usable
                    and remaining > 0
                    and expected_service_seconds <= remaining
                ):
                    break
                verdict, record = records.decide(
                    shard_state=self._shard,
                    waiting=earliest,
                    state=state,
                    phase=decision.Phase.EXPIRY,
                    now=now,
                )
                self._slots.withdraw(earliest.request.key)
                self._emit(records.refusal(earliest, verdict, record))
