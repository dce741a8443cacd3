"""What the membership tells its owner."""

from typing import Protocol

from lagoonrun_core import types
from lagoonrun_membership import members
from lagoonrun_protocol import messages


class MembershipListener(Protocol):
    """Receives changes. No call may block."""

    def on_member_changed(self, view: members.MemberView) -> None:
        """Learn that a member is new or was changed, or its hold ended."""

    def on_upstream_changed(
        self, upstream: types.UpstreamId, leaving: bool
    ) -> None:
        """Learn that an upstream began or ceased to be leaving."""

    def on_configuration_announced(
        self,
        source: types.EntryVmId,
        revision: types.Revision,
        digest: str,
    ) -> None:
        """Learn that a member has a higher revision than this process."""

    def on_shard_summary(self, summary: messages.ShardSummary) -> None:
        """Learn of a shard of another domain."""
