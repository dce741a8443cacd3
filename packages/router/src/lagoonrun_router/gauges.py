"""Metrics that are read from the state of the process when they are asked."""

from collections.abc import Mapping

from lagoonrun_router import (
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

    Series of upstreams are made anew each time, so that those of upstreams
    that have gone end; there are as many as upstreams.

    Parameters
    ----------
    into
        The metrics.
    directory, ledger, peers, budget, follower, crashing, limits
        What is shown.
    """

    def __init__(
        self,
        *,
        into: metrics.RouterMetrics,
        directory: upstreams.UpstreamDirectory,
        ledger: load_ledger.LoadLedger,
        peers: peer_table.PeerTable,
        budget: retry_budget.RetryBudget,
        follower: store_follower.StoreFollower,
        crashing: crashing_requests.CrashingRequests,
        limits: upstream_limits.UpstreamLimits,
    ) -> None:
        self._metrics = into
        self._directory = directory
        self._ledger = ledger
        self._peers = peers
        self._budget = budget
        self._follower = follower
        self._crashing = crashing
        self._limits = limits

    def refresh(
        self,
        *,
        now: float,
        ready: bool,
        table: route_table.RouteTable | None,
        store_calls_by_kind: Mapping[str, int],
        unsent_store_calls_by_kind: Mapping[str, int],
    ) -> None:
        """Set all gauges.

        Parameters
        ----------
        table
            Routes in force; None before the first declarations.
        store_calls_by_kind, unsent_store_calls_by_kind
            Calls to the store since the start, and those that were given up.
        """
        into = self._metrics
        into.ready.set(ready)
        into.peers.set(len(self._peers.known()))
        into.blocked_requests.set(len(self._crashing.blocks()))
        into.store_watched.set(
            self._follower.role is not store_follower.ReaderRole.STAND_BY
        )
        answered_at = self._follower.answered_at
        if answered_at is not None:
            into.store_age.set(now - answered_at)
        for kind, count in store_calls_by_kind.items():
            into.store_calls.labels(kind).set(count)
        for kind, count in unsent_store_calls_by_kind.items():
            into.unsent_store_calls.labels(kind).set(count)
        for state, count in self._directory.counts_by_state().items():
            into.upstreams.labels(state.value).set(count)
        if table is not None:
            for pool in table.declared.pools_by_name:
                left = self._budget.left(pool, now=now)
                into.budget_left.labels(pool).set(left)
        self._refresh_upstreams(now)

    def _refresh_upstreams(self, now: float) -> None:
        into = self._metrics
        for gauge in (
            into.upstream_running,
            into.upstream_own_running,
            into.upstream_waiting_tokens,
            into.upstream_failures,
            into.upstream_limit,
        ):
            gauge.clear()
        own = self._ledger.own_running()
        limit_by_id = {
            one.at.upstream: one.requests_per_second
            for one in self._limits.in_force()
        }
        for one in self._directory.registrations:
            names = (one.pool, one.id)
            load = self._ledger.load_of(one.id, now=now)
            into.upstream_running.labels(*names).set(load.running)
            into.upstream_own_running.labels(*names).set(own.get(one.id, 0))
            into.upstream_waiting_tokens.labels(*names).set(load.waiting_tokens)
            failures = self._ledger.failures(one.id, now=now)
            into.upstream_failures.labels(*names).set(failures)
            if one.id in limit_by_id:
                into.upstream_limit.labels(*names).set(limit_by_id[one.id])
