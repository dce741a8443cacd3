"""The result of one attempt to get an answer from one upstream."""

import dataclasses

from lagoonrun_core import outcomes, types
from lagoonrun_http import failure_reasons
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delivered:
    """The upstream's answer was delivered, complete or as far as it arrived.

    Parameters
    ----------
    ended_by_close
        Whether only the end of the connection marked the end of the answer, as
        a crash of the upstream does too.
    """

    ending: outcomes.Ending
    ended_by_close: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost:
    """The attempt failed: it ended without a complete answer to deliver.

    Parameters
    ----------
    ran
        `NOT_RUN` if no byte was sent or the upstream states that it did not
        run the request, else `UNKNOWN`, `FAILED`, or `PARTIAL` if the caller
        has part of the answer.
    sent
        Whether a byte of the request may have reached the upstream.
    misdirected
        Whether another process has the upstream's address now.
    answer
        The upstream's own complete error response, if any; the caller gets it
        if there is no other attempt.
    silent
        Whether it was given up because nothing arrived.
    """

    ran: outcomes.Outcome
    reason: outcomes.Reason
    detail: str
    upstream: types.UpstreamId
    sent: bool = True
    misdirected: bool = False
    answer: "WholeAnswer | None" = None
    silent: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class WholeAnswer:
    """An upstream's answer that has arrived completely."""

    head: http_messages.ResponseHead
    body: bytes


Result = Delivered | Lost


def lost_from_failure(
    failure: http_upstream.UpstreamFailure, *, upstream: types.UpstreamId
) -> Lost:
    """Return the result of an attempt whose exchange failed."""
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
        sent=failure.write_attempted,
    )
