"""`apply`, `settle` and `rollback`."""

from absl import flags

from lagoonrun_cli import (
    changes,
    command,
    declaration_files,
    errors,
    exit_codes,
    outcome_reports,
    reports,
)
from lagoonrun_cli import context as contexts
from lagoonrun_config import change_outcomes, declarations, model
from lagoonrun_config import draft as draft_module
from lagoonrun_core import types

_CHANGE_CODES = (
    exit_codes.ExitCode.REFUSED,
    exit_codes.ExitCode.CLASH,
    exit_codes.ExitCode.UNKNOWN,
    exit_codes.ExitCode.UNAVAILABLE,
    exit_codes.ExitCode.PENDING,
)


async def _apply(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    declared = declaration_files.load(invocation.arguments)
    if isinstance(declared, declarations.InvalidDeclarations):
        return outcome_reports.report_faults(declared.faults)
    async with context.open_store() as store:
        base = await changes.find_base(
            store, flag=invocation.flag("base"), file_base=declared.base
        )
        if not isinstance(base, int):
            return outcome_reports.report_failure(base)
        if not invocation.flag("allow_removals"):
            removed = await changes.removed_names(store, declared.draft, base)
            if removed:
                return _report_removals(removed, invocation.arguments)
        outcome = await changes.apply(
            context,
            store,
            declared.draft,
            base=base,
            change_id=invocation.flag("change_id"),
        )
        if not isinstance(outcome, change_outcomes.Accepted):
            return outcome_reports.report_failure(outcome)
        notes = await _move_base(
            store, invocation.arguments, declared, outcome.revision
        )
    return await changes.report_accepted(
        context,
        outcome,
        wait_seconds=float(invocation.flag("wait_seconds")),
        notes=notes,
    )


def _report_removals(
    removed: tuple[str, ...], paths: tuple[str, ...]
) -> reports.Report:
    return reports.Report(
        code=exit_codes.ExitCode.REFUSED,
        fields={"removed": list(removed)},
        sections=(
            reports.Text(
                text="refused: the files lack entries of their base, which "
                "would be removed; nothing was changed"
            ),
            reports.Table(
                columns=("removed",), rows=tuple((name,) for name in removed)
            ),
        ),
        next_command="name all files, or lagoonrun apply --allow_removals "
        f"{' '.join(paths)}",
    )


async def _move_base(
    store: changes.ConfigurationStore,
    paths: tuple[str, ...],
    declared: declaration_files.Declared,
    revision: types.Revision,
) -> tuple[str, ...]:
    """Set the files' base line to the new revision, if they hold all of it.

    After a merge with another operator's change they do not: with the new
    base the next `apply` would silently undo that change.
    """
    if declared.base is None:
        return ()
    accepted = await store.get(revision)
    same = (
        isinstance(accepted, model.Configuration)
        and draft_module.draft_of(accepted) == declared.draft
    )
    if not same:
        return (
            "the files do not hold all of the new revision; before the next "
            f"edit: lagoonrun get {revision} > FILE",
        )
    moved = declaration_files.move_base(paths, revision)
    return (f"base line set to {revision} in {', '.join(moved)}",)


async def _settle(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    (change_id,) = invocation.arguments
    base = invocation.flag("base")
    if base is None:
        raise errors.usage_error(
            "--base is missing; valid: the base that `apply` named with the "
            "unknown change"
        )
    context.console.progress(f"settling {change_id}")
    async with context.open_store() as store:
        outcome = await store.settle(
            types.ChangeId(change_id),
            base=changes.parse_revision(str(base)),
        )
    if not isinstance(outcome, change_outcomes.Accepted):
        return outcome_reports.report_failure(outcome)
    return await changes.report_accepted(
        context, outcome, wait_seconds=float(invocation.flag("wait_seconds"))
    )


async def _rollback(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    (argument,) = invocation.arguments
    revision = changes.parse_revision(argument)
    context.console.progress(f"rolling back to revision {revision}")
    async with context.open_store() as store:
        outcome = await store.rollback(
            revision,
            change_id=contexts.new_change_id(),
            operator=context.settings.operator,
        )
    if not isinstance(outcome, change_outcomes.Accepted):
        return outcome_reports.report_failure(outcome)
    return await changes.report_accepted(
        context,
        outcome,
        wait_seconds=float(invocation.flag("wait_seconds")),
        notes=(f"the content of revision {revision}, as a new revision",),
    )


def _define_apply(values: flags.FlagValues) -> None:
    changes.define_base_flag(values)
    changes.define_wait_flag(values)
    flags.DEFINE_bool(
        "allow_removals",
        False,
        "Remove what the base holds and the files lack.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "change_id",
        None,
        "Id of this change; the same id is accepted once. By default random.",
        flag_values=values,
    )


def _define_settle(values: flags.FlagValues) -> None:
    changes.define_wait_flag(values)
    flags.DEFINE_string(
        "base",
        None,
        "Base of the change, as `apply` named it.",
        flag_values=values,
    )


APPLY = command.Command(
    name="apply",
    usage="FILE...",
    summary="Bring declarations into force as a new revision.",
    description="""
    Commits one change by one compare-and-swap. The files must hold all
    declarations: an entry of the base that they lack is removed, which needs
    --allow_removals. What others changed since the base in other entries is
    kept; the same entry changed on both sides is a clash.

    After it is accepted, waits until each entry VM has it in force. A lost
    reply is settled by reading back; where that is not possible the outcome
    is unknown, and the command that settles it is shown.
    """,
    run=_apply,
    minimum_arguments=1,
    maximum_arguments=None,
    define_flags=_define_apply,
    codes=_CHANGE_CODES,
)

SETTLE = command.Command(
    name="settle",
    usage="CHANGE_ID --base=REVISION",
    summary="Find out what became of a change of unknown outcome.",
    description="Says whether the change is in force. Where it is not, "
    "cancels it, so that its late write is never accepted.",
    run=_settle,
    minimum_arguments=1,
    maximum_arguments=1,
    define_flags=_define_settle,
    codes=(
        exit_codes.ExitCode.UNKNOWN,
        exit_codes.ExitCode.UNAVAILABLE,
        exit_codes.ExitCode.PENDING,
        exit_codes.ExitCode.CANCELLED,
    ),
)

ROLLBACK = command.Command(
    name="rollback",
    usage="REVISION",
    summary="Bring the content of an older revision into force again.",
    description="Makes a new revision; the history keeps all between.",
    run=_rollback,
    minimum_arguments=1,
    maximum_arguments=1,
    define_flags=changes.define_wait_flag,
    codes=(*_CHANGE_CODES, exit_codes.ExitCode.NOT_FOUND),
)
