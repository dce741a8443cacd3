"""Assemble the protection of upstreams from requests that crash them."""

import random

from lagoonrun_core import clock as clocks
from lagoonrun_platform import store as store_module
from lagoonrun_router import (
    block_writer,
    crash_evidence,
    crash_watch,
    crashing_requests,
    metrics,
    upstream_uptime,
    upstreams,
)


class CrashGuard:
    """Detects crashes, blocks their causes, and persists the blocks.

    Parameters
    ----------
    directory
        The upstreams.
    counters
        Metrics; counts crashes.
    store, prefix
        Store of the blocks, and the prefix of their keys.
    clock, rng
        Sources of time and of jitter.

    Attributes
    ----------
    watch
        Tracks the in-flight requests of this entry VM and detects crashes.
    crashing_requests
        Requests that crash upstreams.
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
        self._changes = directory.add_feed()
        self._clock = clock
        self._uptime = upstream_uptime.UpstreamUptime()
        self.crashing_requests = crashing_requests.CrashingRequests(
            watch=self.watch,
            block_writer=self._block_writer,
            evidence=crash_evidence.CrashEvidence(uptime=self._uptime),
            clock=clock,
        )

    async def start(self) -> None:
        """Start writing blocks."""
        await self._block_writer.start()

    async def close(self) -> None:
        """Stop all tasks."""
        await self.watch.close()
        await self._block_writer.close()

    def observe_upstreams(self) -> None:
        """Record which upstreams are registered, and which were replaced."""
        self.watch.observe_upstreams()
        self._uptime.observe(
            self._changes.pop(),
            now=self._clock.monotonic(),
        )

    def run_housekeeping(self) -> None:
        """Drop expired records and write due blocks; called once a second."""
        self.watch.remove_expired_runs()
        self.crashing_requests.tick()
