"""`status`: the state of the whole system, once or repeatedly."""

from absl import flags

from lagoonrun_cli import (
    command,
    entry_vms,
    exit_codes,
    in_force,
    reports,
    status_tables,
)
from lagoonrun_cli import context as contexts

_INTERVAL_SECONDS = 2.0


async def _status(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    system = in_force.open_entry_vms(context)
    shown = 1
    report = _report(await system.statuses())
    count = int(invocation.flag("count"))
    while invocation.flag("watch") and shown != count:
        context.console.clear()
        context.console.show(report)
        await context.sleep(float(invocation.flag("interval_seconds")))
        report = _report(await system.statuses())
        shown += 1
    return report


def _report(found: list[entry_vms.EntryVmStatus]) -> reports.Report:
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={
            "entry_vms": [
                {
                    "entry_vm": one.name,
                    "address": str(one.address or ""),
                    "state": one.state,
                    "revision": one.revision,
                    "failure": one.failure,
                    "status": one.status,
                }
                for one in found
            ]
        },
        sections=(
            status_tables.entry_vm_table(found),
            status_tables.shard_table(found),
            status_tables.class_table(found),
            status_tables.upstream_table(found),
            status_tables.request_table(found),
        ),
    )


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_bool(
        "watch", False, "Show it again until interrupted.", flag_values=values
    )
    flags.DEFINE_float(
        "interval_seconds",
        _INTERVAL_SECONDS,
        "Time between two looks with --watch.",
        lower_bound=0.1,
        flag_values=values,
    )
    flags.DEFINE_integer(
        "count",
        0,
        "With --watch, how many times to show it; 0 for no end.",
        lower_bound=0,
        flag_values=values,
    )


STATUS = command.Command(
    name="status",
    usage="[--watch]",
    summary="Show entry VMs, shards, upstreams and requests.",
    description="Asks each entry VM; one that does not answer is shown with "
    "what the others' membership says of it. Queues and rooms are those of "
    "the shard's dispatcher.",
    run=_status,
    define_flags=_define_flags,
    codes=(exit_codes.ExitCode.UNAVAILABLE,),
)
