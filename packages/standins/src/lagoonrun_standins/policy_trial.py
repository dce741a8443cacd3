"""Simulated trials of the scheduling policy with a few modelled runners.

The results are those of a model: they show which parts of the policy are worth
measuring with real processes and do not replace that measurement. All variants
get the same seeded arrivals.

    python -m lagoonrun_standins.policy_trial --deployment=consortium
"""

import dataclasses
import heapq
import json
import random
import statistics
from collections.abc import Iterator

from absl import app, flags

from lagoonrun_core import outcomes, types
from lagoonrun_policy import features, messages, naive, scheduler
from lagoonrun_standins.trial_engine import Job, TrialEngine

_DEPLOYMENT = flags.DEFINE_enum(
    "deployment", "consortium", ["consortium", "trust"], "Sizes to model."
)
_VARIANTS = flags.DEFINE_list(
    "variants",
    [],
    "naive, full, -PART (full without it) or +PART (full with it); empty for "
    "naive, full and every part alone.",
)
_SEEDS = flags.DEFINE_integer("seeds", 3, "Runs per variant.", lower_bound=1)
_SECONDS = flags.DEFINE_float("seconds", 60.0, "Length of the arrivals.")
_STRAGGLER = flags.DEFINE_float("straggler", 0.35, "Speed of one runner.")
_SLOTS = flags.DEFINE_integer("slots", 16, "Declared slots of a runner.")
_KNEE = flags.DEFINE_integer("knee", 16, "Batch that a runner can bear.")
_BURST = flags.DEFINE_float("burst", 3.0, "Factor on the load in the burst.")
_LOAD = flags.DEFINE_float("load", 0.7, "Load outside the burst.")
_CRASH = flags.DEFINE_bool("crash", False, "One runner is down in between.")

_ENTRY_VMS = 8
_REPORT_SECONDS = 0.5
_TICK_SECONDS = 0.5
_MIN_WAKE_SECONDS = 0.005
_BURST_START = 0.25
_BURST_END = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class TrialClass:
    """A class with its share of the load and the sizes of its requests."""

    policy: messages.ClassPolicy
    share: float
    tokens: float
    prefill_tokens: float
    bursts: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """Runners and classes of one user's deployment."""

    runners: int
    step_seconds: float
    classes: tuple[TrialClass, ...]


def _trial_class(
    name: str,
    tier: int,
    *,
    target: float,
    limit: float,
    share: float,
    tokens: float,
    prefill_tokens: float,
    bursts: bool = False,
) -> TrialClass:
    return TrialClass(
        policy=messages.ClassPolicy(
            name=types.ProfileName(name),
            tier=types.Tier(tier),
            target_seconds=target,
            limit_seconds=limit,
        ),
        share=share,
        tokens=tokens,
        prefill_tokens=prefill_tokens,
        bursts=bursts,
    )


_DEPLOYMENTS = {
    "consortium": Deployment(
        runners=5,
        step_seconds=0.003,
        classes=(
            _trial_class(
                "catalogue-question",
                1,
                target=0.5,
                limit=2.0,
                share=0.15,
                tokens=20,
                prefill_tokens=10,
            ),
            _trial_class(
                "page-transcription",
                2,
                target=6.0,
                limit=20.0,
                share=0.6,
                tokens=300,
                prefill_tokens=60,
                bursts=True,
            ),
            _trial_class(
                "volume-summary",
                3,
                target=30.0,
                limit=60.0,
                share=0.25,
                tokens=800,
                prefill_tokens=200,
            ),
        ),
    ),
    "trust": Deployment(
        runners=9,
        step_seconds=0.004,
        classes=(
            _trial_class(
                "spill-warning",
                1,
                target=1.5,
                limit=5.0,
                share=0.1,
                tokens=60,
                prefill_tokens=20,
                bursts=True,
            ),
            _trial_class(
                "keeper-question",
                2,
                target=4.0,
                limit=15.0,
                share=0.4,
                tokens=200,
                prefill_tokens=150,
                bursts=True,
            ),
            _trial_class(
                "daily-digest",
                3,
                target=40.0,
                limit=90.0,
                share=0.5,
                tokens=1000,
                prefill_tokens=200,
                bursts=True,
            ),
        ),
    ),
}


