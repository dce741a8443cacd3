"""`profile set`: changes single values of a profile in force."""

import tomllib
from typing import Any

import tomlkit
from absl import flags

from lagoonrun_cli import (
    changes,
    command,
    errors,
    exit_codes,
    outcome_reports,
    reports,
)
from lagoonrun_cli import context as contexts
from lagoonrun_config import declarations, faults, rendering
from lagoonrun_config import draft as draft_module
from lagoonrun_core import errors as core_errors

_SET = "set"
_SOURCE = "command line"


class _InvalidEditError(Exception):
    """The edited declarations are not valid."""

    def __init__(self, found: tuple[faults.Fault, ...]) -> None:
        self.faults = found
        super().__init__(f"{len(found)} faults")


async def _profile(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    action, name, *assignments = invocation.arguments
    if action != _SET:
        raise errors.usage_error(f"{action!r}; valid: {_SET}")
    values = dict(_parse_assignment(one) for one in assignments)

    def edit(draft: draft_module.Draft) -> draft_module.Draft:
        return _with_values(draft, name, values)

    try:
        return await changes.edit_in_force(
            context, edit, wait_seconds=float(invocation.flag("wait_seconds"))
        )
    except _InvalidEditError as error:
        return outcome_reports.report_faults(error.faults)


def _parse_assignment(assignment: str) -> tuple[str, Any]:
    key, equals, value = assignment.partition("=")
    if not equals or not key.isidentifier():
        raise errors.usage_error(
            f"{assignment!r}; valid: KEY=VALUE, like target_seconds=0.5"
        )
    try:
        return key, tomllib.loads(f"value = {value}")["value"]
    except tomllib.TOMLDecodeError:
        # A bare word, such as first-token, is a string.
        return key, value


def _with_values(
    draft: draft_module.Draft, name: str, values: dict[str, Any]
) -> draft_module.Draft:
    """Return the draft with the values set in the profile's table.

    The values are parsed as declarations, so that they are checked as in a
    file.
    """
    document = tomlkit.parse(rendering.render_declarations(draft))
    profiles = document.get("profiles", {})
    if name not in profiles:
        raise errors.CommandError(
            code=exit_codes.ExitCode.NOT_FOUND,
            step=core_errors.Step.CONFIGURATION,
            detail=f"no profile {name!r}; valid: "
            f"{', '.join(sorted(profiles)) or '(none)'}",
            next_command="lagoonrun get",
        )
    profiles[name].update(values)
    file = declarations.DeclarationFile(
        name=_SOURCE, text=tomlkit.dumps(document)
    )
    edited = declarations.parse_declarations([file])
    if isinstance(edited, declarations.InvalidDeclarations):
        raise _InvalidEditError(edited.faults)
    return edited


def _define_flags(values: flags.FlagValues) -> None:
    changes.define_wait_flag(values)


PROFILE = command.Command(
    name="profile",
    usage="set NAME KEY=VALUE...",
    summary="Change values of a profile that is in force.",
    description="Makes a new revision with the values in the profile. Where "
    "declarations are kept under version control, take the change over "
    "there by `lagoonrun get`.",
    run=_profile,
    minimum_arguments=3,
    maximum_arguments=None,
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
