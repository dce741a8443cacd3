"""Run alternatives one after the other and use the first that succeeds."""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

_Result = TypeVar("_Result")


async def first_result(
    attempts: Iterable[Callable[[], Awaitable[_Result]]],
    *,
    stagger_seconds: float,
    discard: Callable[[_Result], None] | None = None,
) -> _Result:
    """Return the first result; the other attempts are cancelled.

    Parameters
    ----------
    attempts
        At least one. The next one starts when one has failed, or is still
        running after `stagger_seconds`.
    discard
        Releases the result of an attempt that succeeded at the same time.
        None if there is nothing to release.

    Raises
    ------
    OSError
        If all attempts have failed: the error of the first one.
    """
    waiting = iter(attempts)
    running: set[asyncio.Task[_Result]] = set()
    first_error: OSError | None = None
    is_last = False
    try:
        while True:
            if not is_last:
                attempt = next(waiting, None)
                is_last = attempt is None
                if attempt is not None:
                    running.add(asyncio.ensure_future(attempt()))
            if not running:
                raise first_error or ConnectionError("no attempt was made")
            done, _ = await asyncio.wait(
                running,
                timeout=None if is_last else stagger_seconds,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                error = task.exception()
                if error is None:
                    running.discard(task)
                    return task.result()
                running.discard(task)
                if not isinstance(error, OSError):
                    raise error
                first_error = first_error or error
    finally:
        for task in running:
            task.cancel()
            task.add_done_callback(
                functools.partial(_discard_result, discard=discard)
            )


def _discard_result(
    task: asyncio.Task[_Result],
    *,
    discard: Callable[[_Result], None] | None,
) -> None:
    """Release the result of a task that ended before it was cancelled."""
    if task.cancelled() or task.exception() is not None:
        return
    if discard is not None:
        discard(task.result())
