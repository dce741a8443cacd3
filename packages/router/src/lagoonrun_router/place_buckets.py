"""Places at all rate-limited upstreams, as allocated by one entry VM.

A place is the right to send one request to a rate-limited upstream.
"""

import random

from lagoonrun_core import types
from lagoonrun_router import place_bucket, running_requests, upstream_limits

_MAX_BUCKETS = 1024
"""Maximum number of buckets; the least recently used one is evicted."""


class PlaceBuckets:
    """Keeps a token bucket for each rate-limited upstream.

    Parameters
    ----------
    limits
        Rate limits that upstreams have announced.
    rng
        Source of random initial levels; None for buckets that begin empty.
    """

    def __init__(
        self,
        *,
        limits: upstream_limits.UpstreamLimits,
        rng: random.Random | None = None,
    ) -> None:
        self._limits = limits
        self._rng = rng
        self._bucket_by_instance: dict[
            running_requests.UpstreamInstance, place_bucket.PlaceBucket
        ] = {}

    def acquire(
        self,
        instance: running_requests.UpstreamInstance,
        tier: types.Tier,
        *,
        share: float,
        now: float,
    ) -> place_bucket.PlaceDecision:
        """Acquire a place for a request of a tier.

        Parameters
        ----------
        share
            Share of the limit that is allocated here, above 0.
        """
        limit = self._limits.limit_of(instance)
        if limit is None:
            self._bucket_by_instance.pop(instance, None)
            return place_bucket.Granted()
        bucket = self._updated_bucket(instance, limit * share, now)
        return bucket.acquire(tier, now=now)

    def clear(self) -> None:
        """Drop all buckets, so that no accumulated place is used."""
        self._bucket_by_instance.clear()

    def _updated_bucket(
        self,
        instance: running_requests.UpstreamInstance,
        per_second: float,
        now: float,
    ) -> place_bucket.PlaceBucket:
        bucket = self._bucket_by_instance.pop(instance, None)
        if bucket is None:
            bucket = place_bucket.PlaceBucket(
                per_second=per_second,
                now=now,
                level=self._rng.random() if self._rng else 0.0,
            )
        else:
            bucket.set_rate(per_second, now=now)
        self._bucket_by_instance[instance] = bucket
        while len(self._bucket_by_instance) > _MAX_BUCKETS:
            del self._bucket_by_instance[next(iter(self._bucket_by_instance))]
        return bucket
