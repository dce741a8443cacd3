"""The soak itself: it keeps quiet on the product, and finds what is planted.

Promises are broken on purpose in the real program, one at a time, and the
faults that show it are injected. A soak that misses one proves nothing.
"""

import pytest

from lagoonrun_soak import checks, faults, soak
from lagoonrun_soak.faults import FaultKind
from lagoonrun_soak.planted import PlantedDefect

FAULTS_BY_DEFECT = {
    PlantedDefect.ONCE: (FaultKind.UPSTREAM_CRASHED,),
    PlantedDefect.OWN_ANSWER: (FaultKind.DECLARED,),
    PlantedDefect.NOT_RUN: (
        FaultKind.UPSTREAM_LINK,
        FaultKind.UPSTREAM_CRASHED,
    ),
    PlantedDefect.LEAVING: (FaultKind.UPSTREAM_LEAVES,),
    PlantedDefect.PLANNED_STOP: (FaultKind.VM_STOPPED,),
    PlantedDefect.NO_REVERT: (FaultKind.DECLARED,),
    PlantedDefect.IN_FORCE: (FaultKind.DECLARED,),
    PlantedDefect.TIERS: (FaultKind.BURST,),
    PlantedDefect.CRASHING: (FaultKind.CRASHING_REQUEST,),
    PlantedDefect.LIMITS: (FaultKind.UPSTREAM_LIMITS,),
    PlantedDefect.RESTS: (FaultKind.POOL_RESTS,),
    PlantedDefect.OWN_LEAVING: (FaultKind.UPSTREAM_SAYS_IT_LEAVES,),
}

SECONDS = 7.0
"""Long enough for what takes three seconds to count as overdue."""


SECONDS_BY_DEFECT = {PlantedDefect.LIMITS: 2 * SECONDS}
"""A limit binds after three seconds, and is checked over the four that follow."""


async def run_soak(tmp_path, seed=1, **changes):
    values = {"seed": seed, "seconds": SECONDS, "vms": 3}
    plan = soak.Plan(**{**values, **changes})
    return await soak.run(plan, folder=tmp_path)


@pytest.mark.parametrize("planted", list(PlantedDefect))
async def test_planted_fault_is_found(planted, tmp_path):
    result = await run_soak(
        tmp_path,
        planted=planted.value,
        kinds=FAULTS_BY_DEFECT[planted],
        seconds=SECONDS_BY_DEFECT.get(planted, SECONDS),
    )
    guarantee = checks.Guarantee(planted.value)
    assert guarantee in {violation.guarantee for violation in result.violations}


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_short_soak_finds_nothing(seed, tmp_path):
    result = await run_soak(tmp_path, seed=seed)
    assert result.violations == ()
    assert len(result.faults) > 2
    assert result.request_counts["lookup 200"] > 50


@pytest.mark.parametrize(
    "kind",
    [
        FaultKind.VM_STOPPED,
        FaultKind.BURST,
        FaultKind.CRASHING_REQUEST,
        FaultKind.STORE_RESTORED,
        FaultKind.UPSTREAM_LIMITS,
        FaultKind.POOL_RESTS,
        FaultKind.UPSTREAM_SAYS_IT_LEAVES,
    ],
)
async def test_single_fault_in_series_breaks_nothing(kind, tmp_path):
    result = await run_soak(tmp_path, kinds=(kind,))
    assert result.violations == ()


async def test_entry_vms_hear_each_other(tmp_path):
    """No soak of the exchange between entry VMs says anything without it.

    Each reached the store at a host of its own and took the datagrams of the
    others for those of another fleet, for as long as there was a soak.
    """
    await run_soak(tmp_path, seconds=2.0, kinds=(FaultKind.DECLARED,))
    logs = {path.name: path.read_text() for path in tmp_path.glob("*.log")}
    assert len(logs) == 3
    for text in logs.values():
        assert "peer-gained" in text
        assert "peer-frame-rejected" not in text


def test_every_planted_promise_is_checked():
    assert {defect.value for defect in PlantedDefect} == {
        guarantee.value for guarantee in checks.Guarantee
    }
    assert set(FAULTS_BY_DEFECT) == set(PlantedDefect)
    assert (
        faults.FaultKind.VM_KILLED
        in soak.Plan(seed=1, seconds=1.0, vms=2).kinds
    )
