"""Measure the membership protocol while a region is partitioned and heals.

Uses the fleet of `bench_membership` in ten domains of four regions. One region
is partitioned from the others and later rejoins them without any seed member.
With `--forgets`, dead members are forgotten early, so that both sides have
forgotten each other when the partition ends, as after an hour. Run as
`python -m lagoonrun_standins.bench_regions`.
"""

import json
from collections.abc import Callable, Sequence

from absl import app, flags

from lagoonrun_core import types
from lagoonrun_membership import timing as timings
from lagoonrun_standins import bench_membership

_SIZE = flags.DEFINE_integer("size", 510, "Entry VMs of the fleet.")
_CUT_SECONDS = flags.DEFINE_float(
    "cut_seconds", 60.0, "Simulated length of the cut; at least 40."
)
_FORGETS = flags.DEFINE_bool(
    "forgets", False, "Forget the dead within the cut, as in an hour."
)

_SIZES_OF_REGIONS = (3, 3, 2, 2)
_DOMAINS = sum(_SIZES_OF_REGIONS)
_CALM_SECONDS = 20.0
_DETECTION_SECONDS = 30.0
_MAX_HEAL_SECONDS = 60.0
_FORGET_SECONDS = 5.0


class _DividedFleet(bench_membership.Fleet):
    """A fleet that drops datagrams between the two sides of a partition."""

    cut_off: frozenset[str] = frozenset()

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        if (sender in self.cut_off) == (receiver in self.cut_off):
            super()._deliver(sender, receiver, data)


class _Bench:
    """Runs the phases of one partition; prints one JSON line for each."""

    def __init__(self) -> None:
        self._fleet = _DividedFleet(
            size=_SIZE.value,
            domains=_DOMAINS,
            seed=flags.FLAGS.seed,
            timing=_timing(),
            seeds=0,
        )
        self._fleet.introduce_all()
        region_by_domain = _region_by_domain()
        self._region_by_domain = region_by_domain
        for member in self._fleet.members_by_id.values():
            member.protocol.set_regions(region_by_domain.__getitem__)
        lost = types.Region(f"region-{len(_SIZES_OF_REGIONS) - 1}")
        self._lost = frozenset(
            name
            for name, member in self._fleet.members_by_id.items()
            if region_by_domain[member.protocol.members.own.domain] == lost
        )

    def run(self) -> None:
        """Run all phases."""
        self._phase("calm", _CALM_SECONDS, until=None)
        self._fleet.cut_off = self._lost
        self._phase("cut: detection", _DETECTION_SECONDS, until=None)
        remaining = _CUT_SECONDS.value - _DETECTION_SECONDS
        self._phase("cut: settled", remaining, until=None)
        self._fleet.cut_off = frozenset()
        self._phase(
            "domains found", _MAX_HEAL_SECONDS, until=self._domains_known
        )
        self._phase("all found", _MAX_HEAL_SECONDS, until=self._all_known)
        self._phase("after", _CALM_SECONDS, until=None)

    def _domains_known(self) -> bool:
        """Return whether every member knows a live member of each domain.

        From then on each shard has a dispatcher that can be reached.
        """
        return all(
            member.protocol.members.eligible_in(domain)
            for member in self._fleet.members_by_id.values()
            for domain in self._region_by_domain
        )

    def _all_known(self) -> bool:
        size = len(self._fleet.members_by_id)
        return all(
            len(member.protocol.members) == size
            for member in self._fleet.members_by_id.values()
        )

    def _phase(
        self, phase: str, seconds: float, *, until: Callable[[], bool] | None
    ) -> None:
        fleet = self._fleet
        fleet.reset_counts()
        took = fleet.run(seconds, until=until)
        traffics = [m.traffic for m in fleet.members_by_id.values()]
        spent = max(took, 1.0) * len(traffics)
        busiest = [max(t.bytes_by_second.values(), default=0) for t in traffics]
        result = {
            "members": len(traffics),
            "lost": len(self._lost),
            "phase": phase,
            "simulated_seconds": round(took, 1),
            "reached": took < seconds if until is not None else None,
            "records": max(
                len(m.protocol.members.views_by_id())
                for m in fleet.members_by_id.values()
            ),
            "sent_bytes_per_second": round(
                sum(t.sent_bytes for t in traffics) / spent
            ),
            "busiest_member_second_bytes": max(busiest),
            "sent_datagrams_per_second": round(
                sum(t.sent_datagrams for t in traffics) / spent, 2
            ),
            "core_percent": round(100 * fleet.processor_seconds / spent, 3),
        }
        print(json.dumps(result), flush=True)


def _timing() -> timings.Timing:
    if _FORGETS.value:
        return timings.Timing(forget_seconds=_FORGET_SECONDS)
    return timings.Timing()


def _region_by_domain() -> dict[types.FailureDomain, types.Region]:
    regions = [
        types.Region(f"region-{region}")
        for region, size in enumerate(_SIZES_OF_REGIONS)
        for _ in range(size)
    ]
    return {
        types.FailureDomain(f"domain-{n:02d}"): region
        for n, region in enumerate(regions)
    }


def main(argv: Sequence[str]) -> None:
    """Measure one partition."""
    del argv
    _Bench().run()


if __name__ == "__main__":
    app.run(main)
