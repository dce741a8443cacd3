"""Announce summaries of the shards dispatched here to other domains."""

import asyncio
from collections.abc import Iterable
from typing import Protocol

from lagoonrun_core import types
from lagoonrun_daemon import dispatcher as dispatchers
from lagoonrun_policy import shard_ranking
from lagoonrun_protocol import messages

SUMMARY_PERIOD_SECONDS = 0.5


class SummaryCarrier(Protocol):
    """Distributes summaries to other domains."""

    def announce_shards(
        self, summaries: Iterable[messages.ShardSummary]
    ) -> None:
        """Replace the summaries of the shards dispatched here."""


class SummaryAnnouncer:
    """Task that periodically passes summaries to the membership.

    Parameters
    ----------
    dispatcher
        Provides the summaries of its shards.
    members
        Distributes the summaries.
    entry_vm
        This entry VM.
    """

    def __init__(
        self,
        *,
        dispatcher: dispatchers.Dispatcher,
        members: SummaryCarrier,
        entry_vm: types.EntryVmId,
    ) -> None:
        self._dispatcher = dispatcher
        self._members = members
        self._entry_vm = entry_vm
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start announcing."""
        self._task = asyncio.create_task(self._announce_forever())

    async def close(self) -> None:
        """Stop announcing."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _announce_forever(self) -> None:
        while True:
            await asyncio.sleep(SUMMARY_PERIOD_SECONDS)
            self._members.announce_shards(
                self._message(view) for view in self._dispatcher.summaries()
            )

    def _message(self, view: shard_ranking.ShardView) -> messages.ShardSummary:
        return messages.ShardSummary(
            shard=view.shard,
            dispatcher=self._entry_vm,
            free=max(view.free, 0),
            lowest_waiting_tier=view.lowest_waiting_tier,
            lowest_running_tier=view.lowest_running_tier,
            wait_seconds=view.wait_seconds,
        )
