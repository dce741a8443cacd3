"""Collect and sample the candidates of a call."""

import collections
import functools
import statistics

from lagoonrun_core import types
from lagoonrun_router import call as calls
from lagoonrun_router import (
    candidate_sampling,
    placement,
    pool_capacity,
    speed_estimate,
    upstreams,
)
from lagoonrun_router import components as router_components

_RECENT_REPORT_SECONDS = 1.0
"""Age up to which a load report of a plain service is compared with others."""

_OUTDATED_CANDIDATES = 2
"""Number of candidates among the plain services with older reports."""


class CandidateBuilder:
    """Builds the placement candidates of a call from the state of the process.

    Parameters
    ----------
    components
        Shared components of the process.
    """

    def __init__(self, *, components: router_components.Components) -> None:
        self._components = components

    def sample(
        self,
        call: calls.Call,
        usable: tuple[upstreams.Registration, ...],
        now: float,
        *,
        adaptive: bool,
    ) -> tuple[upstreams.Registration, ...]:
        """Return the upstreams that a call considers: the pool, or a sample.

        Parameters
        ----------
        usable
            Usable upstreams of the pool.
        adaptive
            Whether the pool is adaptive.
        """
        affinity_part = call.affinity_part
        if adaptive and call.pool.engine is None:
            return self._sample_plain(call, usable, now)
        if (
            call.pool.engine is None
            or len(usable) <= candidate_sampling.MAX_UNSAMPLED_POOL
        ):
            return usable
        always_included: set[types.UpstreamId] = set()
        if affinity_part is not None:
            always_included.update(
                self._components.prompt_locations.holders(
                    affinity_part.id, now=now
                )
            )
            if not self.shared_recently(call):
                always_included.add(
                    self.pool_order(usable).prefill_upstream_of(
                        affinity_part.id
                    )
                )
        return candidate_sampling.sample(
            usable,
            request_id=call.request_id,
            domain=self._components.domain,
            always_included=always_included,
        )

    def build(
        self,
        call: calls.Call,
        registered: tuple[upstreams.Registration, ...],
        usable: tuple[upstreams.Registration, ...],
        now: float,
        *,
        adaptive: bool,
    ) -> tuple[placement.Candidate, ...]:
        """Return some usable upstreams as candidates of a call.

        Parameters
        ----------
        registered
            Upstreams to be compared.
        usable
            All usable upstreams of the pool.
        adaptive
            Whether the pool is adaptive.
        """
        uneven = adaptive and self._components.adaptive.states_slowness(usable)
        usual_seconds = 0.0
        if uneven and call.pool.engine is None:
            usual_seconds = self._usual_seconds(usable, now)
        substitutes_by_version = _substitutes_by_version(call, usable)
        return tuple(
            self._candidate(
                call,
                one,
                now,
                uneven=uneven,
                usual_seconds=usual_seconds,
                substitutes=substitutes_by_version.get(one.version),
            )
            for one in registered
        )

    def pool_order(
        self, usable: tuple[upstreams.Registration, ...]
    ) -> placement.PoolOrder:
        """Return the order of a pool, by speed if its upstreams are uneven."""
        ids = tuple(one.id for one in usable)
        adaptive = self._components.adaptive
        if not adaptive.states_slowness(usable):
            return _pool_order_of_ids(ids)
        now = self._components.clock.monotonic()
        return _pool_order_of_ids(
            ids, adaptive.rounded_speeds(usable[0].pool, ids, now=now)
        )

    def shared_recently(self, call: calls.Call) -> bool:
        """Return whether the shared prompt part of a call was used recently."""
        affinity_part = call.affinity_part
        if affinity_part is None:
            return False
        now = self._components.clock.monotonic()
        return self._components.prompt_locations.used_recently(
            affinity_part.id, now=now
        )

    def new_tokens(self, call: calls.Call) -> float:
        """Return the prompt tokens of a call that are probably not cached."""
        tokens = float(call.attributes.prompt_tokens)
        if self.shared_recently(call):
            tokens -= call.shared_tokens
        return max(0.0, tokens)

    def _sample_plain(
        self,
        call: calls.Call,
        usable: tuple[upstreams.Registration, ...],
        now: float,
    ) -> tuple[upstreams.Registration, ...]:
        """Return the upstreams with recent reports, and two of the others.

        If all entry VMs compared all upstreams by outdated reports, they would
        select the same one.
        """
        speeds = self._components.adaptive.speeds
        recent = []
        outdated = []
        for one in usable:
            age = speeds.estimate(one.id, now=now).age_seconds
            is_recent = age is not None and age <= _RECENT_REPORT_SECONDS
            (recent if is_recent else outdated).append(one)
        return (
            *recent,
            *candidate_sampling.pick(
                tuple(outdated),
                request_id=call.request_id,
                count=_OUTDATED_CANDIDATES,
            ),
        )

    def _usual_seconds(
        self, usable: tuple[upstreams.Registration, ...], now: float
    ) -> float:
        """Return the median service time of plain services; 0 if unknown."""
        speeds = self._components.adaptive.speeds
        estimates = (speeds.estimate(one.id, now=now) for one in usable)
        known = [
            one.service_seconds
            for one in estimates
            if one.service_seconds is not None
        ]
        return statistics.median(known) if known else 0.0

    def _candidate(
        self,
        call: calls.Call,
        upstream: upstreams.Registration,
        now: float,
        *,
        uneven: bool,
        usual_seconds: float,
        substitutes: int | None,
    ) -> placement.Candidate:
        """Return an upstream as a candidate of a call.

        Parameters
        ----------
        uneven
            Whether its pool states the slowness of its upstreams.
        usual_seconds
            Service time that is assumed while that of a plain service is not
            known.
        substitutes
            See `placement.Candidate`.
        """
        components = self._components
        affinity_part = call.affinity_part
        load = components.ledger.load_of(upstream.id, now=now)
        slots = upstream.slots
        tokens_per_second = None
        service_seconds = 0.0
        if uneven:
            estimate = components.adaptive.speeds.estimate(upstream.id, now=now)
            if call.pool.engine is None:
                service_seconds = plain_seconds(
                    estimate, slots=slots, usual_seconds=usual_seconds
                )
            else:
                tokens_per_second = estimate.tokens_per_second_over(
                    load.waiting_tokens + call.attributes.prompt_tokens
                )
                slots = pool_capacity.scaled_slots(
                    slots, estimate.relative_speed
                )
        return placement.Candidate(
            upstream=upstream.id,
            slots=slots,
            tokens_per_second=tokens_per_second,
            service_seconds=service_seconds,
            cache_tokens=call.pool.engine.cache_tokens
            if call.pool.engine
            else 0.0,
            has_shared=affinity_part is not None
            and components.prompt_locations.has(
                affinity_part.id, upstream.id, now=now
            ),
            same_domain=upstream.domain == components.domain,
            load=load,
            recent_prefill=components.ledger.recent_prefill(
                upstream.id, now=now
            ),
            failures=components.ledger.failures(upstream.id, now=now),
            silent_domain=components.domains.is_silent(
                upstream.domain, now=now
            ),
            substitutes=substitutes,
        )


