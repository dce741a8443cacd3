"""What operators are shown of one shard: its classes and its runners."""

import dataclasses

from lagoonrun_core import types
from lagoonrun_policy import messages, runners, shard


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClassStatus:
    """One class of a shard.

    Parameters
    ----------
    waiting, running
        Requests of the class.
    queue_capacity
        Most that wait.
    expected_service_seconds
        High quantile of the service time at the best runner; 0 while it is
        not known.
    """

    profile: types.ProfileName
    tier: types.Tier
    waiting: int
    running: int
    queue_capacity: int
    expected_service_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunnerStatus:
    """One runner of a shard.

    Parameters
    ----------
    in_flight
        Requests that the dispatcher knows to be there.
    room
        Adaptive limit on them; `slots` is the declared one.
    reported_load
        Running plus waiting by its own last report; -1 where there is none.
    report_age_seconds
        Age of that report.
    straggler_factor
        Its pace against the pool's median; 1 is as fast.
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
    """Classes by tier, and runners by id."""

    classes: tuple[ClassStatus, ...]
    runners: tuple[RunnerStatus, ...]


def describe(shard_state: shard.ShardState, *, now: float) -> ShardStatus:
    """Return the state of a shard as of `now`."""
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
        room=shard_state.pool.concurrency_limit(runner),
        slots=runner.declared.slots,
        reported_load=report.running + report.waiting if report else -1,
        report_age_seconds=now - runner.reported_at if report else 0.0,
        straggler_factor=shard_state.pool.straggler_factor(runner, now),
    )
