"""Components of the daemon that the execution of calls shares."""

import dataclasses

from lagoonrun_claims import claims
from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_daemon import (
    background,
    explanations,
    fleet,
    metrics,
    permit_types,
    reach,
)
from lagoonrun_daemon import call as calls
from lagoonrun_http import upstream as http_upstream
from lagoonrun_policy import retries


@dataclasses.dataclass(frozen=True, kw_only=True)
class Services:
    """Shared components of the daemon.

    Parameters
    ----------
    settlements
        Tasks that write final claim states.
    unfinished
        Calls that are still running after their final response.
    """

    entry_vm: types.EntryVmId
    permits: permit_types.PermitSource
    client: http_upstream.UpstreamClient
    fleet: fleet.FleetView
    reach: reach.DomainReach
    explanations: explanations.ExplanationRing
    budget: retries.RetryBudget
    claims: claims.Claims
    settlements: background.BackgroundTasks
    unfinished: background.BackgroundTasks
    clock: clocks.Clock
    metrics: metrics.DaemonMetrics

    def add_step(self, call: calls.Call, what: str, detail: str = "") -> None:
        """Add a step of a call to its explanation; see `Happening`."""
        self.explanations.add_happening(
            call.request_id,
            call.resolved.organisation,
            explanations.Happening(
                at_seconds=self.clock.monotonic() - call.arrived_at,
                what=what,
                detail=detail,
            ),
        )
