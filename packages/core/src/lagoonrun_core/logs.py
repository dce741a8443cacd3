"""Structured logging: one JSON object per numbered event."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger import json as json_logger

from lagoonrun_core import bounded_log, events

_ROOT_NAME = "lagoonrun"


def configure(
    *, entry_vm: str, level: int = logging.INFO, stream: TextIO | None = None
) -> None:
    """Write all lagoonrun log lines as JSON to a stream.

    Parameters
    ----------
    entry_vm
        Name of this process, included in each line.
    level
        Lowest level that is written.
    stream
        Output stream; standard output if None.
    """
    handler = bounded_log.BoundedLogHandler(stream=stream or sys.stdout)
    handler.setFormatter(
        json_logger.JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            static_fields={"entry_vm": entry_vm},
        )
    )
    logger = logging.getLogger(_ROOT_NAME)
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False


def emit(
    event: events.LogEvent,
    *,
    level: int = logging.INFO,
    exc_info: BaseException | None = None,
    **fields: object,
) -> None:
    """Log one event.

    Parameters
    ----------
    event
        Number and label of the line.
    level
        Log level.
    exc_info
        Exception whose traceback is included.
    **fields
        Fields of the line; must not contain prompts, answers or keys.
    """
    logger = logging.getLogger(_ROOT_NAME)
    if logger.isEnabledFor(level):
        extra = {"event": event.number, **fields}
        logger.log(level, event.label, exc_info=exc_info, extra=extra)
