"""How many runners of which kind a pool should have in which domain; no I/O.

Reclaimable runners cost a fraction of lasting ones and serve as well, but the
platform reclaims all of a failure domain at once, with two seconds' notice, and
then has none available there for ten seconds or longer. Two domains may lose
theirs within seconds of each other. So the pool is kept at its maximum size,
with a fifth of the runners lasting and the rest reclaimable.

The number does not follow the demand. A runner that is removed loses its prefix
cache, and one that is ordered for a burst serves only when the burst is over,
since booting takes half as long as a burst. A number that followed the demand
had 0.87 of the requests of a day of heavy load served in time, instead of 0.96,
at no lower cost.
"""

import math

from lagoonrun_duties import runner_model

LASTING_SHARE = 0.2
"""Fraction of the runners that are lasting. Under heavy load with two domains
reclaimed, 0.93 of the requests were served in time with a fifth and 0.84 with
none; on a day of low load 0.99 with either. A lasting runner costs five and a
half times as much as a reclaimable one."""


class MixedPlan:
    """A fifth lasting, the rest reclaimable, up to the maximum of the pool."""

    def desired(
        self, view: runner_model.PoolView
    ) -> tuple[runner_model.DesiredRunners, ...]:
        """Return the desired runners of a pool in each failure domain."""
        scaling = view.scaling
        if scaling.reclaimable_price >= 1.0:
            # Reclaimable runners would save nothing.
            lasting = scaling.maximum
        else:
            lasting = math.ceil(LASTING_SHARE * scaling.maximum)
        return tuple(
            runner_model.DesiredRunners(
                domain=one.domain,
                lasting=lasting,
                reclaimable=scaling.maximum - lasting,
            )
            for one in view.domains
        )
