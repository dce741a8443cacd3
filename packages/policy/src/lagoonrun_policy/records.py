"""Decide on one request and write down what the decision rests on."""

from collections.abc import Set

from lagoonrun_core import types
from lagoonrun_policy import (
    class_state,
    decision,
    fair_queue,
    floors,
    messages,
    shard,
)


def decide(
    *,
    shared: shard.Shard,
    waiting: fair_queue.Waiting,
    state: class_state.ClassState,
    phase: decision.Phase,
    now: float,
    expected_wait_seconds: float = 0.0,
    kept: Set[types.UpstreamId] = frozenset(),
    floor: bool = False,
) -> tuple[decision.Verdict, messages.DecisionRecord]:
    """Gather the inputs, decide, and record both.

    Parameters
    ----------
    kept
        Free runners that are kept for a higher tier.
    floor
        Whether the class's floor pays for a grant.
    """
    margins = shared.margins_of(state, now)
    remaining = waiting.deadline - now
    target_budget = shared.target_budget(waiting, state, now)
    queue_length = state.queue.length
    inputs = decision.DecisionInputs(
        key=waiting.request.key,
        phase=phase,
        remaining_seconds=remaining,
        expected_service_seconds=margins.best,
        expected_wait_seconds=expected_wait_seconds,
        drain_seconds=shared.drain_seconds(state, queue_length, now),
        queue_length=queue_length,
        queue_capacity=state.capacity,
        lower_tier_waiting=shared.sheddable_below(state),
        candidates=shared.pool.candidates(
            request=waiting.request,
            profile=state.policy,
            margins=margins.by_id,
            kept=kept,
            remaining_seconds=remaining,
            target_budget_seconds=target_budget,
            now=now,
        ),
    )
    verdict = decision.decide(inputs)
    record = messages.DecisionRecord(
        key=inputs.key,
        shard=shared.policy.shard,
        revision=shared.policy.revision,
        profile=state.policy.name,
        tier=state.policy.tier,
        organisation=waiting.request.organisation,
        waited_seconds=now - waiting.arrived_at,
        remaining_seconds=remaining,
        expected_service_seconds=margins.best,
        expected_samples=margins.samples,
        queue_length=queue_length,
        queue_capacity=inputs.queue_capacity,
        ahead_in_queue=queue_length,
        higher_tier_waiting=shared.waiting_above(state),
        lower_tier_waiting=inputs.lower_tier_waiting,
        floor_grant=floor,
        candidates=inputs.candidates,
        verdict=verdict.kind.value,
        upstream=verdict.upstream,
        reason=verdict.reason,
        retry_after_seconds=verdict.retry_after_seconds,
        phase=phase.value,
        expected_wait_seconds=expected_wait_seconds,
        drain_seconds=inputs.drain_seconds,
        target_budget_seconds=target_budget,
        reserved_floor_share=floors.reserved_share(state, shared.classes),
    )
    return verdict, record


def refusal(
    waiting: fair_queue.Waiting,
    verdict: decision.Verdict,
    record: messages.DecisionRecord,
) -> messages.Refuse:
    """Return the action that tells the ingress of a refusal."""
    return messages.Refuse(
        key=waiting.request.key,
        ingress=waiting.request.ingress,
        reason=verdict.reason,
        retry_after_seconds=verdict.retry_after_seconds,
        record=record,
    )
