"""Processor time and resident memory of a process, read from `/proc`."""

import dataclasses
import os
import pathlib

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Indexes of fields of /proc/PID/stat, counted from the field after the command
# name, since the name may contain spaces.
_USER_TICKS = 11
_SYSTEM_TICKS = 12
_RESIDENT_PAGES = 21


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """Processor time since the start of a process and its current memory."""

    processor_seconds: float
    resident_bytes: int


def of_process(pid: int) -> Usage:
    """Return the usage of a running process.

    Raises
    ------
    OSError
        If there is no such process.
    """
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return Usage(
        processor_seconds=ticks / _TICKS_PER_SECOND,
        resident_bytes=int(fields[_RESIDENT_PAGES]) * _PAGE_BYTES,
    )
