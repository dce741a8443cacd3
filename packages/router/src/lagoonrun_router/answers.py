"""Answers to callers: the router's own, and those of upstreams passed on."""

import random

from lagoonrun_core import errors, outcomes, types
from lagoonrun_http import errors as http_errors
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import messages as http_messages
from lagoonrun_router import attempt_result

OUTCOME_HEADER = "Lagoonrun-Outcome"
REASON_HEADER = "Lagoonrun-Reason"

_NOT_RUN_STATUS = 503
_TIMEOUT_STATUS = 504
_BROKEN_STATUS = 502
_UNAUTHORIZED_STATUS = 401
_LOWEST_ERROR_STATUS = 400

_RETRY_SECONDS = 0.25
"""Default Retry-After, for causes that are likely to have passed by then.

Runners free slots several times a second, and another entry VM may know of more
free ones. Long compared to a round trip, short compared to the shortest time
limit in use (0.6 s).
"""

_RETRY_JITTER = 0.5
"""Largest random extension of the above, as a fraction of it, so that callers
don't retry at the same moment."""


def retry_after_seconds(
    rng: random.Random, *, remaining_seconds: float
) -> float:
    """Return the Retry-After of a refused request.

    Parameters
    ----------
    remaining_seconds
        Remaining time limit of the request; callers retry within a third of it
        or not at all.
    """
    seconds = _RETRY_SECONDS * (1.0 + _RETRY_JITTER * rng.random())
    return max(0.01, min(seconds, remaining_seconds / 4.0))


def spread_retry_seconds(rng: random.Random, *, wait_seconds: float) -> float:
    """Return a spread Retry-After for capacity that frees up unit by unit.

    Parameters
    ----------
    wait_seconds
        Time until the next unit may be free.
    """
    soonest = max(_RETRY_SECONDS, wait_seconds)
    return soonest * (1.0 + rng.random())


async def end_without_answer(
    exchange: exchanges.Exchange,
    *,
    request_id: types.RequestId,
    ending: outcomes.Ending,
) -> None:
    """Answer that there is no result, and whether the request has run.

    Only an ending `NOT_RUN` becomes 503, which callers take as the promise
    that the request has not run and never will.
    """
    body = http_errors.error_body(
        step=errors.Step.UPSTREAM_READ,
        field="",
        message=ending.detail or ending.reason.value,
        valid="",
    )
    pairs = [
        (OUTCOME_HEADER, ending.outcome.value),
        (REASON_HEADER, ending.reason.value),
        ("Lagoonrun-Request-Id", request_id),
        ("Content-Type", "application/json"),
    ]
    if ending.outcome is outcomes.Outcome.NOT_RUN:
        pairs.append(("Retry-After", f"{ending.retry_after_seconds:.3f}"))
    await exchange.respond(
        status=_status_of(ending),
        headers=http_messages.Headers(pairs=pairs),
        body=body,
    )


async def pass_on(
    exchange: exchanges.Exchange,
    answer: attempt_result.WholeAnswer,
    *,
    upstream: types.UpstreamId,
) -> outcomes.Ending:
    """Pass on an upstream's complete answer; return how the request ended."""
    await exchange.respond(
        status=answer.head.status,
        headers=answer.head.headers,
        body=answer.body,
    )
    if answer.head.status < _LOWEST_ERROR_STATUS:
        return outcomes.Ending(
            outcome=outcomes.Outcome.COMPLETE, upstream=upstream
        )
    return outcomes.Ending(
        outcome=outcomes.Outcome.FAILED,
        reason=outcomes.Reason.UPSTREAM_FAILED,
        upstream=upstream,
    )


async def reject(
    exchange: exchanges.Exchange,
    *,
    status: int,
    step: errors.Step,
    field: str,
    message: str,
    valid: str,
) -> None:
    """Reject an invalid request."""
    body = http_errors.error_body(
        step=step, field=field, message=message, valid=valid
    )
    pairs = [
        (OUTCOME_HEADER, outcomes.Outcome.NOT_RUN.value),
        ("Content-Type", "application/json"),
    ]
    if status == _UNAUTHORIZED_STATUS:
        pairs.append(("WWW-Authenticate", "Bearer"))
    await exchange.respond(
        status=status, headers=http_messages.Headers(pairs=pairs), body=body
    )


def _status_of(ending: outcomes.Ending) -> int:
    if ending.outcome is outcomes.Outcome.NOT_RUN:
        return _NOT_RUN_STATUS
    if ending.reason is outcomes.Reason.DEADLINE:
        return _TIMEOUT_STATUS
    return _BROKEN_STATUS
