"""The runners of one shard as the scheduler knows them."""

import math
import statistics
from collections.abc import Iterator, Set

from lagoonrun_core import outcomes, types
from lagoonrun_policy import (
    affinity,
    concurrency_limit,
    decision,
    estimates,
    features,
    health,
    messages,
)

MIN_RUNNERS_PER_EJECTION = 3
"""At most one of this many runners is ejected at a time."""

_ESTIMATE_CAP_FRACTION = 0.75
_MAX_REMEMBERED_STATES = 1024
_PROBE_WAIT_SECONDS = 10.0
_MEDIAN_REFRESH_SECONDS = 0.25


class RunnerState:
    """One runner: what is granted to it and what is known of it."""

    def __init__(self, *, declared: messages.Runner) -> None:
        self.id = declared.id
        self.declared = declared
        self.configured = True
        self.state = declared.state
        self.in_flight = 0
        self.adaptive_limit = concurrency_limit.AdaptiveConcurrencyLimit(
            slots=declared.slots
        )
        self.health = health.RunnerHealth()
        self.report: messages.LoadReported | None = None
        self.reported_at = 0.0
        self.foreign_load = 0.0
        self.peak_in_flight = 0
        self.models: frozenset[str] | None = None

    def has_loaded(self, model: str) -> bool:
        """Return whether the runner serves `model`, as far as is known.

        One that has not reported yet is tried: it says by protocol that it
        did not run what it cannot serve.
        """
        return not model or self.models is None or model in self.models

    def apply_report(self, report: messages.LoadReported, now: float) -> None:
        """Keep a load report.

        The report is old: it may count work of ours that has ended since.
        Only what exceeds the most we had in flight since the last report is
        held to be somebody else's.
        """
        reported = report.running + report.waiting
        self.report = report
        if report.models is not None:
            self.models = frozenset(report.models)
        self.reported_at = now - report.age_seconds
        self.foreign_load = float(max(0, reported - self.peak_in_flight))
        self.peak_in_flight = self.in_flight

    def reset(self) -> None:
        """Forget what was learnt: the runner has come back as another."""
        self.adaptive_limit = concurrency_limit.AdaptiveConcurrencyLimit(
            slots=self.declared.slots
        )
        self.health = health.RunnerHealth()
        self.report = None
        self.models = None
        self.foreign_load = 0.0

    def occupy(self) -> None:
        """Count one more request at the runner."""
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)

    def release(self) -> None:
        """Count one request less at the runner."""
        self.in_flight -= 1