class Trial:
    """One simulated run of one variant.

    Parameters
    ----------
    variant
        `naive`, `full`, or `-PART` or `+PART` for `full` with one part
        switched off or on.
    """

    def __init__(
        self, *, deployment: Deployment, variant: str, seed: int
    ) -> None:
        self._deployment = deployment
        self._classes = {c.policy.name: c for c in deployment.classes}
        ids = [types.UpstreamId(f"r{i}") for i in range(deployment.runners)]
        self._engines = {
            id: TrialEngine(
                id=id,
                step_seconds=deployment.step_seconds,
                speed=_STRAGGLER.value if id == ids[-1] else 1.0,
                batch=_SLOTS.value,
                knee=_KNEE.value,
                cached_prefixes=40,
            )
            for id in ids
        }
        policy = messages.ShardPolicy(
            shard=types.ShardId("pool@domain/0"),
            revision=types.Revision(1),
            classes_by_name={n: c.policy for n, c in self._classes.items()},
            runners_by_id={
                id: messages.Runner(id=id, slots=_SLOTS.value) for id in ids
            },
            weights_by_organisation={},
        )
        self._schedulers = _schedulers(policy, variant, seed)
        self._now = 0.0
        self._by_key: dict[messages.PermitKey, Job] = {}
        self._heap: list[tuple[float, int, str, object]] = []
        self._sequence = 0
        self._latencies: dict[str, list[float | None]] = {
            n: [] for n in self._classes
        }
        self._first_token_latencies: dict[str, list[float]] = {
            n: [] for n in self._classes
        }
        self._attained_by_size: dict[str, list[bool]] = {
            "large": [],
            "small": [],
        }
        self._refusals: dict[str, int] = {}
        self._good_tokens = 0
        self._wasted_tokens = 0.0
        self._wake_by_ingress: dict[types.EntryVmId, float] = {}
        self._down: types.UpstreamId | None = None
        arrivals = _arrivals(deployment, random.Random(seed))
        for job in arrivals:
            self._push(job.arrived_at, "arrive", job)
        self._push(0.0, "report", None)
        self._push(0.0, "tick", None)
        if _CRASH.value:
            self._push(0.4 * _SECONDS.value, "crash", ids[0])
            self._push(0.6 * _SECONDS.value, "recover", ids[0])

    def run(self) -> dict[str, object]:
        """Run the simulation to its end and return the figures."""
        horizon = _SECONDS.value + 30.0
        while self._heap and self._now < horizon:
            at, step, payload = self._next()
            self._now = at
            getattr(self, f"_on_{step}")(payload)
        return self._figures()

    def _next(self) -> tuple[float, str, object]:
        at, _, step, payload = self._heap[0]
        engine, due = None, at
        for candidate in self._engines.values():
            milestone = candidate.next_milestone()
            if milestone is not None and milestone < due:
                engine, due = candidate, milestone
        if engine is not None:
            return max(due, self._now), "milestone", engine
        heapq.heappop(self._heap)
        return at, step, payload

    def _on_milestone(self, engine: TrialEngine) -> None:
        job, ended = engine.pop_milestone(self._now)
        if not ended:
            name = job.event.profile
            self._first_token_latencies[name].append(self._now - job.arrived_at)
            return
        del self._by_key[job.event.key]
        self._good_tokens += job.tokens
        self._record_result(job, self._now - job.arrived_at)
        self._report_end(job, outcomes.Outcome.COMPLETE, job.tokens)

    def _on_arrive(self, job: Job) -> None:
        self._by_key[job.event.key] = job
        self._apply_event(job.event.ingress, job.event)
        self._push(job.deadline, "limit", job)

    def _on_limit(self, job: Job) -> None:
        if self._by_key.get(job.event.key) is not job:
            return
        self._stop(job, outcomes.Reason.DEADLINE)

    def _on_report(self, _: None) -> None:
        for engine in self._engines.values():
            if engine.id == self._down:
                continue
            event = messages.LoadReported(
                upstream=engine.id,
                running=len(engine.running),
                waiting=sum(not i[3].finished for i in engine.queue),
                cache_usage=0.0,
                age_seconds=_REPORT_SECONDS,
            )
            self._push(self._now + _REPORT_SECONDS, "deliver", event)
        self._push(self._now + _REPORT_SECONDS, "report", None)

    def _on_deliver(self, event: messages.Event) -> None:
        for ingress in list(self._schedulers):
            self._apply_event(ingress, event)

    def _on_tick(self, _: None) -> None:
        for engine in self._engines.values():
            engine.advance(self._now)
            for job in list(engine.running.values()):
                event = messages.WorkProgressed(
                    key=job.event.key,
                    tokens=engine.produced(job),
                    first_token_seconds=max(
                        0.0, job.first_token_at - job.sent_at
                    ),
                )
                self._apply_event(job.event.ingress, event)
        for ingress in list(self._schedulers):
            self._apply_event(ingress, messages.Ticked())
        self._push(self._now + _TICK_SECONDS, "tick", None)

    def _on_wake(self, ingress: types.EntryVmId) -> None:
        if self._wake_by_ingress.get(ingress) != self._now:
            return
        self._apply_event(ingress, messages.Ticked())

    def _on_crash(self, upstream: types.UpstreamId) -> None:
        self._down = upstream
        engine = self._engines[upstream]
        for job in [*engine.running.values(), *(i[3] for i in engine.queue)]:
            if not job.finished:
                self._stop(job, outcomes.Reason.UPSTREAM_CLOSED)

    def _on_recover(self, _: types.UpstreamId) -> None:
        self._down = None

    def _stop(self, job: Job, reason: outcomes.Reason) -> None:
        del self._by_key[job.event.key]
        self._record_result(job, None)
        if job.upstream is None:
            job.finished = True
            self._apply_event(
                job.event.ingress, messages.PermitReturned(key=job.event.key)
            )
            return
        engine = self._engines[job.upstream]
        produced = engine.cancel(job, self._now)
        self._wasted_tokens += produced
        self._report_end(job, outcomes.Outcome.PARTIAL, produced, reason)

    def _report_end(
        self,
        job: Job,
        outcome: outcomes.Outcome,
        tokens: int,
        reason: outcomes.Reason = outcomes.Reason.NONE,
    ) -> None:
        event = messages.PermitEnded(
            key=job.event.key,
            upstream=job.upstream,
            outcome=outcome,
            reason=reason,
            first_token_seconds=max(0.0, job.first_token_at - job.sent_at),
            total_seconds=self._now - job.sent_at,
            tokens=tokens,
        )
        self._apply_event(job.event.ingress, event)

    def _apply_event(
        self, ingress: types.EntryVmId, event: messages.Event
    ) -> None:
        target_scheduler = (
            self._schedulers.get(ingress) or self._schedulers[_ALL_ENTRY_VMS]
        )
        for action in target_scheduler.handle(event, now=self._now):
            job = self._by_key.get(action.key)
            if job is None:
                continue
            match action:
                case messages.Grant():
                    self._start(job, action.upstream)
                case messages.Refuse():
                    del self._by_key[action.key]
                    job.finished = True
                    reason = action.reason.value
                    self._refusals[reason] = self._refusals.get(reason, 0) + 1
                    self._record_result(job, None)
                case messages.Cut():
                    self._stop(job, action.reason)
        self._schedule_wake(ingress, target_scheduler.next_wake(now=self._now))

    def _schedule_wake(
        self, ingress: types.EntryVmId, wake: float | None
    ) -> None:
        """Schedule the earliest wake per ingress.

        A wake that is due after the tick period is left to the next tick.
        """
        if wake is None or wake >= self._now + _TICK_SECONDS:
            return
        wake = max(wake, self._now + _MIN_WAKE_SECONDS)
        pending = self._wake_by_ingress.get(ingress, 0.0)
        if pending <= self._now or wake < pending:
            self._wake_by_ingress[ingress] = wake
            self._push(wake, "wake", ingress)

    def _start(self, job: Job, upstream: types.UpstreamId) -> None:
        job.upstream = upstream
        job.sent_at = self._now
        if upstream == self._down:
            self._push(self._now + 1e-3, "refused_connection", job)
            return
        self._engines[upstream].submit(job, self._now)

    def _on_refused_connection(self, job: Job) -> None:
        if self._by_key.get(job.event.key) is job:
            self._stop(job, outcomes.Reason.UPSTREAM_CONNECT)

    def _record_result(self, job: Job, seconds: float | None) -> None:
        name = job.event.profile
        self._latencies[name].append(seconds)
        target = self._classes[name].policy.target_seconds
        size = (
            "large"
            if job.event.organisation in _LARGE_ORGANISATIONS
            else "small"
        )
        self._attained_by_size[size].append(
            seconds is not None and seconds <= target
        )

    def _push(self, at: float, step: str, payload: object) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, step, payload))

    def _figures(self) -> dict[str, object]:
        figures: dict[str, object] = {}
        for name, trial_class in self._classes.items():
            latencies = self._latencies[name]
            target = trial_class.policy.target_seconds
            served = sorted(s for s in latencies if s is not None)
            figures[f"attainment {name}"] = sum(
                s <= target for s in served
            ) / max(1, len(latencies))
            figures[f"p95 {name}"] = _quantile(served, 0.95)
            figures[f"p95 first {name}"] = _quantile(
                sorted(self._first_token_latencies[name]), 0.95
            )
        total = self._good_tokens + self._wasted_tokens
        figures["goodput tokens/s"] = self._good_tokens / _SECONDS.value
        figures["wasted"] = self._wasted_tokens / max(1.0, total)
        for size, met in self._attained_by_size.items():
            figures[f"attainment {size}"] = sum(met) / max(1, len(met))
        hits = sum(e.hits for e in self._engines.values())
        misses = sum(e.misses for e in self._engines.values())
        figures["prefix hits"] = hits / max(1, hits + misses)
        for reason, count in sorted(self._refusals.items()):
            figures[f"refused {reason}"] = count
        return figures


