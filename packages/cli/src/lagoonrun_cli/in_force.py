"""Waits until an accepted revision is in force on each entry VM."""

import dataclasses

from lagoonrun_cli import (
    admin_client,
    entry_vms,
    errors,
    reports,
)
from lagoonrun_cli import context as contexts
from lagoonrun_core import types

_POLL_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class RolloutState:
    """Which entry VM has which revision in force.

    Parameters
    ----------
    statuses
        Status of all entry VMs that are not known to be dead.
    failure
        Why the statuses are unknown; empty if they are known.
    """

    revision: types.Revision
    statuses: tuple[entry_vms.EntryVmStatus, ...] = ()
    failure: str = ""

    @property
    def everywhere(self) -> bool:
        """Whether each live entry VM has the revision, or a later one."""
        return bool(self.statuses) and all(
            one.revision >= self.revision for one in self.statuses
        )


async def wait(
    context: contexts.Context,
    revision: types.Revision,
    *,
    timeout_seconds: float,
) -> RolloutState:
    """Wait until all entry VMs have `revision`, or for the timeout."""
    ends_at = context.clock.monotonic() + timeout_seconds
    while True:
        rollout = await check_rollout(context, revision)
        if rollout.everywhere or context.clock.monotonic() >= ends_at:
            return rollout
        reached = sum(one.revision >= revision for one in rollout.statuses)
        context.console.progress(
            f"revision {revision} in force on {reached} of "
            f"{len(rollout.statuses)} entry VMs"
        )
        await context.sleep(_POLL_SECONDS)


async def check_rollout(
    context: contexts.Context, revision: types.Revision
) -> RolloutState:
    """Return which entry VMs have `revision` in force now."""
    try:
        # Gossip carries each entry VM's revision. In a large fleet it is used
        # instead of queries: it is late by one heartbeat, but costs less.
        statuses = await open_entry_vms(context).statuses(
            max_queried=entry_vms.MAX_QUERIED
        )
    except errors.CommandError as error:
        return RolloutState(revision=revision, failure=error.detail)
    live = tuple(one for one in statuses if one.is_alive)
    return RolloutState(revision=revision, statuses=live)


def open_entry_vms(context: contexts.Context) -> entry_vms.EntryVms:
    """Return a client of the entry VMs in the settings."""
    return entry_vms.EntryVms(
        addresses=context.settings.entry_vms,
        client=admin_client.AdminClient(token=context.settings.admin_token),
    )


def sections(rollout: RolloutState) -> tuple[reports.Section, ...]:
    """Return the printed form of the rollout state."""
    if rollout.failure:
        return (
            reports.Text(text=f"in force where: not known ({rollout.failure})"),
        )
    return (
        reports.Table(
            columns=("entry vm", "revision in force", "told by"),
            rows=tuple(
                (
                    one.name,
                    str(one.revision),
                    "itself" if one.status else "gossip",
                )
                for one in rollout.statuses
            ),
        ),
    )


def fields(rollout: RolloutState) -> reports.JsonObject:
    """Return the rollout state as JSON values."""
    return {
        "everywhere": rollout.everywhere,
        "revision_by_entry_vm": {
            one.name: one.revision for one in rollout.statuses
        },
        "failure": rollout.failure,
    }
