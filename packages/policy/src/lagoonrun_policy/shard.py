"""What the parts of one shard's scheduler share: classes, runners, times."""

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
    """Time that a class's request needs until its end.

    Parameters
    ----------
    by_id
        High quantile per usable runner; 0 while unknown.
    best
        The least of them.
    samples
        Observations of the class in the shard.
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
        Which parts of the order of service are in use.
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
        """Take over a configuration; return the classes that vanished."""
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
        """Return a stand-in for a class that is not configured here."""
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
        """Work out margins anew, since the usable runners have changed."""
        self._estimates.clear()

    def service_estimates(
        self, state: class_state.ClassState, now: float
    ) -> ServiceEstimates:
        """Return the time that a request of the class needs, as of lately."""
        name = state.policy.name
        known = self._estimates.get(name)
        if known and 0 <= now - known.computed_at < _ESTIMATE_REFRESH_SECONDS:
            return known
        by_id = self.pool.service_estimates(profile=state.policy, now=now)
        estimates = ServiceEstimates(
            by_id=by_id,
            best=min(by_id.values(), default=0.0),
            samples=self.services.samples(profile=name, now=now),
            computed_at=now,
        )
        self._estimates[name] = estimates
        return estimates

    def target_cutoff(self, state: class_state.ClassState, now: float) -> float:
        """Return the instant before which a target can no longer be met."""
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
        """Return the time in which a runner has to be done; 0 if any will do.

        While the best runner can meet the target with some time to spare, it
        is better to wait for one than to take a straggler that cannot.
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
        """Return the instant from which any runner will do."""
        best = self.service_estimates(state, now).best
        if not self.switches.target_runners or best == 0.0:
            return now
        return waiting.target_deadline - _TARGET_SLACK_FACTOR * best

    def any_waiting(self) -> bool:
        """Return whether any request waits."""
        return any(c.queue.length for c in self.classes)

    def drain_seconds(
        self, state: class_state.ClassState, requests_ahead: int, now: float
    ) -> float:
        """Return the time until the work ahead has been granted.

        Only work of this and the higher tiers counts: a lower tier is never
        the cause of a refusal, but for its floor, which is set aside.
        """
        room = self.pool.total_capacity()
        if room == 0:
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
        return ahead / (room * share)

    def sheddable_below(self, state: class_state.ClassState) -> int:
        """Return how many requests of lower tiers may be shed."""
        count = 0
        for other in reversed(self.classes):
            if other.policy.tier <= state.policy.tier:
                break
            if other.queue.length:
                count += other.sheddable
        return count

    def waiting_above(self, state: class_state.ClassState) -> int:
        """Return how many requests of higher tiers wait."""
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
