"""Responses to callers: refusals, rejections and forwarded responses."""

import math

from lagoonrun_core import errors, outcomes, types
from lagoonrun_daemon import resolution
from lagoonrun_http import errors as http_errors
from lagoonrun_http import hop_by_hop
from lagoonrun_http import messages as http_messages
from lagoonrun_http import server as http_server

OUTCOME_HEADER = "Lagoonrun-Outcome"
REQUEST_ID_HEADER = "Lagoonrun-Request-Id"
_REASON_HEADER = "Lagoonrun-Reason"

_STATUS_BY_REASON = {
    outcomes.Reason.QUEUE_FULL: 429,
    outcomes.Reason.DEADLINE: 504,
    outcomes.Reason.CLAIM_TAKEN: 409,
    outcomes.Reason.UPSTREAM_CLOSED: 502,
    outcomes.Reason.UPSTREAM_MISMATCH: 502,
    outcomes.Reason.UPSTREAM_PROTOCOL: 502,
    outcomes.Reason.UPSTREAM_TIMEOUT: 504,
}
_DEFAULT_STATUS = 503

_STEP_BY_REASON = {
    outcomes.Reason.CLAIM_TAKEN: errors.Step.CLAIM,
    outcomes.Reason.CLAIM_UNAVAILABLE: errors.Step.CLAIM,
    outcomes.Reason.UNCONFIGURED: errors.Step.CONFIGURATION,
    outcomes.Reason.UPSTREAM_CONNECT: errors.Step.UPSTREAM_CONNECT,
    outcomes.Reason.UPSTREAM_CLOSED: errors.Step.UPSTREAM_READ,
    outcomes.Reason.UPSTREAM_TIMEOUT: errors.Step.UPSTREAM_READ,
    outcomes.Reason.UPSTREAM_MISMATCH: errors.Step.UPSTREAM_READ,
    outcomes.Reason.UPSTREAM_PROTOCOL: errors.Step.UPSTREAM_READ,
    outcomes.Reason.UPSTREAM_REFUSED: errors.Step.UPSTREAM_READ,
}


def ending_headers(
    request_id: types.RequestId, ending: outcomes.Ending
) -> http_messages.Headers:
    """Return the headers that report how a request ended."""
    headers = http_messages.Headers(
        pairs=[
            (REQUEST_ID_HEADER, request_id),
            (OUTCOME_HEADER, ending.outcome.value),
        ]
    )
    if ending.reason is not outcomes.Reason.NONE:
        headers = headers.with_added(_REASON_HEADER, ending.reason.value)
    if ending.retry_after_seconds > 0:
        # Rounded up to seconds: an earlier retry would be refused again.
        seconds = str(math.ceil(ending.retry_after_seconds))
        headers = headers.with_added("Retry-After", seconds)
    return headers


async def refuse(
    exchange: http_server.Exchange,
    *,
    request_id: types.RequestId,
    ending: outcomes.Ending,
) -> None:
    """Respond to an accepted request that got no upstream response."""
    status = _STATUS_BY_REASON.get(ending.reason, _DEFAULT_STATUS)
    body = http_errors.error_body(
        step=_STEP_BY_REASON.get(ending.reason, errors.Step.PERMIT),
        field="",
        message=ending.detail or ending.reason.value,
        valid="",
    )
    headers = ending_headers(request_id, ending).with_added(
        "Content-Type", "application/json"
    )
    await exchange.respond(status=status, headers=headers, body=body)


async def pass_on(
    exchange: http_server.Exchange,
    *,
    request_id: types.RequestId,
    ending: outcomes.Ending,
    head: http_messages.ResponseHead,
    body: bytes,
) -> None:
    """Forward an upstream's complete response with outcome headers."""
    headers = hop_by_hop.strip(head.headers)
    for name, value in ending_headers(request_id, ending):
        headers = headers.with_added(name, value)
    await exchange.respond(status=head.status, headers=headers, body=body)


async def reject(
    exchange: http_server.Exchange,
    *,
    request_id: types.RequestId,
    rejection: resolution.Rejection,
) -> None:
    """Respond to an invalid request."""
    body = http_errors.error_body(
        step=rejection.step,
        field=rejection.field,
        message=rejection.message,
        valid=rejection.valid,
    )
    headers = http_messages.Headers(
        pairs=[
            (REQUEST_ID_HEADER, request_id),
            (OUTCOME_HEADER, outcomes.Outcome.NOT_RUN.value),
            ("Content-Type", "application/json"),
        ]
    )
    if rejection.status == 401:
        headers = headers.with_added("WWW-Authenticate", "Bearer")
    await exchange.respond(status=rejection.status, headers=headers, body=body)
