"""A background task that is restarted after an unexpected exception."""

import asyncio
import logging
import traceback
from collections.abc import Awaitable, Callable

from lagoonrun_core import events, logs

RESTART_SECONDS = 1.0
"""Delay of a restart: a permanent fault must not use up a core or the log."""


class SupervisedTask:
    """Runs a function in the background; restarts it after an exception.

    Without it, an unexpected exception would end the task silently: the entry
    VM would go on serving with outdated state and no longer receive changes
    from the store or its peers.

    Parameters
    ----------
    name
        Name of the task in the log.
    function
        Function to run until it is cancelled; may return when it is done.
    """

    def __init__(
        self, *, name: str, function: Callable[[], Awaitable[None]]
    ) -> None:
        self._name = name
        self._function = function
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task, unless it is already running."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    def cancel(self) -> None:
        """Cancel the task without waiting; it may be started again."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def close(self) -> None:
        """Cancel the task and wait for it to end."""
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
