"""Sample the candidates of one request from a large pool.

An entry VM learns of the others' in-flight requests with a delay of 0.1 to
0.4 s. In a burst, dozens of requests are placed within that time. If each
considered all upstreams, all would be sent to the same few that were idle when
last reported, and wait there two to three times as long as expected. So each
request considers a few upstreams selected by a hash of its own id, and those
that hold its shared prompt parts: differing samples spread the requests that
are not reported yet.
"""

from collections.abc import Container

import xxhash

from lagoonrun_core import types
from lagoonrun_router import upstreams

MAX_UNSAMPLED_POOL = 12
"""Size up to which the whole pool is considered: in a small pool, requests are
reported soon enough, and each upstream is needed."""

_SAMPLED_IN_DOMAIN = 4
"""Sampled upstreams of the own failure domain. With one or two, the worse half
of a burst still collides; more than four again rely on the same stale
reports."""

_SAMPLED_REMOTE = 4
"""Sampled upstreams of other failure domains, used when the local ones are
busy."""


def sample(
    registered: tuple[upstreams.Registration, ...],
    *,
    request_id: types.RequestId,
    domain: types.FailureDomain,
    always_included: Container[types.UpstreamId],
) -> tuple[upstreams.Registration, ...]:
    """Return the candidates of a request.

    Parameters
    ----------
    registered
        All usable upstreams of the pool.
    domain
        Failure domain of this entry VM.
    always_included
        Upstreams that are candidates in any case.
    """
    if len(registered) <= MAX_UNSAMPLED_POOL:
        return registered
    shuffled = sorted(registered, key=lambda one: _sample_key(request_id, one))
    in_domain = [one for one in shuffled if one.domain == domain]
    remote = [one for one in shuffled if one.domain != domain]
    # Remote upstreams make up for missing local ones.
    max_remote = _SAMPLED_REMOTE + max(0, _SAMPLED_IN_DOMAIN - len(in_domain))
    picked = {
        one.id
        for one in (*in_domain[:_SAMPLED_IN_DOMAIN], *remote[:max_remote])
    }
    return tuple(
        one
        for one in registered
        if one.id in picked or one.id in always_included
    )


def pick(
    registered: tuple[upstreams.Registration, ...],
    *,
    request_id: types.RequestId,
    count: int,
) -> tuple[upstreams.Registration, ...]:
    """Return at most `count` upstreams, a different choice by request."""
    if len(registered) <= count:
        return registered
    shuffled = sorted(registered, key=lambda one: _sample_key(request_id, one))
    return tuple(shuffled[:count])


def _sample_key(
    request_id: types.RequestId, upstream: upstreams.Registration
) -> int:
    return xxhash.xxh3_64_intdigest(f"{request_id}{upstream.id}".encode())
