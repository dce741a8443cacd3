"""`drain`: stops sending new requests to an upstream, or ends that.

The drain is part of the configuration, which makes it durable, recorded in the
history, and in force everywhere as fast as any change. A command to the
daemons' admin addresses would work while the platform is down, but it would be
lost with the last entry VM that received it, and would not reach entry VMs
that start later.
"""

import dataclasses

from absl import flags

from lagoonrun_cli import changes, command, errors, exit_codes, reports
from lagoonrun_cli import context as contexts
from lagoonrun_config import draft as draft_module
from lagoonrun_core import errors as core_errors
from lagoonrun_core import types


async def _drain(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    (argument,) = invocation.arguments
    upstream = types.UpstreamId(argument)
    draining = not invocation.flag("end")

    def edit(draft: draft_module.Draft) -> draft_module.Draft:
        return _with_draining(draft, upstream, draining=draining)

    note = (
        f"{upstream} gets no new work where the revision is in force; what "
        "it runs goes on to its end"
        if draining
        else f"{upstream} gets new work where the revision is in force"
    )
    return await changes.edit_in_force(
        context,
        edit,
        wait_seconds=float(invocation.flag("wait_seconds")),
        notes=(note,),
    )


def _with_draining(
    draft: draft_module.Draft, upstream: types.UpstreamId, *, draining: bool
) -> draft_module.Draft:
    declared = draft.upstreams_by_id.get(upstream)
    if declared is None:
        raise errors.CommandError(
            code=exit_codes.ExitCode.NOT_FOUND,
            step=core_errors.Step.CONFIGURATION,
            detail=f"no upstream {upstream!r}; valid: "
            f"{', '.join(sorted(draft.upstreams_by_id)) or '(none)'}",
            next_command="lagoonrun status",
        )
    changed = dataclasses.replace(declared, draining=draining)
    return dataclasses.replace(
        draft, upstreams_by_id={**draft.upstreams_by_id, upstream: changed}
    )


def _define_flags(values: flags.FlagValues) -> None:
    changes.define_wait_flag(values)
    flags.DEFINE_bool(
        "end",
        False,
        "Let the upstream have new work again.",
        flag_values=values,
    )


DRAIN = command.Command(
    name="drain",
    usage="UPSTREAM [--end]",
    summary="Give an upstream no new work, or end that.",
    description="Declares the upstream as draining in a new revision, so "
    "that it is in force everywhere and survives restarts of entry VMs. Its "
    "running work goes on to its end; `status` shows what is left.",
    run=_drain,
    minimum_arguments=1,
    maximum_arguments=1,
    define_flags=_define_flags,
    codes=(
        exit_codes.ExitCode.REFUSED,
        exit_codes.ExitCode.CLASH,
        exit_codes.ExitCode.UNKNOWN,
        exit_codes.ExitCode.UNAVAILABLE,
        exit_codes.ExitCode.PENDING,
        exit_codes.ExitCode.NOT_FOUND,
    ),
)
