"""Reports, with their exit codes, of the outcomes of changes."""

from lagoonrun_cli import exit_codes, reports
from lagoonrun_config import change_outcomes, faults
from lagoonrun_config import head as head_module

_READ_AGAIN = (
    "lagoonrun get > FILE, repeat the edit there, lagoonrun apply FILE"
)


def report_faults(found: tuple[faults.Fault, ...]) -> reports.Report:
    """Return the report of invalid declarations."""
    return reports.Report(
        code=exit_codes.ExitCode.REFUSED,
        fields={
            "faults": [
                {
                    "source": one.source,
                    "key": one.key,
                    "value": one.value,
                    "valid": one.valid,
                }
                for one in found
            ]
        },
        sections=(
            reports.Table(
                title=f"refused: {len(found)} faults; nothing was changed",
                columns=("file", "key", "value", "valid"),
                rows=tuple(
                    (one.source, one.key, one.value, one.valid) for one in found
                ),
            ),
        ),
        next_command="mend the declarations, then lagoonrun validate FILES",
    )


def report_conflict(outcome: change_outcomes.ChangeConflict) -> reports.Report:
    """Return the report of a conflict with another operator's change."""
    names = [str(name) for name in outcome.names]
    text = reports.Text(
        text=f"clash: {', '.join(names)} changed since the base; "
        f"nothing was changed. In force: revision {outcome.revision}"
    )
    return reports.Report(
        code=exit_codes.ExitCode.CLASH,
        fields={
            "clashing": names,
            "revision": outcome.revision,
            "changes_since_base": [
                change_fields(one) for one in outcome.changes
            ],
        },
        sections=(
            text,
            change_table(outcome.changes, title="accepted since the base"),
        ),
        next_command=_READ_AGAIN,
    )


def report_unknown(outcome: change_outcomes.Unknown) -> reports.Report:
    """Return the report of a change whose outcome could not be read."""
    return reports.Report(
        code=exit_codes.ExitCode.UNKNOWN,
        fields={
            "change_id": outcome.change_id,
            "base": outcome.base,
            "detail": outcome.detail,
        },
        sections=(
            reports.Text(
                text=f"unknown: change {outcome.change_id} was sent and may "
                f"be in force, now or later ({outcome.detail})"
            ),
        ),
        next_command=f"lagoonrun settle {outcome.change_id} "
        f"--base={outcome.base}",
    )


def report_unavailable(
    outcome: change_outcomes.Unavailable,
) -> reports.Report:
    """Return the report of an unreachable platform."""
    return reports.Report(
        code=exit_codes.ExitCode.UNAVAILABLE,
        fields={"detail": outcome.detail},
        sections=(
            reports.Text(
                text="unavailable: the platform was not reached and nothing "
                f"was changed ({outcome.detail})"
            ),
        ),
        next_command="the same command, once the platform answers",
    )


def report_no_such_revision(
    outcome: change_outcomes.NoSuchRevision,
) -> reports.Report:
    """Return the report of a revision that is not kept."""
    kept = list(outcome.kept)
    return reports.Report(
        code=exit_codes.ExitCode.NOT_FOUND,
        fields={"wanted": outcome.wanted, "kept": kept},
        sections=(
            reports.Text(
                text=f"no revision {outcome.wanted} is kept; valid: "
                f"{', '.join(map(str, kept)) or '(none yet)'}"
            ),
        ),
        next_command="lagoonrun history",
    )


def report_cancelled(outcome: change_outcomes.Cancelled) -> reports.Report:
    """Return the report of a change that was cancelled by `settle`."""
    return reports.Report(
        code=exit_codes.ExitCode.CANCELLED,
        fields={
            "change_id": outcome.change_id,
            "revision": outcome.revision,
        },
        sections=(
            reports.Text(
                text=f"cancelled: change {outcome.change_id} is not in force "
                f"and never will be; in force: revision {outcome.revision}"
            ),
        ),
        next_command="lagoonrun apply FILES, if it is still wanted",
    )


def report_failure(
    outcome: change_outcomes.ChangeConflict
    | change_outcomes.Refused
    | change_outcomes.Unknown
    | change_outcomes.Unavailable
    | change_outcomes.NoSuchRevision
    | change_outcomes.Cancelled,
) -> reports.Report:
    """Return the report of any outcome but an accepted one."""
    match outcome:
        case change_outcomes.ChangeConflict():
            return report_conflict(outcome)
        case change_outcomes.Refused():
            return report_faults(outcome.faults)
        case change_outcomes.Unknown():
            return report_unknown(outcome)
        case change_outcomes.NoSuchRevision():
            return report_no_such_revision(outcome)
        case change_outcomes.Cancelled():
            return report_cancelled(outcome)
    return report_unavailable(outcome)


def change_fields(change: head_module.Change) -> reports.JsonObject:
    """Return a change of the history as JSON values."""
    return {
        "revision": change.revision,
        "change_id": change.change_id,
        "operator": change.operator,
        "names": list(change.names),
        "names_omitted": change.names_omitted,
        "digest": change.digest,
    }


def change_table(
    changes: tuple[head_module.Change, ...], *, title: str = ""
) -> reports.Table:
    """Return changes as a table, newest first."""
    return reports.Table(
        title=title,
        columns=("revision", "operator", "change", "entries"),
        rows=tuple(
            (
                str(change.revision),
                change.operator,
                change.change_id,
                _names(change),
            )
            for change in reversed(changes)
        ),
    )


def _names(change: head_module.Change) -> str:
    shown = ", ".join(change.names)
    if change.names_omitted:
        shown += f" and {change.names_omitted} more"
    return shown
