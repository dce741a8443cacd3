"""Notice that an upstream has crashed, and what ran there when it did.

An upstream that breaks off a request may have crashed, or only that connection
was reset, cut or closed by a fault. The listener tells them apart: that of a
process that is gone refuses connections, that of a living one takes them, and
behind a cut nothing answers. So a broken request is followed by one connection
attempt. An upstream that was about to leave ends as planned, and has not
crashed.
"""

import asyncio
import contextlib
import enum
import logging
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, outcomes, types
from lagoonrun_router import (
    attempt_result,
    metrics,
    running_requests,
    upstreams,
)

_PROBE_TIMEOUT_SECONDS = 0.4
"""Longest wait for a connection, as for those of requests: a hundred round
trips."""

_MAX_REMEMBERED_CRASHES = 256
"""Crashes that are not looked into again; more than end within the seconds in
which their requests break."""


class CrashListener(Protocol):
    """Receives each crash that this entry VM has noticed."""

    def __call__(
        self,
        instance: running_requests.UpstreamInstance,
        requests: frozenset[running_requests.SuspectRequest],
    ) -> None:
        """Take in which requests of this entry VM ran there; maybe none."""


class AnswerListener(Protocol):
    """Receives each request that an upstream has answered to the end."""

    def __call__(self, request: types.RequestDigest) -> None:
        """Take in that a request can be run."""


class _ProbeResult(enum.Enum):
    """What a connection attempt tells of an upstream."""

    REFUSES = "refuses"
    TAKES = "takes"
    SILENT = "silent"


class CrashWatch:
    """Follows all runs of this entry VM and looks into those that break.

    Parameters
    ----------
    directory
        The upstreams.
    counters
        Receives the number of crashes.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        directory: upstreams.UpstreamDirectory,
        counters: metrics.RouterMetrics,
        clock: clocks.Clock,
    ) -> None:
        self._directory = directory
        self._metrics = counters
        self._clock = clock
        self._running = running_requests.RunningRequests()
        self._probes_by_upstream: dict[
            running_requests.UpstreamInstance, asyncio.Task[None]
        ] = {}
        self._crashed: dict[running_requests.UpstreamInstance, None] = {}
        self.on_crash: CrashListener | None = None
        self.on_answer: AnswerListener | None = None

    async def close(self) -> None:
        """End the connection attempts under way."""
        probes = tuple(self._probes_by_upstream.values())
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)

    @property
    def probed_instances(self) -> frozenset[running_requests.UpstreamInstance]:
        """Upstreams to which a connection is being tried."""
        return frozenset(self._probes_by_upstream)

    # What the sends tell.

    def begin(
        self,
        digest: types.RequestDigest,
        *,
        route: str,
        upstream: upstreams.Registration,
    ) -> running_requests.Run:
        """Note that a request is about to be written to an upstream."""
        return self._running.begin(
            digest, route=route, at=running_requests.instance_of(upstream)
        )

    def end(
        self,
        run: running_requests.Run,
        result: attempt_result.Result | None,
        upstream: upstreams.Registration,
    ) -> None:
        """Note what became of a request that was written.

        Parameters
        ----------
        result
            None where the caller left.
        """
        end = _run_end_of(result)
        self._running.end(run, end, now=self._clock.monotonic())
        if end is running_requests.RunEnd.ANSWERED and self.on_answer:
            self.on_answer(run.digest)
        broken = end is running_requests.RunEnd.BROKEN
        if broken and self._directory.is_serving(run.at.upstream):
            self._start_probe(run.at, upstream)

    def forget_old(self) -> None:
        """Forget runs that ended too long ago to be of interest."""
        self._running.forget_old(now=self._clock.monotonic())

    # What others tell.

    def suspects_at(
        self, instance: running_requests.UpstreamInstance
    ) -> frozenset[running_requests.SuspectRequest]:
        """Return the requests of this entry VM that ran at a crashed upstream.

        Another entry VM has noticed the crash; here callers may have left
        before.
        """
        return self._running.suspects_at(instance, now=self._clock.monotonic())

    # Parts.

    def _start_probe(
        self,
        instance: running_requests.UpstreamInstance,
        upstream: upstreams.Registration,
    ) -> None:
        # All that ran there is looked at together, whichever breaks first.
        if (
            instance not in self._probes_by_upstream
            and instance not in self._crashed
        ):
            self._probes_by_upstream[instance] = asyncio.create_task(
                self._probe(instance, upstream)
            )

    async def _probe(
        self,
        instance: running_requests.UpstreamInstance,
        upstream: upstreams.Registration,
    ) -> None:
        try:
            result = await _connect(upstream.host, upstream.port)
        finally:
            del self._probes_by_upstream[instance]
        if result is _ProbeResult.REFUSES:
            self._record_crash(instance, upstream)

    def _record_crash(
        self,
        instance: running_requests.UpstreamInstance,
        upstream: upstreams.Registration,
    ) -> None:
        requests = self.suspects_at(instance)
        self._remember(instance)
        self._metrics.upstream_crashes.labels(upstream.pool).inc()
        logs.emit(
            events.LogEvent.UPSTREAM_CRASHED,
            level=logging.WARNING,
            upstream=instance.upstream,
            start=instance.start,
            pool=upstream.pool,
            requests=sorted(one.digest for one in requests),
            silent=sorted(one.digest for one in requests if one.silent),
        )
        if self.on_crash is not None:
            self.on_crash(instance, requests)

    def _remember(self, instance: running_requests.UpstreamInstance) -> None:
        self._crashed[instance] = None
        while len(self._crashed) > _MAX_REMEMBERED_CRASHES:
            del self._crashed[next(iter(self._crashed))]


def _run_end_of(
    result: attempt_result.Result | None,
) -> running_requests.RunEnd:
    if result is None:
        return running_requests.RunEnd.ABANDONED
    if isinstance(result, attempt_result.Delivered):
        if result.ending.outcome is outcomes.Outcome.COMPLETE:
            return running_requests.RunEnd.ANSWERED
        return running_requests.RunEnd.FAILED
    if result.sent and result.reason is outcomes.Reason.UPSTREAM_CLOSED:
        return running_requests.RunEnd.BROKEN
    return running_requests.RunEnd.FAILED


async def _connect(host: str, port: int) -> _ProbeResult:
    """Return whether anybody listens at an address."""
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return _ProbeResult.REFUSES
    except OSError:
        # TimeoutError is an OSError as well.
        return _ProbeResult.SILENT
    writer.close()
    with contextlib.suppress(OSError):
        # The other side may reset what it has just taken.
        await writer.wait_closed()
    return _ProbeResult.TAKES
