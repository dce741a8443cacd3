"""Construct the orderer of this entry VM's failure domain."""

import random

from lagoonrun_config import settings
from lagoonrun_core import clock as clocks
from lagoonrun_daemon import fleet
from lagoonrun_http import upstream as http_upstream
from lagoonrun_orders import (
    http_orders,
    leadership,
    orderer,
    tenure,
    weight_budget,
)
from lagoonrun_platform import store as store_module

_WEIGHT_BURST_SECONDS = 60.0
"""Burst of the weight budget, as seconds of the weight store's rate."""

_MARGIN_SHARE = 1 / 15
"""Fraction of the lease that is reserved as a margin on each side."""


def make_orderer(
    *,
    configured: settings.Settings,
    store: store_module.KeyValueStore,
    client: http_upstream.UpstreamClient,
    view: fleet.FleetView,
    clock: clocks.Clock,
    rng: random.Random,
) -> orderer.Orderer:
    """Return an orderer that follows the configuration in force.

    Parameters
    ----------
    view
        Provides the configuration in force and the leaving upstreams.
    rng
        Source of jitter and nonces; must differ between processes.
    """
    rate = configured.weight_bytes_per_second
    margin_seconds = configured.order_lease_seconds * _MARGIN_SHARE
    return orderer.Orderer(
        domain=configured.domain,
        leadership=leadership.Leadership(
            store=store,
            duty=tenure.duty_of_domain(configured.domain),
            entry_vm=configured.entry_vm,
            clock=clock,
            rng=rng,
            order_timeout_seconds=configured.order_timeout_seconds,
            ttl_seconds=configured.order_lease_seconds,
            margin_seconds=margin_seconds,
        ),
        upstream_orders=http_orders.HttpUpstreamOrders(
            client=client, entry_vm=configured.entry_vm
        ),
        placements=lambda: (
            view.configuration.placements if view.configuration else ()
        ),
        upstreams=lambda: (
            view.configuration.upstreams_by_id if view.configuration else {}
        ),
        is_leaving=view.is_leaving,
        budget=weight_budget.WeightBudget(
            clock=clock,
            bytes_per_second=rate,
            burst_bytes=rate * _WEIGHT_BURST_SECONDS,
        ),
        clock=clock,
        order_timeout_seconds=configured.order_timeout_seconds,
        margin_seconds=margin_seconds,
    )
