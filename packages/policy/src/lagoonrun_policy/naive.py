"""Naive policy: each entry VM picks the less loaded of two random runners.

It is the baseline against which the dispatcher of a shard is measured.
"""

import random
from collections.abc import Callable, Sequence

from lagoonrun_core import outcomes, types
from lagoonrun_policy import decision, messages

_CHOICES = 2


class NaiveScheduler:
    """Grants every request at once to the less loaded of two random runners.

    Parameters
    ----------
    policy
        Classes and runners of the shard.
    rng
        Selects the two runners.
    """

    def __init__(
        self, *, policy: messages.ShardPolicy, rng: random.Random
    ) -> None:
        self._policy = policy
        self._view = _LocalView(policy=policy, rng=rng)

    def handle(
        self, event: messages.Event, *, now: float
    ) -> Sequence[messages.Action]:
        """Apply one event at `now` and return the resulting actions."""
        if isinstance(event, messages.PolicyChanged):
            self._policy = event.policy
        if not isinstance(event, messages.PermitRequested):
            self._view.apply(event)
            return []
        profile = self._policy.classes_by_name.get(event.profile)
        if profile is None:
            return [self._refusal(event, outcomes.Reason.UNCONFIGURED)]
        upstream = self._view.less_loaded_of_two(event.excluded)
        if upstream is None:
            return [self._refusal(event, outcomes.Reason.NO_UPSTREAM)]
        self._view.record_sent(event.key, upstream)
        grant = messages.Grant(
            key=event.key,
            ingress=event.ingress,
            upstream=upstream,
            record=self._record(event, upstream, outcomes.Reason.NONE),
        )
        return [grant]

    def next_wake(self, *, now: float) -> float | None:
        """Return None, since no request ever waits."""
        return None

    def _refusal(
        self, event: messages.PermitRequested, reason: outcomes.Reason
    ) -> messages.Refuse:
        record = self._record(event, None, reason)
        return messages.Refuse(
            key=event.key,
            ingress=event.ingress,
            reason=reason,
            retry_after_seconds=record.retry_after_seconds,
            record=record,
        )

    def _record(
        self,
        event: messages.PermitRequested,
        upstream: types.UpstreamId | None,
        reason: outcomes.Reason,
    ) -> messages.DecisionRecord:
        profile = self._policy.classes_by_name.get(event.profile)
        granted = upstream is not None
        kind = (
            decision.VerdictKind.GRANT
            if granted
            else decision.VerdictKind.REFUSE
        )
        return messages.DecisionRecord(
            key=event.key,
            shard=self._policy.shard,
            revision=self._policy.revision,
            profile=event.profile,
            tier=profile.tier if profile else types.LOWEST_TIER,
            organisation=event.organisation,
            waited_seconds=0.0,
            remaining_seconds=event.remaining_seconds,
            expected_service_seconds=0.0,
            expected_samples=0,
            queue_length=0,
            queue_capacity=0,
            ahead_in_queue=0,
            higher_tier_waiting=0,
            lower_tier_waiting=0,
            floor_grant=False,
            candidates=(),
            verdict=kind.value,
            upstream=upstream,
            reason=reason,
            retry_after_seconds=(
                0.0 if granted else decision.NO_UPSTREAM_RETRY_SECONDS
            ),
        )


class _LocalView:
    """Load of the runners as one entry VM knows it."""

    def __init__(
        self, *, policy: messages.ShardPolicy, rng: random.Random
    ) -> None:
        self._rng = rng
        self._runners_by_id = dict(policy.runners_by_id)
        self._state_by_id = {
            r.id: r.state for r in policy.runners_by_id.values()
        }
        self._reported_by_id: dict[types.UpstreamId, int] = {}
        self._own_by_id: dict[types.UpstreamId, int] = {}
        self._upstream_by_key: dict[messages.PermitKey, types.UpstreamId] = {}

    def apply(self, event: messages.Event) -> None:
        match event:
            case messages.LoadReported():
                load = event.running + event.waiting
                self._reported_by_id[event.upstream] = load
            case messages.UpstreamChanged():
                self._state_by_id[event.upstream] = event.state
            case messages.PermitEnded() | messages.PermitReturned():
                upstream = self._upstream_by_key.pop(event.key, None)
                if upstream is not None:
                    self._own_by_id[upstream] -= 1
            case messages.PolicyChanged():
                self._runners_by_id = dict(event.policy.runners_by_id)
            case _:
                pass

    def record_sent(
        self, key: messages.PermitKey, upstream: types.UpstreamId
    ) -> None:
        self._upstream_by_key[key] = upstream
        self._own_by_id[upstream] = self._own_by_id.get(upstream, 0) + 1

    def less_loaded_of_two(
        self,
        excluded: Sequence[types.UpstreamId],
        room: Callable[[messages.Runner], int] | None = None,
    ) -> types.UpstreamId | None:
        usable = [
            runner
            for runner in self._runners_by_id.values()
            if self._is_live(runner)
            and runner.id not in excluded
            and (room is None or self._own(runner.id) < room(runner))
        ]
        if not usable:
            return None
        choices = self._rng.sample(usable, min(_CHOICES, len(usable)))
        return min(choices, key=lambda r: self._load(r.id)).id

    def _is_live(self, runner: messages.Runner) -> bool:
        state = self._state_by_id.get(runner.id, runner.state)
        return state is messages.UpstreamState.LIVE

    def _own(self, upstream: types.UpstreamId) -> int:
        return self._own_by_id.get(upstream, 0)

    def _load(self, upstream: types.UpstreamId) -> int:
        reported = self._reported_by_id.get(upstream, 0)
        return max(reported, self._own(upstream))
