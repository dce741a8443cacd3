"""A task that runs for as long as its owner; a fault does not end it."""

import asyncio
import logging
import traceback
from collections.abc import Awaitable, Callable

from lagoonrun_core import events, logs

RESTART_SECONDS = 1.0
"""Pause after a fault, so that a lasting one costs neither a core nor a log."""


class SupervisedTask:
    """Runs a function until it is closed, and again after a fault.

    A task that ends by an unforeseen error would otherwise end in silence:
    the entry VM would serve on with what it knew, and never hear of the store
    or its peers again.

    Parameters
    ----------
    name
        What the log calls it.
    function
        Runs until it is cancelled, or returns when it is done.
    """

    def __init__(
        self, *, name: str, function: Callable[[], Awaitable[None]]
    ) -> None:
        self._name = name
        self._function = function
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin; what runs already is left to run."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    def cancel(self) -> None:
        """End without waiting; it may be started again."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def close(self) -> None:
        """End, and wait for it."""
        task = self._task
        self.cancel()
        if task is not None:
            await asyncio.gather(task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            try:
                await self._function()
                return
            except Exception as error:
                logs.emit(
                    events.LogEvent.TASK_FAILED,
                    level=logging.ERROR,
                    task=self._name,
                    error=repr(error),
                    trace="".join(traceback.format_tb(error.__traceback__)),
                )
            await asyncio.sleep(RESTART_SECONDS)
