"""Exit codes of `lagoonrun`, one for each outcome that scripts distinguish."""

import enum


class ExitCode(enum.IntEnum):
    """Outcome of a command; `describe` returns its description."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    CLASH = 4
    UNKNOWN = 5
    UNAVAILABLE = 6
    PENDING = 7
    NOT_FOUND = 8
    DIFFERENT = 9
    CANCELLED = 10
    INTERRUPTED = 130


_DESCRIPTION_BY_CODE = {
    ExitCode.DONE: "done; for a change: accepted, and in force as shown",
    ExitCode.FAILED: "a fault that no other code names",
    ExitCode.USAGE: "the command line or the operator's settings are wrong",
    ExitCode.REFUSED: "the declarations are not valid; nothing was changed",
    ExitCode.CLASH: (
        "another operator changed the same entries; nothing was changed"
    ),
    ExitCode.UNKNOWN: (
        "the change may be in force or come into force; run `settle`"
    ),
    ExitCode.UNAVAILABLE: (
        "the platform or the entry VMs were not reached; nothing was changed"
    ),
    ExitCode.PENDING: (
        "accepted, but not yet in force on each entry VM when the wait ended"
    ),
    ExitCode.NOT_FOUND: "no such revision, request, upstream or entry",
    ExitCode.DIFFERENT: (
        "`diff` found differences, or `explain --check` does not agree"
    ),
    ExitCode.CANCELLED: "settled: the change is not in force and never will be",
    ExitCode.INTERRUPTED: "interrupted by the operator",
}


def describe(code: ExitCode) -> str:
    """Return the description of `code` for help and documentation."""
    return _DESCRIPTION_BY_CODE[code]
