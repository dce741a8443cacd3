"""What all commands that change the configuration have in common."""

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


def define_wait(values: flags.FlagValues) -> None:
    """Add the flag that bounds the wait for the entry VMs."""
    flags.DEFINE_float(
        "wait_seconds",
        _DEFAULT_WAIT_SECONDS,
        "Longest wait until each entry VM has the revision in force; 0 looks "
        "once.",
        lower_bound=0.0,
        flag_values=values,
    )


def define_base(values: flags.FlagValues) -> None:
    """Add the flag that says what the files started from."""
    flags.DEFINE_string(
        "base",
        None,
        "Revision that the files started from, or `in-force` where they hold "
        "all that is in force; by default the files' `# lagoonrun-base` line.",
        flag_values=values,
    )


def parse_revision(written: str) -> types.Revision:
    """Return the revision that an operator wrote.

    Raises
    ------
    errors.CommandError
        If it is no whole number.
    """
    if not written.isdecimal():
        raise errors.usage_error(
            f"revision {written!r}; valid: a whole number, as `lagoonrun "
            "history` lists them",
            next_command="lagoonrun history",
        )
    return types.Revision(int(written))


def choose_base(
    *,
    flag: object,
    written: types.Revision | None,
    current: types.Revision,
) -> types.Revision:
    """Return the revision that a change starts from.

    There is no default once something is in force: with the newest revision
    as a silent base, old files would undo what others changed since.

    Raises
    ------
    errors.CommandError
        If neither the flag nor the files say it.
    """
    if flag == declaration_files.IN_FORCE:
        return current
    if flag is not None:
        return parse_revision(str(flag))
    if written is not None:
        return written
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
    written: types.Revision | None,
) -> types.Revision | change_outcomes.Unavailable:
    """Return the base, asking the platform only where it must."""
    if flag not in (None, declaration_files.IN_FORCE):
        return parse_revision(str(flag))
    if flag is None and written is not None:
        return written
    history = await store.history()
    if isinstance(history, change_outcomes.Unavailable):
        return history
    last = history.changes[-1].revision if history.changes else 0
    return choose_base(flag=flag, written=written, current=types.Revision(last))


async def removed_names(
    store: ConfigurationStore,
    draft: draft_module.Draft,
    base: types.Revision,
) -> tuple[str, ...]:
    """Return the entries of `base` that `draft` lacks.

    A forgotten file looks the same as a wish to remove all that it holds.
    """
    start = await store.get(base)
    if not isinstance(start, model.Configuration):
        # The change itself will tell what is wrong with the base.
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
    """Change single entries of what is in force, and wait for it.

    A clash is told and not tried again: the operator decided on what was in
    force, which has changed meanwhile.
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
    spread = in_force.Spread(revision=outcome.revision, failure="not asked")
    if context.settings.entry_vms:
        spread = await in_force.wait(
            context, outcome.revision, timeout_seconds=wait_seconds
        )
    pending = bool(context.settings.entry_vms) and not spread.everywhere
    code = exit_codes.ExitCode.PENDING if pending else exit_codes.ExitCode.DONE
    said = f"accepted: revision {outcome.revision}"
    if outcome.names:
        said += f" changes {', '.join(map(str, outcome.names))}"
    else:
        said += " already holds this; nothing was changed"
    return reports.Report(
        code=code,
        fields={
            "revision": outcome.revision,
            "names": [str(name) for name in outcome.names],
            "in_force": in_force.fields(spread),
            "notes": list(notes),
        },
        sections=(
            reports.Text(text=said),
            *(reports.Text(text=note) for note in notes),
            *in_force.sections(spread),
        ),
        next_command="lagoonrun status --watch" if pending else "",
    )