def _substitutes_by_version(
    call: calls.Call, usable: tuple[upstreams.Registration, ...]
) -> dict[types.UpstreamVersion, int]:
    """Return how many other upstreams could continue a stream of each version.

    Empty if the call is no such stream, or all upstreams are of one version.
    """
    if not call.route.resumable:
        return {}
    counts = collections.Counter(one.version for one in usable)
    if len(counts) == 1:
        return {}
    return {version: count - 1 for version, count in counts.items()}


def plain_seconds(
    estimate: speed_estimate.SpeedEstimate,
    *,
    slots: int,
    usual_seconds: float,
) -> float:
    """Return the expected time to an answer of a plain service.

    Requests above the number of slots wait for those before them.

    Parameters
    ----------
    usual_seconds
        Service time that is assumed while that of the upstream is not known.
    """
    service_seconds = estimate.service_seconds or usual_seconds
    in_service = (estimate.running or 0) + (estimate.waiting or 0) + 1
    queued = max(0, in_service - slots) / max(1, slots)
    return service_seconds * estimate.slowness * (1.0 + queued)


@functools.lru_cache(maxsize=16)
def _pool_order_of_ids(
    ids: tuple[types.UpstreamId, ...],
    weights: tuple[float, ...] | None = None,
) -> placement.PoolOrder:
    # Cached: the ids and weights change only when an upstream joins or leaves,
    # or its speed changes by half of that of the others.
    return placement.PoolOrder(ids=ids, weights=weights)