class RunnerPool:
    """All runners of a shard, with those that left but still have work.

    Parameters
    ----------
    runners_by_id
        Runners of the configuration.
    switches
        Which parts are in use.
    services
        Service times, for what a request is expected to take.
    """

    def __init__(
        self,
        *,
        runners_by_id: dict[types.UpstreamId, messages.Runner],
        switches: features.Features,
        services: estimates.ServiceTimes,
    ) -> None:
        self._features = switches
        self._services = services
        self._by_id: dict[types.UpstreamId, RunnerState] = {}
        self._not_live: dict[types.UpstreamId, messages.UpstreamState] = {}
        self._usable: list[RunnerState] = []
        self._total_capacity: int | None = None
        self._median_pace: float | None = None
        self._median_at = -math.inf
        self.affinity = affinity.PrefixAffinity()
        self.configure(runners_by_id)

    def __iter__(self) -> Iterator[RunnerState]:
        return iter(self._by_id.values())

    def get(self, upstream: types.UpstreamId) -> RunnerState | None:
        """Return a runner, or None if it was never heard of."""
        return self._by_id.get(upstream)

    def configure(
        self, runners_by_id: dict[types.UpstreamId, messages.Runner]
    ) -> None:
        """Take over the runners of a configuration."""
        for declared in runners_by_id.values():
            known = self._by_id.get(declared.id)
            if known is None:
                known = RunnerState(declared=declared)
                known.state = self._not_live.get(declared.id, declared.state)
                self._by_id[declared.id] = known
                continue
            known.declared = declared
            known.configured = True
            known.adaptive_limit.set_slots(declared.slots)
            # A new revision says nothing about liveness: a runner known to
            # leave would get work again if the declared default won.
            if declared.state is not messages.UpstreamState.LIVE:
                known.state = declared.state
        for known in list(self._by_id.values()):
            if known.id not in runners_by_id:
                known.configured = False
                self.remove_if_idle(known)
        self._refresh_usable()

    def get_or_add(self, upstream: types.UpstreamId) -> RunnerState:
        """Return a runner, known or not, to count work at it."""
        runner = self._by_id.get(upstream)
        if runner is None:
            declared = messages.Runner(id=upstream, slots=1)
            runner = RunnerState(declared=declared)
            runner.configured = False
            self._by_id[upstream] = runner
        return runner

    def remove_if_idle(self, runner: RunnerState) -> None:
        """Drop a runner that left the configuration and has no work left."""
        if not runner.configured and runner.in_flight == 0:
            self._by_id.pop(runner.id, None)
            self._services.forget_runner(runner.id)

    def set_state(
        self, upstream: types.UpstreamId, state: messages.UpstreamState
    ) -> None:
        """Take in that a runner is live, leaving or gone."""
        self._record_state(upstream, state)
        runner = self._by_id.get(upstream)
        if runner is None:
            return
        was_gone = runner.state is messages.UpstreamState.GONE
        if was_gone and state is messages.UpstreamState.LIVE:
            runner.reset()
        runner.state = state
        self._refresh_usable()

    def concurrency_limit(self, runner: RunnerState) -> float:
        """Return how many requests the runner may have at once."""
        if self._features.adaptive_room:
            return runner.adaptive_limit.value
        return float(runner.declared.slots)

    def total_capacity(self) -> int:
        """Return how many requests all usable runners may have at once."""
        if self._total_capacity is None:
            self._total_capacity = sum(
                int(self.concurrency_limit(r)) for r in self._usable
            )
        return self._total_capacity

    def free(self, now: float) -> list[RunnerState]:
        """Return the runners that can take one more request."""
        return [
            runner
            for runner in self._usable
            if runner.in_flight < int(self.concurrency_limit(runner))
            and (
                not runner.health.ejected
                or (runner.health.is_probing(now) and runner.in_flight == 0)
            )
        ]

    def any_usable(self) -> bool:
        """Return whether any runner may be given work, now or later."""
        return bool(self._usable)

    def expected_service_seconds(
        self,
        *,
        runner: RunnerState,
        profile: messages.ClassPolicy,
        now: float,
    ) -> float:
        """Return the high quantile at a runner; 0 while it is unknown."""
        if not self._features.deadline_refusal:
            return 0.0
        value = self._services.high(
            profile=profile.name,
            upstream=runner.id,
            now=now,
            slowdown=self.straggler_factor(runner, now),
        )
        return value if value is not None else 0.0

    def service_estimates(
        self, *, profile: messages.ClassPolicy, now: float
    ) -> dict[types.UpstreamId, float]:
        """Return the time that a request needs at each usable runner.

        Where even the best runner's high quantile nears the limit, all are
        scaled down: refusing every request would leave the class without
        service, and without observations that could prove it wrong.
        """
        by_id = {
            r.id: self.expected_service_seconds(
                runner=r, profile=profile, now=now
            )
            for r in self._usable
        }
        best = min(by_id.values(), default=0.0)
        cap = _ESTIMATE_CAP_FRACTION * profile.limit_seconds
        if best > cap:
            return {i: v * cap / best for i, v in by_id.items()}
        return by_id

    def candidates(
        self,
        *,
        request: messages.PermitRequested,
        profile: messages.ClassPolicy,
        expected_service_by_id: dict[types.UpstreamId, float],
        kept: Set[types.UpstreamId],
        remaining_seconds: float,
        target_budget_seconds: float,
        now: float,
    ) -> tuple[messages.Candidate, ...]:
        """Weigh every runner for a request."""
        shares: dict[types.UpstreamId, float] = {}
        if self._features.affinity:
            shares = self.affinity.cache_likelihoods(
                organisation=request.organisation,
                prefix=request.prefix_hash,
                now=now,
            )
        return tuple(
            self._candidate(
                runner,
                expected_service_seconds=expected_service_by_id.get(
                    runner.id, 0.0
                ),
                affinity_estimate=shares.get(runner.id, 0.0),
                remaining_seconds=remaining_seconds,
                target_budget_seconds=target_budget_seconds,
                exclusion=self._exclusion(runner, request, profile, kept, now),
                now=now,
            )
            for runner in self
        )

    def straggler_factor(self, runner: RunnerState, now: float) -> float:
        """Return how many times slower than the median the runner is."""
        if not self._features.straggler_penalty:
            return 1.0
        if now - self._median_at >= _MEDIAN_REFRESH_SECONDS:
            paces = [r.health.pace for r in self if r.health.pace is not None]
            self._median_pace = statistics.median(paces) if paces else None
            self._median_at = now
        return runner.health.straggler_factor(self._median_pace, now)

    def record_end(
        self,
        *,
        ended: messages.PermitEnded,
        upstream: types.UpstreamId,
        profile: types.ProfileName,
        in_flight: int,
        now: float,
    ) -> None:
        """Learn from the end of granted work at a runner."""
        runner = self._by_id.get(upstream)
        if runner is None:
            return
        if ended.outcome is outcomes.Outcome.COMPLETE:
            runner.health.record_success()
            self._observe_latencies(runner, ended, profile, in_flight, now)
        elif health.is_runner_fault(ended.reason):
            runner.health.record_failure()
            self._eject_if_failing(runner, now)

    def next_probe(self) -> float | None:
        """Return when the first ejected runner may be probed."""
        instants = [
            r.health.ejected_until
            for r in self._usable
            if r.health.ejected_until is not None
        ]
        return min(instants, default=None)

    def _record_state(
        self, upstream: types.UpstreamId, state: messages.UpstreamState
    ) -> None:
        """Keep that a runner is not live, configured or not.

        A runner that leaves may vanish from the configuration and come back
        with a later revision; it would get work again as if it were new.
        """
        self._not_live.pop(upstream, None)
        if state is not messages.UpstreamState.LIVE:
            self._not_live[upstream] = state
        if len(self._not_live) > _MAX_REMEMBERED_STATES:
            del self._not_live[next(iter(self._not_live))]

    def _refresh_usable(self) -> None:
        self._total_capacity = None
        self._usable = [
            runner
            for runner in self
            if runner.configured and runner.state is messages.UpstreamState.LIVE
        ]

    def _candidate(
        self,
        runner: RunnerState,
        *,
        expected_service_seconds: float,
        affinity_estimate: float,
        remaining_seconds: float,
        target_budget_seconds: float,
        exclusion: decision.Exclusion,
        now: float,
    ) -> messages.Candidate:
        report = runner.report if self._features.load_reports else None
        return decision.score_candidate(
            upstream=runner.id,
            in_flight=runner.in_flight,
            room=self.concurrency_limit(runner),
            reported_load=report.running + report.waiting if report else -1,
            report_age_seconds=now - runner.reported_at if report else 0.0,
            foreign_load=runner.foreign_load if report else 0.0,
            affinity=affinity_estimate,
            straggler_factor=self.straggler_factor(runner, now),
            expected_service_seconds=expected_service_seconds,
            remaining_seconds=remaining_seconds,
            target_budget_seconds=target_budget_seconds,
            exclusion=exclusion.value,
        )

    def _exclusion(
        self,
        runner: RunnerState,
        request: messages.PermitRequested,
        profile: messages.ClassPolicy,
        kept: Set[types.UpstreamId],
        now: float,
    ) -> decision.Exclusion:
        if not runner.configured:
            return decision.Exclusion.UNCONFIGURED
        if runner.state is messages.UpstreamState.LEAVING:
            return decision.Exclusion.LEAVING
        if runner.state is messages.UpstreamState.GONE:
            return decision.Exclusion.GONE
        if runner.id in request.excluded:
            return decision.Exclusion.FAILED_BEFORE
        if not runner.has_loaded(request.model):
            return decision.Exclusion.MODEL_NOT_LOADED
        if runner.id in kept:
            return decision.Exclusion.KEPT_FOR_HIGHER_TIER
        if not runner.health.ejected:
            return decision.Exclusion.NONE
        if not runner.health.is_probing(now):
            return decision.Exclusion.EJECTED
        if runner.in_flight > 0:
            return decision.Exclusion.PROBING
        # A probe may fail; a request that must not run twice is not risked
        # on it, unless no other has come for a while.
        probe_wait_until = runner.health.ejected_until + _PROBE_WAIT_SECONDS
        if not profile.idempotent and now < probe_wait_until:
            return decision.Exclusion.PROBING
        return decision.Exclusion.NONE

    def _observe_latencies(
        self,
        runner: RunnerState,
        ended: messages.PermitEnded,
        profile: types.ProfileName,
        in_flight: int,
        now: float,
    ) -> None:
        per_token = 0.0
        if ended.tokens > 1:
            streamed = ended.total_seconds - ended.first_token_seconds
            per_token = streamed / (ended.tokens - 1)
        pace = per_token if per_token > 0 else ended.total_seconds
        if pace > 0:
            runner.health.observe_pace(pace, now)
        runner.adaptive_limit.observe(
            profile=profile,
            first_token_seconds=ended.first_token_seconds,
            seconds_per_token=per_token,
            in_flight=in_flight,
            now=now,
        )
        self._total_capacity = None

    def _eject_if_failing(self, runner: RunnerState, now: float) -> None:
        if not self._features.ejection:
            return
        if runner.health.ejected:
            if runner.health.is_probing(now):
                runner.health.eject(now)
            return
        if runner.health.failures < health.FAILURES_TO_EJECT:
            return
        # Ejecting one after another in a fault that all share would send
        # the whole load to the last one and fell it as well.
        ejected = sum(1 for r in self._usable if r.health.ejected)
        if (ejected + 1) * MIN_RUNNERS_PER_EJECTION <= len(self._usable):
            runner.health.eject(now)
