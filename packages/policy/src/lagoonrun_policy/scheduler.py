"""Scheduler of one shard: assigns its runners to requests."""

from collections.abc import Sequence

from lagoonrun_core import outcomes, types
from lagoonrun_policy import (
    admission,
    class_state,
    cutting,
    decision,
    fair_queue,
    features,
    granting,
    messages,
    permit_table,
    records,
    shard,
    shard_ranking,
    shard_status,
    slots,
    summaries,
)

_SILENCE_CHECK_SECONDS = 5.0


class ShardScheduler:
    """Grants runners by strict tier, with floors and weighted fair sharing.

    Parameters
    ----------
    policy
        Classes, runners and weights of the shard.
    switches
        Features that are enabled.
    """

    def __init__(
        self,
        *,
        policy: messages.ShardPolicy,
        switches: features.Features | None = None,
    ) -> None:
        self._shard = shard.ShardState(
            policy=policy, switches=switches or features.Features()
        )
        self._slots = slots.SlotAccounting(shard_state=self._shard)
        self._admission = admission.Admission(
            shard_state=self._shard,
            slot_accounting=self._slots,
            emit=self._emit,
        )
        self._granting = granting.Granting(
            shard_state=self._shard,
            slot_accounting=self._slots,
            emit=self._emit,
        )
        self._cutting = cutting.Cutting(
            shard_state=self._shard,
            slot_accounting=self._slots,
            emit=self._emit,
        )
        self._actions: list[messages.Action] = []
        self._sequence = 0
        self._silence_check_at = 0.0

    def handle(
        self, event: messages.Event, *, now: float
    ) -> Sequence[messages.Action]:
        """Apply one event at `now` and return the resulting actions."""
        self._actions = []
        match event:
            case messages.PermitRequested():
                self._on_requested(event, now)
            case messages.PermitEnded():
                self._on_ended(event, now)
            case messages.WorkProgressed():
                self._on_progressed(event, now)
                return self._actions
            case messages.LoadReported():
                if not self._on_load(event, now):
                    return self._actions
            case messages.PermitReturned():
                self._on_returned(event)
            case messages.InFlightDigest():
                self._on_digest(event, now)
            case messages.UpstreamChanged():
                self._on_upstream(event)
            case messages.IngressGone():
                self._drop_ingress(event.ingress, now)
            case messages.PolicyChanged():
                self._on_policy(event, now)
            case messages.DispatcherStalled():
                self._slots.require_next_digest()
            case messages.Ticked():
                pass
        self._drop_silent(now)
        self._admission.refuse_expired(now)
        self._granting.grant_waiting(now)
        if self._shard.switches.cutting:
            self._cutting.cut_for_waiting(now)
        return self._actions

    def next_wake(self, *, now: float) -> float | None:
        """Return the latest time for the next `Ticked`, or None."""
        wake_times = []
        for state in self._shard.classes:
            earliest = state.queue.earliest()
            if earliest is not None:
                expected_service_seconds = self._shard.service_estimates(
                    state, now
                ).best
                wake_times.append(earliest.deadline - expected_service_seconds)
                budget = self._shard.target_budget_until(earliest, state, now)
                if budget > now:
                    wake_times.append(budget)
                cut_due_at = self._cutting.due_at(state)
                if self._shard.switches.cutting and cut_due_at > now:
                    wake_times.append(cut_due_at)
        if not wake_times:
            return None
        wake_times.append(max(now, self._silence_check_at))
        probe = self._shard.pool.next_probe()
        if probe is not None and probe > now:
            wake_times.append(probe)
        return min(wake_times)

    @property
    def running_count(self) -> int:
        """Number of granted requests that hold a slot."""
        return len(self._slots.permits.running_by_key)

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return len(self._slots.permits.queued_by_key)

    def is_waiting(self, key: messages.PermitKey) -> bool:
        """Return whether the request is in a queue of the shard."""
        return key in self._slots.permits.queued_by_key

    def waiting_requests(self) -> Sequence[messages.PermitRequested]:
        """Return all waiting requests."""
        queued = self._slots.permits.queued_by_key.values()
        return [one.waiting.request for one in queued]

    def summary(self, *, now: float) -> shard_ranking.ShardView:
        """Return the shard's summary for other failure domains."""
        return summaries.summarise(self._shard, now=now)

    def ejected_runners(self) -> frozenset[types.UpstreamId]:
        """Return the runners that are ejected because of failures."""
        return frozenset(r.id for r in self._shard.pool if r.health.ejected)

    def status(self, *, now: float) -> shard_status.ShardStatus:
        """Return the shard's status for operators."""
        return shard_status.describe(self._shard, now=now)

    def _on_requested(
        self, event: messages.PermitRequested, now: float
    ) -> None:
        self._slots.permits.record_contact(event.ingress, now)
        if self._repeat_answer(event):
            return
        waiting = self._new_waiting(event, now)
        state = self._shard.by_profile.get(event.profile)
        if state is None:
            state = self._shard.placeholder_class(event.profile)
            self._refuse(waiting, state, decision.Phase.CONFIGURATION, now)
            return
        if self._slots.permits.has_ended(event.key):
            self._refuse(waiting, state, decision.Phase.ENDED, now)
            return
        if not self._shard.any_waiting():
            if self._granting.decide_on_arrival(waiting, state, now):
                return
        elif not self._admission.admit(waiting, state, now):
            return
        self._slots.permits.add_queued(
            event.key, permit_table.QueuedPermit(waiting=waiting, state=state)
        )
        state.queue.push(waiting)

    def _on_ended(self, event: messages.PermitEnded, now: float) -> None:
        running = self._slots.permits.running_by_key.get(event.key)
        self._slots.permits.record_ended(event.key)
        if running is None:
            self._slots.withdraw(event.key)
            return
        self._slots.permits.record_contact(running.ingress, now)
        runner = self._shard.pool.get(running.upstream)
        in_flight = runner.in_flight if runner is not None else 0
        self._slots.record_end(event, running, in_flight, now)
        tokens = (
            0
            if event.outcome is outcomes.Outcome.NOT_RUN
            else max(event.tokens, 1)
        )
        self._slots.release(running, tokens=tokens)

    def _on_returned(self, event: messages.PermitReturned) -> None:
        self._slots.permits.record_ended(event.key)
        self._slots.withdraw(event.key)
        running = self._slots.permits.running_by_key.get(event.key)
        if running is not None:
            self._slots.release(running, tokens=0)

    def _on_progressed(
        self, event: messages.WorkProgressed, now: float
    ) -> None:
        running = self._slots.permits.running_by_key.get(event.key)
        if running is None or event.tokens <= running.tokens:
            return
        self._slots.permits.record_contact(running.ingress, now)
        runner = self._shard.pool.get(running.upstream)
        if running.tokens > 0 and runner is not None:
            elapsed = now - running.progressed_at
            produced = event.tokens - running.tokens
            runner.health.observe_pace(elapsed / produced, now)
        running.tokens = event.tokens
        running.progressed_at = now
        self._slots.charge(running, max(running.charged, float(event.tokens)))

    def _on_load(self, event: messages.LoadReported, now: float) -> bool:
        """Apply a load report; return whether the loaded models changed.

        Only such a change can make further requests grantable.
        """
        runner = self._shard.pool.get(event.upstream)
        if runner is None:
            return False
        before = runner.models
        runner.apply_report(event, now)
        return runner.models != before

    def _on_digest(self, event: messages.InFlightDigest, now: float) -> None:
        self._slots.permits.record_contact(event.ingress, now)
        may_register = self._slots.permits.may_register(event.ingress, now)
        listed = {w.key for w in event.running}
        for request in event.running:
            if request.key in self._slots.permits.running_by_key:
                self._slots.permits.running_by_key[
                    request.key
                ].missed_digests = 0
            elif may_register and not self._slots.permits.has_ended(
                request.key
            ):
                self._slots.register_running(request, event.ingress, now)
        listed.update(event.waiting)
        for key in self._slots.permits.keys_of(event.ingress):
            if key not in listed:
                self._slots.record_unlisted(key, now)

    def _on_upstream(self, event: messages.UpstreamChanged) -> None:
        self._shard.pool.set_state(event.upstream, event.state)
        self._shard.invalidate_estimates()

    def _drop_ingress(self, ingress: types.EntryVmId, now: float) -> None:
        """Remove all permits of an ingress.

        If it is alive after all, its digests register its requests again.
        """
        self._slots.permits.record_gone(ingress, now)
        for key in self._slots.permits.keys_of(ingress):
            self._slots.withdraw(key)
            running = self._slots.permits.running_by_key.get(key)
            if running is not None:
                self._slots.release(running, tokens=max(running.tokens, 1))

    def _on_policy(self, event: messages.PolicyChanged, now: float) -> None:
        for state in self._shard.configure(event.policy):
            for waiting in list(state.queue):
                self._slots.withdraw(waiting.request.key)
                self._refuse(waiting, state, decision.Phase.CONFIGURATION, now)

    def _drop_silent(self, now: float) -> None:
        if now < self._silence_check_at:
            return
        self._silence_check_at = now + _SILENCE_CHECK_SECONDS
        for ingress in self._slots.permits.silent_ingresses(now):
            self._drop_ingress(ingress, now)

    def _repeat_answer(self, event: messages.PermitRequested) -> bool:
        """Answer a repeated request; return whether it was one.

        An ingress that repeats a request has lost the answer: it gets the
        same grant again, which takes no second slot.
        """
        if event.key in self._slots.permits.queued_by_key:
            return True
        running = self._slots.permits.running_by_key.get(event.key)
        if running is None:
            return False
        if running.grant is not None:
            self._actions.append(running.grant)
        return True

    def _new_waiting(
        self, event: messages.PermitRequested, now: float
    ) -> fair_queue.WaitingRequest:
        self._sequence += 1
        return fair_queue.WaitingRequest(
            request=event,
            arrived_at=now,
            deadline=now + event.remaining_seconds,
            target_deadline=now + event.remaining_target_seconds,
            sequence=self._sequence,
        )

    def _refuse(
        self,
        waiting: fair_queue.WaitingRequest,
        state: class_state.ClassState,
        phase: decision.Phase,
        now: float,
    ) -> None:
        verdict, record = records.decide(
            shard_state=self._shard,
            waiting=waiting,
            state=state,
            phase=phase,
            now=now,
        )
        self._actions.append(records.refusal(waiting, verdict, record))

    def _emit(self, action: messages.Action) -> None:
        self._actions.append(action)
