"""Select the upstreams whose reports are read here; forward the reports."""

from collections.abc import Sequence

from lagoonrun_config import model
from lagoonrun_core import types
from lagoonrun_daemon import dispatcher as dispatchers
from lagoonrun_daemon import fleet, naive_permits
from lagoonrun_membership import membership
from lagoonrun_policy import messages as policy_messages


class UpstreamReports:
    """Forward upstreams' reports to the dispatcher and the membership.

    Parameters
    ----------
    entry_vm
        This entry VM.
    view
        Shards and their owners.
    dispatcher
        Receives load reports.
    members
        Receives and gossips which upstreams are leaving.
    naive
        Receives load reports instead, if the naive policy is measured.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        view: fleet.FleetView,
        dispatcher: dispatchers.Dispatcher,
        members: membership.Membership,
        naive: naive_permits.NaivePermits | None,
    ) -> None:
        self._entry_vm = entry_vm
        self._view = view
        self._dispatcher = dispatcher
        self._members = members
        self._naive = naive

    def upstreams(self) -> Sequence[model.Upstream]:
        """Return the upstreams whose reports are read here.

        Includes the upstreams of owned shards without any request yet: the
        first request after an idle period must not be granted an upstream
        that has reported meanwhile that it is leaving.
        """
        if self._naive is not None:
            return self._naive.upstreams()
        owned = self._dispatcher.owned_shards
        return [
            upstream
            for shard in self._view.shards_by_id.values()
            if shard.id in owned
            or self._view.owner_of(shard.id) == self._entry_vm
            for upstream in shard.upstreams
        ]

    def on_load_report(self, report: policy_messages.LoadReported) -> None:
        """Forward an engine's load report to the scheduler of its shard."""
        if self._naive is not None:
            self._naive.on_load_report(report)
            return
        for shard_id in self._dispatcher.owned_shards:
            shard = self._view.shards_by_id.get(shard_id)
            if shard and any(u.id == report.upstream for u in shard.upstreams):
                self._dispatcher.on_load_report(shard_id, report)

    def on_own_report(
        self,
        upstream: types.UpstreamId,
        incarnation: types.Incarnation,
        leaving: bool,
    ) -> None:
        """Announce a change of whether an upstream is leaving."""
        if leaving != self._members.upstream_is_leaving(upstream):
            self._members.report_upstream(upstream, incarnation, leaving)
