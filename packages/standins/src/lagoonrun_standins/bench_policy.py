"""`make bench-policy`: compare scheduling policies under load and faults.

For each user's current deployment size, runs real entry VMs, engine stand-ins
and an open-loop load with seeded arrivals, first with the naive policy, then
with the dispatcher, with the same arrivals and the same faults. Prints one JSON
document with the results of both and their ratios. `--steps` also runs the
dispatcher with each part of the scheduling policy switched separately.

Faults, in seconds from the start of the arrivals: load reports lag from the
start; a runner is a straggler from 3 to 12; the bursts last from 4 to 10; a
runner's report is missing from 5 to 9; a dispatcher is frozen at 6.5 for 1.5
seconds; a runner crashes at 8.
"""

import asyncio
import collections
import dataclasses
import json
import sys
import time
from collections.abc import Sequence

from absl import app, flags

from lagoonrun_config import settings
from lagoonrun_core import types
from lagoonrun_membership import ranking
from lagoonrun_standins import (
    deployment,
    fleet,
    http_client,
    load_summary,
    load_workers,
    policy_figures,
    policy_users,
    process_usage,
    traffic,
)

_USERS = flags.DEFINE_list(
    "users", ["consortium", "trust"], "Whose deployments are run."
)
_SEEDS = flags.DEFINE_list("seeds", ["1"], "Seeds of the arrivals.")
_DURATION = flags.DEFINE_float(
    "duration", 15.0, "Seconds in which requests arrive."
)
_POLICIES = flags.DEFINE_list(
    "policies",
    ["naive", "dispatcher"],
    "Policies: naive, dispatcher, dispatcher-NAME or dispatcher+NAME for one"
    " part switched off or on.",
)
_STEPS = flags.DEFINE_bool(
    "steps", False, "Also switch each part of the order of service alone."
)
_REQUESTS_TO = flags.DEFINE_string(
    "requests_to", None, "File to which a line is added for each request."
)
_FAULTS = flags.DEFINE_bool("faults", True, "Whether faults happen.")

