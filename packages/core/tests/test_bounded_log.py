"""Log lines never stop the process, and their number is bounded."""

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
    """Whoever reads the log stops reading.

    The pipe fills; a write that waited would stop every stream. Lines are
    left out and counted, and the first line after that says how many.
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
    told = [one for one in more if b"log-lines-left-out" in one]
    assert told or handler.left_out == before
    assert json.loads(more[-1])["request_id"] == "after"


def test_kind_above_its_rate_is_counted(pipe, logger):
    emit(bounded_log.LINES_PER_SECOND * 3)
    handler = logger.handlers[0]
    assert handler.left_out >= bounded_log.LINES_PER_SECOND


def test_refusals_of_distinct_causes_have_rates_of_their_own(pipe, logger):
    """A flood of one refusal must not hide the single one of another cause."""
    emit(bounded_log.LINES_PER_SECOND * 2, reason="overloaded")
    emit(1, reason="no-upstream")
    lines = read_lines(pipe[0])
    assert any(b"no-upstream" in one for one in lines)


def test_reader_that_is_gone_is_no_error(pipe, logger):
    pipe[0].close()
    emit(3)
    assert logger.handlers[0].left_out == 3
