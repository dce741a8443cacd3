"""Which tiers of a pool have sent requests lately.

Admission reserves a share of each upstream for the tiers above a request. A
tier that sends nothing needs no reserve: requests of lower tiers would be
refused beside idle slots.
"""

from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_router import loads

ACTIVE_SECONDS = 10.0
"""Time since its last known request after which a tier is not active."""


class ActiveTiers:
    """Tiers by pool, as far as this entry VM knows their requests.

    Parameters
    ----------
    started_at
        Monotonic time of the start; all tiers count as active then.
    """

    def __init__(self, *, started_at: float) -> None:
        self._started_at = started_at
        self._seen_at_by_tier: dict[
            tuple[types.PoolName, types.Tier], float
        ] = {}

    def record_request(
        self, pool: types.PoolName, tier: types.Tier, *, now: float
    ) -> None:
        """Record a request of this entry VM, whether it is admitted or not."""
        self._seen_at_by_tier[pool, tier] = now

    def record_load(
        self, pool: types.PoolName, load: loads.Load, *, now: float
    ) -> None:
        """Record the tiers whose requests run at an upstream of a pool."""
        for index, running in enumerate(load.running_by_tier):
            if running:
                self.record_request(pool, types.Tier(index + 1), now=now)

    def relevant(
        self,
        pool: types.PoolName,
        tier: types.Tier,
        tiers: Iterable[types.Tier],
        *,
        now: float,
    ) -> tuple[types.Tier, ...]:
        """Return the tiers that share a pool with a request of `tier`.

        Parameters
        ----------
        tiers
            Tiers of all request classes of the pool. Those above `tier` that
            have sent nothing lately are left out.
        """
        return tuple(
            one
            for one in tiers
            if one >= tier
            or now - self._seen_at_by_tier.get((pool, one), self._started_at)
            < ACTIVE_SECONDS
        )
