"""Calls to the platform that only the holder of a duty makes, as a `Protocol`.

The platform checks nothing that would keep a second holder out, and answers
nothing that could be read back; so whoever calls has to know that it is the only
one, and what was said before.
"""

import dataclasses
import enum
import math
from collections.abc import Mapping
from typing import NewType, Protocol

from lagoonrun_core import types

UsageWindow = NewType("UsageWindow", int)
"""Number of a window of true time, counted from the Unix epoch."""


class Duty(enum.Enum):
    """A kind of call that only one entry VM makes at a time."""

    USAGE = "usage"
    RUNNERS = "runners"


class RunnerKind(enum.Enum):
    """How a runner is paid for."""

    LASTING = "lasting"
    RECLAIMABLE = "reclaimable"
    """Cheap, and may be taken away at any time, all of a domain at once."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DutySettings:
    """What a process is told about the duties of its deployment.

    Parameters
    ----------
    duties
        Those that the platform asks for.
    window_seconds
        Length of a window of usage.
    report_deadline_seconds
        Time after the end of a window until its report is due.
    reacquire_delay_seconds
        Time within which two holders must not take turns.
    """

    duties: frozenset[Duty]
    window_seconds: float
    report_deadline_seconds: float
    reacquire_delay_seconds: float

    def window_at(self, at: float) -> UsageWindow:
        """Return the window of an instant of true time."""
        return UsageWindow(math.floor(at / self.window_seconds))


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageReport:
    """Requests that began to run in one window, by organisation."""

    window: UsageWindow
    count_by_organisation: Mapping[types.OrganisationId, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunnerOrder:
    """How many runners of one kind a pool is to have in a failure domain."""

    pool: types.PoolName
    domain: types.FailureDomain
    kind: RunnerKind
    count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The platform has taken the call."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoneAvailable:
    """The platform has no more runners of this kind there at the moment."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The platform did not take the call, and nothing came of it."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unanswered:
    """Nobody knows whether the platform took the call."""

    detail: str


CallResult = Accepted | NoneAvailable | Refused | Unanswered


class DutyPlatform(Protocol):
    """The platform's side of the duties.

    No method raises for a fault of the platform or the network.
    """

    async def report_usage(
        self, report: UsageReport, *, fencing: types.FencingNumber
    ) -> CallResult:
        """Say how many requests began to run in a window."""

    async def order_runners(
        self, order: RunnerOrder, *, fencing: types.FencingNumber
    ) -> CallResult:
        """Ask for a number of runners; it replaces the number before."""


CALL_SECONDS = 0.6
"""Longest time of one call. The platform answers in 4 ms, and in 0.25 s when it is
slow; a call is begun only where the tenure surely lasts longer than this, so that
none arrives in the time of the next holder."""
