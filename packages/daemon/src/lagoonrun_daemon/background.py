"""Background tasks that are awaited only when the process stops."""

import asyncio


class BackgroundTasks:
    """Hold references to tasks until they end.

    The event loop keeps only weak references: an unreferenced task may be
    garbage-collected before it has run.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[object]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def add(self, task: asyncio.Task[object]) -> None:
        """Hold a reference to `task` until it ends."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self, *, timeout_seconds: float) -> int:
        """Wait for the running tasks, at most `timeout_seconds`.

        Returns
        -------
        int
            Number of tasks that were still running; they are cancelled.
        """
        if not self._tasks:
            return 0
        _, late = await asyncio.wait(self._tasks, timeout=timeout_seconds)
        for task in late:
            task.cancel()
        return len(late)
