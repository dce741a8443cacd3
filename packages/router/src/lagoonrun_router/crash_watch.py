"""Detect crashes of upstreams, and the requests that ran there.

A broken connection may be due to a crash of the upstream, or the connection
alone was reset, cut or closed by a fault. A probe connection distinguishes
them: the port of a process that has exited refuses connections, a running
process accepts them, and behind a network partition nothing answers. So a
broken request is followed by one probe. A link may also refuse connections in
the name of a process that runs; so another entry VM is asked too. The next
process at the address may accept the probe: then the crash is noticed by what
that process says, that it has another id or start number. An upstream that was
leaving has stopped as planned and has not crashed.
"""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import logging
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, outcomes, types
from lagoonrun_router import (
    attempt_result,
    metrics,
    running_requests,
    upstream_successors,
    upstreams,
)

_PROBE_TIMEOUT_SECONDS = 0.4
"""Timeout of a probe, the connection timeout of requests: a hundred round
trips."""

_CRASHED_RECENTLY_SECONDS = 5.0
"""Time after a crash in which the upstream's entry may still be that of the
crashed process: it expires after three heartbeats."""

_MAX_REMEMBERED_CRASHES = 256
"""Maximum number of crashed instances that are not probed again; more than can
crash in the seconds in which their requests break."""


_SUCCESSOR_SECONDS = 5.0
"""Time after a broken request in which the next process at the address of its
upstream may become known: it registers once it has started."""

_MAX_UNEXPLAINED = 256
"""Maximum number of upstreams with broken requests that may yet prove to have
been replaced."""

_MAX_LOGGED_PARTS = 32
_MAX_LOGGED_AGES = 16


class CrashListener(Protocol):
    """Receives each crash that this entry VM detects."""

    def __call__(
        self,
        instance: running_requests.UpstreamInstance,
        requests: frozenset[running_requests.SuspectRequest],
        *,
        at: float,
    ) -> None:
        """Receive the requests of this entry VM that ran there, if any.

        Parameters
        ----------
        at
            Monotonic time at which the first of them broke.
        """


class AnswerListener(Protocol):
    """Receives each request that an upstream has answered completely."""

    def __call__(self, run: running_requests.Run) -> None:
        """Receive an answered request."""


class UpstreamReach(Protocol):
    """Tells whether other entry VMs reach an upstream."""

    async def is_reached_by_others(
        self, upstream: upstreams.Registration
    ) -> bool:
        """Return whether another entry VM can connect to `upstream`."""


class _ProbeResult(enum.Enum):
    """Result of a probe connection."""

    REFUSES = "refuses"
    TAKES = "takes"
    SILENT = "silent"


@dataclasses.dataclass(kw_only=True)
class _BrokenRuns:
    """Requests that broke at an upstream, whether or not it has crashed."""

    at: float
    requests: frozenset[running_requests.SuspectRequest]


