"""Measure how long an accepted change takes to be active on all entry VMs.

Starts a platform stand-in and `lagoonrund` processes in several failure
domains, applies changes to one profile, and polls every admin address until
it reports the new revision. Run as
`python -m lagoonrun_standins.bench_configuration --counts=2,4,8`.
"""

import asyncio
import collections
import dataclasses
import json
import random
import statistics
import time
from collections.abc import Sequence

from absl import app, flags

from lagoonrun_config import (
    change_outcomes,
    configuration_store,
    declarations,
    model,
)
from lagoonrun_config import draft as draft_module
from lagoonrun_core import clock, types
from lagoonrun_membership import ranking
from lagoonrun_platform import etcd_gateway
from lagoonrun_standins import deployment, fleet, http_client

_COUNTS = flags.DEFINE_list("counts", ["2", "4", "8"], "Numbers of entry VMs.")
_DOMAINS = flags.DEFINE_integer("domains", 2, "Failure domains.")
_CHANGES = flags.DEFINE_integer("changes", 10, "Changes for each number.")
_FROZEN = flags.DEFINE_bool(
    "frozen", False, "Freeze all watchers of the head before each change."
)
_PAUSE_SECONDS = 0.5
_RECOVERY_SECONDS = 8.0
_POLL_SECONDS = 0.01
_MAX_WAIT_SECONDS = 30.0

