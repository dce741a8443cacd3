"""Which requests of this entry VM run at each upstream, and which did lately."""

import dataclasses
import enum

from lagoonrun_core import types
from lagoonrun_router import upstreams

SUSPECT_SECONDS = 1.0
"""How long a broken or abandoned run may have been ended by a crash that is only
noticed now: a connection attempt, and the news of it at other entry VMs."""


class RunEnd(enum.Enum):
    """How the run of a request at an upstream ended, as seen from here."""

    ANSWERED = "answered"
    """The caller has the whole answer."""

    FAILED = "failed"
    """The upstream lives: it answered something else, or not in time."""

    BROKEN = "broken"
    """The connection ended before the answer did."""

    ABANDONED = "abandoned"
    """The caller left; the upstream may have gone on with it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamInstance:
    """One start of an upstream: it may start again under its id."""

    upstream: types.UpstreamId
    start: types.UpstreamStart


def instance_of(upstream: upstreams.Registration) -> UpstreamInstance:
    """Return the start of an upstream that a registration is of."""
    return UpstreamInstance(upstream=upstream.id, start=upstream.start)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectRequest:
    """A request as those who look into a crash know it.

    Parameters
    ----------
    route
        Name of its route, for operators.
    silent
        Whether nothing of its answer had come.
    """

    digest: types.RequestDigest
    route: str
    silent: bool = True


@dataclasses.dataclass(kw_only=True, eq=False)
class Run:
    """A request that was written to an upstream.

    Parameters
    ----------
    at
        Where it runs.
    ended_at
        Reading of the clock when it was broken off or abandoned; None while
        it runs.

    Attributes
    ----------
    silent
        Whether nothing of its answer has come yet.
    """

    digest: types.RequestDigest
    route: str
    at: UpstreamInstance
    ended_at: float | None = None
    silent: bool = True


class RunningRequests:
    """Runs by upstream: those under way, and those that ended a moment ago."""

    def __init__(self) -> None:
        self._runs_by_upstream: dict[UpstreamInstance, list[Run]] = {}

    def begin(
        self, digest: types.RequestDigest, *, route: str, at: UpstreamInstance
    ) -> Run:
        """Note that a request is about to be written to an upstream."""
        run = Run(digest=digest, route=route, at=at)
        self._runs_by_upstream.setdefault(at, []).append(run)
        return run

    def end(self, run: Run, end: RunEnd, *, now: float) -> None:
        """Note how a run ended."""
        if end in (RunEnd.BROKEN, RunEnd.ABANDONED):
            run.ended_at = now
        else:
            self._remove(run)
        self._forget_old(run.at, now)

    def suspects_at(
        self, at: UpstreamInstance, *, now: float
    ) -> frozenset[SuspectRequest]:
        """Return the requests that ran at an upstream a moment ago."""
        self._forget_old(at, now)
        runs = self._runs_by_upstream.get(at, ())
        return frozenset(
            SuspectRequest(
                digest=run.digest, route=run.route, silent=run.silent
            )
            for run in runs
        )

    @property
    def upstreams(self) -> int:
        """Upstreams of which anything is kept."""
        return len(self._runs_by_upstream)

    def forget_old(self, *, now: float) -> None:
        """Forget what ended too long ago, at all upstreams."""
        for at in tuple(self._runs_by_upstream):
            self._forget_old(at, now)

    def _remove(self, run: Run) -> None:
        runs = self._runs_by_upstream.get(run.at)
        if runs and run in runs:
            runs.remove(run)

    def _forget_old(self, at: UpstreamInstance, now: float) -> None:
        runs = [
            run
            for run in self._runs_by_upstream.get(at, ())
            if run.ended_at is None or now - run.ended_at <= SUSPECT_SECONDS
        ]
        if runs:
            self._runs_by_upstream[at] = runs
        else:
            self._runs_by_upstream.pop(at, None)
