"""Ends the wait for an answer once its request is moved elsewhere."""

import asyncio
from collections.abc import Callable

from lagoonrun_router import silence

_PASSES = 3
"""Passes of the event loop between a timer and the question. The first reads
the sockets, which a process that was held up has not done when the timer fires;
in the second and third a task that an answer has woken goes on."""


class MoveWatch:
    """Asks whether a request is moved, from the allowed silence on.

    Parameters
    ----------
    wait
        The wait; it is ended by its expiry.
    allowed_seconds
        Silence that is allowed; None to ask never.
    may_move
        Called with the allowed silence; returns whether to end the wait.

    Attributes
    ----------
    moved
        Whether the wait was ended.
    """

    def __init__(
        self,
        *,
        wait: asyncio.Timeout,
        allowed_seconds: float | None,
        may_move: Callable[[float], bool],
    ) -> None:
        self._wait = wait
        self._allowed_seconds = allowed_seconds
        self._may_move = may_move
        self._handle: asyncio.Handle | None = None
        self.moved = False

    def start(self) -> None:
        """Start the timer."""
        if self._allowed_seconds is not None:
            self._ask_after(self._allowed_seconds)

    def close(self) -> None:
        """Ask no more."""
        if self._handle is not None:
            self._handle.cancel()

    def _ask_after(self, seconds: float) -> None:
        self._handle = asyncio.get_running_loop().call_later(
            seconds, self._pass, _PASSES
        )

    def _pass(self, left: int) -> None:
        if left:
            self._handle = asyncio.get_running_loop().call_soon(
                self._pass, left - 1
            )
        elif self._may_move(self._allowed_seconds):
            self.moved = True
            self._wait.reschedule(asyncio.get_running_loop().time())
        else:
            self._ask_after(silence.ASK_AGAIN_SECONDS)