_PROFILE = types.ProfileName("lookup")
_DECLARATIONS = """
[profiles.lookup]
tier = 1
target_seconds = 0.5
limit_seconds = 60.0
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rollout:
    """Latencies of one change.

    Parameters
    ----------
    apply_seconds
        Time until the operator received the acceptance.
    first_seconds, last_seconds
        Time from the acceptance until the change was active on the first and
        on the last entry VM; 0 if it was active before the operator received
        the acceptance.
    """

    apply_seconds: float
    first_seconds: float
    last_seconds: float


class RolloutBench:
    """Applies changes to one profile of a running deployment.

    Parameters
    ----------
    deployed
        The deployment.
    entry_vms
        Entry VMs whose revision is polled.
    store
        Store that the changes are written to.
    """

    def __init__(
        self,
        *,
        deployed: deployment.Deployment,
        entry_vms: Sequence[deployment.EntryVm],
        store: configuration_store.ConfigurationStore,
    ) -> None:
        self._deployed = deployed
        self._entry_vms = tuple(entry_vms)
        self._store = store

    async def change_frozen(self, number: int) -> Rollout:
        """Apply one change while all watchers are frozen.

        The latencies cover the other entry VMs only. Afterwards the watchers
        are resumed, and the call returns once they have the change too.
        """
        watchers = self._watchers()
        rest = [one for one in self._entry_vms if one.id not in watchers]
        processes = [self._deployed.process(name) for name in watchers]
        for process in processes:
            process.freeze()
        try:
            rollout = await self.change(number, asked=rest)
        finally:
            for process in processes:
                process.resume()
        revision = types.Revision(number + 1)
        await asyncio.gather(*(self._wait(one, revision) for one in watchers))
        await asyncio.sleep(_RECOVERY_SECONDS)
        return rollout

    def _watchers(self) -> tuple[types.EntryVmId, ...]:
        names_by_domain: dict[types.FailureDomain, list[types.EntryVmId]] = (
            collections.defaultdict(list)
        )
        for one in self._entry_vms:
            names_by_domain[one.domain].append(one.id)
        return tuple(
            watcher
            for domain, names in names_by_domain.items()
            for watcher in ranking.choose_watchers(domain, names)
        )

    async def change(
        self,
        number: int,
        *,
        asked: Sequence[deployment.EntryVm] | None = None,
    ) -> Rollout:
        """Apply one change and wait until it is active on all entry VMs.

        Parameters
        ----------
        asked
            Entry VMs to wait for; all if None.
        """
        waited_for = self._entry_vms if asked is None else asked
        base = types.Revision(number)
        began = time.monotonic()
        outcome = await self._store.apply(
            _with_target(self._deployed.declared, 1.0 + number),
            base=base,
            change_id=types.ChangeId(f"bench-{number}"),
            operator="bench",
        )
        accepted = time.monotonic()
        if not isinstance(outcome, change_outcomes.Accepted):
            raise RuntimeError(f"change {number} was not accepted: {outcome}")
        instants = await asyncio.gather(
            *(self._wait(one.id, outcome.revision) for one in waited_for)
        )
        return Rollout(
            apply_seconds=accepted - began,
            first_seconds=max(0.0, min(instants) - accepted),
            last_seconds=max(0.0, max(instants) - accepted),
        )

    async def _wait(
        self, entry_vm: types.EntryVmId, revision: types.Revision
    ) -> float:
        async with asyncio.timeout(_MAX_WAIT_SECONDS):
            while True:
                answer = await self._deployed.ask_admin(entry_vm, "/status")
                if answer.json()["revision"] >= revision:
                    return time.monotonic()
                await asyncio.sleep(_POLL_SECONDS)


def _with_target(
    draft: draft_module.Draft, seconds: float
) -> draft_module.Draft:
    changed: model.Profile = dataclasses.replace(
        draft.profiles_by_name[_PROFILE], target_seconds=seconds
    )
    return dataclasses.replace(draft, profiles_by_name={_PROFILE: changed})


def _draft() -> draft_module.Draft:
    file = declarations.DeclarationFile(name="bench", text=_DECLARATIONS)
    draft = declarations.parse_declarations([file])
    if isinstance(draft, declarations.InvalidDeclarations):
        raise RuntimeError(f"the bench's declarations: {draft.faults}")
    return draft


async def measure(*, count: int, domains: int, changes: int) -> dict:
    """Return the measurements for `count` entry VMs as JSON values."""
    entry_vms = [
        deployment.EntryVm(
            id=types.EntryVmId(f"entry-{index}"),
            domain=types.FailureDomain(f"domain-{index % domains}"),
        )
        for index in range(count)
    ]
    processes = fleet.Fleet()
    await processes.start()
    deployed = deployment.Deployment(
        fleet=processes, declared=_draft(), entry_vms=entry_vms
    )
    try:
        await deployed.start()
        return await _measure(deployed, entry_vms, changes)
    finally:
        await processes.close()


async def _measure(
    deployed: deployment.Deployment,
    entry_vms: Sequence[deployment.EntryVm],
    changes: int,
) -> dict:
    assert deployed.platform is not None
    platform = deployed.platform.address()
    gateway = etcd_gateway.EtcdGateway(
        addresses=[platform],
        clock=clock.SystemClock(),
        rng=random.Random(0),
    )
    bench = RolloutBench(
        deployed=deployed,
        entry_vms=entry_vms,
        store=configuration_store.ConfigurationStore(
            store=gateway, rng=random.Random(0)
        ),
    )
    await http_client.fetch_json(
        platform.host,
        platform.port,
        "/control",
        {"reset_counters": True},
    )
    rollouts = []
    try:
        for number in range(1, changes + 1):
            change = bench.change_frozen if _FROZEN.value else bench.change
            rollouts.append(await change(number))
            await asyncio.sleep(_PAUSE_SECONDS)
    finally:
        await gateway.close()
    counters = await http_client.fetch_json(
        platform.host, platform.port, "/control/counters"
    )
    return _summary(len(entry_vms), rollouts, counters)


def _summary(count: int, rollouts: Sequence[Rollout], counters: dict) -> dict:
    last = [one.last_seconds for one in rollouts]
    return {
        "entry_vms": count,
        "watchers_frozen": _FROZEN.value,
        "changes": len(rollouts),
        "apply_median_ms": _median_ms([one.apply_seconds for one in rollouts]),
        "first_median_ms": _median_ms([one.first_seconds for one in rollouts]),
        "everywhere_median_ms": _median_ms(last),
        "everywhere_most_ms": round(1000 * max(last), 1),
        "platform_calls_by_kind": counters["calls_by_kind"],
    }


def _median_ms(seconds: Sequence[float]) -> float:
    return round(1000 * statistics.median(seconds), 1)


def main(arguments: Sequence[str]) -> None:
    """Measure each fleet size and print one line for each."""
    del arguments
    for count in _COUNTS.value:
        line = asyncio.run(
            measure(
                count=int(count),
                domains=_DOMAINS.value,
                changes=_CHANGES.value,
            )
        )
        print(json.dumps(line), flush=True)


if __name__ == "__main__":
    app.run(main)
