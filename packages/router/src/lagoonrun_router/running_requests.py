"""The requests of this entry VM that run, or recently ran, at each upstream."""

import collections
import dataclasses
import enum

from lagoonrun_core import types
from lagoonrun_router import upstreams

SUSPECT_SECONDS = 1.0
"""How long after its end a broken or abandoned run is still a suspect for a
crash that is noticed only now: the time of a connection attempt, and of the
report about it to other entry VMs."""


_MAX_CLOSED = 1024
"""Maximum number of closed runs that wait for a crash to be noticed."""


class RunEnd(enum.Enum):
    """How a run ended, as seen by this entry VM."""

    ANSWERED = "answered"
    """The caller has the complete answer."""

    CLOSED = "closed"
    """The caller has an answer that ended with the connection: complete, unless
    the upstream crashed at that moment."""

    FAILED = "failed"
    """The upstream is alive: it answered with an error, or not in time."""

    BROKEN = "broken"
    """The connection ended before the answer was complete."""

    ABANDONED = "abandoned"
    """The caller left; the upstream may have continued the run."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamInstance:
    """One process of an upstream, which may restart under the same id.

    Parameters
    ----------
    start
        Start number of the process.
    """

    upstream: types.UpstreamId
    start: types.UpstreamStart


def instance_of(upstream: upstreams.Registration) -> UpstreamInstance:
    """Return the instance that a registration describes."""
    return UpstreamInstance(upstream=upstream.id, start=upstream.start)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectRequest:
    """A request that ran at an upstream when it crashed.

    Parameters
    ----------
    route
        Name of its route, for operators.
    silent
        Whether no part of its answer had arrived.
    parts
        Parts of its prompt.
    version
        Software version of the upstream.
    ran_seconds
        Time from the write of the request to the crash.
    """

    digest: types.RequestDigest
    route: str
    silent: bool = True
    parts: tuple[types.PromptPartDigest, ...] = ()
    version: str = ""
    ran_seconds: float = 0.0


@dataclasses.dataclass(kw_only=True, eq=False)
class Run:
    """A request that was written to an upstream.

    Parameters
    ----------
    instance
        The upstream instance that runs it.
    begun_at
        Reading of the clock when it was written.
    ended_at
        Reading of the clock when it was broken or abandoned; None while it
        runs.
    parts
        Parts of its prompt.
    version
        Software version of the upstream.

    Attributes
    ----------
    silent
        Whether no part of its answer has arrived yet.
    """

    digest: types.RequestDigest
    route: str
    instance: UpstreamInstance
    begun_at: float
    ended_at: float | None = None
    silent: bool = True
    parts: tuple[types.PromptPartDigest, ...] = ()
    version: str = ""


class RunningRequests:
    """Runs by upstream instance, in progress or recently ended."""

    def __init__(self) -> None:
        self._runs_by_instance: dict[UpstreamInstance, list[Run]] = {}
        self._closed: collections.deque[Run] = collections.deque(
            maxlen=_MAX_CLOSED
        )

    def begin(
        self,
        digest: types.RequestDigest,
        *,
        route: str,
        instance: UpstreamInstance,
        now: float,
        parts: tuple[types.PromptPartDigest, ...] = (),
        version: str = "",
    ) -> Run:
        """Record that a request is about to be written to an upstream."""
        run = Run(
            digest=digest,
            route=route,
            instance=instance,
            begun_at=now,
            parts=parts,
            version=version,
        )
        self._runs_by_instance.setdefault(instance, []).append(run)
        return run

    def end(self, run: Run, end: RunEnd, *, now: float) -> None:
        """Record how a run ended."""
        if end is RunEnd.CLOSED:
            self._closed.append(run)
        if end in (RunEnd.BROKEN, RunEnd.ABANDONED, RunEnd.CLOSED):
            run.ended_at = now
        else:
            self._remove(run)
        self._remove_expired_at(run.instance, now)

    def suspects_at(
        self, instance: UpstreamInstance, *, now: float
    ) -> frozenset[SuspectRequest]:
        """Return the requests that run, or recently ran, at an upstream."""
        self._remove_expired_at(instance, now)
        runs = self._runs_by_instance.get(instance, ())
        return frozenset(
            SuspectRequest(
                digest=run.digest,
                route=run.route,
                silent=run.silent,
                parts=run.parts,
                version=run.version,
                ran_seconds=(now if run.ended_at is None else run.ended_at)
                - run.begun_at,
            )
            for run in runs
        )

    def pop_answered(self, *, now: float) -> tuple[Run, ...]:
        """Remove and return closed runs that ended before any crash."""
        answered = []
        while self._closed and now - self._closed[0].ended_at > SUSPECT_SECONDS:
            answered.append(self._closed.popleft())
        return tuple(answered)

    @property
    def upstreams(self) -> int:
        """Number of upstream instances with stored runs."""
        return len(self._runs_by_instance)

    def remove_expired(self, *, now: float) -> None:
        """Remove runs that ended too long ago, of all upstreams."""
        for instance in tuple(self._runs_by_instance):
            self._remove_expired_at(instance, now)

    def _remove(self, run: Run) -> None:
        runs = self._runs_by_instance.get(run.instance)
        if runs and run in runs:
            runs.remove(run)

    def _remove_expired_at(
        self, instance: UpstreamInstance, now: float
    ) -> None:
        runs = [
            run
            for run in self._runs_by_instance.get(instance, ())
            if run.ended_at is None or now - run.ended_at <= SUSPECT_SECONDS
        ]
        if runs:
            self._runs_by_instance[instance] = runs
        else:
            self._runs_by_instance.pop(instance, None)
