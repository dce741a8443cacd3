"""The error that ends a command with an exit code instead of a traceback."""

from lagoonrun_cli import exit_codes
from lagoonrun_core import errors


class CommandError(errors.LagoonrunError):
    """A command failed.

    Parameters
    ----------
    code
        Exit code of the command.
    step, peer, detail
        See `LagoonrunError`.
    next_command
        Suggested next command; empty for none.
    """

    def __init__(
        self,
        *,
        code: exit_codes.ExitCode,
        step: errors.Step,
        peer: str = "",
        detail: str,
        next_command: str = "",
    ) -> None:
        self.code = code
        self.next_command = next_command
        super().__init__(step=step, peer=peer, detail=detail)


def usage_error(detail: str, *, next_command: str = "") -> CommandError:
    """Return the error of an invalid command line or settings file."""
    return CommandError(
        code=exit_codes.ExitCode.USAGE,
        step=errors.Step.SETTINGS,
        detail=detail,
        next_command=next_command,
    )
