"""Chooses where a silent run goes on, before it is given up."""

from collections.abc import Iterable, Mapping

from lagoonrun_core import events, logs, outcomes, types
from lagoonrun_router import (
    attempt_result,
    choosing,
    retrying,
    silence,
    stream_relay,
    upstreams,
)
from lagoonrun_router import call as calls
from lagoonrun_router import components as router_components

_SECONDS_PER_TARGET = 0.005
_MAX_RANKING_SECONDS = 0.25
"""Time until the other upstreams are ranked again for a run that was kept, for
each of them and at most. Ranking a hundred takes about a millisecond, and all
streams of an entry VM may be silent at once."""


def fitness_of(
    registered: Iterable[upstreams.Registration],
    *,
    components: router_components.Components,
    allowed_seconds: float,
) -> dict[types.UpstreamId, silence.Fitness]:
    """Return whether a run may be moved to upstreams, by their ids.

    Parameters
    ----------
    allowed_seconds
        Allowed silence of the run.
    """
    now = components.clock.monotonic()
    running_now = components.clock.running()
    ledger = components.ledger
    entry_vm_count = 1 + len(components.peers.known())
    return {
        one.id: silence.fitness_of(
            silence.Target(
                heard_seconds=running_now - components.signs.heard_at(one.id),
                slots=one.slots,
                running=ledger.load_of(one.id, now=now).running,
                awaited=ledger.own_running_count(one.id),
                moving=ledger.own_moving_count(one.id),
            ),
            allowed_seconds=allowed_seconds,
            entry_vm_count=entry_vm_count,
        )
        for one in registered
    }


