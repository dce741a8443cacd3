"""`validate` and `diff`: check declarations without changing anything."""

from lagoonrun_cli import (
    changes,
    command,
    declaration_files,
    differences,
    exit_codes,
    outcome_reports,
    reports,
)
from lagoonrun_cli import context as contexts
from lagoonrun_config import change_outcomes, declarations, model, rebase
from lagoonrun_config import draft as draft_module
from lagoonrun_core import types


async def _validate(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    """Check files without a connection to the system."""
    del context
    declared = declaration_files.load(invocation.arguments)
    if isinstance(declared, declarations.InvalidDeclarations):
        return outcome_reports.report_faults(declared.faults)
    counts = {
        "profiles": len(declared.draft.profiles_by_name),
        "organisations": len(declared.draft.organisations_by_id),
        "services": len(declared.draft.services_by_name),
        "upstreams": len(declared.draft.upstreams_by_id),
        "placements": len(declared.draft.placements),
        "domains": len(declared.draft.domains_by_name),
    }
    counts_text = ", ".join(f"{count} {name}" for name, count in counts.items())
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields=counts,
        sections=(reports.Text(text=f"valid: {counts_text}"),),
    )


async def _diff(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    """Show what `apply` of the same files would change."""
    declared = declaration_files.load(invocation.arguments)
    if isinstance(declared, declarations.InvalidDeclarations):
        return outcome_reports.report_faults(declared.faults)
    async with context.open_store() as store:
        current = await store.get()
        if not isinstance(current, model.Configuration):
            return outcome_reports.report_failure(current)
        base = changes.choose_base(
            flag=invocation.flag("base"),
            file_base=declared.base,
            current=current.revision,
        )
        start = await store.get(base)
    if not isinstance(start, model.Configuration):
        return outcome_reports.report_failure(start)
    head = draft_module.draft_of(current)
    merged = rebase.rebase(
        base=draft_module.draft_of(start), head=head, mine=declared.draft
    )
    if isinstance(merged, rebase.Conflict):
        return outcome_reports.report_conflict(
            change_outcomes.ChangeConflict(
                names=merged.names, revision=current.revision, changes=()
            )
        )
    return _report_differences(
        differences.compare(head, merged), current.revision
    )


def _report_differences(
    found: tuple[differences.Difference, ...], revision: types.Revision
) -> reports.Report:
    code = exit_codes.ExitCode.DIFFERENT if found else exit_codes.ExitCode.DONE
    title = f"against revision {revision}, which is in force"
    section: reports.Section = differences.table(found, title=title)
    if not found:
        section = reports.Text(text=f"no difference {title}")
    return reports.Report(
        code=code,
        fields={
            "revision": revision,
            "differences": [
                {
                    "entry": one.entry,
                    "change": one.change,
                    "field": one.field,
                    "before": one.before,
                    "after": one.after,
                }
                for one in found
            ],
        },
        sections=(section,),
        next_command="lagoonrun apply FILES" if found else "",
    )


VALIDATE = command.Command(
    name="validate",
    usage="FILE...",
    summary="Check declarations without asking the system.",
    description="Reads all files as one set of declarations and shows every "
    "fault with the offending value and what would be valid.",
    run=_validate,
    minimum_arguments=1,
    maximum_arguments=None,
    codes=(exit_codes.ExitCode.REFUSED,),
)

DIFF = command.Command(
    name="diff",
    usage="FILE...",
    summary="Show what `apply` of the files would change.",
    description="Compares with the revision in force, after merging what "
    "others changed since the files' base. Changes nothing.",
    run=_diff,
    minimum_arguments=1,
    maximum_arguments=None,
    define_flags=changes.define_base_flag,
    codes=(
        exit_codes.ExitCode.REFUSED,
        exit_codes.ExitCode.CLASH,
        exit_codes.ExitCode.UNAVAILABLE,
        exit_codes.ExitCode.NOT_FOUND,
        exit_codes.ExitCode.DIFFERENT,
    ),
)
