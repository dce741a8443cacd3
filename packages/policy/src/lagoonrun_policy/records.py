"""Decisions on requests, with records of their inputs."""

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
    shard_state: shard.ShardState,
    waiting: fair_queue.WaitingRequest,
    state: class_state.ClassState,
    phase: decision.Phase,
    now: float,
    expected_wait_seconds: float = 0.0,
    kept: Set[types.UpstreamId] = frozenset(),
    floor: bool = False,
) -> tuple[decision.Verdict, messages.DecisionRecord]:
    """Collect the inputs, decide, and return the verdict with its record.

    Parameters
    ----------
    kept
        Free runners that are reserved for a higher tier.
    floor
        Whether a grant is made on the class's floor.
    """
    service_estimates = shard_state.service_estimates(state, now)
    remaining = waiting.deadline - now
    target_budget = shard_state.target_budget(waiting, state, now)
    queue_length = state.queue.length
    inputs = decision.DecisionInputs(
        key=waiting.request.key,
        phase=phase,
        remaining_seconds=remaining,
        expected_service_seconds=service_estimates.best,
        expected_wait_seconds=expected_wait_seconds,
        drain_seconds=shard_state.drain_seconds(state, queue_length, now),
        queue_length=queue_length,
        queue_capacity=state.capacity,
        lower_tier_waiting=shard_state.sheddable_below(state),
        candidates=shard_state.pool.candidates(
            request=waiting.request,
            profile=state.policy,
            expected_service_by_id=service_estimates.by_id,
            kept=kept,
            remaining_seconds=remaining,
            target_budget_seconds=target_budget,
            now=now,
        ),
    )
    verdict = decision.decide(inputs)
    record = messages.DecisionRecord(
        key=inputs.key,
        shard=shard_state.policy.shard,
        revision=shard_state.policy.revision,
        profile=state.policy.name,
        tier=state.policy.tier,
        organisation=waiting.request.organisation,
        waited_seconds=now - waiting.arrived_at,
        remaining_seconds=remaining,
        expected_service_seconds=service_estimates.best,
        expected_samples=service_estimates.samples,
        queue_length=queue_length,
        queue_capacity=inputs.queue_capacity,
        ahead_in_queue=queue_length,
        higher_tier_waiting=shard_state.waiting_above(state),
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
        reserved_floor_share=floors.reserved_share(state, shard_state.classes),
    )
    return verdict, record


def refusal(
    waiting: fair_queue.WaitingRequest,
    verdict: decision.Verdict,
    record: messages.DecisionRecord,
) -> messages.Refuse:
    """Return the action that reports a refusal to the ingress."""
    return messages.Refuse(
        key=waiting.request.key,
        ingress=waiting.request.ingress,
        reason=verdict.reason,
        retry_after_seconds=verdict.retry_after_seconds,
        record=record,
    )
