"""The home of a shared prompt part that all entry VMs find without a word."""

import xxhash

from lagoonrun_core import types
from lagoonrun_router import upstreams

_LEAST_IN_DOMAIN = 3
"""Upstreams of a domain from which each domain has homes of its own: a part is
then read once in each, and no prompt crosses between them. With fewer, one
hot part would fill a runner."""


def of(
    part: str,
    registered: tuple[upstreams.Registration, ...],
    *,
    domain: types.FailureDomain,
) -> types.UpstreamId:
    """Return the upstream that reads `part` for callers in `domain`.

    By rendezvous hashing: when an upstream goes, only its parts move.

    Parameters
    ----------
    registered
        At least one upstream of the pool.
    """
    own = [one for one in registered if one.domain == domain]
    among = own if len(own) >= _LEAST_IN_DOMAIN else registered
    best = max(among, key=lambda one: _rank(part, one.id))
    return best.id


def _rank(part: str, upstream: types.UpstreamId) -> int:
    digest = xxhash.xxh3_64(part.encode())
    digest.update(upstream.encode())
    return digest.intdigest()
