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
class Spread:
    """Which entry VM has which revision in force.

    Parameters
    ----------
    statuses
        Of all entry VMs that are not known to be dead.
    failure
        Why it is not known; empty where it is.
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
) -> Spread:
    """Return how far `revision` has come when all have it or time is up."""
    ends_at = context.clock.monotonic() + timeout_seconds
    while True:
        spread = await look(context, revision)
        if spread.everywhere or context.clock.monotonic() >= ends_at:
            return spread
        reached = sum(one.revision >= revision for one in spread.statuses)
        context.console.progress(
            f"revision {revision} in force on {reached} of "
            f"{len(spread.statuses)} entry VMs"
        )
        await context.sleep(_POLL_SECONDS)


async def look(context: contexts.Context, revision: types.Revision) -> Spread:
    """Return how far `revision` has come by now."""
    try:
        # Gossip carries each entry VM's revision. In a large fleet it is
        # later by a heartbeat, which is cheaper than asking all in turn.
        statuses = await open_entry_vms(context).statuses(
            most_asked=entry_vms.MOST_ASKED
        )
    except errors.CommandError as error:
        return Spread(revision=revision, failure=error.detail)
    live = tuple(one for one in statuses if one.is_alive)
    return Spread(revision=revision, statuses=live)


def open_entry_vms(context: contexts.Context) -> entry_vms.EntryVms:
    """Return the entry VMs that the settings name."""
    return entry_vms.EntryVms(
        addresses=context.settings.entry_vms,
        client=admin_client.AdminClient(token=context.settings.admin_token),
    )


def sections(spread: Spread) -> tuple[reports.Section, ...]:
    """Return the spread for people."""
    if spread.failure:
        return (
            reports.Text(text=f"in force where: not known ({spread.failure})"),
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
                for one in spread.statuses
            ),
        ),
    )


def fields(spread: Spread) -> reports.JsonObject:
    """Return the spread as JSON values."""
    return {
        "everywhere": spread.everywhere,
        "revision_by_entry_vm": {
            one.name: one.revision for one in spread.statuses
        },
        "failure": spread.failure,
    }
