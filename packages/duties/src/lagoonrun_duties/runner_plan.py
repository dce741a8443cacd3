"""How many runners a pool is to have, of which kind, where: a pure decision.

Reclaimable runners cost a fraction of lasting ones and serve as well, but the
platform takes all of a failure domain away at once, with two seconds' notice, and
has none to give there for ten seconds and more; two domains may lose theirs within
seconds. So most runners are reclaimable, as many as the pool may have, and a fifth
is lasting.

The number does not follow the demand. Runners that leave take along what they have
read, and those that are ordered for a burst serve when it is over, since a boot takes
as long as half of a burst: with a number that did, 0.87 of the requests of a heavy day
were served in time in place of 0.96, at no lower price.
"""

import math

from lagoonrun_duties import runner_model

LASTING_PART = 0.2
"""Part of the runners that are lasting. In heavy load with two domains reclaimed,
0.93 of the requests were served in time with a fifth, 0.84 with none; on a calm day
0.99 with either, and a lasting runner costs as much as five and a half others."""


class MixedPlan:
    """A fifth lasting, the rest reclaimable, up to the most."""

    def wanted(
        self, view: runner_model.PoolView
    ) -> tuple[runner_model.WantedRunners, ...]:
        """Return what each failure domain of a pool is to have."""
        scaling = view.scaling
        if scaling.reclaimable_price >= 1.0:
            # Nothing is saved by runners that may be taken away.
            lasting = scaling.maximum
        else:
            lasting = math.ceil(LASTING_PART * scaling.maximum)
        return tuple(
            runner_model.WantedRunners(
                domain=one.domain,
                lasting=lasting,
                reclaimable=scaling.maximum - lasting,
            )
            for one in view.domains
        )
