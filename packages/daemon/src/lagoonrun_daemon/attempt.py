"""Results of one attempt to send a request to one upstream.

An attempt does not raise for failures of the upstream. Its result states
whether any byte of the request was sent and whether the caller got any part of
the response.
"""

import dataclasses

from lagoonrun_core import outcomes, types
from lagoonrun_http import failure_reasons
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream

_FIRST_SERVER_ERROR = 500

NOT_RUN_HEADER = "X-Not-Run"
"""Set to `true` by an upstream that did not run the request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost:
    """The attempt yielded no response that may be delivered.

    Parameters
    ----------
    ran
        `NOT_RUN` if no byte was sent or the upstream reported it, `PARTIAL`
        for a stream that broke off, else `UNKNOWN` or `FAILED`.
    """

    ran: outcomes.Outcome
    reason: outcomes.Reason
    detail: str
    upstream: types.UpstreamId


def lost_by(
    failure: http_upstream.UpstreamFailure, *, upstream: types.UpstreamId
) -> Lost:
    """Return the loss that results from a failed exchange."""
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
    """Return the loss of a request that failed at the upstream."""
    return Lost(
        ran=outcomes.Outcome.FAILED,
        reason=outcomes.Reason.UPSTREAM_REFUSED,
        detail=f"the upstream answered {head.status}",
        upstream=upstream,
    )


def says_failed(head: http_messages.ResponseHead) -> bool:
    """Return whether the response reports a server error."""
    return head.status >= _FIRST_SERVER_ERROR


def says_not_run(head: http_messages.ResponseHead) -> bool:
    """Return whether the response states that the request was not run."""
    return head.headers.get(NOT_RUN_HEADER, "").lower() == "true"
