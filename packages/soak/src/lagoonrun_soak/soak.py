"""Runs a soak: injects faults into a deployment, then checks the guarantees."""

import asyncio
import collections
import dataclasses
import pathlib
import random

from lagoonrun_soak import checks, faults, fleet, layout


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Parameters of a soak.

    Parameters
    ----------
    seed
        Seed of all random choices.
    seconds
        Time for which faults are injected.
    vms
        Number of entry VMs.
    planted
        Guarantee that a planted defect violates; empty for no defect.
    kinds
        Kinds of faults that may be injected.
    """

    seed: int
    seconds: float
    vms: int
    planted: str = ""
    kinds: tuple[faults.FaultKind, ...] = tuple(faults.FaultKind)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SoakResult:
    """Violations and statistics of a soak.

    Parameters
    ----------
    violations
        Violations of the guarantees.
    request_counts
        Number of requests by class and status; status 0 is no response.
    faults
        Injected faults with their times.
    """

    violations: tuple[checks.Violation, ...]
    request_counts: collections.Counter[str]
    faults: tuple[str, ...]


_UNDISTURBED_SECONDS = 1.0
"""Time before the first fault, and after the last one for open responses."""


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
