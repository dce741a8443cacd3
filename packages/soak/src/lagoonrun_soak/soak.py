"""One soak: a fleet, faults by a seed, and the promises checked at the end."""

import asyncio
import collections
import dataclasses
import pathlib
import random

from lagoonrun_soak import checks, faults, fleet, layout


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What a soak does.

    Parameters
    ----------
    seed
        Of all choices.
    seconds
        How long faults are injected.
    vms
        Entry VMs.
    planted
        Promise that is broken on purpose; empty for none.
    kinds
        Faults that may come.
    """

    seed: int
    seconds: float
    vms: int
    planted: str = ""
    kinds: tuple[faults.FaultKind, ...] = tuple(faults.FaultKind)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SoakResult:
    """What a soak found.

    Parameters
    ----------
    asks
        Requests by class and status; status 0 is no answer.
    faults
        What happened, with the time.
    """

    violations: tuple[checks.Violation, ...]
    request_counts: collections.Counter[str]
    faults: tuple[str, ...]


_UNDISTURBED_SECONDS = 1.0
"""Before the first fault, and after the last for answers on their way."""


async def run(plan: Plan, *, folder: pathlib.Path) -> SoakResult:
    """Run one soak; its logs and settings are left in `folder`."""
    rng = random.Random(plan.seed)
    deployment = fleet.Deployment(
        network=layout.Network.of_process(),
        vms=plan.vms,
        folder=folder,
        rng=rng,
        planted=plan.planted,
    )
    injector = faults.FaultInjector(
        deployment=deployment, rng=rng, kinds=plan.kinds
    )
    try:
        await deployment.start()
        await asyncio.sleep(_UNDISTURBED_SECONDS)
        await injector.start()
        await asyncio.sleep(plan.seconds)
        await injector.close()
        await asyncio.sleep(_UNDISTURBED_SECONDS)
    finally:
        await deployment.close()
    history = deployment.history
    return SoakResult(
        violations=tuple(checks.check(history)),
        request_counts=collections.Counter(
            f"{request.kind} {request.status}"
            for request in history.requests_by_id.values()
        ),
        faults=tuple(history.faults),
    )
