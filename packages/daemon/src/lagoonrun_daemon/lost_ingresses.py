"""Detect ingresses that stay silent after their connection was lost."""

import asyncio
from collections.abc import Callable

from lagoonrun_core import types

GRACE_SECONDS = 3.0
"""Silence after a lost connection until an ingress's permits are dropped.

Several times the digest period, so that a live ingress has sent a message.
"""


class LostIngresses:
    """Timers of ingresses whose connection was lost.

    If an entry VM is replaced quickly under the same name, the membership may
    never consider it dead, and the new process does not know the permits of
    the old one: their slots would stay occupied. A lost connection that no
    message follows reveals this.

    Parameters
    ----------
    on_silent
        Called with an ingress that sent no message in the grace period.
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

    def record_disconnect(self, ingress: types.EntryVmId) -> None:
        """Start the grace period of `ingress`, whose connection was lost."""
        if ingress not in self._timers_by_ingress:
            self._timers_by_ingress[ingress] = (
                asyncio.get_running_loop().call_later(
                    self._grace_seconds, self._expire, ingress
                )
            )

    def record_message(self, ingress: types.EntryVmId) -> None:
        """Cancel the grace period of `ingress` on any message of it."""
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
