"""A log handler that never blocks and limits the rate of log lines.

If the reader of the log stops, a blocking write to the full pipe would block
the event loop and with it every stream. Lines that cannot be written at once
are dropped and counted, and so are lines that exceed the rate of their kind.
"""

import collections
import logging
import os
import time
from typing import TextIO

from lagoonrun_core import events

LINES_PER_SECOND = 200
"""Lines a second of one kind and reason; further ones are only counted.

A line takes about 30 microseconds; at this rate one kind takes less than one
hundredth of a core.
"""

_MAX_KINDS = 512
"""Kinds with a rate per reason; further reasons of an event share one rate."""

_PENDING_BYTES = 64 * 1024
"""Maximum bytes buffered for a slow reader: about the capacity of a pipe."""


class BoundedLogHandler(logging.Handler):
    """Writes log lines to a stream's file descriptor without blocking.

    Parameters
    ----------
    stream
        Open file, usually standard output. Its file descriptor is set to
        non-blocking mode.
    lines_per_second
        Maximum for each kind and reason.

    Attributes
    ----------
    left_out
        Number of lines that were dropped since the start.
    """

    def __init__(
        self, *, stream: TextIO, lines_per_second: int = LINES_PER_SECOND
    ) -> None:
        super().__init__()
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)
        self._lines_per_second = lines_per_second
        self._second = 0
        self._lines_by_kind: collections.Counter[tuple[object, object]] = (
            collections.Counter()
        )
        self._pending = b""
        self._unreported = 0
        self.left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or drop and count it."""
        if not self._admits(record):
            self._count_dropped()
            return
        try:
            line = self.format(record) + "\n"
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self._report_dropped(record)
        if not self._write(line.encode("utf-8", "replace")):
            self._count_dropped()

    def _admits(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_by_kind.clear()
        kind = (record.msg, getattr(record, "reason", None))
        if len(self._lines_by_kind) >= _MAX_KINDS:
            kind = (record.msg, None)
        self._lines_by_kind[kind] += 1
        return self._lines_by_kind[kind] <= self._lines_per_second

    def _count_dropped(self) -> None:
        self.left_out += 1
        self._unreported += 1

    def _report_dropped(self, record: logging.LogRecord) -> None:
        if not self._unreported or self._pending:
            return
        event = events.LogEvent.LOG_LINES_LEFT_OUT
        report = logging.makeLogRecord(
            {
                **record.__dict__,
                "msg": event.label,
                "args": (),
                "exc_info": None,
                "event": event.number,
                "left_out": self._unreported,
            }
        )
        line = (self.format(report) + "\n").encode("utf-8", "replace")
        if self._write(line):
            self._unreported = 0

    def _write(self, line: bytes) -> bool:
        """Write without blocking; return whether the line was accepted."""
        # The rest of a partially written line must precede the next line.
        accepted = len(self._pending) + len(line) <= _PENDING_BYTES
        data = self._pending + line if accepted else self._pending
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader closed the pipe, so the error can't be reported.
            self._pending = b""
            return False
        self._pending = data[written:]
        return accepted
