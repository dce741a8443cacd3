"""A log handler that never waits and bounds its volume.

A reader of the log that stops must not stop the router: a write to a full
pipe would block the event loop, and with it every stream. What cannot be
written at once is left out and counted, and so is what exceeds a kind's rate.
"""

import collections
import logging
import os
import time
from typing import TextIO

from lagoonrun_core import events

LINES_PER_SECOND = 200
"""Lines of one kind and reason a second; the rest is counted.

A line costs about 30 microseconds; at this rate one kind takes less than one
hundredth of a core.
"""

_MOST_KINDS = 512
"""Kinds whose rates are kept; all further ones share one."""

_PENDING_BYTES = 64 * 1024
"""What may wait for a slow reader: about what a pipe holds."""


class BoundedLogHandler(logging.Handler):
    """Writes lines to a stream's descriptor without ever waiting.

    Parameters
    ----------
    stream
        Open file, usually standard output. Its descriptor is made not to
        block where the system lets it.
    lines_per_second
        Bound for each kind and reason.

    Attributes
    ----------
    left_out
        Lines that were not written, since the start.
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
        self._untold = 0
        self.left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as left out."""
        if not self._admits(record):
            self._leave_out()
            return
        try:
            line = self.format(record) + "\n"
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self._tell_left_out(record)
        if not self._write(line.encode("utf-8", "replace")):
            self._leave_out()

    def _admits(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_by_kind.clear()
        kind = (record.msg, getattr(record, "reason", None))
        if len(self._lines_by_kind) >= _MOST_KINDS:
            kind = (record.msg, None)
        self._lines_by_kind[kind] += 1
        return self._lines_by_kind[kind] <= self._lines_per_second

    def _leave_out(self) -> None:
        self.left_out += 1
        self._untold += 1

    def _tell_left_out(self, record: logging.LogRecord) -> None:
        if not self._untold or self._pending:
            return
        event = events.LogEvent.LOG_LINES_LEFT_OUT
        told = logging.makeLogRecord(
            {
                **record.__dict__,
                "msg": event.label,
                "args": (),
                "exc_info": None,
                "event": event.number,
                "left_out": self._untold,
            }
        )
        line = (self.format(told) + "\n").encode("utf-8", "replace")
        if self._write(line):
            self._untold = 0

    def _write(self, line: bytes) -> bool:
        """Write what fits at once; return whether the line was taken."""
        # A line that was written in part must be ended before the next one.
        taken = len(self._pending) + len(line) <= _PENDING_BYTES
        data = self._pending + line if taken else self._pending
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone for good; there is no one to tell.
            self._pending = b""
            return False
        self._pending = data[written:]
        return taken
