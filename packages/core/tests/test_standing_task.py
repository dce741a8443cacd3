"""Standing tasks outlive their faults, and say them."""

import asyncio
import logging

import pytest

from lagoonrun_core import supervised_task


@pytest.fixture
def quick(monkeypatch):
    monkeypatch.setattr(supervised_task, "RESTART_SECONDS", 0.01)


async def other_tasks_ended():
    """Wait until nothing but the test itself runs."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    async with asyncio.timeout(5):
        await asyncio.gather(*others, return_exceptions=True)


async def test_task_goes_on_after_a_fault_and_logs_it(quick, caplog):
    """A value that nobody foresaw raises in the middle of a task."""
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
    assert "test_standing_task" in record.trace
    await task.close()
    assert len(runs) == 2


async def test_task_that_is_done_is_not_run_again(quick):
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
