"""How fast each upstream is, as learnt from its answers and from peers.

The lasting speed changes slowly, the slowness many times a second. Datagrams
between entry VMs may be lost, repeated or reordered, and a relay reports an
entry VM's own observations back to it. Repeated samples give them more weight
but do not move an estimate beyond them, and a report only replaces older ones.
"""

import dataclasses
import math
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_router import (
    load_report,
    momentary_slowness,
    pending_observations,
    pool_medians,
    speed_estimate,
    speed_observation,
    upstream_state,
)

_MAX_OWN_PER_MESSAGE = 24
"""Observations in one message of an entry VM; fits into a datagram."""

_MAX_RELAYED_PER_MESSAGE = 48
"""Observations in one message of a relay; fits into a datagram."""

_FULL_SAMPLE_TOKENS = 1000.0
"""Prompt tokens from which a prefill counts as a sample. With fewer, the fixed
time of a request is a large part of the measured time."""

_SMALL_SAMPLE_TOKENS = 2000.0
"""Prompt tokens of several shorter prefills that together count as a sample."""

_MIN_SAMPLE_TOKENS = 200.0
"""Prompt tokens below which a prefill is ignored: its 5 ms are no longer than
the fixed time of a request."""

_MIN_RATE, _MAX_RATE = 1e-4, 1e8
"""Bounds of plausible rates, in tokens or requests a second."""

_MAX_DELAY_SECONDS = 0.05
"""Time by which a report of a peer must appear newer to count as newer. The age
in a message does not contain its own delay, so a report that a relay sends back
appears newer than it is."""


