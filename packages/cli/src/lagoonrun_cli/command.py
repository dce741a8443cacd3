"""One subcommand: its help, its flags and the function that it runs."""

import dataclasses
from collections.abc import Awaitable, Callable

from absl import flags

from lagoonrun_cli import context as contexts
from lagoonrun_cli import errors, exit_codes, reports


def define_no_flags(values: flags.FlagValues) -> None:
    """Add no flags."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Invocation:
    """A parsed command line.

    Parameters
    ----------
    arguments
        Positional arguments, without the subcommand's name.
    flag_values
        All flags of the subcommand.
    """

    arguments: tuple[str, ...]
    flag_values: flags.FlagValues

    def flag(self, name: str) -> object:
        """Return the value of a flag of the subcommand."""
        return self.flag_values[name].value


Run = Callable[[contexts.Context, Invocation], Awaitable[reports.Report]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Command:
    """A subcommand.

    Parameters
    ----------
    usage
        Its arguments, as shown in the help.
    minimum_arguments, maximum_arguments
        Number of positional arguments; None for no maximum.
    codes
        Exit codes besides those of every command.
    """

    name: str
    usage: str
    summary: str
    description: str
    run: Run
    minimum_arguments: int = 0
    maximum_arguments: int | None = 0
    define_flags: Callable[[flags.FlagValues], None] = define_no_flags
    codes: tuple[exit_codes.ExitCode, ...] = ()

    def check_arguments(self, arguments: tuple[str, ...]) -> None:
        """Raise a usage error unless the number of arguments is valid."""
        count = len(arguments)
        maximum = self.maximum_arguments
        if count >= self.minimum_arguments and (
            maximum is None or count <= maximum
        ):
            return
        raise errors.usage_error(
            f"{count} arguments; valid: lagoonrun {self.name} {self.usage}",
            next_command=f"lagoonrun {self.name} --help",
        )
