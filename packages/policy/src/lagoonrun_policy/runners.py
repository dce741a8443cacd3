"""State of one shard's runners."""

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
"""Usable runners per runner that may be ejected at the same time."""

_ESTIMATE_CAP_FRACTION = 0.75
_MAX_REMEMBERED_STATES = 1024
_PROBE_WAIT_SECONDS = 10.0
_MEDIAN_REFRESH_SECONDS = 0.25


class RunnerState:
    """State of one runner: requests in flight, limit, health and load."""

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
        """Return whether the runner may have loaded `model`.

        True for a runner that has not reported its models: if it cannot
        serve the request, it says by protocol that it did not run it.
        """
        return not model or self.models is None or model in self.models

    def apply_report(self, report: messages.LoadReported, now: float) -> None:
        """Apply a load report.

        The report describes the past and may count requests of this shard
        that have ended since. Only load above the peak in flight since the
        previous report is attributed to other senders.
        """
        reported = report.running + report.waiting
        self.report = report
        if report.models is not None:
            self.models = frozenset(report.models)
        self.reported_at = now - report.age_seconds
        self.foreign_load = float(max(0, reported - self.peak_in_flight))
        self.peak_in_flight = self.in_flight

    def reset(self) -> None:
        """Discard all observations, since the runner has been restarted."""
        self.adaptive_limit = concurrency_limit.AdaptiveConcurrencyLimit(
            slots=self.declared.slots
        )
        self.health = health.RunnerHealth()
        self.report = None
        self.models = None
        self.foreign_load = 0.0

    def occupy(self) -> None:
        """Add one request to those in flight."""
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)

    def release(self) -> None:
        """Subtract one request from those in flight."""
        self.in_flight -= 1


class RunnerPool:
    """Runners of a shard, including removed ones with requests in flight.

    Parameters
    ----------
    runners_by_id
        Runners of the configuration.
    switches
        Features that are enabled.
    services
        Observed service times.
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
        """Return a runner, or None if it is not known."""
        return self._by_id.get(upstream)

    def configure(
        self, runners_by_id: dict[types.UpstreamId, messages.Runner]
    ) -> None:
        """Apply the runners of a configuration."""
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
            # A new revision says nothing about liveness: with the declared
            # default, a runner known to be leaving would get requests again.
            if declared.state is not messages.UpstreamState.LIVE:
                known.state = declared.state
        for known in list(self._by_id.values()):
            if known.id not in runners_by_id:
                known.configured = False
                self.remove_if_idle(known)
        self._refresh_usable()

    def get_or_add(self, upstream: types.UpstreamId) -> RunnerState:
        """Return a runner, added as not configured if it is not known."""
        runner = self._by_id.get(upstream)
        if runner is None:
            declared = messages.Runner(id=upstream, slots=1)
            runner = RunnerState(declared=declared)
            # A runner that was announced as leaving before it became known
            # stays excluded when a later revision declares it.
            runner.state = self._not_live.get(upstream, declared.state)
            runner.configured = False
            self._by_id[upstream] = runner
        return runner

    def remove_if_idle(self, runner: RunnerState) -> None:
        """Remove a runner that is not configured and has none in flight."""
        if not runner.configured and runner.in_flight == 0:
            self._by_id.pop(runner.id, None)
            self._services.forget_runner(runner.id)

    def set_state(
        self, upstream: types.UpstreamId, state: messages.UpstreamState
    ) -> None:
        """Set whether a runner is live, leaving or gone."""
        self._record_state(upstream, state)
        runner = self._by_id.get(upstream)
        if runner is None:
            return
        was_gone = runner.state is messages.UpstreamState.GONE
        if was_gone and state is messages.UpstreamState.LIVE:
            runner.reset()
        runner.state = state
        self._refresh_usable()

    def limit_of(self, runner: RunnerState) -> float:
        """Return the runner's concurrency limit."""
        if self._features.adaptive_room:
            return runner.adaptive_limit.value
        return float(runner.declared.slots)

    def total_capacity(self) -> int:
        """Return the sum of the usable runners' concurrency limits."""
        if self._total_capacity is None:
            self._total_capacity = sum(
                int(self.limit_of(r)) for r in self._usable
            )
        return self._total_capacity

    def free(self, now: float) -> list[RunnerState]:
        """Return the runners with a free slot, probes included."""
        return [
            runner
            for runner in self._usable
            if runner.in_flight < int(self.limit_of(runner))
            and (
                not runner.health.ejected
                or (runner.health.is_probing(now) and runner.in_flight == 0)
            )
        ]

    def any_usable(self) -> bool:
        """Return whether any runner is configured and live."""
        return bool(self._usable)

    def expected_service_seconds(
        self,
        *,
        runner: RunnerState,
        profile: messages.ClassPolicy,
        now: float,
    ) -> float:
        """Return the high quantile at a runner; 0 while unknown."""
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
        """Return the expected service time at each usable runner.

        If even the lowest one is close to the profile's limit, all are scaled
        down: refusing every request would leave the class without service,
        and without observations that could correct the estimates.
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
        """Score every runner for a request."""
        likelihoods: dict[types.UpstreamId, float] = {}
        if self._features.affinity:
            likelihoods = self.affinity.cache_likelihoods(
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
                affinity_estimate=likelihoods.get(runner.id, 0.0),
                remaining_seconds=remaining_seconds,
                target_budget_seconds=target_budget_seconds,
                exclusion=self._exclusion(runner, request, profile, kept, now),
                now=now,
            )
            for runner in self
        )

    def straggler_factor(self, runner: RunnerState, now: float) -> float:
        """Return how many times slower than the median, at least 1."""
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
        """Update health and latencies at the end of a granted request."""
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
        """Return the earliest time at which an ejected runner is probed."""
        probe_times = [
            r.health.ejected_until
            for r in self._usable
            if r.health.ejected_until is not None
        ]
        return min(probe_times, default=None)

    def _record_state(
        self, upstream: types.UpstreamId, state: messages.UpstreamState
    ) -> None:
        """Remember that a runner is not live, whether configured or not.

        A leaving runner may be removed from the configuration and return with
        a later revision; without its state it would get requests as if new.
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
            room=self.limit_of(runner),
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
        # A probe may fail. A request that is not idempotent is used for one
        # only if there was no other for a while.
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
        # Ejecting one runner after another in a common fault would send the
        # whole load to the last one and overload it as well.
        ejected = sum(1 for r in self._usable if r.health.ejected)
        if (ejected + 1) * MIN_RUNNERS_PER_EJECTION <= len(self._usable):
            runner.health.eject(now)
