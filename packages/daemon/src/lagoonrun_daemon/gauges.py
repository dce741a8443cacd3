"""Connect gauges to the daemon's state, which they read at each scrape."""

from typing import TYPE_CHECKING

from lagoonrun_protocol import messages

if TYPE_CHECKING:
    from lagoonrun_daemon import daemon as daemons


def connect(daemon: "daemons.Daemon") -> None:
    """Connect the gauges and call counters of a daemon to its state."""
    metrics = daemon.metrics
    observe = metrics.observe_with
    metrics.platform_calls.set_function(lambda: daemon.store.calls_by_kind)
    metrics.platform_failures.set_function(
        lambda: daemon.store.failures_by_kind
    )
    observe(metrics.ready, lambda: float(daemon.ready))
    observe(
        metrics.platform_reachable,
        lambda: float(daemon.follower.platform_reachable),
    )
    observe(metrics.configuration_age, lambda: daemon.in_force_seconds)
    observe(
        metrics.live_members,
        lambda: sum(
            member.state is messages.MemberState.ALIVE
            for member in daemon.members.members_by_id.values()
        ),
    )
    observe(
        metrics.leaving_upstreams,
        lambda: len(daemon.fleet.leaving_upstreams()),
    )
    observe(metrics.ejected_upstreams, daemon.dispatcher.ejected_count)
    observe(
        metrics.owned_shards,
        lambda: len(daemon.dispatcher.owned_shards),
    )
    observe(metrics.orderer, lambda: daemon.orderer.fencing is not None)
    observe(metrics.pending_claims, lambda: daemon.claims.pending)