_REPORT_LAG_SECONDS = 0.5
_SLOW_FACTOR = 3.0
_LOAD_WORKERS = 3
_START_DELAY_SECONDS = 1.5
_SETTLE_SECONDS = 1.0
_STEP_NAMES = (
    "fair_sharing",
    "target_first",
    "floors",
    "deadline_refusal",
    "wait_refusal",
    "adaptive_room",
    "load_reports",
    "affinity",
    "straggler_penalty",
    "ejection",
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Fault:
    """One fault injected into a runner or an entry VM."""

    at_seconds: float
    target: str
    control: dict[str, object] | None = None
    freezes: bool = False
    resumes: bool = False


def experiment_of(policy: str) -> settings.Experiment:
    """Return the experiment for a name of `--policies`.

    Raises
    ------
    ValueError
        If the policy before `-` or `+` is unknown.
    """
    base, minus, off = policy.partition("-")
    if not minus:
        base, _, on = policy.partition("+")
    else:
        on = ""
    return settings.Experiment(
        policy=settings.ExperimentPolicy(base),
        switched_off=(off,) if off else (),
        switched_on=(on,) if on else (),
    )


class _PolicyRun:
    """Runs one user's deployment under one policy."""

    def __init__(
        self,
        *,
        user: policy_users.User,
        policy: str,
        seed: int,
        duration_seconds: float,
    ) -> None:
        self._user = user
        self._policy = policy
        self._duration_seconds = duration_seconds
        self._arrivals = traffic.arrivals(
            user.classes,
            user.callers,
            duration_seconds=duration_seconds,
            seed=seed,
        )
        self._processes = fleet.Fleet()
        self._running = deployment.Deployment(
            fleet=self._processes,
            declared=user.declare(),
            entry_vms=user.entry_vms,
            engine_flags={
                "step_seconds": user.step_seconds,
                "metrics_lag_seconds": _REPORT_LAG_SECONDS,
            },
            experiment=experiment_of(policy),
        )

    async def run(self) -> policy_figures.Figures:
        """Start all processes, send the load and return the figures."""
        await self._processes.start()
        try:
            await self._running.start()
            return await self._measure()
        finally:
            await self._processes.close()

    async def _measure(self) -> policy_figures.Figures:
        addresses = [
            self._running.process(vm.id).address("caller")
            for vm in self._user.entry_vms
        ]
        start_at = time.monotonic() + _START_DELAY_SECONDS
        faults = asyncio.create_task(self._inject_faults(start_at))
        results = await load_workers.run(
            self._arrivals,
            addresses=addresses,
            worker_count=_LOAD_WORKERS,
            start_delay_seconds=_START_DELAY_SECONDS,
        )
        await faults
        await asyncio.sleep(_SETTLE_SECONDS)
        if _REQUESTS_TO.value:
            self._write_requests(results, _REQUESTS_TO.value)
        counters = await self._counters()
        runs_by_key = await self._runs_by_key()
        return policy_figures.figures_of(
            load_summary.summarise(
                results, duration_seconds=self._duration_seconds
            ),
            results=results,
            policy=self._policy,
            counters=counters,
            runs_by_key=runs_by_key,
            entry_vm_processor_seconds=self._processor_seconds(),
        )

    def _write_requests(
        self, results: Sequence[load_summary.Result], path: str
    ) -> None:
        with open(path, "a", encoding="utf-8") as file:
            for result in results:
                line = {
                    "policy": self._policy,
                    "class": result.arrival.traffic_class.name,
                    "organisation": result.arrival.caller.organisation,
                    "at_seconds": round(result.arrival.at_seconds, 3),
                    "request_id": result.request_id,
                    "kind": result.verdict.kind.value,
                    "reason": result.verdict.reason,
                    "attains": result.attains,
                    "first_token_seconds": result.first_token_seconds,
                    "total_seconds": result.total_seconds,
                }
                file.write(json.dumps(line) + "\n")

    async def _counters(self) -> list[dict[str, int]]:
        runners = self._running.declared.upstreams_by_id.values()
        return [
            await http_client.fetch_json(
                runner.address, runner.port, "/control/counters"
            )
            for runner in runners
        ]

    async def _runs_by_key(self) -> collections.Counter[str]:
        """Return the runs of each idempotency key, summed over all runners."""
        found: collections.Counter[str] = collections.Counter()
        for runner in self._running.declared.upstreams_by_id.values():
            runs = await http_client.fetch_json(
                runner.address, runner.port, "/control/runs"
            )
            found.update(runs["by_idempotency_key"])
        return found

    def _processor_seconds(self) -> float:
        return sum(
            process_usage.of_process(
                self._running.process(vm.id).pid
            ).processor_seconds
            for vm in self._user.entry_vms
        )

    async def _inject_faults(self, start_at: float) -> None:
        if not _FAULTS.value:
            return
        for fault in self._faults():
            due = start_at + fault.at_seconds
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await self._inject(fault)

    async def _inject(self, fault: _Fault) -> None:
        process = self._running.process(fault.target)
        if fault.freezes:
            process.freeze()
        elif fault.resumes:
            process.resume()
        else:
            await http_client.fetch_json(
                process.host, process.port, "/control", fault.control
            )

    def _faults(self) -> Sequence[_Fault]:
        user = self._user
        dispatcher = self._dispatcher_of(user.frozen_pool)
        return (
            _Fault(
                at_seconds=3.0,
                target=user.straggler,
                control={"slow_factor": _SLOW_FACTOR},
            ),
            _Fault(
                at_seconds=5.0,
                target=user.silent,
                control={"omits_metrics": True},
            ),
            _Fault(at_seconds=6.5, target=dispatcher, freezes=True),
            _Fault(at_seconds=8.0, target=dispatcher, resumes=True),
            _Fault(
                at_seconds=8.0, target=user.crashing, control={"crash": True}
            ),
            _Fault(
                at_seconds=9.0,
                target=user.silent,
                control={"omits_metrics": False},
            ),
            _Fault(
                at_seconds=12.0,
                target=user.straggler,
                control={"slow_factor": 1.0},
            ),
        )

    def _dispatcher_of(self, pool: str) -> types.EntryVmId:
        """Return the dispatcher of the pool's first shard.

        The same entry VM is frozen under each policy.
        """
        domain = self._user.runners_by_pool[pool][0]
        candidates = [
            vm.id for vm in self._user.entry_vms if vm.domain == domain
        ]
        shard = types.ShardId(f"{pool}@{domain}/0")
        return ranking.rank_entry_vms(shard, candidates)[0]


async def measure(
    *,
    user: policy_users.User,
    policies: Sequence[str],
    seed: int,
    duration_seconds: float,
) -> dict[str, object]:
    """Run all policies one after the other on the same arrivals and faults."""
    found = []
    for policy in policies:
        run = _PolicyRun(
            user=user,
            policy=policy,
            seed=seed,
            duration_seconds=duration_seconds,
        )
        figures = await run.run()
        found.append(figures)
        print(f"{user.name} {seed} {figures.brief()}", file=sys.stderr)
    return {
        "user": user.name,
        "seed": seed,
        "runs": [figures.to_json() for figures in found],
        "ratios": [
            policy_figures.ratios(found[0], other) for other in found[1:]
        ],
    }


def main(arguments: list[str]) -> None:
    """Print the figures of all runs as JSON."""
    del arguments
    policies = list(_POLICIES.value)
    if _STEPS.value:
        policies += [f"dispatcher-{name}" for name in _STEP_NAMES]
        policies.append("dispatcher+cutting")
    found = [
        asyncio.run(
            measure(
                user=policy_users.USERS_BY_NAME[name],
                policies=policies,
                seed=int(seed),
                duration_seconds=_DURATION.value,
            )
        )
        for name in _USERS.value
        for seed in _SEEDS.value
    ]
    json.dump({"bench": "policy", "users": found}, sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    app.run(main)
