"""Status of one shard for operators: its classes and its runners."""

import dataclasses

from lagoonrun_core import types
from lagoonrun_policy import messages, runners, shard


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClassStatus:
    """Status of one class.

    Parameters
    ----------
    waiting, running
        Number of requests of the class.
    queue_capacity
        Maximum of `waiting`.
    expected_service_seconds
        High quantile of the service time at the fastest runner; 0 while
        unknown.
    """

    profile: types.ProfileName
    tier: types.Tier
    waiting: int
    running: int
    queue_capacity: int
    expected_service_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunnerStatus:
    """Status of one runner.

    Parameters
    ----------
    in_flight
        Requests that the dispatcher knows to be at the runner.
    room
        Adaptive concurrency limit; `slots` is the declared maximum.
    reported_load
        Running plus waiting requests of its last load report; -1 if none.
    report_age_seconds
        Age of that report.
    straggler_factor
        Its pace relative to the pool's median; 1 is as fast.
    """

    upstream: types.UpstreamId
    state: messages.UpstreamState
    ejected: bool
    in_flight: int
    room: float
    slots: int
    reported_load: int
    report_age_seconds: float
    straggler_factor: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShardStatus:
    """Status of a shard; classes sorted by tier, runners by id."""

    classes: tuple[ClassStatus, ...]
    runners: tuple[RunnerStatus, ...]


def describe(shard_state: shard.ShardState, *, now: float) -> ShardStatus:
    """Return the status of a shard as of `now`."""
    return ShardStatus(
        classes=tuple(
            ClassStatus(
                profile=state.policy.name,
                tier=state.policy.tier,
                waiting=state.queue.length,
                running=state.running,
                queue_capacity=state.capacity,
                expected_service_seconds=shard_state.service_estimates(
                    state, now
                ).best,
            )
            for state in shard_state.classes
        ),
        runners=tuple(
            _runner(shard_state, runner, now)
            for runner in sorted(shard_state.pool, key=lambda one: one.id)
        ),
    )


def _runner(
    shard_state: shard.ShardState, runner: runners.RunnerState, now: float
) -> RunnerStatus:
    report = runner.report
    return RunnerStatus(
        upstream=runner.id,
        state=runner.state,
        ejected=runner.health.ejected,
        in_flight=runner.in_flight,
        room=shard_state.pool.limit_of(runner),
        slots=runner.declared.slots,
        reported_load=report.running + report.waiting if report else -1,
        report_age_seconds=now - runner.reported_at if report else 0.0,
        straggler_factor=shard_state.pool.straggler_factor(runner, now),
    )