class UpstreamSpeeds:
    """Speed, slowness and reported load of each upstream.

    Parameters
    ----------
    pool_of
        Returns the pool of an upstream, whose medians apply to it; None if it
        is unknown.
    """

    def __init__(
        self,
        *,
        pool_of: pool_medians.PoolLookup = pool_medians.single_pool,
    ) -> None:
        self._state_by_upstream: dict[
            types.UpstreamId, upstream_state.UpstreamState
        ] = {}
        self._medians = pool_medians.PoolMedians(
            pool_of=pool_of, states=self._state_by_upstream
        )
        self._own = pending_observations.PendingObservations()
        self._for_other_domains = pending_observations.PendingObservations()
        self._for_neighbours = pending_observations.PendingObservations()
        self._queues = (
            self._own,
            self._for_other_domains,
            self._for_neighbours,
        )

    # Own answers.

    def record_report(
        self,
        upstream: types.UpstreamId,
        start: types.UpstreamStart,
        report: load_report.LoadReport,
        *,
        now: float,
    ) -> None:
        """Record the load that an upstream has reported in an answer."""
        observation = speed_observation.SpeedObservation(
            upstream=upstream,
            start=start,
            slowness=momentary_slowness.clamped(report.slowness),
            running=report.running,
            waiting=report.waiting,
        )
        if self._apply(observation, now=now, own=True):
            self._queue_own(observation, now=now)

    def record_prefill(
        self,
        upstream: types.UpstreamId,
        start: types.UpstreamStart,
        *,
        tokens: float,
        seconds: float,
        slowness: float | None,
        now: float,
    ) -> None:
        """Record a completed prefill.

        Parameters
        ----------
        tokens
            New prompt tokens of the request and of those known to be queued
            ahead of it when it was sent.
        seconds
            From sending to the first event.
        slowness
            As reported with the first event; None if it was not.
        """
        state = self._state_of(upstream, start)
        if state is None or tokens < _MIN_SAMPLE_TOKENS or seconds <= 0.0:
            return
        usual_seconds = seconds / state.slowness.over_interval(
            momentary_slowness.clamped(slowness), seconds
        )
        if tokens < _FULL_SAMPLE_TOKENS:
            state.small_tokens += tokens
            state.small_seconds += usual_seconds
            if state.small_tokens < _SMALL_SAMPLE_TOKENS:
                return
            tokens, usual_seconds = state.small_tokens, state.small_seconds
            state.small_tokens = state.small_seconds = 0.0
        rate = tokens / usual_seconds
        if not _MIN_RATE <= rate <= _MAX_RATE:
            return
        self._queue_own(
            speed_observation.SpeedObservation(
                upstream=upstream,
                start=start,
                tokens_per_second=self._add_speed(
                    upstream, state, rate, 1, now=now
                ),
                samples=1,
            ),
            now=now,
        )

    def record_service(
        self,
        upstream: types.UpstreamId,
        start: types.UpstreamStart,
        *,
        seconds: float,
        slowness: float | None,
        now: float,
    ) -> None:
        """Record a completed request to a plain service.

        Parameters
        ----------
        seconds
            From sending to the end of the answer.
        slowness
            As reported in the answer; None if it was not.
        """
        state = self._state_of(upstream, start)
        if state is None or seconds <= 0.0:
            return
        rate = (
            state.slowness.over_interval(
                momentary_slowness.clamped(slowness), seconds
            )
            / seconds
        )
        if not _MIN_RATE <= rate <= _MAX_RATE:
            return
        self._queue_own(
            speed_observation.SpeedObservation(
                upstream=upstream,
                start=start,
                service_seconds=1.0 / state.service.add(rate),
                samples=1,
            ),
            now=now,
        )

    def _queue_own(
        self, observation: speed_observation.SpeedObservation, *, now: float
    ) -> None:
        """Queue an own observation for all other entry VMs."""
        for pending in self._queues:
            pending.add(observation, now=now)

    # Observations of other entry VMs.

    def apply_observations(
        self,
        observations: Iterable[speed_observation.SpeedObservation],
        *,
        now: float,
    ) -> None:
        """Apply observations of the own failure domain."""
        for one in _plausible(observations):
            if self._apply(one, now=now):
                self._for_other_domains.add(one, now=now)
                self._for_neighbours.add(one, now=now)

    def apply_remote_observations(
        self,
        observations: Iterable[speed_observation.SpeedObservation],
        *,
        now: float,
    ) -> None:
        """Apply observations of another failure domain."""
        for one in _plausible(observations):
            if self._apply(one, now=now):
                self._for_neighbours.add(one, now=now)

    def apply_relayed_observations(
        self,
        observations: Iterable[speed_observation.SpeedObservation],
        *,
        now: float,
    ) -> None:
        """Apply observations that were reported to all neighbours as well."""
        for one in _plausible(observations):
            self._apply(one, now=now)

    def _apply(
        self,
        observation: speed_observation.SpeedObservation,
        *,
        now: float,
        own: bool = False,
    ) -> bool:
        """Apply an observation; return False if its start is an older one."""
        state = self._state_of(observation.upstream, observation.start)
        if state is None:
            return False
        if observation.tokens_per_second is not None:
            self._add_speed(
                observation.upstream,
                state,
                observation.tokens_per_second,
                observation.samples,
                now=now,
            )
        if observation.service_seconds is not None:
            state.service.add(
                1.0 / observation.service_seconds, observation.samples
            )
        if observation.slowness is not None or observation.running is not None:
            at = now - observation.age_seconds
            margin = 0.0 if own else _MAX_DELAY_SECONDS
            if state.reported_at is None or at >= state.reported_at + margin:
                state.reported_at = at
                state.running = observation.running
                state.waiting = observation.waiting
                state.states_slowness = observation.slowness is not None
                if observation.slowness is not None:
                    state.slowness.apply(observation.slowness, at=at)
        return True

    def _state_of(
        self, upstream: types.UpstreamId, start: types.UpstreamStart
    ) -> upstream_state.UpstreamState | None:
        """Return the state of an upstream; None if `start` is an older one."""
        state = self._state_by_upstream.get(upstream)
        if state is None:
            state = self._state_by_upstream[upstream] = (
                upstream_state.UpstreamState(start=start)
            )
        elif start < state.start:
            return None
        elif start > state.start:
            self.forget_instance(upstream)
            state = self._state_by_upstream[upstream]
            state.start = start
        return state

    def _add_speed(
        self,
        upstream: types.UpstreamId,
        state: upstream_state.UpstreamState,
        rate: float,
        samples: int,
        *,
        now: float,
    ) -> float:
        """Add samples of a speed; return them with their deviation clipped."""
        if state.speed.samples:
            return state.speed.add(rate, samples)
        # The default is no evidence, so the first upstream starts without.
        median = self._medians.median_of(upstream, now=now)
        if median.is_measured:
            state.speed.set_prior(median.tokens_per_second)
        self._medians.count_measured()
        return state.speed.add(rate, samples)

    # Estimates.

    @property
    def upstreams(self) -> int:
        """Number of upstreams with stored state."""
        return len(self._state_by_upstream)

    def states_slowness(self, upstream: types.UpstreamId) -> bool:
        """Return whether the newest report of an upstream has its slowness."""
        state = self._state_by_upstream.get(upstream)
        return state is not None and state.states_slowness

    def estimate(
        self, upstream: types.UpstreamId, *, now: float
    ) -> speed_estimate.SpeedEstimate:
        """Return the estimated speed and the reported load of an upstream."""
        pool_median = self._medians.median_of(upstream, now=now)
        median = pool_median.tokens_per_second
        state = self._state_by_upstream.get(upstream)
        if state is None:
            return speed_estimate.SpeedEstimate(
                tokens_per_second=median,
                relative_speed=1.0,
                slowness=1.0,
                service_seconds=None,
                running=None,
                waiting=None,
                age_seconds=None,
                samples=0,
            )
        speed = state.speed.value or median
        relative_speed = speed / median
        if state.states_slowness:
            # The stated slowness has the lasting differences as well. Measured
            # speeds of single upstreams are less exact: in an overload they
            # differed by a factor of ten, by queues that were not known.
            speed = median
            relative_speed = pool_median.slowness / state.slowness.mean
        service = state.service.value
        age = (
            None
            if state.reported_at is None
            else max(0.0, now - state.reported_at)
        )
        current = (
            age is not None
            and age <= pending_observations.USEFUL_REPORT_SECONDS
        )
        return speed_estimate.SpeedEstimate(
            tokens_per_second=speed,
            relative_speed=relative_speed,
            slowness=state.slowness.expected(now=now),
            service_seconds=1.0 / service if service else None,
            running=state.running if current else None,
            waiting=state.waiting if current else None,
            age_seconds=age,
            samples=max(state.speed.samples, state.service.samples),
            mean_slowness=state.slowness.mean,
        )

    def median_tokens_per_second(
        self, upstream: types.UpstreamId, *, now: float
    ) -> float:
        """Return the median speed of an upstream's pool, or the default."""
        return self._medians.median_of(upstream, now=now).tokens_per_second

    # Reports to other entry VMs.

    def pop_own(
        self, *, now: float
    ) -> tuple[speed_observation.SpeedObservation, ...]:
        """Return and clear own observations to be reported."""
        return self._own.pop(_MAX_OWN_PER_MESSAGE, now=now)

    def pop_for_other_domains(
        self, *, now: float
    ) -> tuple[speed_observation.SpeedObservation, ...]:
        """Return and clear the domain's observations for other domains."""
        return self._for_other_domains.pop(_MAX_RELAYED_PER_MESSAGE, now=now)

    def pop_for_neighbours(
        self, *, now: float
    ) -> tuple[speed_observation.SpeedObservation, ...]:
        """Return and clear the fleet's observations for the neighbours."""
        return self._for_neighbours.pop(_MAX_RELAYED_PER_MESSAGE, now=now)

    # Restarted and removed upstreams.

    def forget_instance(self, upstream: types.UpstreamId) -> None:
        """Clear the estimates of an upstream that has restarted.

        Its start number is kept, so that observations of older starts stay
        ignored, and so is whether it states its slowness: this does not change
        with a restart, and its pool would otherwise be treated differently
        until the next report.
        """
        before = self._state_by_upstream.get(upstream)
        if before is not None:
            self._state_by_upstream[upstream] = upstream_state.UpstreamState(
                start=before.start, states_slowness=before.states_slowness
            )
            self._medians.count_dropped(before)
        for pending in self._queues:
            pending.forget(upstream)

    def forget_upstreams(self, known: Iterable[types.UpstreamId]) -> None:
        """Drop upstreams that are not in `known`."""
        kept = frozenset(known)
        states = self._state_by_upstream
        for one in [one for one in states if one not in kept]:
            self._medians.count_dropped(states.pop(one))
        for pending in self._queues:
            pending.forget_others(kept)


def _plausible(
    observations: Iterable[speed_observation.SpeedObservation],
) -> Iterable[speed_observation.SpeedObservation]:
    """Return the observations of peers without implausible values."""
    for one in observations:
        if not 0.0 <= one.age_seconds < math.inf:
            continue
        samples = max(0, min(one.samples, pending_observations.MAX_SAMPLES))
        speed, service = one.tokens_per_second, one.service_seconds
        if speed is not None and (
            samples < 1 or not _MIN_RATE <= speed <= _MAX_RATE
        ):
            speed = None
        if service is not None and (
            samples < 1
            or not _MIN_RATE <= 1.0 / max(service, 1e-9) <= _MAX_RATE
        ):
            service = None
        yield dataclasses.replace(
            one,
            tokens_per_second=speed,
            service_seconds=service,
            samples=samples,
            slowness=momentary_slowness.clamped(one.slowness),
        )