_ALL_ENTRY_VMS = types.EntryVmId("all")
_LARGE_ORGANISATIONS = frozenset({"o0", "o1"})


def _schedulers(
    policy: messages.ShardPolicy, variant: str, seed: int
) -> dict[types.EntryVmId, messages.Scheduler]:
    if variant == "naive":
        return {
            types.EntryVmId(f"vm{i}"): naive.NaiveScheduler(
                policy=policy, rng=random.Random(f"{seed}/{i}")
            )
            for i in range(_ENTRY_VMS)
        }
    switches = features.Features()
    if variant[0] in "+-":
        changed = {variant[1:]: variant[0] == "+"}
        switches = dataclasses.replace(switches, **changed)
    return {
        _ALL_ENTRY_VMS: scheduler.ShardScheduler(
            policy=policy, switches=switches
        )
    }


def _arrivals(deployment: Deployment, rng: random.Random) -> Iterator[Job]:
    batch = min(_SLOTS.value, _KNEE.value)
    speed = deployment.runners - 1 + _STRAGGLER.value
    capacity = speed * batch / (deployment.step_seconds * (1 + 0.05 * batch))
    number = 0
    for trial_class in deployment.classes:
        tokens_per_request = (
            trial_class.tokens + 0.6 * trial_class.prefill_tokens
        )
        rate = _LOAD.value * capacity * trial_class.share / tokens_per_request
        now = 0.0
        while now < _SECONDS.value:
            progress = now / _SECONDS.value
            burst = _BURST_START <= progress < _BURST_END and trial_class.bursts
            now += rng.expovariate(rate * (_BURST.value if burst else 1.0))
            number += 1
            yield _job(trial_class, number, now, rng)


