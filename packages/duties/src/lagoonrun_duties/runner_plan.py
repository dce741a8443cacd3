"""How many runners a pool is to have: pure decisions."""

from lagoonrun_core import types
from lagoonrun_duties import runner_model


class ConstantPlan:
    """As many lasting runners as there were first, the rest reclaimable."""

    def __init__(self) -> None:
        self._lasting: dict[
            tuple[types.PoolName, types.FailureDomain], int
        ] = {}

    def wanted(
        self, view: runner_model.PoolView, *, now: float
    ) -> tuple[runner_model.WantedRunners, ...]:
        """Return what each failure domain of a pool is to have."""
        wanted = []
        for one in view.domains:
            key = (view.pool, one.domain)
            lasting = self._lasting.setdefault(key, one.lasting)
            wanted.append(
                runner_model.WantedRunners(
                    domain=one.domain,
                    lasting=lasting,
                    reclaimable=max(0, view.scaling.maximum - lasting),
                )
            )
        return tuple(wanted)
