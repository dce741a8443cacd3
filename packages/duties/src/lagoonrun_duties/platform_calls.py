"""Calls to the platform that only the holder of a duty makes, as a `Protocol`.

The platform does not reject calls of a second holder, and offers no way to read
back what was sent. So the caller must know that it is the only one, and what
was sent before.
"""

import dataclasses
import enum
import math
from collections.abc import Mapping
from typing import NewType, Protocol

from lagoonrun_core import types

UsageWindow = NewType("UsageWindow", int)
"""Number of a window of wall-clock time, counted from the Unix epoch."""


class Duty(enum.Enum):
    """A kind of call that only one entry VM at a time may make."""

    USAGE = "usage"
    RUNNERS = "runners"


class RunnerKind(enum.Enum):
    """How a runner is billed."""

    LASTING = "lasting"
    RECLAIMABLE = "reclaimable"
    """Cheap (spot), but the platform may reclaim all of a domain at once, at
    any time."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DutySettings:
    """Settings of the duties of a deployment.

    Parameters
    ----------
    duties
        Those that the platform requests.
    window_seconds
        Length of a window of usage.
    report_deadline_seconds
        Time after the end of a window until its report is due.
    reacquire_delay_seconds
        Time within which two holders must not alternate.
    """

    duties: frozenset[Duty]
    window_seconds: float
    report_deadline_seconds: float
    reacquire_delay_seconds: float

    def window_at(self, at: float) -> UsageWindow:
        """Return the window that contains a Unix time."""
        return UsageWindow(math.floor(at / self.window_seconds))


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageReport:
    """Number of requests that started to run in a window, by organisation."""

    window: UsageWindow
    count_by_organisation: Mapping[types.OrganisationId, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunnerOrder:
    """Desired number of runners of one kind of a pool in a failure domain."""

    pool: types.PoolName
    domain: types.FailureDomain
    kind: RunnerKind
    count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The platform accepted the call."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoneAvailable:
    """The platform has no more runners of this kind in this domain for now."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The platform rejected the call, which had no effect."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unanswered:
    """Without a usable response: the call may or may not have been accepted."""

    detail: str


CallResult = Accepted | NoneAvailable | Refused | Unanswered


class DutyPlatform(Protocol):
    """The calls of the platform that the duties make.

    No method raises an exception for a fault of the platform or the network.
    """

    async def report_usage(
        self, report: UsageReport, *, fencing: types.FencingNumber
    ) -> CallResult:
        """Report how many requests started to run in a window."""

    async def order_runners(
        self, order: RunnerOrder, *, fencing: types.FencingNumber
    ) -> CallResult:
        """Order a number of runners, which replaces the previous number."""


CALL_SECONDS = 0.6
"""Time limit of a call. The platform answers in 4 ms, and in 0.25 s when it is
slow. A call is started only if the tenure is certain to last longer than this,
so that none arrives during the next holder's tenure."""
