"""What callers, upstreams and operators of a soak saw and did."""

import bisect
import collections
import dataclasses

from lagoonrun_core import types
from lagoonrun_soak import notices

STORE = "store"
"""Subject of faults of the store itself."""


@dataclasses.dataclass(kw_only=True)
class CallerRequest:
    """One request of a caller.

    Parameters
    ----------
    key_revision
        Revision that added the key; 0 for the one that is always there.
    boot
        Which start of the entry VM's process it went to.
    status
        0 where there was no answer.
    whole
        Whether the answer came to its end.
    reason
        Why the router has no answer, as it says.
    crashing
        Name of the request that ends upstreams of which this is a copy; empty
        for any other.
    """

    id: str
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One request that an upstream began to run."""

    id: str
    upstream: types.UpstreamId
    at: float
    kind: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Disturbance:
    """A time during which something was not as it should be."""

    start: float
    end: float


@dataclasses.dataclass(kw_only=True)
class History:
    """Everything that the checks rest on; times are of one steady clock."""

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
    faults: list[str] = dataclasses.field(default_factory=list)

    def record_disturbance(
        self, subject: str, start: float, end: float
    ) -> None:
        """Note that a subject is not as it should be from start to end."""
        self.disturbances_by_subject[subject].append(
            Disturbance(start=start, end=end)
        )

    def is_undisturbed(self, subject: str, start: float, end: float) -> bool:
        """Return whether nothing disturbed a subject from start to end."""
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
