"""One try of a request at one upstream, as a tagged result.

An attempt never raises for what an upstream does; it says what is known of
the request: whether a byte of it left, and whether the caller has got any
of the answer.
"""

import dataclasses

from lagoonrun_core import outcomes, types
from lagoonrun_http import failure_reasons
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream

_FIRST_SERVER_ERROR = 500

NOT_RUN_HEADER = "X-Not-Run"
"""Set to `true` by an upstream that says it did not run the request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost:
    """The attempt gave no answer that may be delivered.

    Parameters
    ----------
    ran
        `NOT_RUN` where no byte left or the upstream said so, else `UNKNOWN`
        or `FAILED`.
    """

    ran: outcomes.Outcome
    reason: outcomes.Reason
    detail: str
    upstream: types.UpstreamId


def lost_by(
    failure: http_upstream.UpstreamFailure, *, upstream: types.UpstreamId
) -> Lost:
    """Return what a failed exchange says of the request."""
    ran = (
        outcomes.Outcome.UNKNOWN
        if failure.write_attempted
        else outcomes.Outcome.NOT_RUN
    )
    return Lost(
        ran=ran,
        reason=failure_reasons.REASONS_BY_STAGE[failure.stage],
        detail=failure.detail,
        upstream=upstream,
    )


def not_run_by(
    head: http_messages.ResponseHead, *, upstream: types.UpstreamId
) -> Lost:
    """Return the loss of a request that the upstream did not run."""
    return Lost(
        ran=outcomes.Outcome.NOT_RUN,
        reason=outcomes.Reason.UPSTREAM_REFUSED,
        detail=f"the upstream answered {head.status}: not run",
        upstream=upstream,
    )


def failed_by(
    head: http_messages.ResponseHead, *, upstream: types.UpstreamId
) -> Lost:
    """Return the loss of a request that the upstream failed to answer."""
    return Lost(
        ran=outcomes.Outcome.FAILED,
        reason=outcomes.Reason.UPSTREAM_REFUSED,
        detail=f"the upstream answered {head.status}",
        upstream=upstream,
    )


def says_failed(head: http_messages.ResponseHead) -> bool:
    """Return whether the upstream says that it failed."""
    return head.status >= _FIRST_SERVER_ERROR


def says_not_run(head: http_messages.ResponseHead) -> bool:
    """Return whether the upstream says by protocol that it ran nothing."""
    return head.headers.get(NOT_RUN_HEADER, "").lower() == "true"
