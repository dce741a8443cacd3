"""One send of a request to one upstream, as a tagged result."""

import dataclasses

from lagoonrun_core import outcomes, types
from lagoonrun_http import failure_reasons
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delivered:
    """The caller has an answer of the upstream, whole or as far as it came."""

    ending: outcomes.Ending


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost:
    """The attempt ended without an answer that may be delivered to its end.

    Parameters
    ----------
    ran
        `NOT_RUN` where no byte left or the upstream said so, else `UNKNOWN`,
        `FAILED`, or `PARTIAL` where the caller has part of the answer.
    sent
        Whether a byte of the request may have reached the upstream.
    elsewhere
        Whether another process has the upstream's address now.
    answer
        The upstream's own answer, where it is a whole one that tells of a
        failure: the caller gets it if there is no other attempt.
    """

    ran: outcomes.Outcome
    reason: outcomes.Reason
    detail: str
    upstream: types.UpstreamId
    sent: bool = True
    misdirected: bool = False
    answer: "WholeAnswer | None" = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class WholeAnswer:
    """An upstream's answer that has arrived to its end."""

    head: http_messages.ResponseHead
    body: bytes


Result = Delivered | Lost


def lost_by(
    failure: http_upstream.UpstreamFailure, *, upstream: types.UpstreamId
) -> Lost:
    """Return what a failed exchange says of the request."""
    ran = (
        outcomes.Outcome.UNKNOWN
        if failure.bytes_left
        else outcomes.Outcome.NOT_RUN
    )
    return Lost(
        ran=ran,
        reason=failure_reasons.REASONS_BY_STAGE[failure.stage],
        detail=failure.detail,
        upstream=upstream,
        sent=failure.bytes_left,
    )
