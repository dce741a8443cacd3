"""Ingresses whose connection was lost and that have been silent since."""

import asyncio
from collections.abc import Callable

from lagoonrun_core import types

GRACE_SECONDS = 3.0
"""Silence after a lost connection that shows an ingress's permits as ended.

Several periods of its digests, so that one that lives has been heard.
"""


class LostIngresses:
    """Timers of ingresses whose connection was lost.

    An entry VM that is replaced under its name at once may never be seen
    dead, and the new process knows nothing of the old one's permits: their
    slots would stay taken. What tells is the lost connection and that no
    digest follows it.

    Parameters
    ----------
    on_silent
        Called with an ingress that was not heard within the grace.
    grace_seconds
        See `GRACE_SECONDS`.
    """

    def __init__(
        self,
        *,
        on_silent: Callable[[types.EntryVmId], None],
        grace_seconds: float = GRACE_SECONDS,
    ) -> None:
        self._on_silent = on_silent
        self._grace_seconds = grace_seconds
        self._timers_by_ingress: dict[types.EntryVmId, asyncio.TimerHandle] = {}

    def note_lost(self, ingress: types.EntryVmId) -> None:
        """Take in that the connection with `ingress` ended."""
        if ingress not in self._timers_by_ingress:
            self._timers_by_ingress[ingress] = (
                asyncio.get_running_loop().call_later(
                    self._grace_seconds, self._expire, ingress
                )
            )

    def note_heard(self, ingress: types.EntryVmId) -> None:
        """Take in any message of `ingress`."""
        timer = self._timers_by_ingress.pop(ingress, None)
        if timer is not None:
            timer.cancel()

    def close(self) -> None:
        """Cancel all timers."""
        for timer in self._timers_by_ingress.values():
            timer.cancel()
        self._timers_by_ingress.clear()

    def _expire(self, ingress: types.EntryVmId) -> None:
        del self._timers_by_ingress[ingress]
        self._on_silent(ingress)
