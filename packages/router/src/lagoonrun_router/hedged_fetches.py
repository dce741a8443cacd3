"""Concurrent fetches of the same data from several peers."""

import asyncio
import dataclasses
import logging
from collections.abc import Coroutine

from lagoonrun_core import events, logs, types

_HEDGE_SECONDS = 0.6
"""Time after which a fetch that is not complete is started from another peer as
well: the first peer may have been lost since it reported its revision. After two
lost peers in a row, 0.8 s remain of the two seconds in which a change has to be
active."""

_SAME_PEER_SECONDS = 1.0
"""Time after which the same peer is asked once more, on another connection: it
may be the only one, and only the connection to it may have fallen silent."""

_MAX_CONCURRENT_FETCHES = 3
"""Maximum number of fetches of the same data at a time."""

_AVOID_SECONDS = 0.5
"""Time for which a peer that did not answer is not asked again: a lost peer soon
stops reporting. One that has answered another fetch meanwhile is not lost."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Fetch:
    peer: types.EntryVmId
    started_at: float
    task: asyncio.Task[bool]


class HedgedFetches:
    """The running fetches of one kind.

    Parameters
    ----------
    pause_seconds
        Minimum time between a complete fetch and the next one.
    """

    def __init__(self, *, pause_seconds: float = 0.0) -> None:
        self._pause_seconds = pause_seconds
        self._running: list[_Fetch] = []
        self._failed_at_by_peer: dict[types.EntryVmId, float] = {}
        self._started_at = float("-inf")

    def may_start(self, peer: types.EntryVmId, *, now: float) -> bool:
        """Return whether to fetch from `peer` now."""
        self._collect(now)
        failed_at = self._failed_at_by_peer.get(peer, float("-inf"))
        if now - failed_at < _AVOID_SECONDS or any(
            one.peer == peer and now - one.started_at < _SAME_PEER_SECONDS
            for one in self._running
        ):
            return False
        if not self._running:
            return now - self._started_at >= self._pause_seconds
        return (
            len(self._running) < _MAX_CONCURRENT_FETCHES
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
        self._running.append(
            _Fetch(peer=peer, started_at=now, task=asyncio.create_task(fetch))
        )

    async def close(self) -> None:
        """Cancel the fetches in progress."""
        tasks = [one.task for one in self._running]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _collect(self, now: float) -> None:
        ended = [one for one in self._running if one.task.done()]
        self._running = [one for one in self._running if not one.task.done()]
        for one in ended:
            if one.task.cancelled():
                continue
            error = one.task.exception()
            if error is not None:
                # An answer of another release may not be valid here.
                logs.emit(
                    events.LogEvent.PEER_FRAME_REJECTED,
                    level=logging.ERROR,
                    peer=one.peer,
                    detail=repr(error),
                )
            if error is None and one.task.result():
                self._failed_at_by_peer.pop(one.peer, None)
            else:
                self._failed_at_by_peer[one.peer] = now
        for peer, failed_at in tuple(self._failed_at_by_peer.items()):
            if now - failed_at >= _AVOID_SECONDS:
                del self._failed_at_by_peer[peer]