class CrashWatch:
    """Tracks requests of this entry VM and probes after broken ones.

    Parameters
    ----------
    directory
        The upstreams.
    counters
        Metrics; counts crashes.
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
        self._probes_by_instance: dict[
            running_requests.UpstreamInstance, asyncio.Task[None]
        ] = {}
        self._crashed_at: dict[running_requests.UpstreamInstance, float] = {}
        self._successors = upstream_successors.UpstreamSuccessors(
            directory=directory
        )
        self._replaced_at: dict[running_requests.UpstreamInstance, float] = {}
        self._broken_by_instance: dict[
            running_requests.UpstreamInstance, _BrokenRuns
        ] = {}
        self.on_crash: CrashListener | None = None
        self.on_answer: AnswerListener | None = None
        self.reach: UpstreamReach | None = None

    async def close(self) -> None:
        """Cancel the running probes."""
        probes = tuple(self._probes_by_instance.values())
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)

    @property
    def probed_instances(self) -> frozenset[running_requests.UpstreamInstance]:
        """Upstream instances that are being probed."""
        return frozenset(self._probes_by_instance)

    def may_have_restarted(self, upstream: upstreams.Registration) -> bool:
        """Return whether a process of another version may answer there.

        Only an upstream that states start numbers can restart under its id;
        requests to others name an id that the next process does not have.
        """
        if upstream.start == types.UNKNOWN_UPSTREAM_START:
            return False
        instance = running_requests.instance_of(upstream)
        crashed_at = self._crashed_at.get(instance, float("-inf"))
        return self._clock.monotonic() - crashed_at < _CRASHED_RECENTLY_SECONDS

    # Requests of this entry VM.

    def begin(
        self,
        digest: types.RequestDigest,
        *,
        route: str,
        upstream: upstreams.Registration,
        parts: tuple[types.PromptPartDigest, ...] = (),
    ) -> running_requests.Run:
        """Record that a request is about to be written to an upstream."""
        return self._running.begin(
            digest,
            route=route,
            instance=running_requests.instance_of(upstream),
            now=self._clock.monotonic(),
            parts=parts,
            version=upstream.version,
        )

    def end(
        self,
        run: running_requests.Run,
        result: attempt_result.Result | None,
        upstream: upstreams.Registration,
    ) -> None:
        """Record the result of a request that was written.

        Parameters
        ----------
        result
            Result of the attempt; None if the caller disconnected.
        """
        end = _run_end_of(result)
        now = self._clock.monotonic()
        self._running.end(run, end, now=now)
        if end is running_requests.RunEnd.ANSWERED:
            self._forget_broken_before(run)
            self._report_answer(run)
        if end is running_requests.RunEnd.BROKEN:
            self._record_broken(run.instance, upstream, now)

    def observe_upstreams(self) -> None:
        """Record crashes of upstreams whose successors have registered."""
        for instance in self._successors.observe(now=self._clock.monotonic()):
            self._record_replaced(instance)

    def record_misdirected(self, upstream: upstreams.Registration) -> None:
        """Record that another process answered in place of an upstream.

        Call it before the directory is told that the upstream is gone.
        """
        if self._directory.is_serving(upstream.id):
            self._record_replaced(running_requests.instance_of(upstream))

    def check_refusal(self, upstream: upstreams.Registration) -> None:
        """Check whether an upstream that refuses a connection has crashed.

        Its last answers may have ended with their connections, so that none of
        its requests seemed to break.
        """
        instance = running_requests.instance_of(upstream)
        if self.suspects_at(instance) and self._directory.is_serving(
            upstream.id
        ):
            self._start_probe(instance, upstream)

    def remove_expired_runs(self) -> None:
        """Drop runs that ended too long ago to be suspects."""
        now = self._clock.monotonic()
        self._running.remove_expired(now=now)
        for instance, broken in tuple(self._broken_by_instance.items()):
            if now - broken.at > _SUCCESSOR_SECONDS:
                del self._broken_by_instance[instance]
        for run in self._running.pop_answered(now=now):
            if run.instance not in self._crashed_at:
                self._report_answer(run)

    # Crashes detected by others.

    def suspects_at(
        self, instance: running_requests.UpstreamInstance
    ) -> frozenset[running_requests.SuspectRequest]:
        """Return the requests of this entry VM that ran at a crashed upstream.

        For crashes detected by another entry VM: here no request may have
        broken, because callers disconnected before.
        """
        return self._running.suspects_at(instance, now=self._clock.monotonic())

    # Helpers.

    def _report_answer(self, run: running_requests.Run) -> None:
        if self.on_answer is not None:
            self.on_answer(run)

    def _record_broken(
        self,
        instance: running_requests.UpstreamInstance,
        upstream: upstreams.Registration,
        now: float,
    ) -> None:
        is_serving = self._directory.is_serving(instance.upstream)
        replaced_at = self._replaced_at.get(instance, float("-inf"))
        was_replaced = now - replaced_at < _SUCCESSOR_SECONDS
        if not (
            is_serving
            or was_replaced
            or self._successors.was_serving_lately(upstream, now=now)
        ):
            return
        broken = self._broken_by_instance.setdefault(
            instance,
            _BrokenRuns(at=now, requests=frozenset()),
        )
        if now - broken.at > running_requests.SUSPECT_SECONDS:
            broken.at = now
        broken.requests = self.suspects_at(instance)
        while len(self._broken_by_instance) > _MAX_UNEXPLAINED:
            del self._broken_by_instance[next(iter(self._broken_by_instance))]
        if was_replaced:
            self._record_crash(instance, upstream.pool)
        elif is_serving:
            self._start_probe(instance, upstream)

    def _forget_broken_before(self, answered: running_requests.Run) -> None:
        """Forget broken requests whose upstream has answered another since.

        A crash would have broken all that it ran.
        """
        broken = self._broken_by_instance.get(answered.instance)
        if broken is not None and answered.begun_at < broken.at:
            del self._broken_by_instance[answered.instance]

    def _record_replaced(
        self, instance: running_requests.UpstreamInstance
    ) -> None:
        now = self._clock.monotonic()
        self._replaced_at.pop(instance, None)
        self._replaced_at[instance] = now
        while len(self._replaced_at) > _MAX_REMEMBERED_CRASHES:
            del self._replaced_at[next(iter(self._replaced_at))]
        broken = self._broken_by_instance.get(instance)
        pool = self._directory.pool_of(instance.upstream)
        if broken is not None and now - broken.at <= _SUCCESSOR_SECONDS:
            self._record_crash(instance, pool or types.PoolName(""))

    def _start_probe(
        self,
        instance: running_requests.UpstreamInstance,
        upstream: upstreams.Registration,
    ) -> None:
        # One probe per instance, whichever of its requests breaks first.
        if (
            instance not in self._probes_by_instance
            and instance not in self._crashed_at
        ):
            self._probes_by_instance[instance] = asyncio.create_task(
                self._probe(instance, upstream)
            )

    async def _probe(
        self,
        instance: running_requests.UpstreamInstance,
        upstream: upstreams.Registration,
    ) -> None:
        try:
            if await self._has_crashed(upstream):
                self._record_crash(instance, upstream.pool)
        finally:
            del self._probes_by_instance[instance]

    async def _has_crashed(self, upstream: upstreams.Registration) -> bool:
        result = await _connect(upstream.host, upstream.port)
        if result is not _ProbeResult.REFUSES:
            return False
        if self.reach is None:
            return True
        return not await self.reach.is_reached_by_others(upstream)

    def _record_crash(
        self,
        instance: running_requests.UpstreamInstance,
        pool: types.PoolName,
    ) -> None:
        if instance in self._crashed_at:
            return
        requests = self.suspects_at(instance)
        at = self._clock.monotonic()
        broken = self._broken_by_instance.pop(instance, None)
        if broken is not None:
            known = {one.digest for one in requests}
            requests |= {
                one for one in broken.requests if one.digest not in known
            }
            at = broken.at
        self._remember(instance)
        self._metrics.upstream_crashes.labels(pool).inc()
        logs.emit(
            events.LogEvent.UPSTREAM_CRASHED,
            level=logging.WARNING,
            upstream=instance.upstream,
            start=instance.start,
            pool=pool,
            requests=sorted(one.digest for one in requests),
            silent=sorted(one.digest for one in requests if one.silent),
            parts=_most_common_parts(requests),
            ran_seconds=_youngest(requests),
        )
        if self.on_crash is not None:
            self.on_crash(instance, requests, at=at)

    def _remember(self, instance: running_requests.UpstreamInstance) -> None:
        self._crashed_at[instance] = self._clock.monotonic()
        while len(self._crashed_at) > _MAX_REMEMBERED_CRASHES:
            del self._crashed_at[next(iter(self._crashed_at))]


def _most_common_parts(
    requests: frozenset[running_requests.SuspectRequest],
) -> dict[types.PromptPartDigest, int]:
    """Return in how many of the requests the parts are, for the log."""
    counts = collections.Counter(part for one in requests for part in one.parts)
    return dict(counts.most_common(_MAX_LOGGED_PARTS))


def _youngest(
    requests: frozenset[running_requests.SuspectRequest],
) -> dict[types.RequestDigest, float]:
    """Return for how long the requests that began last had run, for the log."""
    ascending = sorted(requests, key=lambda one: one.ran_seconds)
    return {
        one.digest: round(one.ran_seconds, 3)
        for one in ascending[:_MAX_LOGGED_AGES]
    }


def _run_end_of(
    result: attempt_result.Result | None,
) -> running_requests.RunEnd:
    if result is None:
        return running_requests.RunEnd.ABANDONED
    if isinstance(result, attempt_result.Delivered):
        if result.ending.outcome is outcomes.Outcome.COMPLETE:
            if result.ended_by_close:
                return running_requests.RunEnd.CLOSED
            return running_requests.RunEnd.ANSWERED
        return running_requests.RunEnd.FAILED
    if result.silent:
        # Its connection was sound; like a run whose caller has left, it may
        # have run at an upstream that crashes a moment later.
        return running_requests.RunEnd.ABANDONED
    if result.sent and result.reason is outcomes.Reason.UPSTREAM_CLOSED:
        return running_requests.RunEnd.BROKEN
    return running_requests.RunEnd.FAILED


async def _connect(host: str, port: int) -> _ProbeResult:
    """Return how an address responds to a connection."""
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
        # The peer may reset the connection that it has just accepted.
        await writer.wait_closed()
    return _ProbeResult.TAKES
