"""Outcomes of requests, as reported to callers and in log lines."""

import dataclasses
import enum

from lagoonrun_core import types


class Outcome(enum.Enum):
    """Outcome of a request; the value of the `Lagoonrun-Outcome` header.

    `NOT_RUN` is a guarantee: no byte of the request was sent to an upstream,
    or the upstream reported that it did not run the request.
    """

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    PARTIAL = "partial"


class Reason(enum.Enum):
    """Why a request was refused, cut or not completed."""

    NONE = "none"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    SHED_FOR_HIGHER_TIER = "shed-for-higher-tier"
    NO_UPSTREAM = "no-upstream"
    NO_DISPATCHER = "no-dispatcher"
    NOT_MINE = "not-mine"
    RETRY_BUDGET = "retry-budget"
    STOPPING = "stopping"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    CLAIM_TAKEN = "claim-taken"
    CALLER_LEFT = "caller-left"
    CUT_FOR_HIGHER_TIER = "cut-for-higher-tier"
    UPSTREAM_REFUSED = "upstream-refused"
    OVERLOADED = "overloaded"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_CONNECT = "upstream-connect"
    UPSTREAM_CLOSED = "upstream-closed"
    UPSTREAM_TIMEOUT = "upstream-timeout"
    UPSTREAM_MISMATCH = "upstream-mismatch"
    UPSTREAM_PROTOCOL = "upstream-protocol"
    UNCONFIGURED = "unconfigured"
    CRASHED_UPSTREAMS = "crashed-upstreams"
    UPSTREAMS_LIMITED = "upstreams-limited"
    UPSTREAMS_RESTING = "upstreams-resting"
    VERSION_GONE = "version-gone"
    VERSION_UNKNOWN = "version-unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ending:
    """How one request ended.

    Parameters
    ----------
    outcome
        Outcome reported to the caller.
    reason
        Cause; `Reason.NONE` for a complete answer.
    retry_after_seconds
        Time after which the caller should retry; 0 if there is none.
    detail
        One sentence for people; must not contain prompt text or keys.
    upstream
        Upstream that ran the request; None if there is none.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    retry_after_seconds: float = 0.0
    detail: str = ""
    upstream: types.UpstreamId | None = None
