"""Assemble what keeps requests that end upstreams away from the upstreams."""

import random

from lagoonrun_core import clock as clocks
from lagoonrun_platform import store as store_module
from lagoonrun_router import (
    block_writer,
    crash_watch,
    crashing_requests,
    metrics,
    upstreams,
)


class CrashGuard:
    """Notices crashes, decides by them, and keeps what was decided.

    Parameters
    ----------
    directory
        The upstreams.
    counters
        Receives the number of crashes.
    store, prefix
        Where blocks are kept, and how their keys begin.
    clock, rng
        Sources of time and of jitter.

    Attributes
    ----------
    watch
        Follows all runs of this entry VM.
    crashing
        The requests that end upstreams.
    """

    def __init__(
        self,
        *,
        directory: upstreams.UpstreamDirectory,
        counters: metrics.RouterMetrics,
        store: store_module.KeyValueStore,
        prefix: str,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.watch = crash_watch.CrashWatch(
            directory=directory, counters=counters, clock=clock
        )
        self._block_writer = block_writer.BlockWriter(
            store=store, prefix=prefix, rng=rng
        )
        self.crashing = crashing_requests.CrashingRequests(
            watch=self.watch, block_writer=self._block_writer, clock=clock
        )

    async def start(self) -> None:
        """Begin to write blocks."""
        await self._block_writer.start()

    async def close(self) -> None:
        """End what is under way."""
        await self.watch.close()
        await self._block_writer.close()

    def run_housekeeping(self) -> None:
        """Forget what is old and write what waits; called once a second."""
        self.watch.forget_old()
        self.crashing.tick()