class RunMover:
    """Decides about the silent run of one attempt.

    Parameters
    ----------
    call, relay
        The call and the state of its stream.
    upstream
        Upstream of the attempt.
    sends
        The attempts before this one.
    excluded
        Upstreams that may not be sent the request.
    tried
        Upstreams of earlier attempts, avoided while others are left.
    chooser
        Selects the next upstream.
    components
        Shared components of the process.

    Attributes
    ----------
    choice
        Where the run goes on; its retry is paid for. None while it is kept.
    """

    def __init__(
        self,
        *,
        call: calls.Call,
        relay: stream_relay.StreamRelay,
        upstream: types.UpstreamId,
        sends: retrying.SendCounts,
        excluded: frozenset[types.UpstreamId],
        tried: frozenset[types.UpstreamId],
        chooser: choosing.Chooser,
        components: router_components.Components,
    ) -> None:
        self._call = call
        self._relay = relay
        self._upstream = upstream
        self._sends = sends
        self._excluded = excluded | {upstream}
        self._tried = tried
        self._chooser = chooser
        self._components = components
        self._logged: silence.Verdict | None = None
        self._ranked_again_at = float("-inf")
        self.choice: choosing.Choice | None = None

    def may_move(
        self, *, silent_seconds: float, allowed_seconds: float
    ) -> bool:
        """Return whether the run is to be given up, because it is moved.

        Called when it was silent for longer than allowed, and again while it
        is kept. It must be given up at once if this returns True: its retry is
        paid for.

        Parameters
        ----------
        silent_seconds
            Time since its last sign of progress.
        """
        now = self._components.clock.monotonic()
        if now < self._ranked_again_at:
            return False
        pool = self._call.pool.name
        may_repeat = self._may_repeat(now)
        budget_left = self._components.retry_budget.left(pool, now=now)
        targets: tuple[upstreams.Registration, ...] = ()
        if may_repeat and budget_left >= 1.0:
            targets = self._targets()
        fitness_by_id = fitness_of(
            targets,
            components=self._components,
            allowed_seconds=allowed_seconds,
        )
        fitnesses = frozenset(fitness_by_id.values())
        silent_allowances = silent_seconds / allowed_seconds
        verdict = silence.verdict_on(
            fitnesses,
            silent_allowances=silent_allowances,
            may_repeat=may_repeat,
            budget_left=budget_left,
        )
        if verdict is silence.Verdict.MOVE:
            self.choice = self._choose(
                fitness_by_id,
                silence.wanted(fitnesses, silent_allowances=silent_allowances),
            )
            if self.choice is None:
                verdict = silence.Verdict.NO_TARGET
            else:
                self._components.retry_budget.spend(pool, now=now)
                return True
        self._ranked_again_at = now + min(
            _MAX_RANKING_SECONDS, len(targets) * _SECONDS_PER_TARGET
        )
        self._log_kept(verdict, silent_seconds, allowed_seconds, len(targets))
        return False

    def withdraw(self) -> None:
        """Keep the run after all, and give back what its retry has cost."""
        self.choice = None
        self._components.retry_budget.give_back(self._call.pool.name)

    def _may_repeat(self, now: float) -> bool:
        if self._relay.events and not self._relay.resume_after:
            # Its events have no ids: another run would repeat them.
            return False
        lost = attempt_result.Lost(
            ran=outcomes.Outcome.PARTIAL
            if self._relay.events
            else outcomes.Outcome.UNKNOWN,
            reason=outcomes.Reason.UPSTREAM_TIMEOUT,
            detail="",
            upstream=self._upstream,
        )
        sends = self._sends.with_lost(lost, seconds=0.0)
        decision = retrying.decide(self._call, lost, sends, now=now)
        return decision is retrying.RetryDecision.PAID

    def _targets(self) -> tuple[upstreams.Registration, ...]:
        """Return the upstreams that may continue the run."""
        for excluded in (self._excluded | self._tried, self._excluded):
            found = self._chooser.remaining(
                self._call, excluded=excluded, origin=self._relay.origin
            )
            if found:
                return found
        return ()

    def _choose(
        self,
        fitness_by_id: Mapping[types.UpstreamId, silence.Fitness],
        order: tuple[silence.Fitness, ...],
    ) -> choosing.Choice | None:
        """Choose among the upstreams that are fit best."""
        for wanted in order:
            fit = frozenset(
                id for id, fitness in fitness_by_id.items() if fitness is wanted
            )
            choice = self._chooser.choose(
                self._call,
                excluded=_AllBut(kept=fit),
                admitted_before=True,
                origin=self._relay.origin,
            )
            if isinstance(choice, choosing.Choice):
                return choice
        return None

    def _log_kept(
        self,
        verdict: silence.Verdict,
        silent_seconds: float,
        allowed_seconds: float,
        targets: int,
    ) -> None:
        """Log a run that is kept, once for each cause."""
        if verdict is self._logged:
            return
        self._logged = verdict
        now = self._components.clock.monotonic()
        running_now = self._components.clock.running()
        pool = self._call.pool.name
        self._components.metrics.kept_runs.labels(pool, verdict.value).inc()
        signs = self._components.signs
        logs.emit(
            events.LogEvent.SILENT_RUN_KEPT,
            request_id=self._call.request_id,
            upstream=self._upstream,
            reason=verdict.value,
            silent_seconds=round(silent_seconds, 3),
            allowed_seconds=allowed_seconds,
            upstream_silent_seconds=round(
                min(
                    silent_seconds, running_now - signs.heard_at(self._upstream)
                ),
                3,
            ),
            pool_silent_seconds=round(
                min(silent_seconds, running_now - signs.pool_heard_at(pool)), 3
            ),
            targets=targets,
            budget_left=round(
                self._components.retry_budget.left(pool, now=now), 1
            ),
        )


class _AllBut:
    """Contains all upstreams except some.

    Parameters
    ----------
    kept
        The ones that it does not contain.
    """

    def __init__(self, *, kept: frozenset[types.UpstreamId]) -> None:
        self._kept = kept

    def __contains__(self, upstream: object) -> bool:
        return upstream not in self._kept
