"""Concurrent fetches of the same data from several peers."""

import asyncio
from collections.abc import Coroutine

from lagoonrun_core import types

_HEDGE_SECONDS = 0.6
"""Time after which a fetch that is not complete is started from another peer as
well: the first peer may have been lost since it reported its revision. After two
lost peers in a row, 0.8 s remain of the two seconds in which a change has to be
active."""

_MAX_CONCURRENT_FETCHES = 3
"""Peers from which the same data is fetched at a time."""

_AVOID_SECONDS = 0.5
"""Time for which a peer that did not answer is not asked again: a lost peer soon
stops reporting."""


class HedgedFetches:
    """The running fetches of one kind, each from another peer.

    Parameters
    ----------
    pause_seconds
        Minimum time between a complete fetch and the next one.
    """

    def __init__(self, *, pause_seconds: float = 0.0) -> None:
        self._pause_seconds = pause_seconds
        self._task_by_peer: dict[types.EntryVmId, asyncio.Task[bool]] = {}
        self._failed_at_by_peer: dict[types.EntryVmId, float] = {}
        self._started_at = float("-inf")

    def may_start(self, peer: types.EntryVmId, *, now: float) -> bool:
        """Return whether to fetch from `peer` now."""
        self._collect(now)
        failed_at = self._failed_at_by_peer.get(peer, float("-inf"))
        if peer in self._task_by_peer or now - failed_at < _AVOID_SECONDS:
            return False
        if not self._task_by_peer:
            return now - self._started_at >= self._pause_seconds
        return (
            len(self._task_by_peer) < _MAX_CONCURRENT_FETCHES
            and now - self._started_at >= _HEDGE_SECONDS
        )

    def start(
        self,
        peer: types.EntryVmId,
        fetch: Coroutine[None, None, bool],
        *,
        now: float,
    ) -> None:
        """Start a fetch; it returns whether the peer answered."""
        self._started_at = now
        self._task_by_peer[peer] = asyncio.create_task(fetch)

    async def close(self) -> None:
        """Cancel the fetches in progress."""
        for task in self._task_by_peer.values():
            task.cancel()
        await asyncio.gather(
            *self._task_by_peer.values(), return_exceptions=True
        )

    def _collect(self, now: float) -> None:
        for peer, task in tuple(self._task_by_peer.items()):
            if not task.done():
                continue
            del self._task_by_peer[peer]
            if not task.cancelled() and task.exception() is None:
                if task.result():
                    self._failed_at_by_peer.pop(peer, None)
                else:
                    self._failed_at_by_peer[peer] = now
        for peer, failed_at in tuple(self._failed_at_by_peer.items()):
            if now - failed_at >= _AVOID_SECONDS:
                del self._failed_at_by_peer[peer]
