"""Tasks that nobody waits for, until the process stops."""

import asyncio


class BackgroundTasks:
    """Keeps tasks alive until they end.

    The event loop itself holds tasks only weakly: one that nobody refers to
    may vanish before it has run.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[object]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def add(self, task: asyncio.Task[object]) -> None:
        """Keep `task` until it ends."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self, *, timeout_seconds: float) -> int:
        """Wait for what is under way, at most so long.

        Returns
        -------
        int
            Tasks that were still running, which are cancelled.
        """
        if not self._tasks:
            return 0
        _, late = await asyncio.wait(self._tasks, timeout=timeout_seconds)
        for task in late:
            task.cancel()
        return len(late)
