"""Which upstreams of a pool accept a request at the moment.

An upstream is closed while it has no place left within the rate limit that it
announced, while it rests: a back-off that it asked for by Retry-After, or while
it is brittle and this entry VM uses its share of the slots.
"""

import dataclasses
import enum
from collections.abc import Mapping

from lagoonrun_core import types
from lagoonrun_router import (
    brittle_upstreams,
    place_routing,
    places,
    running_requests,
    upstream_rests,
    upstreams,
)


class ClosedReason(enum.Enum):
    """Why an upstream accepts no request."""

    LIMITED = "limited"
    RESTING = "resting"
    BRITTLE = "brittle"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClosedUpstream:
    """An upstream that temporarily accepts no request.

    Parameters
    ----------
    wait_seconds
        Time until it may accept one.
    """

    upstream: types.UpstreamId
    reason: ClosedReason
    wait_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Available:
    """Open and closed upstreams.

    Parameters
    ----------
    open_by_id
        Upstreams to choose from; empty if all are closed.
    closed
        The others, in the order in which they open again.
    """

    open_by_id: Mapping[types.UpstreamId, upstreams.Registration]
    closed: tuple[ClosedUpstream, ...] = ()


class Availability:
    """Separates open from closed upstreams.

    Parameters
    ----------
    limited
        Places at rate-limited upstreams.
    rests
        Rests that upstreams asked for.
    brittle
        Upstreams that crash if they refuse too many requests.
    routing
        Counts the entry VMs that share the slots of an upstream.
    """

    def __init__(
        self,
        *,
        limited: places.Places,
        rests: upstream_rests.UpstreamRests,
        brittle: brittle_upstreams.BrittleUpstreams,
        routing: place_routing.PlaceRouting,
    ) -> None:
        self._limited = limited
        self._rests = rests
        self._brittle = brittle
        self._routing = routing

    def partition(
        self,
        by_id: Mapping[types.UpstreamId, upstreams.Registration],
        tier: types.Tier,
        *,
        now: float,
    ) -> Available:
        """Separate the open upstreams from the closed ones.

        Upstreams that asked other entry VMs for a rest are open only if all
        open ones have done so.
        """
        if (
            not self._brittle
            and not self._limited.has_closed(now=now)
            and not self._rests.has_any(now=now)
        ):
            return Available(open_by_id=by_id)
        entry_vm_count = 1
        if self._brittle:
            entry_vm_count = self._routing.fleet_counts(now=now).known
        found = (
            self._closed_upstream(one, tier, now)
            or self._closed_brittle(one, tier, entry_vm_count)
            for one in by_id.values()
        )
        closed = sorted(filter(None, found), key=lambda one: one.wait_seconds)
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
        """Return whether an upstream has asked this entry VM for a rest."""
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

    def _closed_brittle(
        self,
        upstream: upstreams.Registration,
        tier: types.Tier,
        entry_vm_count: int,
    ) -> ClosedUpstream | None:
        if self._brittle.has_share_left(
            upstream, tier, entry_vm_count=entry_vm_count
        ):
            return None
        return ClosedUpstream(
            upstream=upstream.id,
            reason=ClosedReason.BRITTLE,
            wait_seconds=brittle_upstreams.CLOSED_SECONDS,
        )
