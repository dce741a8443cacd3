"""Which upstreams of a pool take a request just now.

An upstream may have named a limit and have no place left, or have asked for rest.
"""

import dataclasses
import enum
from collections.abc import Mapping

from lagoonrun_core import types
from lagoonrun_router import (
    places,
    running_requests,
    upstream_rests,
    upstreams,
)


class ClosedReason(enum.Enum):
    """Why an upstream takes nothing."""

    LIMITED = "limited"
    RESTING = "resting"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClosedUpstream:
    """An upstream that takes nothing for a while.

    Parameters
    ----------
    wait_seconds
        Time until it may take a request.
    """

    upstream: types.UpstreamId
    reason: ClosedReason
    wait_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Available:
    """Upstreams that take a request, and those that don't.

    Parameters
    ----------
    open_by_id
        Those to choose among; empty where all are closed.
    closed
        The others, the first to open again first.
    """

    open_by_id: Mapping[types.UpstreamId, upstreams.Registration]
    closed: tuple[ClosedUpstream, ...] = ()


class Availability:
    """Tells the upstreams that take a request from those that don't.

    Parameters
    ----------
    limited
        Places at limited upstreams.
    rests
        Rests that upstreams asked for.
    """

    def __init__(
        self,
        *,
        limited: places.Places,
        rests: upstream_rests.UpstreamRests,
    ) -> None:
        self._limited = limited
        self._rests = rests

    def partition(
        self,
        by_id: Mapping[types.UpstreamId, upstreams.Registration],
        tier: types.Tier,
        *,
        now: float,
    ) -> Available:
        """Divide upstreams; those that others were asked to spare come last."""
        if not self._limited.has_closed(now=now) and not self._rests.has_any(
            now=now
        ):
            return Available(open_by_id=by_id)
        closed = sorted(
            filter(
                None,
                (
                    self._closed_upstream(one, tier, now)
                    for one in by_id.values()
                ),
            ),
            key=lambda one: one.wait_seconds,
        )
        left_out = {one.upstream for one in closed}
        open_by_id = {
            id: one for id, one in by_id.items() if id not in left_out
        }
        preferred = {
            id: one
            for id, one in open_by_id.items()
            if not self._rests.is_avoided(
                running_requests.instance_of(one), now=now
            )
        }
        return Available(
            open_by_id=preferred or open_by_id, closed=tuple(closed)
        )

    def is_resting(
        self, upstream: upstreams.Registration, *, now: float
    ) -> bool:
        """Return whether an upstream has asked this entry VM for rest."""
        instance = running_requests.instance_of(upstream)
        return self._rests.rest_seconds(instance, now=now) > 0.0

    def _closed_upstream(
        self, upstream: upstreams.Registration, tier: types.Tier, now: float
    ) -> ClosedUpstream | None:
        instance = running_requests.instance_of(upstream)
        rest_seconds = self._rests.rest_seconds(instance, now=now)
        limited_seconds = self._limited.closed_seconds(upstream, tier, now=now)
        if not rest_seconds and not limited_seconds:
            return None
        rests = rest_seconds >= limited_seconds
        return ClosedUpstream(
            upstream=upstream.id,
            reason=ClosedReason.RESTING if rests else ClosedReason.LIMITED,
            wait_seconds=max(rest_seconds, limited_seconds),
        )
