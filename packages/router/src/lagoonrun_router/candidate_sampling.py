"""Which upstreams of a large pool one request considers.

What an entry VM knows of the others' work is a tenth to four tenths of a second
old. In a burst, dozens of requests are placed within that time; if each looked
at all upstreams, all would go to the same few that were idle a moment ago, and
wait there two to three times as long as foreseen. So each looks at a few that
its own id picks, and at those that have its shared parts: a choice among few
that differ from request to request spreads what nobody knows of yet.
"""

from collections.abc import Container

import xxhash

from lagoonrun_core import types
from lagoonrun_router import upstreams

MAX_UNSAMPLED_POOL = 12
"""Upstreams up to which all are considered: there the work that is not known yet
is known a moment later, and each one counts."""

_SAMPLED_IN_DOMAIN = 4
"""Upstreams of the own failure domain that are picked. With one of two, the worse
half of a burst still meets; more than four know the same stale news."""

_SAMPLED_REMOTE = 4
"""Upstreams of other failure domains that are picked, where the own ones are
busy."""


def sample(
    registered: tuple[upstreams.Registration, ...],
    *,
    request_id: types.RequestId,
    domain: types.FailureDomain,
    always_included: Container[types.UpstreamId],
) -> tuple[upstreams.Registration, ...]:
    """Return the upstreams that a request considers.

    Parameters
    ----------
    registered
        All that it might be sent to.
    domain
        Failure domain of this entry VM.
    wanted
        Those that are considered in any case.
    """
    if len(registered) <= MAX_UNSAMPLED_POOL:
        return registered
    shuffled = sorted(registered, key=lambda one: _sample_key(request_id, one))
    in_domain = [one for one in shuffled if one.domain == domain]
    remote = [one for one in shuffled if one.domain != domain]
    # A domain with few of its own has more of the others.
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


def _sample_key(
    request_id: types.RequestId, upstream: upstreams.Registration
) -> int:
    return xxhash.xxh3_64_intdigest(f"{request_id}{upstream.id}".encode())
