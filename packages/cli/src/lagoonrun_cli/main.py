"""The program `lagoonrun`."""

import asyncio
import logging
import sys
from collections.abc import Callable, Sequence
from typing import TextIO

from lagoonrun_cli import (
    command_line,
    errors,
    exit_codes,
    operator_settings,
    registry,
)
from lagoonrun_cli import console as consoles
from lagoonrun_cli import context as contexts
from lagoonrun_core import errors as core_errors

MakeContext = Callable[
    [operator_settings.OperatorSettings, consoles.Console], contexts.Context
]


def _default_context(
    settings: operator_settings.OperatorSettings, console: consoles.Console
) -> contexts.Context:
    return contexts.Context(settings=settings, console=console)


async def execute(
    arguments: Sequence[str],
    *,
    out: TextIO,
    err: TextIO,
    make_context: MakeContext = _default_context,
) -> exit_codes.ExitCode:
    """Run one command line and return its exit code.

    Each error is written to `err` as one line, never as a traceback.
    """
    try:
        parsed = command_line.parse(arguments, registry.COMMANDS_BY_NAME)
        if isinstance(parsed, command_line.HelpWanted):
            out.write(parsed.text)
            return exit_codes.ExitCode.DONE
        return await _run(parsed, out, err, make_context)
    except errors.CommandError as error:
        _print_error(err, error.detail, error.next_command)
        return error.code
    except core_errors.LagoonrunError as error:
        _print_error(err, str(error), "")
        return exit_codes.ExitCode.FAILED
    except BrokenPipeError:
        return exit_codes.ExitCode.FAILED


async def _run(
    parsed: command_line.Parsed,
    out: TextIO,
    err: TextIO,
    make_context: MakeContext,
) -> exit_codes.ExitCode:
    values = parsed.invocation.flag_values
    console = consoles.Console(
        out=out, err=err, as_json=bool(values["json"].value)
    )
    context = make_context(operator_settings.load(values), console)
    try:
        report = await parsed.command.run(context, parsed.invocation)
    finally:
        console.end_progress()
    console.show(report)
    return report.code


def _print_error(err: TextIO, detail: str, next_command: str) -> None:
    err.write(f"lagoonrun: {detail}\n")
    if next_command:
        err.write(f"next: {next_command}\n")


def main(arguments: Sequence[str]) -> exit_codes.ExitCode:
    """Run one command line on the standard streams; return its exit code."""
    # Log lines of the libraries are for daemons; operators get one line.
    logging.getLogger("lagoonrun").addHandler(logging.NullHandler())
    logging.getLogger("lagoonrun").propagate = False
    try:
        return asyncio.run(execute(arguments, out=sys.stdout, err=sys.stderr))
    except KeyboardInterrupt:
        sys.stderr.write("\nlagoonrun: interrupted\n")
        return exit_codes.ExitCode.INTERRUPTED
    except Exception as error:
        # A fault of this program: one line instead of a traceback, which would
        # tell operators less.
        sys.stderr.write(f"lagoonrun: internal error: {error!r}\n")
        return exit_codes.ExitCode.FAILED


def run() -> None:
    """Run the program; the entry point of the package."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    run()