def _job(
    trial_class: TrialClass, number: int, now: float, rng: random.Random
) -> Job:
    organisation = rng.choice(
        [*["o0"] * 8, *["o1"] * 5, *(f"o{i}" for i in range(2, 10))]
    )
    prefix = f"{organisation}/{min(29, int(rng.paretovariate(0.7)))}"
    tokens = rng.lognormvariate(0.0, 0.8) * trial_class.tokens / 1.377
    policy = trial_class.policy
    event = messages.PermitRequested(
        key=messages.PermitKey(
            request_id=types.RequestId(f"q{number}"),
            attempt_id=types.AttemptId(1),
        ),
        ingress=types.EntryVmId(f"vm{rng.randrange(_ENTRY_VMS)}"),
        profile=policy.name,
        organisation=types.OrganisationId(organisation),
        remaining_seconds=policy.limit_seconds,
        remaining_target_seconds=policy.target_seconds,
        prefix_hash=types.PrefixHash(
            sum(ord(c) << (7 * i) for i, c in enumerate(prefix))
        ),
    )
    return Job(
        event=event,
        tier=policy.tier,
        arrived_at=now,
        deadline=now + policy.limit_seconds,
        prefill_tokens=trial_class.prefill_tokens,
        tokens=max(1, int(tokens)),
    )


def _quantile(ordered: list[float], q: float) -> float:
    return ordered[int(q * (len(ordered) - 1))] if ordered else 0.0


def _variants() -> list[str]:
    if _VARIANTS.value:
        return _VARIANTS.value
    parts = [
        ("-" if field.default else "+") + field.name
        for field in dataclasses.fields(features.Features)
    ]
    return ["naive", "full", *parts]


def main(argv: list[str]) -> None:
    """Run all variants and print one JSON object per line."""
    del argv
    deployment = _DEPLOYMENTS[_DEPLOYMENT.value]
    for variant in _variants():
        runs = [
            Trial(deployment=deployment, variant=variant, seed=seed).run()
            for seed in range(_SEEDS.value)
        ]
        names = dict.fromkeys(name for run in runs for name in run)
        means = {
            name: round(statistics.fmean(run.get(name, 0) for run in runs), 3)
            for name in names
        }
        print(json.dumps({"variant": variant, **means}), flush=True)


def run() -> None:
    """Run `main` with the command line's flags."""
    app.run(main)


if __name__ == "__main__":
    run()
