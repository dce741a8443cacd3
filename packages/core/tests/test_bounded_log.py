"""Logging never blocks the process, and the rate of lines is limited."""

import json
import logging
import os

import pytest

from lagoonrun_core import bounded_log, events, logs


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    reader = os.fdopen(reading, "rb", buffering=0)
    with reader, os.fdopen(writing, "w") as writer:
        yield reader, writer


@pytest.fixture
def logger(pipe):
    logs.configure(entry_vm="vm-1", stream=pipe[1])
    yield logging.getLogger("lagoonrun")
    logging.getLogger("lagoonrun").handlers = []
    logging.getLogger("lagoonrun").propagate = True


def read_lines(reader):
    os.set_blocking(reader.fileno(), False)
    data = b""
    while part := reader.read(1 << 20):
        data += part
    return data.splitlines()


def emit(count, **fields):
    for number in range(count):
        logs.emit(events.LogEvent.REQUEST_ENDED, number=number, **fields)


def test_lines_are_json_objects(pipe, logger):
    emit(1, request_id="r-1")
    (line,) = read_lines(pipe[0])
    fields = json.loads(line)
    assert (fields["event"], fields["request_id"]) == (200, "r-1")
    assert fields["entry_vm"] == "vm-1"


def test_full_pipe_does_not_block(pipe, logger):
    """The reader of the log stops reading, and the pipe fills up.

    A blocking write would stop every stream. Lines are dropped and counted,
    and the first line after that reports their number.
    """
    handler = bounded_log.BoundedLogHandler(
        stream=pipe[1], lines_per_second=1 << 30
    )
    handler.setFormatter(logger.handlers[0].formatter)
    logger.handlers = [handler]
    emit(5000, padding="x" * 200)
    assert handler.left_out > 0
    before = handler.left_out
    whole = read_lines(pipe[0])
    emit(2, request_id="after")
    more = read_lines(pipe[0])
    parsed = [json.loads(one) for one in whole[:-1]]
    assert all(one["event"] == 200 for one in parsed)
    reports = [one for one in more if b"log-lines-left-out" in one]
    assert reports or handler.left_out == before
    assert json.loads(more[-1])["request_id"] == "after"


def test_lines_above_the_rate_are_counted(pipe, logger):
    emit(bounded_log.LINES_PER_SECOND * 3)
    handler = logger.handlers[0]
    assert handler.left_out >= bounded_log.LINES_PER_SECOND


def test_each_reason_has_its_own_rate(pipe, logger):
    """Many refusals for one reason must not hide one for another reason."""
    emit(bounded_log.LINES_PER_SECOND * 2, reason="overloaded")
    emit(1, reason="no-upstream")
    lines = read_lines(pipe[0])
    assert any(b"no-upstream" in one for one in lines)


def test_closed_pipe_is_no_error(pipe, logger):
    pipe[0].close()
    emit(3)
    assert logger.handlers[0].left_out == 3
