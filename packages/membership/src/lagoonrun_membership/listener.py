"""Callbacks of the membership."""

from typing import Protocol

from lagoonrun_core import types
from lagoonrun_membership import members
from lagoonrun_protocol import messages


class MembershipListener(Protocol):
    """Receives changes of the membership. No method may block."""

    def on_member_changed(self, view: members.MemberView) -> None:
        """Receive a member that is new or changed or left hold-down."""

    def on_upstream_changed(
        self, upstream: types.UpstreamId, leaving: bool
    ) -> None:
        """Receive an upstream that started or stopped leaving."""

    def on_configuration_announced(
        self,
        source: types.EntryVmId,
        revision: types.Revision,
        digest: str,
    ) -> None:
        """Receive a revision that is higher than this process's."""

    def on_shard_summary(self, summary: messages.ShardSummary) -> None:
        """Receive a new summary of another domain's shard."""
