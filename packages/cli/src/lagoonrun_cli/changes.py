"""Functions shared by the commands that change the configuration."""

from collections.abc import Callable

from absl import flags

from lagoonrun_cli import context as contexts
from lagoonrun_cli import (
    declaration_files,
    errors,
    exit_codes,
    in_force,
    outcome_reports,
    reports,
)
from lagoonrun_config import change_outcomes, configuration_store, model
from lagoonrun_config import draft as draft_module
from lagoonrun_core import types

ConfigurationStore = configuration_store.ConfigurationStore
Edit = Callable[[draft_module.Draft], draft_module.Draft]
_DEFAULT_WAIT_SECONDS = 10.0


def define_wait_flag(values: flags.FlagValues) -> None:
    """Add the flag that limits the wait for the entry VMs."""
    flags.DEFINE_float(
        "wait_seconds",
        _DEFAULT_WAIT_SECONDS,
        "Longest wait until each entry VM has the revision in force; 0 looks "
        "once.",
        lower_bound=0.0,
        flag_values=values,
    )


def define_base_flag(values: flags.FlagValues) -> None:
    """Add the flag that sets the base revision of the files."""
    flags.DEFINE_string(
        "base",
        None,
        "Revision that the files started from, or `in-force` where they hold "
        "all that is in force; by default the files' `# lagoonrun-base` line.",
        flag_values=values,
    )


def parse_revision(value: str) -> types.Revision:
    """Parse a revision from the command line.

    Raises
    ------
    errors.CommandError
        If it is no integer.
    """
    if not value.isdecimal():
        raise errors.usage_error(
            f"revision {value!r}; valid: a whole number, as `lagoonrun "
            "history` lists them",
            next_command="lagoonrun history",
        )
    return types.Revision(int(value))


def choose_base(
    *,
    flag: object,
    file_base: types.Revision | None,
    current: types.Revision,
) -> types.Revision:
    """Return the base revision of a change.

    There is no default once a revision is in force: if the newest revision
    were used, old files would silently undo what others changed since.

    Raises
    ------
    errors.CommandError
        If neither the flag nor the files set it.
    """
    if flag == declaration_files.IN_FORCE:
        return current
    if flag is not None:
        return parse_revision(str(flag))
    if file_base is not None:
        return file_base
    if current == 0:
        return current
    raise errors.usage_error(
        "the files do not say which revision they started from; valid: "
        f"--base=REVISION, or --base={declaration_files.IN_FORCE} if they "
        f"hold all that is in force (revision {current})",
        next_command="lagoonrun diff FILES "
        f"--base={declaration_files.IN_FORCE}",
    )


async def find_base(
    store: ConfigurationStore,
    *,
    flag: object,
    file_base: types.Revision | None,
) -> types.Revision | change_outcomes.Unavailable:
    """Return the base revision; reads from the platform only if necessary."""
    if flag not in (None, declaration_files.IN_FORCE):
        return parse_revision(str(flag))
    if flag is None and file_base is not None:
        return file_base
    history = await store.history()
    if isinstance(history, change_outcomes.Unavailable):
        return history
    last = history.changes[-1].revision if history.changes else 0
    return choose_base(
        flag=flag, file_base=file_base, current=types.Revision(last)
    )


async def removed_names(
    store: ConfigurationStore,
    draft: draft_module.Draft,
    base: types.Revision,
) -> tuple[str, ...]:
    """Return the entries of `base` that `draft` lacks.

    A file omitted by mistake cannot be told from the removal of its entries.
    """
    start = await store.get(base)
    if not isinstance(start, model.Configuration):
        # Applying the change reports what is wrong with the base.
        return ()
    before = draft_module.draft_of(start).entries_by_name()
    after = draft.entries_by_name()
    return tuple(sorted(str(name) for name in before.keys() - after.keys()))


async def apply(
    context: contexts.Context,
    store: ConfigurationStore,
    draft: draft_module.Draft,
    *,
    base: types.Revision,
    change_id: object = None,
) -> change_outcomes.ApplyOutcome:
    """Commit a draft, under a random change id by default."""
    chosen = types.ChangeId(str(change_id or contexts.new_change_id()))
    context.console.progress(f"applying change {chosen} on revision {base}")
    return await store.apply(
        draft,
        base=base,
        change_id=chosen,
        operator=context.settings.operator,
    )


async def edit_in_force(
    context: contexts.Context,
    edit: Edit,
    *,
    wait_seconds: float,
    notes: tuple[str, ...] = (),
) -> reports.Report:
    """Change single entries of the revision in force, and wait for the rollout.

    A conflict is reported and not retried: the operator decided on the basis
    of a revision that is no longer in force.
    """
    async with context.open_store() as store:
        current = await store.get()
        if not isinstance(current, model.Configuration):
            return outcome_reports.report_failure(current)
        outcome = await apply(
            context,
            store,
            edit(draft_module.draft_of(current)),
            base=current.revision,
        )
    if not isinstance(outcome, change_outcomes.Accepted):
        return outcome_reports.report_failure(outcome)
    return await report_accepted(
        context, outcome, wait_seconds=wait_seconds, notes=notes
    )


async def report_accepted(
    context: contexts.Context,
    outcome: change_outcomes.Accepted,
    *,
    wait_seconds: float,
    notes: tuple[str, ...] = (),
) -> reports.Report:
    """Wait for the entry VMs and return the report of an accepted change."""
    rollout = in_force.RolloutState(
        revision=outcome.revision, failure="not asked"
    )
    if context.settings.entry_vms:
        rollout = await in_force.wait(
            context, outcome.revision, timeout_seconds=wait_seconds
        )
    pending = bool(context.settings.entry_vms) and not rollout.everywhere
    code = exit_codes.ExitCode.PENDING if pending else exit_codes.ExitCode.DONE
    summary = f"accepted: revision {outcome.revision}"
    if outcome.names:
        summary += f" changes {', '.join(map(str, outcome.names))}"
    else:
        summary += " already holds this; nothing was changed"
    return reports.Report(
        code=code,
        fields={
            "revision": outcome.revision,
            "names": [str(name) for name in outcome.names],
            "in_force": in_force.fields(rollout),
            "notes": list(notes),
        },
        sections=(
            reports.Text(text=summary),
            *(reports.Text(text=note) for note in notes),
            *in_force.sections(rollout),
        ),
        next_command="lagoonrun status --watch" if pending else "",
    )
