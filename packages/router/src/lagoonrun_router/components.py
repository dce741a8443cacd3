"""The components that the execution of each call uses."""

import dataclasses
import random

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_duties import usage_exchange
from lagoonrun_http import upstream as http_upstream
from lagoonrun_router import (
    active_tiers,
    adaptive_load,
    admission_floor,
    crash_watch,
    crashing_requests,
    dialect,
    load_ledger,
    metrics,
    operator_overrides,
    peer_table,
    pool_capacity,
    pressure,
    prompt_locations,
    reach,
    retry_budget,
    stream_origins,
    upstream_notices,
    upstream_signs,
    upstreams,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Components:
    """Shared components of one router process.

    Parameters
    ----------
    active_tiers
        Tiers that have sent requests lately.
    crash_watch
        Tracks the requests that run at the upstreams and detects crashes.
    crashing_requests
        Requests that crash upstreams, with the evidence against them.
    notices
        Applies what upstreams state about themselves in their answers.
    adaptive
        State of the adaptive pools.
    capacity
        Admits requests to the adaptive pools.
    overrides
        Overrides that operators have set.
    stream_origins
        Knows where streams began that callers take up.
    signs
        When each upstream last showed this entry VM that it makes progress.
    usage
        Counts requests that begin to run; None if usage is not reported.
    """

    domain: types.FailureDomain
    dialect: dialect.Dialect
    directory: upstreams.UpstreamDirectory
    ledger: load_ledger.LoadLedger
    peers: peer_table.PeerTable
    admission_floor: admission_floor.AdmissionFloor
    active_tiers: active_tiers.ActiveTiers
    pressure: pressure.Pressure
    prompt_locations: prompt_locations.PromptLocations
    domains: reach.DomainReach
    retry_budget: retry_budget.RetryBudget
    client: http_upstream.UpstreamClient
    clock: clocks.Clock
    rng: random.Random
    metrics: metrics.RouterMetrics
    crash_watch: crash_watch.CrashWatch
    crashing_requests: crashing_requests.CrashingRequests
    notices: upstream_notices.UpstreamNotices
    adaptive: adaptive_load.AdaptiveLoad
    capacity: pool_capacity.PoolCapacity
    overrides: operator_overrides.OperatorOverrides
    stream_origins: stream_origins.StreamOrigins
    signs: upstream_signs.UpstreamSigns
    usage: usage_exchange.UsageExchange | None = None
