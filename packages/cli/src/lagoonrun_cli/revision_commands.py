"""`get` and `history`."""

from lagoonrun_cli import (
    changes,
    command,
    declaration_files,
    exit_codes,
    outcome_reports,
    reports,
)
from lagoonrun_cli import context as contexts
from lagoonrun_config import change_outcomes, model, rendering
from lagoonrun_config import draft as draft_module


async def _get(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    wanted = None
    if invocation.arguments:
        wanted = changes.parse_revision(invocation.arguments[0])
    async with context.open_store() as store:
        found = await store.get(wanted)
    if not isinstance(found, model.Configuration):
        return outcome_reports.report_failure(found)
    text = rendering.render_declarations(draft_module.draft_of(found))
    text = f"{declaration_files.base_line(found.revision)}\n{text}"
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={
            "revision": found.revision,
            "digest": found.digest,
            "declarations": text,
        },
        sections=(reports.Text(text=text),),
    )


async def _history(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    del invocation
    async with context.open_store() as store:
        found = await store.history()
    if isinstance(found, change_outcomes.Unavailable):
        return outcome_reports.report_failure(found)
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={
            "changes": [
                outcome_reports.change_fields(one) for one in found.changes
            ]
        },
        sections=(outcome_reports.change_table(found.changes),),
    )


GET = command.Command(
    name="get",
    usage="[REVISION]",
    summary="Write a revision as TOML declarations.",
    description="By default the revision in force. The first line names it "
    "as the base of a later `apply` of the edited file.",
    run=_get,
    maximum_arguments=1,
    codes=(
        exit_codes.ExitCode.NOT_FOUND,
        exit_codes.ExitCode.UNAVAILABLE,
    ),
)

HISTORY = command.Command(
    name="history",
    usage="",
    summary="List the accepted changes that are kept, newest first.",
    description="Shows each change with its revision, operator, change id "
    "and the entries that it changed.",
    run=_history,
    codes=(exit_codes.ExitCode.UNAVAILABLE,),
)
