"""Shared state of one shard's scheduler: classes, runners, service times."""

import dataclasses

from lagoonrun_core import types
from lagoonrun_policy import (
    class_state,
    estimates,
    fair_queue,
    features,
    floors,
    messages,
    runners,
)

_ESTIMATE_REFRESH_SECONDS = 0.05
_TARGET_SLACK_FACTOR = 1.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceEstimates:
    """Expected service times of a class's requests.

    Parameters
    ----------
    by_id
        High quantile by usable runner; 0 while unknown.
    best
        The lowest of them.
    samples
        Number of observations of the class in the shard.
    """

    by_id: dict[types.UpstreamId, float]
    best: float
    samples: int
    computed_at: float


class ShardState:
    """Classes, runners and service times of one shard.

    Parameters
    ----------
    policy
        Classes, runners and weights of the shard.
    switches
        Features that are enabled.
    """

    def __init__(
        self, *, policy: messages.ShardPolicy, switches: features.Features
    ) -> None:
        self.switches = switches
        self.policy = policy
        self.services = estimates.ServiceTimes()
        self.by_profile: dict[types.ProfileName, class_state.ClassState] = {}
        self.classes: list[class_state.ClassState] = []
        self.floor_scale = 1.0
        self.pool = runners.RunnerPool(
            runners_by_id=policy.runners_by_id,
            switches=switches,
            services=self.services,
        )
        self._estimates: dict[types.ProfileName, ServiceEstimates] = {}
        self._apply_classes()

    def configure(
        self, policy: messages.ShardPolicy
    ) -> list[class_state.ClassState]:
        """Apply a configuration; return the classes that were removed."""
        self.policy = policy
        removed = [
            state
            for name, state in self.by_profile.items()
            if name not in policy.classes_by_name
        ]
        for state in removed:
            del self.by_profile[state.policy.name]
            self.services.forget_profile(state.policy.name)
        self._apply_classes()
        self.pool.configure(policy.runners_by_id)
        self.invalidate_estimates()
        return removed

    def placeholder_class(
        self, profile: types.ProfileName
    ) -> class_state.ClassState:
        """Return a placeholder for a class that is not configured here."""
        return class_state.ClassState(
            policy=messages.ClassPolicy(
                name=profile,
                tier=types.LOWEST_TIER,
                target_seconds=0.0,
                limit_seconds=0.0,
            ),
            weights_by_organisation={},
            switches=self.switches,
        )

    def invalidate_estimates(self) -> None:
        """Discard cached estimates after the usable runners changed."""
        self._estimates.clear()

    def service_estimates(
        self, state: class_state.ClassState, now: float
    ) -> ServiceEstimates:
        """Return the class's expected service times, cached for a moment."""
        name = state.policy.name
        cached = self._estimates.get(name)
        if cached and 0 <= now - cached.computed_at < _ESTIMATE_REFRESH_SECONDS:
            return cached
        by_id = self.pool.service_estimates(profile=state.policy, now=now)
        computed = ServiceEstimates(
            by_id=by_id,
            best=min(by_id.values(), default=0.0),
            samples=self.services.samples(profile=name, now=now),
            computed_at=now,
        )
        self._estimates[name] = computed
        return computed

    def target_cutoff(self, state: class_state.ClassState, now: float) -> float:
        """Return the time before which a target can no longer be met."""
        profile = state.policy.name
        if state.policy.target_on_first_token:
            return now + self.services.typical_first_token(
                profile=profile, now=now
            )
        return now + self.services.typical(profile=profile, now=now)

    def target_budget(
        self,
        waiting: fair_queue.WaitingRequest,
        state: class_state.ClassState,
        now: float,
    ) -> float:
        """Return the longest acceptable service time; 0 if any runner will do.

        While the best runner can still meet the target with some slack, it is
        better to wait for it than to use a straggler that cannot.
        """
        if state.policy.target_on_first_token:
            return 0.0
        remaining = waiting.target_deadline - now
        return (
            remaining
            if now < self.target_budget_until(waiting, state, now)
            else 0.0
        )

    def target_budget_until(
        self,
        waiting: fair_queue.WaitingRequest,
        state: class_state.ClassState,
        now: float,
    ) -> float:
        """Return the time from which any runner may be used."""
        best = self.service_estimates(state, now).best
        if not self.switches.target_runners or best == 0.0:
            return now
        return waiting.target_deadline - _TARGET_SLACK_FACTOR * best

    def any_waiting(self) -> bool:
        """Return whether any request is waiting."""
        return any(c.queue.length for c in self.classes)

    def drain_seconds(
        self, state: class_state.ClassState, requests_ahead: int, now: float
    ) -> float:
        """Return the estimated time until the requests ahead are granted.

        Only requests of this and higher tiers count: a lower tier must never
        cause a refusal, except by its floor, whose share is reserved.
        """
        total_capacity = self.pool.total_capacity()
        if total_capacity == 0:
            return 0.0
        ahead = (
            requests_ahead * self._mean(state, now) if requests_ahead else 0.0
        )
        for other in self.classes:
            if other.policy.tier >= state.policy.tier:
                break
            if other.queue.length > 0:
                ahead += other.queue.length * self._mean(other, now)
        if ahead == 0.0:
            return 0.0
        share = 1.0 - floors.reserved_share(state, self.classes)
        return ahead / (total_capacity * share)

    def sheddable_below(self, state: class_state.ClassState) -> int:
        """Return the number of requests of lower tiers that may be shed."""
        count = 0
        for other in reversed(self.classes):
            if other.policy.tier <= state.policy.tier:
                break
            if other.queue.length:
                count += other.sheddable
        return count

    def waiting_above(self, state: class_state.ClassState) -> int:
        """Return the number of waiting requests of higher tiers."""
        count = 0
        for other in self.classes:
            if other.policy.tier >= state.policy.tier:
                break
            count += other.queue.length
        return count

    def _apply_classes(self) -> None:
        weights = self.policy.weights_by_organisation
        for name, declared in self.policy.classes_by_name.items():
            state = self.by_profile.get(name)
            if state is None:
                self.by_profile[name] = class_state.ClassState(
                    policy=declared,
                    weights_by_organisation=weights,
                    switches=self.switches,
                )
            else:
                state.policy = declared
                state.queue.set_weights(weights)
        self.classes = sorted(
            self.by_profile.values(),
            key=lambda c: (c.policy.tier, c.policy.name),
        )
        self.floor_scale = floors.share_scale(self.classes)

    def _mean(self, state: class_state.ClassState, now: float) -> float:
        return self.services.mean(profile=state.policy.name, now=now)
