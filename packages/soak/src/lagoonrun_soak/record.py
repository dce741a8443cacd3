"""History of a soak: requests, runs, notices, disturbances and changes."""

import bisect
import collections
import dataclasses
import time

from lagoonrun_core import types
from lagoonrun_soak import notices

STORE = "store"
"""Subject of faults of the store itself."""

SILENCE = "silence"
"""Subject of silences of upstreams."""


@dataclasses.dataclass(kw_only=True)
class CallerRequest:
    """A request of a caller and its response.

    Parameters
    ----------
    key_revision
        Revision that added the key; 0 for the key that every revision has.
    boot
        Start number of the entry VM's process that received it.
    status
        Status of the response; 0 for no response.
    whole
        Whether the response is complete.
    genuine
        Whether the response's headers show that an upstream made it.
    reason
        Reason that the router gives for a response of its own.
    organisation
        Organisation of the caller.
    crashing_request
        Name of the crashing request that this one repeats; empty for any
        other.
    crashing_part
        Id of the part of its prompt that crashes upstreams; empty for any
        other.
    resumes, resumes_after
        Request that brought the first event of the stream that this one takes
        up, and the last event that arrived; empty and 0 for a new stream.
    """

    id: str
    organisation: types.OrganisationId
    kind: str
    vm: str
    boot: int
    key_revision: int
    sent_at: float
    ended_at: float | None = None
    status: int = 0
    body: bytes = b""
    whole: bool = False
    genuine: bool = False
    reason: str = ""
    crashing_request: str = ""
    crashing_part: str = ""
    resumes: str = ""
    resumes_after: int = 0


@dataclasses.dataclass(kw_only=True)
class Service:
    """An interval in which an upstream serves with a version."""

    pool: types.PoolName
    version: types.UpstreamVersion
    start: float
    end: float = float("inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """The start of a request's execution at an upstream."""

    id: str
    upstream: types.UpstreamId
    at: float
    kind: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Disturbance:
    """An interval in which a fault affected a subject."""

    start: float
    end: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Burst:
    """An interval in which an organisation sends many times its usual."""

    organisation: types.OrganisationId
    start: float
    end: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cut:
    """An interval in which an entry VM was cut from all upstreams."""

    vm: str
    start: float
    end: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crowd:
    """An interval in which an entry VM gets most new connections."""

    vm: str
    start: float
    end: float


@dataclasses.dataclass(kw_only=True)
class History:
    """Everything that the checks use; times are of one monotonic clock.

    Parameters
    ----------
    bursts
        Bursts of callers, which `disturbances_by_subject` does not hold.
    cuts
        Entry VMs that were cut from all upstreams.
    services_by_upstream
        When each upstream serves, and at which version.
    unfinished_faults
        Faults that were active at the end of the soak. Some kinds record their
        disturbance only when they end.
    """

    requests_by_id: dict[str, CallerRequest] = dataclasses.field(
        default_factory=dict
    )
    runs_by_id: dict[str, list[Run]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    disturbances_by_subject: dict[str, list[Disturbance]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    left_at_by_upstream: dict[types.UpstreamId, float] = dataclasses.field(
        default_factory=dict
    )
    declared_at_by_revision: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    stop_times_by_vm: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    sent_notices: list[notices.SentNotice] = dataclasses.field(
        default_factory=list
    )
    arrivals: list[notices.Arrival] = dataclasses.field(default_factory=list)
    bursts: list[Burst] = dataclasses.field(default_factory=list)
    cuts: list[Cut] = dataclasses.field(default_factory=list)
    crowds: list[Crowd] = dataclasses.field(default_factory=list)
    services_by_upstream: dict[types.UpstreamId, Service] = dataclasses.field(
        default_factory=dict
    )
    unfinished_faults: list[Disturbance] = dataclasses.field(
        default_factory=list
    )
    faults: list[str] = dataclasses.field(default_factory=list)

    def record_disturbance(
        self, subject: str, start: float, end: float
    ) -> None:
        """Record that a fault affects a subject from start to end."""
        self.disturbances_by_subject[subject].append(
            Disturbance(start=start, end=end)
        )

    def record_end_of_service(self, upstream: types.UpstreamId) -> None:
        """Record that an upstream leaves or crashes."""
        service = self.services_by_upstream[upstream]
        service.end = min(service.end, time.monotonic())

    def is_undisturbed(self, subject: str, start: float, end: float) -> bool:
        """Return whether no fault affected a subject from start to end."""
        return not any(
            disturbance.start <= end and disturbance.end >= start
            for disturbance in self.disturbances_by_subject[subject]
        )

    def revision_at(self, now: float) -> int:
        """Return the newest revision that the store had acknowledged."""
        revisions = sorted(self.declared_at_by_revision)
        times = [
            self.declared_at_by_revision[revision] for revision in revisions
        ]
        count = bisect.bisect_right(times, now)
        return revisions[count - 1] if count else 0
