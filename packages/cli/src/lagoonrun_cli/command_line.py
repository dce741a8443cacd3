"""Parses `lagoonrun COMMAND`, and writes the help of each command."""

import dataclasses
import difflib
import textwrap
from collections.abc import Mapping, Sequence

from absl import flags

from lagoonrun_cli import command as commands
from lagoonrun_cli import errors, exit_codes, operator_settings

_WIDTH = 78
_COMMON_EXIT_CODES = (
    exit_codes.ExitCode.DONE,
    exit_codes.ExitCode.FAILED,
    exit_codes.ExitCode.USAGE,
)
_HELP_WORDS = ("help", "--help", "-h")


@dataclasses.dataclass(frozen=True, kw_only=True)
class HelpWanted:
    """The operator requested help instead of running a command."""

    text: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Parsed:
    """A command and the arguments of its invocation."""

    command: commands.Command
    invocation: commands.Invocation


def parse(
    arguments: Sequence[str],
    commands_by_name: Mapping[str, commands.Command],
) -> Parsed | HelpWanted:
    """Parse `arguments` into a command and its invocation.

    Raises
    ------
    errors.CommandError
        If the command, a flag or the number of arguments is invalid.
    """
    words = [one for one in arguments if not one.startswith("-")]
    wants_help = any(one in _HELP_WORDS for one in arguments)
    name = next((one for one in words if one not in _HELP_WORDS), None)
    if name is None:
        if wants_help or not arguments:
            return HelpWanted(text=overview(commands_by_name))
        raise errors.usage_error(
            f"{' '.join(arguments)!r} names no command; valid: "
            f"{', '.join(commands_by_name)}",
            next_command="lagoonrun --help",
        )
    command = commands_by_name.get(name)
    if command is None:
        raise _no_such_command(name, commands_by_name)
    if wants_help:
        return HelpWanted(text=help_text(command))
    return _parse_command(command, arguments)


def flag_values_of(command: commands.Command) -> flags.FlagValues:
    """Return all flags of a command, not yet parsed."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    operator_settings.define_flags(values)
    flags.DEFINE_bool(
        "json",
        False,
        "Write the result as one JSON object.",
        flag_values=values,
    )
    command.define_flags(values)
    return values


def overview(commands_by_name: Mapping[str, commands.Command]) -> str:
    """Return the help that lists all commands."""
    longest = max(map(len, commands_by_name))
    lines = ["Usage: lagoonrun COMMAND [ARGUMENTS] [FLAGS]", "", "Commands:"]
    lines += [
        f"  {command.name.ljust(longest)}  {command.summary}"
        for command in commands_by_name.values()
    ]
    lines += ["", "`lagoonrun COMMAND --help` shows a command's flags."]
    return "\n".join(lines) + "\n"


def help_text(command: commands.Command) -> str:
    """Return the whole help of one command."""
    usage = f"Usage: lagoonrun {command.name} {command.usage}".rstrip()
    lines = [f"{usage} [FLAGS]", "", command.summary, ""]
    for paragraph in command.description.split("\n\n"):
        lines += [*textwrap.wrap(" ".join(paragraph.split()), _WIDTH), ""]
    lines.append("Flags:")
    for flag in flags_of(command):
        lines += _flag_lines(flag)
    lines += ["", "Exit codes:"]
    for code in exit_codes_of(command):
        lines += textwrap.wrap(
            f"{int(code):>3}  {exit_codes.describe(code)}",
            _WIDTH,
            initial_indent="  ",
            subsequent_indent=" " * 7,
        )
    return "\n".join(lines) + "\n"


def flags_of(command: commands.Command) -> list[flags.Flag]:
    """Return the flags of a command, its own first."""
    own = flags.FlagValues()
    command.define_flags(own)
    values = flag_values_of(command)
    names = sorted(values, key=lambda name: (name not in own, name))
    return [values[name] for name in names]


def exit_codes_of(
    command: commands.Command,
) -> tuple[exit_codes.ExitCode, ...]:
    """Return every code that the command may end with, in order."""
    return tuple(sorted({*_COMMON_EXIT_CODES, *command.codes}))


def _flag_lines(flag: flags.Flag) -> list[str]:
    default = "" if flag.default in (None, False) else f" ({flag.default})"
    return textwrap.wrap(
        f"--{flag.name}{default}: {flag.help}",
        _WIDTH,
        initial_indent="  ",
        subsequent_indent="      ",
    )


def _parse_command(
    command: commands.Command, arguments: Sequence[str]
) -> Parsed:
    values = flag_values_of(command)
    try:
        left = values(["lagoonrun", *arguments])[1:]
    except flags.Error as error:
        raise errors.usage_error(
            f"{error}; valid: the flags of `lagoonrun {command.name} --help`",
            next_command=f"lagoonrun {command.name} --help",
        ) from error
    if command.name in left:
        left.remove(command.name)
    command.check_arguments(tuple(left))
    return Parsed(
        command=command,
        invocation=commands.Invocation(
            arguments=tuple(left), flag_values=values
        ),
    )


def _no_such_command(
    name: str, commands_by_name: Mapping[str, commands.Command]
) -> errors.CommandError:
    close = difflib.get_close_matches(name, commands_by_name, n=1)
    hint = f"lagoonrun {close[0]} --help" if close else "lagoonrun --help"
    return errors.usage_error(
        f"no command {name!r}; valid: {', '.join(commands_by_name)}",
        next_command=hint,
    )
