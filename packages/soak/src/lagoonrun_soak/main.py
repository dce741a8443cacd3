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
    ["", *(one.value for one in planted.Planted)],
    "Promise that is broken on purpose.",
)
_FAULTS = flags.DEFINE_multi_enum(
    "fault",
    [],
    [one.value for one in faults.FaultKind],
    "Only these faults; may be given several times.",
)
_FOLDER = flags.DEFINE_string("folder", "", "Where logs go; empty for /tmp.")

_MOST_SHOWN = 10


def _show(plan: soak.Plan, found: soak.Outcome, folder: pathlib.Path) -> None:
    asks = ", ".join(f"{key}: {n}" for key, n in sorted(found.asks.items()))
    print(f"seed {plan.seed}: {len(found.faults)} faults; {asks}")
    for one in found.violations[:_MOST_SHOWN]:
        print(f"  {one.promise.value} {one.request_id}: {one.detail}")
    if found.violations:
        print(f"  {len(found.violations)} violations; logs in {folder}")
        print("  " + "\n  ".join(found.faults))


def _main(arguments: list[str]) -> int:
    del arguments
    broken = 0
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
        found = asyncio.run(soak.run(plan, folder=folder))
        _show(plan, found, folder)
        broken += bool(found.violations)
    print(f"{_SEEDS.value} soaks, {broken} with a broken promise")
    return 1 if broken else 0


if __name__ == "__main__":
    app.run(_main)
