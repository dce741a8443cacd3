"""Supervised tasks are restarted after an exception, which is logged."""

import asyncio
import logging

import pytest

from lagoonrun_core import supervised_task


@pytest.fixture
def short_restart_delay(monkeypatch):
    monkeypatch.setattr(supervised_task, "RESTART_SECONDS", 0.01)


async def other_tasks_ended():
    """Wait until all tasks but the current one have ended."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    async with asyncio.timeout(5):
        await asyncio.gather(*others, return_exceptions=True)


async def test_task_is_restarted_after_an_exception(
    short_restart_delay, caplog
):
    """Guards against background tasks that end silently by an exception."""
    runs = []
    second = asyncio.Event()

    async def work():
        runs.append(1)
        if len(runs) == 1:
            raise ValueError("unforeseen")
        second.set()
        await asyncio.Event().wait()

    task = supervised_task.SupervisedTask(name="reader", function=work)
    with caplog.at_level(logging.ERROR, logger="lagoonrun"):
        task.start()
        await asyncio.wait_for(second.wait(), 5)
    record = caplog.records[0]
    assert (record.task, record.error) == ("reader", "ValueError('unforeseen')")
    assert "test_supervised_task" in record.trace
    await task.close()
    assert len(runs) == 2


async def test_finished_task_is_not_restarted(short_restart_delay):
    runs = []

    async def work():
        runs.append(1)

    task = supervised_task.SupervisedTask(name="once", function=work)
    task.start()
    await other_tasks_ended()
    assert runs == [1]
    await task.close()


async def test_cancelled_task_may_be_started_again():
    started = asyncio.Queue()

    async def work():
        started.put_nowait(1)
        await asyncio.Event().wait()

    task = supervised_task.SupervisedTask(name="reader", function=work)
    task.start()
    await asyncio.wait_for(started.get(), 5)
    task.cancel()
    task.start()
    await asyncio.wait_for(started.get(), 5)
    await task.close()
    assert started.empty()
