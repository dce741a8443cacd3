"""Gauges that are set from the state of the process on each scrape."""

from collections.abc import Mapping

from lagoonrun_core import stalls as stalls_module
from lagoonrun_router import (
    adaptive_load,
    crashing_requests,
    load_ledger,
    metrics,
    peer_table,
    retry_budget,
    route_table,
    store_follower,
    upstream_limits,
    upstreams,
)


class Gauges:
    """Sets the gauges of one process.

    The series of upstreams are rebuilt on each scrape, so that those of removed
    upstreams end; there is one series for each upstream and gauge.

    Parameters
    ----------
    router_metrics
        The metrics that are set.
    directory, ledger, peers, budget, follower, crashing_requests, limits,
    adaptive
        The state that the gauges show.
    """

    def __init__(
        self,
        *,
        router_metrics: metrics.RouterMetrics,
        directory: upstreams.UpstreamDirectory,
        ledger: load_ledger.LoadLedger,
        peers: peer_table.PeerTable,
        budget: retry_budget.RetryBudget,
        follower: store_follower.StoreFollower,
        crashing_requests: crashing_requests.CrashingRequests,
        limits: upstream_limits.UpstreamLimits,
        adaptive: adaptive_load.AdaptiveLoad,
    ) -> None:
        self._metrics = router_metrics
        self._directory = directory
        self._ledger = ledger
        self._peers = peers
        self._budget = budget
        self._follower = follower
        self._crashing_requests = crashing_requests
        self._limits = limits
        self._adaptive = adaptive

    def refresh(
        self,
        *,
        now: float,
        ready: bool,
        table: route_table.RouteTable | None,
        store_calls_by_kind: Mapping[str, int],
        unsent_store_calls_by_kind: Mapping[str, int],
        stalls: stalls_module.Stalls,
    ) -> None:
        """Set all gauges.

        Parameters
        ----------
        table
            Active routes; None before the first declarations.
        store_calls_by_kind, unsent_store_calls_by_kind
            Calls to the store since the start, and calls that were dropped
            before they were sent.
        stalls
            Stalls of the event loop.
        """
        router_metrics = self._metrics
        router_metrics.ready.set(ready)
        router_metrics.peers.set(len(self._peers.known()))
        router_metrics.blocked_requests.set(
            len(self._crashing_requests.blocks())
        )
        router_metrics.store_watched.set(
            self._follower.role is not store_follower.ReaderRole.STAND_BY
        )
        answered_at = self._follower.answered_at
        if answered_at is not None:
            router_metrics.store_age.set(now - answered_at)
        for kind, count in store_calls_by_kind.items():
            router_metrics.store_calls.labels(kind).set(count)
        for kind, count in unsent_store_calls_by_kind.items():
            router_metrics.unsent_store_calls.labels(kind).set(count)
        for cause in stalls_module.StallCause:
            router_metrics.event_loop_stalls.labels(cause.value).set(
                stalls.count_by_cause[cause]
            )
        router_metrics.event_loop_stalled_seconds.set(stalls.total_seconds)
        router_metrics.late_timers.set(stalls.late_timers)
        for state, count in self._directory.counts_by_state().items():
            router_metrics.upstreams.labels(state.value).set(count)
        if table is not None:
            for pool in table.declared.pools_by_name:
                left = self._budget.left(pool, now=now)
                router_metrics.budget_left.labels(pool).set(left)
        self._refresh_upstreams(now)
        self._refresh_adaptive(now)

    def _refresh_upstreams(self, now: float) -> None:
        router_metrics = self._metrics
        for gauge in (
            router_metrics.upstream_running,
            router_metrics.upstream_own_running,
            router_metrics.upstream_waiting_tokens,
            router_metrics.upstream_failures,
            router_metrics.upstream_limit,
        ):
            gauge.clear()
        own_running = self._ledger.own_running()
        limit_by_id = {
            one.instance.upstream: one.requests_per_second
            for one in self._limits.in_force()
        }
        for one in self._directory.registrations:
            label_values = (one.pool, one.id)
            load = self._ledger.load_of(one.id, now=now)
            router_metrics.upstream_running.labels(*label_values).set(
                load.running
            )
            router_metrics.upstream_own_running.labels(*label_values).set(
                own_running.get(one.id, 0)
            )
            router_metrics.upstream_waiting_tokens.labels(*label_values).set(
                load.waiting_tokens
            )
            failures = self._ledger.failures(one.id, now=now)
            router_metrics.upstream_failures.labels(*label_values).set(failures)
            if one.id in limit_by_id:
                router_metrics.upstream_limit.labels(*label_values).set(
                    limit_by_id[one.id]
                )

    def _refresh_adaptive(self, now: float) -> None:
        """Set the gauges of the adaptive pools; there are none without."""
        router_metrics = self._metrics
        for gauge in (
            router_metrics.upstream_tokens_per_second,
            router_metrics.upstream_slowness,
            router_metrics.room_tokens,
            router_metrics.organisation_asked,
        ):
            gauge.clear()
        for one in self._directory.registrations:
            if one.pool not in self._adaptive.adaptive_pools:
                continue
            estimate = self._adaptive.speeds.estimate(one.id, now=now)
            router_metrics.upstream_tokens_per_second.labels(
                one.pool, one.id
            ).set(estimate.tokens_per_second)
            router_metrics.upstream_slowness.labels(one.pool, one.id).set(
                estimate.slowness
            )
        for pool, rooms in self._adaptive.latest_rooms().items():
            for room in rooms:
                router_metrics.room_tokens.labels(pool, room.tier).set(
                    room.tokens
                )
        for row in self._adaptive.shares.known_rows(now=now):
            router_metrics.organisation_asked.labels(
                row.key.pool, row.organisation or "(others)"
            ).inc(row.asked)
