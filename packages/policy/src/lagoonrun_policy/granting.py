"""Slot granting by tier, with floors, to the runner with the best score."""

from collections.abc import Callable

from lagoonrun_core import types
from lagoonrun_policy import (
    class_state,
    decision,
    fair_queue,
    floors,
    messages,
    permit_table,
    records,
    runners,
    shard,
    slots,
)

_SCAN_LIMIT = 8
"""Maximum requests of a class that are tried against the free runners."""

_URGENT_FRACTION = 0.5
"""Fraction of its initial slack below which a request is urgent."""


class Granting:
    """Grants free slots to waiting requests.

    Parameters
    ----------
    shard_state
        The shard whose slots are granted.
    slot_accounting
        Slots and permits of the shard.
    emit
        Called with each grant, and with each refusal decided on the way.
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
        self._sequence = 0

    def decide_on_arrival(
        self,
        waiting: fair_queue.WaitingRequest,
        state: class_state.ClassState,
        now: float,
    ) -> bool:
        """Grant or refuse an arrival that finds no other request waiting.

        Returns
        -------
        bool
            False if it has to wait.
        """
        verdict, record = records.decide(
            shard_state=self._shard,
            waiting=waiting,
            state=state,
            phase=decision.Phase.ARRIVAL,
            now=now,
        )
        if verdict.kind is decision.VerdictKind.GRANT:
            self._grant(waiting, state, verdict, record, now)
        elif verdict.kind is decision.VerdictKind.REFUSE:
            self._emit(records.refusal(waiting, verdict, record))
        return verdict.kind is not decision.VerdictKind.WAIT

    def grant_waiting(self, now: float) -> None:
        """Grant until no waiting request fits a free runner."""
        while self._shard.any_waiting():
            free = self._shard.pool.free(now)
            if not free or not self._grant_one(free, now):
                return

    def _grant_one(self, free: list[runners.RunnerState], now: float) -> bool:
        in_order = sorted(
            (c for c in self._shard.classes if c.queue.length > 0),
            key=lambda c: c.service_order,
        )
        if len(in_order) > 1:
            floor = self._floor_due(in_order[1:], now)
            if floor is not None and self._grant_from(
                floor, free, now, set(), floor=True
            ):
                return True
        kept: set[types.UpstreamId] = set()
        return any(
            self._grant_from(state, free, now, kept, floor=False)
            for state in in_order
        )

    def _floor_due(
        self, passed_over: list[class_state.ClassState], now: float
    ) -> class_state.ClassState | None:
        if not self._shard.switches.floors:
            return None
        total_capacity = self._shard.pool.total_capacity()
        class_due = floors.class_due(passed_over, total_capacity)
        if class_due is not None:
            return class_due
        for state in passed_over:
            if self._is_urgent(state, now) and self._keeps_higher_deadlines(
                state, now
            ):
                return state
        return None

    def _is_urgent(self, state: class_state.ClassState, now: float) -> bool:
        earliest = state.queue.earliest()
        if earliest is None or state.floor_running > 0:
            return False
        expected_service_seconds = self._shard.service_estimates(
            state, now
        ).best
        slack = earliest.deadline - expected_service_seconds - now
        return slack < _URGENT_FRACTION * (
            state.policy.limit_seconds - expected_service_seconds
        )

    def _keeps_higher_deadlines(
        self, state: class_state.ClassState, now: float
    ) -> bool:
        return floors.keeps_higher_deadlines(
            state,
            self._shard.classes,
            total_capacity=self._shard.pool.total_capacity(),
            services=self._shard.services,
            expected_service_by_class={
                c: self._shard.service_estimates(c, now).best
                for c in self._shard.classes
            },
            now=now,
        )

    def _grant_from(
        self,
        state: class_state.ClassState,
        free: list[runners.RunnerState],
        now: float,
        kept: set[types.UpstreamId],
        *,
        floor: bool,
    ) -> bool:
        """Grant the class's next request that fits a free runner.

        If the scan ends at its limit, the usable runners are added to `kept`:
        a request beyond the limit may fit them, and a lower class must not
        get a runner that a higher one could use.
        """
        expected_service_by_id = self._shard.service_estimates(state, now).by_id
        longest = state.queue.latest_deadline - now
        usable = [
            r.id
            for r in free
            if r.id not in kept
            and expected_service_by_id.get(r.id, 0.0) <= longest
        ]
        if not usable:
            return False
        skipped: list[fair_queue.WaitingRequest] = []
        granted = False
        target_cutoff = self._shard.target_cutoff(state, now)
        while len(skipped) < _SCAN_LIMIT:
            waiting = state.queue.pop(target_cutoff=target_cutoff)
            if waiting is None:
                break
            verdict, record = records.decide(
                shard_state=self._shard,
                waiting=waiting,
                state=state,
                phase=decision.Phase.TURN,
                now=now,
                kept=kept,
                floor=floor,
            )
            if verdict.kind is decision.VerdictKind.WAIT:
                skipped.append(waiting)
                continue
            self._slots.permits.remove_queued(waiting.request.key)
            if verdict.kind is decision.VerdictKind.REFUSE:
                self._emit(records.refusal(waiting, verdict, record))
                continue
            self._grant(waiting, state, verdict, record, now)
            granted = True
            break
        for waiting in skipped:
            state.queue.push(waiting)
        if not granted and len(skipped) == _SCAN_LIMIT and not floor:
            kept.update(usable)
        return granted

    def _grant(
        self,
        waiting: fair_queue.WaitingRequest,
        state: class_state.ClassState,
        verdict: decision.Verdict,
        record: messages.DecisionRecord,
        now: float,
    ) -> None:
        request = waiting.request
        grant = messages.Grant(
            key=request.key,
            ingress=request.ingress,
            upstream=verdict.upstream,
            record=record,
        )
        self._emit(grant)
        running = permit_table.RunningPermit(
            key=request.key,
            ingress=request.ingress,
            state=state,
            organisation=request.organisation,
            upstream=verdict.upstream,
            granted_at=now,
            floor=record.floor_grant,
            grant=grant,
        )
        self._slots.occupy(running)
        self._slots.charge(running, state.expected_tokens)
        self._shard.pool.affinity.record_served(
            organisation=request.organisation,
            prefix=request.prefix_hash,
            upstream=verdict.upstream,
            now=now,
        )
        self._sequence += 1
        state.last_grant_sequence = self._sequence
        if record.floor_grant:
            state.floor_credit = max(0.0, state.floor_credit - 1.0)
            return
        if self._shard.switches.floors:
            floors.earn_credit(
                state, self._shard.classes, self._shard.floor_scale
            )
