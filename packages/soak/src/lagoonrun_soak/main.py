"""Command line of the soak.

python -m lagoonrun_soak.main --seed 1 --seconds 30 --vms 4
"""

import asyncio
import pathlib
import tempfile

from absl import app, flags

from lagoonrun_soak import faults, planted, soak

_FIRST_SEED = flags.DEFINE_integer("seed", 1, "Seed of the first soak.")
_SEEDS = flags.DEFINE_integer("seeds", 1, "Soaks, with seeds that count up.")
_SECONDS = flags.DEFINE_float("seconds", 20.0, "Seconds of faults in each.")
_VMS = flags.DEFINE_integer("vms", 3, "Entry VMs.", lower_bound=2)
_PLANTED = flags.DEFINE_enum(
    "planted",
    "",
    ["", *(defect.value for defect in planted.PlantedDefect)],
    "Promise that is broken on purpose.",
)
_FAULTS = flags.DEFINE_multi_enum(
    "fault",
    [],
    [kind.value for kind in faults.FaultKind],
    "Only these faults; may be given several times.",
)
_FOLDER = flags.DEFINE_string("folder", "", "Where logs go; empty for /tmp.")

_MAX_SHOWN = 10


def _print_result(
    plan: soak.Plan, result: soak.SoakResult, folder: pathlib.Path
) -> None:
    counts = ", ".join(
        f"{key}: {n}" for key, n in sorted(result.request_counts.items())
    )
    print(f"seed {plan.seed}: {len(result.faults)} faults; {counts}")
    for violation in result.violations[:_MAX_SHOWN]:
        print(
            f"  {violation.guarantee.value} {violation.request_id}: "
            f"{violation.detail}"
        )
    if result.violations:
        print(f"  {len(result.violations)} violations; logs in {folder}")
        print("  " + "\n  ".join(result.faults))


def _main(arguments: list[str]) -> int:
    del arguments
    failed_count = 0
    for seed in range(_FIRST_SEED.value, _FIRST_SEED.value + _SEEDS.value):
        plan = soak.Plan(
            seed=seed,
            seconds=_SECONDS.value,
            vms=_VMS.value,
            planted=_PLANTED.value,
            kinds=tuple(map(faults.FaultKind, _FAULTS.value))
            or tuple(faults.FaultKind),
        )
        folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=_FOLDER.value or None)
        )
        result = asyncio.run(soak.run(plan, folder=folder))
        _print_result(plan, result, folder)
        failed_count += bool(result.violations)
    print(f"{_SEEDS.value} soaks, {failed_count} with a broken promise")
    return 1 if failed_count else 0


if __name__ == "__main__":
    app.run(_main)
